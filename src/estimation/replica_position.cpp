#include "estimation/replica_position.h"

#include <algorithm>

namespace lynxgrade::estimation {
namespace {

// The same position reported again within this time is not a new observation.
constexpr Duration kRepeatWindow{50000};
// Minimum time over which the apply rate is measured, as some reports are delayed.
constexpr Duration kMinApplyRateInterval{300000};
// How long an extrapolated position is relied on.
constexpr Duration kExpectationValidity{400000};
// After this time without a report the server may have reached any position.
constexpr Duration kRateValidity{1000000};
// A server is assumed to need at least a tenth of the log's time to apply it.
constexpr double kMaxApplyRate = 10;

}  // namespace

bool ReplicaPosition::RecordPosition(Instant now, Instant position, const Receipt& receipt) {
  const Instant time = position - receipt.clock_lead;
  if (time <= receipt.at) proven_time_ = std::max(time, proven_time_.value_or(time));
  if (proven_ && position <= *proven_ && now - last_reported_at_ < kRepeatWindow) return false;
  proven_ = std::max(position, proven_.value_or(position));
  last_reported_at_ = now;
  if (!interval_start_ || now - *interval_start_ >= kMinApplyRateInterval) {
    is_apply_rate_measured_ = interval_start_.has_value();
    if (is_apply_rate_measured_)
      apply_rate_ = ToSeconds(*proven_ - interval_start_position_) / ToSeconds(now - *interval_start_);
    apply_rate_ = std::clamp(apply_rate_, 0.0, kMaxApplyRate);
    interval_start_position_ = *proven_;
    interval_start_ = now;
  }
  return true;
}

std::optional<Instant> ReplicaPosition::ProvenTime(Duration clock_lead) const {
  if (!proven_time_) return std::nullopt;
  return std::min(*proven_ - clock_lead, *proven_time_);
}

Instant ReplicaPosition::ExpectedPosition(Instant now) const {
  return proven_.value_or(Instant{0}) + Scale(now - last_reported_at_, std::min(1.0, apply_rate_));
}

bool ReplicaPosition::IsKnown(Instant now, Instant target) const {
  if (IsProven(target)) return true;
  const Duration behind = std::max(Duration{0}, target - ExpectedPosition(now));
  return proven_ && now - last_reported_at_ <= kExpectationValidity + behind;
}

bool ReplicaPosition::MayHaveReached(Instant now, Instant target) const {
  return !is_apply_rate_measured_ || target - *proven_ <= Scale(now - last_reported_at_, kMaxApplyRate);
}

bool ReplicaPosition::MayReach(Instant now, Duration within, Instant target, TargetMotion motion) const {
  if (!is_apply_rate_measured_ || now - last_reported_at_ > kRateValidity) return true;
  const Duration behind = target - *proven_ - Scale(now - last_reported_at_, apply_rate_);
  const double target_rate = motion == TargetMotion::kWithClock ? 1 : 0;
  const double closing_rate = std::max(0.0, apply_rate_ - target_rate);
  // The last report may be as old as the validity of an expectation, and the server has advanced meanwhile.
  return behind - kExpectationValidity <= Scale(within, closing_rate);
}

void ReplicaPosition::ExcludeStall(Instant now, Duration stall) {
  if (!interval_start_) return;
  interval_start_ = std::min(now, *interval_start_ + stall);
  interval_start_position_ = std::min(*proven_, interval_start_position_ + stall);
}

}  // namespace lynxgrade::estimation
