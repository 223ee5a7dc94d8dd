// How long clients stay for an answer, which may be shorter than their word. Owns counts by age.
#pragma once

#include <array>
#include <cstddef>

namespace lynxgrade::estimation {

// The product-limit estimate (Kaplan and Meier, "Nonparametric Estimation from Incomplete Observations",
// 1958) of how many clients are still there at an age: those who were answered before tell that they had
// stayed so long, and no more. Few who leave early do not stand for all.
class ClientPatienceEstimator {
 public:
  // A client left, or was answered or turned away, after so many of its class's aims.
  void Seen(double aims, bool left);
  // The part of its aim up to which at least half of the clients are still there, 1 at most.
  double Part() const;

 private:
  static constexpr std::size_t kBins = 10;  // of an aim; a leaving after it changes nothing
  std::array<double, kBins> there_{};       // clients that came to the beginning of a bin
  std::array<double, kBins> left_{};        // and those of them that left in it
};

}  // namespace lynxgrade::estimation
