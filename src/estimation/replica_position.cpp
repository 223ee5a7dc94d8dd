#include "estimation/replica_position.h"

#include <algorithm>

namespace lynxgrade::estimation {
namespace {

constexpr Duration kRepeatWindow{50000};       // the same position again is nothing new so soon
constexpr Duration kPaceInterval{300000};      // least span to measure a pace over: some reports are delayed
constexpr Duration kExpectationTrust{400000};  // how long an expectation is relied on
constexpr Duration kForgetAfter{1000000};      // unheard for longer, the server may be anywhere
constexpr double kMaxPace = 10;                // the fastest that a server applies the log, against the clock

}  // namespace

bool ReplicaPosition::RecordPosition(Instant now, Instant position) {
  if (proven_ && position <= *proven_ && now - last_heard_ < kRepeatWindow) return false;
  proven_ = std::max(position, proven_.value_or(position));
  last_heard_ = now;
  if (!pace_since_ || now - *pace_since_ >= kPaceInterval) {
    is_pace_measured_ = pace_since_.has_value();
    if (is_pace_measured_) pace_ = ToSeconds(*proven_ - pace_from_) / ToSeconds(now - *pace_since_);
    pace_ = std::clamp(pace_, 0.0, kMaxPace);
    pace_from_ = *proven_;
    pace_since_ = now;
  }
  return true;
}

Instant ReplicaPosition::ExpectedPosition(Instant now) const {
  return proven_.value_or(Instant{0}) + Scale(now - last_heard_, std::min(1.0, pace_));
}

bool ReplicaPosition::IsKnown(Instant now, Instant target) const {
  if (IsProven(target)) return true;
  const Duration behind = std::max(Duration{0}, target - ExpectedPosition(now));
  return proven_ && now - last_heard_ <= kExpectationTrust + behind;
}

bool ReplicaPosition::MayHaveReached(Instant now, Instant target) const {
  return !is_pace_measured_ || target - *proven_ <= Scale(now - last_heard_, kMaxPace);
}

bool ReplicaPosition::MayReach(Instant now, Duration within, Instant target, TargetMotion motion) const {
  if (!is_pace_measured_ || now - last_heard_ > kForgetAfter) return true;
  const Duration behind = target - *proven_ - Scale(now - last_heard_, pace_);
  const double target_pace = motion == TargetMotion::kWithClock ? 1 : 0;
  const double closing_pace = std::max(0.0, pace_ - target_pace);
  // A report is as old as an expectation may be, so that much of the distance may be gone already.
  return behind - kExpectationTrust <= Scale(within, closing_pace);
}

void ReplicaPosition::ExcludeStall(Instant now, Duration stall) {
  if (!pace_since_) return;
  pace_since_ = std::min(now, *pace_since_ + stall);
  pace_from_ = std::min(*proven_, pace_from_ + stall);
}

}  // namespace lynxgrade::estimation
