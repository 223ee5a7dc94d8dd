#include "estimation/first_attempt_estimator.h"

#include <algorithm>
#include <cmath>

namespace lynxgrade::estimation {
namespace {

// Fractions within this distance count as equal: network delay and rounding to milliseconds change them.
constexpr double kFractionTolerance = 0.02;
constexpr int kMinVotes = 10;           // needed before the estimate is used
constexpr int kMaxVotes = 50;           // lets the estimate adapt when clients change their behavior
constexpr double kUnservedGain = 0.05;  // weights about the last 20 unserved attempts

}  // namespace

Duration FirstAttemptEstimator::EstimateAge(Duration deadline, Duration left, AttemptKind kind) {
  if (deadline <= Duration{0}) return Duration{0};
  const double fraction = ToSeconds(left) / ToSeconds(deadline);
  const bool is_first_fraction = votes_ > 0 && std::abs(fraction - first_fraction_) < kFractionTolerance;
  if (kind == AttemptKind::kFirst) {
    if (votes_ == 0) first_fraction_ = fraction;
    votes_ = std::clamp(votes_ + (is_first_fraction || votes_ == 0 ? 1 : -1), 0, kMaxVotes);
  }
  if (votes_ < kMinVotes) return Duration{0};
  const Duration max_age = std::max(Duration{0}, deadline - left);
  // Any other fraction is the remainder of the deadline.
  if (!is_first_fraction) return max_age;
  if (kind == AttemptKind::kFirst) return Duration{0};
  return std::min(max_age, Duration(static_cast<std::int64_t>(unserved_age_seconds_ * 1e6)));
}

void FirstAttemptEstimator::RecordUnserved(Duration age) {
  unserved_age_seconds_ += kUnservedGain * (ToSeconds(age) - unserved_age_seconds_);
}

}  // namespace lynxgrade::estimation
