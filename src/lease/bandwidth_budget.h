// A token bucket over the bytes that this instance sends and receives for control.
#pragma once

#include <algorithm>
#include <cstddef>

#include "routing/balancer.h"

namespace lynxgrade::lease {

// Tells whether traffic that can be deferred is within the budget. Traffic that cannot be deferred is
// recorded too and may overdraw it. Not thread-safe; reads no clock.
class BandwidthBudget {
 public:
  // `bytes_per_s` of zero: there is no budget, and everything is allowed.
  BandwidthBudget(double bytes_per_s, TimePoint now)
      : bytes_per_s_(bytes_per_s), available_bytes_(bytes_per_s * kBurstSeconds), refilled_at_(now) {}

  // Records bytes that were sent or received, whether they could have been deferred or not.
  void Spend(TimePoint now, std::size_t bytes) {
    Refill(now);
    available_bytes_ =
        std::max(available_bytes_ - static_cast<double>(bytes), -bytes_per_s_ * kMaxOverdraftSeconds);
  }
  // Whether `bytes` more are within the budget.
  bool Allows(TimePoint now, std::size_t bytes) {
    Refill(now);
    return bytes_per_s_ <= 0 || available_bytes_ >= static_cast<double>(bytes);
  }
  // Whether less than half of the burst is left, so that messages should be batched.
  bool IsLow(TimePoint now) {
    Refill(now);
    return bytes_per_s_ > 0 && available_bytes_ < bytes_per_s_ * kBurstSeconds / 2;
  }

 private:
  // Longer than a period of membership, which sends in bursts; short enough that no second exceeds its budget
  // by much.
  static constexpr double kBurstSeconds = 0.5;
  // A burst that could not be deferred does not hold back reads for longer than this.
  static constexpr double kMaxOverdraftSeconds = 2;

  void Refill(TimePoint now) {
    const double seconds = std::max(0.0, 1e-6 * static_cast<double>((now - refilled_at_).count()));
    available_bytes_ = std::min(bytes_per_s_ * kBurstSeconds, available_bytes_ + seconds * bytes_per_s_);
    refilled_at_ = now;
  }

  double bytes_per_s_;
  double available_bytes_;  // negative while overdrawn
  TimePoint refilled_at_;
};

}  // namespace lynxgrade::lease
