// Estimates how long clients stay for a response, which may be shorter than the deadline that they state.
#pragma once

#include <array>
#include <cstddef>

namespace lynxgrade::estimation {

// How the time that a client stayed came to its end.
enum class StayEnd { kAnswered, kLeft };

// The product-limit estimate of how many clients are still there at an age (E. L. Kaplan and P. Meier,
// "Nonparametric Estimation from Incomplete Observations", 1958). Clients that were answered only show that
// they stayed until then, so that few clients who leave early do not stand for all.
class ClientPatienceEstimator {
 public:
  // A client left, or was answered or rejected, after so many latency objectives of its class.
  void RecordStay(double objectives, StayEnd end);
  // The fraction of the latency objective up to which at least half of the clients stay; at most 1.
  double MedianStay() const;

 private:
  static constexpr std::size_t kBins = 10;  // of one objective; whoever leaves after it changes nothing
  std::array<double, kBins> present_{};     // clients that were there at the beginning of a bin
  std::array<double, kBins> left_{};        // and those of them that left in it
};

}  // namespace lynxgrade::estimation
