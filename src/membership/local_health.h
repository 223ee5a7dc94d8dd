// The local health multiplier of Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for
// More Accurate Failure Detection", 2018): an instance that may itself be slow or unreachable waits longer
// before it suspects others.
#pragma once

#include <algorithm>

#include "routing/balancer.h"

namespace lynxgrade::membership {

// This instance's multiplier.
class LocalHealth {
 public:
  // Zero as the maximum switches the multiplier off.
  explicit LocalHealth(int max_multiplier) : max_multiplier_(max_multiplier) {}

  // Evidence that this instance is slow, or, where negative, that it is not.
  void Degrade(int by) { multiplier_ = std::clamp(multiplier_ + by, 0, max_multiplier_); }
  void DegradeFully() { Degrade(max_multiplier_); }
  // A timeout as it is under the present health.
  Duration Scale(Duration timeout) const { return timeout * (multiplier_ + 1); }
  // Zero for a healthy instance, else by how many times its timeouts are longer.
  int multiplier() const { return multiplier_; }

 private:
  int max_multiplier_;
  int multiplier_ = 0;
};

}  // namespace lynxgrade::membership
