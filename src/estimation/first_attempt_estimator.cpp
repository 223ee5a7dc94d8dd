#include "estimation/first_attempt_estimator.h"

#include <algorithm>
#include <cmath>

namespace lynxgrade::estimation {
namespace {

// Of the deadline: what network delay and rounding to milliseconds make of one fraction.
constexpr double kFractionTolerance = 0.02;
constexpr int kVotesToTrust = 10;
constexpr int kMaxVotes = 50;           // so that clients which change their behavior are followed
constexpr double kUnservedGain = 0.05;  // about the last twenty unserved attempts

}  // namespace

Duration FirstAttemptEstimator::EstimateAge(Duration deadline, Duration left, AttemptKind kind) {
  if (deadline <= Duration{0}) return Duration{0};
  const double fraction = ToSeconds(left) / ToSeconds(deadline);
  const bool is_usual = votes_ > 0 && std::abs(fraction - first_fraction_) < kFractionTolerance;
  if (kind == AttemptKind::kFirst) {
    if (votes_ == 0) first_fraction_ = fraction;
    votes_ = std::clamp(votes_ + (is_usual || votes_ == 0 ? 1 : -1), 0, kMaxVotes);
  }
  if (votes_ < kVotesToTrust) return Duration{0};
  const Duration most = std::max(Duration{0}, deadline - left);
  // Another fraction than the usual one is what the deadline leaves.
  if (!is_usual) return most;
  if (kind == AttemptKind::kFirst) return Duration{0};
  return std::min(most, Duration(static_cast<std::int64_t>(unserved_age_seconds_ * 1e6)));
}

void FirstAttemptEstimator::RecordUnserved(Duration age) {
  unserved_age_seconds_ += kUnservedGain * (ToSeconds(age) - unserved_age_seconds_);
}

}  // namespace lynxgrade::estimation
