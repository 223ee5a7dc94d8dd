#include "estimation/first_attempt_estimator.h"

#include <algorithm>
#include <cmath>

namespace lynxgrade::estimation {
namespace {

constexpr double kAlike = 0.02;    // of the deadline: what a network and whole milliseconds make of one part
constexpr int kSure = 10;          // votes in hand before the part is relied on
constexpr int kMostVotes = 50;     // so that clients which change their ways are followed
constexpr double kAgeGain = 0.05;  // EWMA gain: the last twenty unserved tries

double Seconds(Duration d) { return static_cast<double>(d.count()) * 1e-6; }

}  // namespace

Duration FirstAttemptEstimator::Age(Duration deadline, Duration left, bool repeat) {
  if (deadline <= Duration{0}) return Duration{0};
  const double part = Seconds(left) / Seconds(deadline);
  const bool alike = votes_ > 0 && std::abs(part - usual_) < kAlike;
  if (!repeat) {
    if (votes_ == 0) usual_ = part;
    votes_ = std::clamp(votes_ + (alike || votes_ == 0 ? 1 : -1), 0, kMostVotes);
  }
  if (votes_ < kSure) return Duration{0};
  const Duration most = std::max(Duration{0}, deadline - left);
  // Another part than the usual one is what the deadline leaves.
  if (!alike) return most;
  return repeat ? std::min(most, Duration(static_cast<std::int64_t>(age_ * 1e6))) : Duration{0};
}

void FirstAttemptEstimator::Unserved(Duration age) { age_ += kAgeGain * (Seconds(age) - age_); }

}  // namespace lynxgrade::estimation
