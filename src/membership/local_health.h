// The local health multiplier of Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for
// More Accurate Failure Detection", 2018): an instance that may itself be slow or unreachable waits longer
// before it suspects others.
#pragma once

#include <algorithm>

#include "routing/balancer.h"

namespace lynxgrade::membership {

// The multiplier of this instance. Not thread-safe.
class LocalHealth {
 public:
  // With a maximum of zero timeouts do not depend on local health.
  explicit LocalHealth(int max_multiplier) : max_multiplier_(max_multiplier) {}

  // Adds to the multiplier: a positive delta on evidence that this instance is slow, a negative one on
  // evidence that it is not.
  void Adjust(int delta) { multiplier_ = std::clamp(multiplier_ + delta, 0, max_multiplier_); }
  void RaiseToMax() { Adjust(max_multiplier_); }
  // Lengthens a timeout according to the current multiplier.
  Duration Scale(Duration timeout) const { return timeout * (multiplier_ + 1); }
  // Zero for a healthy instance. A timeout is lengthened to `1 + multiplier()` times its length.
  int multiplier() const { return multiplier_; }

 private:
  int max_multiplier_;
  int multiplier_ = 0;
};

}  // namespace lynxgrade::membership
