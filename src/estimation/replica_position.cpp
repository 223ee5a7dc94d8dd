#include "estimation/replica_position.h"

#include <algorithm>

namespace lynxgrade::estimation {
namespace {

constexpr Duration kSameWithin{50000};   // the same position again tells nothing new so soon
constexpr Duration kPaceOver{300000};    // the least span that a pace is read off: some reports long
constexpr Duration kTrusted{400000};     // how long an expectation is relied on
constexpr Duration kForgotten{1000000};  // unheard for longer, anything may have become of it
constexpr double kMostPace = 10;         // a log is taken to need a tenth of its time to apply, at the least

double Seconds(Duration d) { return static_cast<double>(d.count()) * 1e-6; }
Duration Times(Duration d, double by) {
  return Duration(static_cast<std::int64_t>(by * static_cast<double>(d.count())));
}

}  // namespace

bool ReplicaPosition::Seen(Instant now, Instant position) {
  if (proven_ && position <= *proven_ && now - heard_ < kSameWithin) return false;
  proven_ = std::max(position, proven_.value_or(position));
  heard_ = now;
  if (!pace_at_ || now - *pace_at_ >= kPaceOver) {
    measured_ = pace_at_.has_value();
    if (measured_) pace_ = Seconds(*proven_ - pace_from_) / Seconds(now - *pace_at_);
    pace_ = std::clamp(pace_, 0.0, kMostPace);
    pace_from_ = *proven_;
    pace_at_ = now;
  }
  return true;
}

Instant ReplicaPosition::Expected(Instant now) const {
  return proven_.value_or(Instant{0}) + Times(now - heard_, std::min(1.0, pace_));
}

bool ReplicaPosition::Known(Instant now, Instant target) const {
  if (Proven(target)) return true;
  return proven_ && now - heard_ <= kTrusted + std::max(Duration{0}, target - Expected(now));
}

bool ReplicaPosition::MayHold(Instant now, Instant target) const {
  return !measured_ || target - *proven_ <= Times(now - heard_, kMostPace);
}

bool ReplicaPosition::MayReach(Instant now, Duration within, Instant target, bool moves) const {
  if (!measured_ || now - heard_ > kForgotten) return true;
  const Duration behind = target - *proven_ - Times(now - heard_, pace_);
  const double closes = std::max(0.0, pace_ - (moves ? 1 : 0));
  // A report is as old as an expectation may be, so that much of the distance may be gone already.
  return behind - kTrusted <= Times(within, closes);
}

void ReplicaPosition::Forgive(Instant now, Duration stall) {
  if (!pace_at_) return;
  pace_at_ = std::min(now, *pace_at_ + stall);
  pace_from_ = std::min(*proven_, pace_from_ + stall);
}

}  // namespace lynxgrade::estimation
