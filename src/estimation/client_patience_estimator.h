// Estimates how long clients wait for a response before they abandon the request, which may be shorter than
// the deadline that they state.
#pragma once

#include <array>
#include <cstddef>

namespace lynxgrade::estimation {

// How a client's wait ended.
enum class WaitEnd { kAnswered, kAbandoned };

// The product-limit estimator of the fraction of clients that still wait at an age (E. L. Kaplan and P.
// Meier, "Nonparametric Estimation from Incomplete Observations", 1958). Answered clients are censored
// observations: they are only known to have waited until their answer. A few clients that leave early thus do
// not determine the estimate.
class ClientPatienceEstimator {
 public:
  // Records that a client abandoned its request, or got its final answer, after `objectives` times the
  // latency objective of its class.
  void RecordWait(double objectives, WaitEnd end);
  // The fraction of the latency objective for which at least half of the clients wait; at most 1.
  double MedianPatience() const;

 private:
  static constexpr std::size_t kBins = 10;  // per objective; clients that leave after it are not counted
  std::array<double, kBins> present_{};     // clients still waiting at the start of a bin
  std::array<double, kBins> abandoned_{};   // those of them that left within it
};

}  // namespace lynxgrade::estimation
