// A token bucket for the bytes of control traffic that this instance sends and receives.
#pragma once

#include <algorithm>
#include <cstddef>

#include "routing/balancer.h"

namespace lynxgrade::lease {

// Decides whether deferrable traffic is within the budget. Traffic that cannot be deferred is recorded as
// well and may overdraw the budget. Not thread-safe; reads no clock.
class BandwidthBudget {
 public:
  // A `bytes_per_s` of zero disables the budget: everything is allowed.
  BandwidthBudget(double bytes_per_s, TimePoint now)
      : bytes_per_s_(bytes_per_s), available_bytes_(bytes_per_s * kBurstSeconds), refilled_at_(now) {}

  // Records bytes that were sent or received, deferrable or not.
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
  // Whether less than half of the burst is left. Messages should then be batched.
  bool IsLow(TimePoint now) {
    Refill(now);
    return bytes_per_s_ > 0 && available_bytes_ < bytes_per_s_ * kBurstSeconds / 2;
  }

 private:
  // Longer than the probe interval of membership, which sends in bursts; short enough that no second exceeds
  // the budget by much.
  static constexpr double kBurstSeconds = 0.5;
  // Bounds how long traffic that could not be deferred suppresses lease requests for reads.
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
