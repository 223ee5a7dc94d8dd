#include "fleet/slow_start.h"

#include <algorithm>

namespace lynxgrade::fleet {
namespace {

// Fraction of the allowed rate that is used, as the instances' rates are estimates.
constexpr double kSafetyFactor = 0.7;
// Relative growth of that fraction during the slow start, as the minimum capacity increasingly underestimates
// the server.
constexpr double kSafetyGrowth = 0.4;
constexpr double kMinBurstSeconds = 0.1;
constexpr double kMinDurationSeconds = 1e-6;

double Progress(Duration age, Duration duration) {
  return std::clamp(ToSeconds(age) / std::max(kMinDurationSeconds, ToSeconds(duration)), 0.0, 1.0);
}

}  // namespace

double SlowStartRule::CapacityShare(Duration age) const {
  return initial_capacity + (1 - initial_capacity) * Progress(age, duration);
}

double SlowStartRule::InstanceRate(Duration age, double throughput) const {
  return kSafetyFactor * (1 + kSafetyGrowth * Progress(age, duration)) * overload_factor *
         CapacityShare(age) * throughput;
}

double SlowStartRule::BurstSeconds() const {
  return std::max(kMinBurstSeconds, ToSeconds(overload_duration) / 2);
}

void WarmingTokenBucket::Begin(Duration now, const SlowStartRule& rule) {
  work_ = 0;
  refilled_at_ = now - rule.overload_duration / 2;
}

double WarmingTokenBucket::Refill(Duration now, double rate, double burst_seconds, double credit_seconds) {
  work_ =
      std::min(rate * burst_seconds, work_ + rate * std::min(ToSeconds(now - refilled_at_), credit_seconds));
  refilled_at_ = now;
  return rate * burst_seconds;
}

}  // namespace lynxgrade::fleet
