#include "fleet/demand.h"

#include <algorithm>
#include <cmath>

namespace lynxgrade::fleet {
namespace {

constexpr double kOver = 3;         // seconds: short beside a warm-up, long beside the gaps between arrivals
constexpr double kPriorWeight = 3;  // seconds of watching that the prior stands for
constexpr double kLeastWatched = 0.3;  // seconds: one arrival in the first instant is no flood

double Seconds(Duration d) { return static_cast<double>(d.count()) * 1e-6; }

}  // namespace

double DemandEstimator::Sum(Duration now) const {
  return begun_ ? sum_ * std::exp(-Seconds(std::max(Duration{0}, now - last_)) / kOver) : 0;
}

// How much time the sum stands for: less than its time constant while that has not passed yet.
double DemandEstimator::Watched(Duration now) const {
  if (!begun_) return 0;
  return kOver * (1 - std::exp(-Seconds(std::max(Duration{0}, now - first_)) / kOver));
}

void DemandEstimator::Add(Duration now, double work) {
  sum_ = Sum(now) + work;
  if (!begun_) first_ = now;
  begun_ = true;
  last_ = std::max(last_, now);
}

double DemandEstimator::PerSecond(Duration now, double prior) const {
  return (Sum(now) + prior * kPriorWeight) / (Watched(now) + kPriorWeight);
}

double DemandEstimator::PerSecond(Duration now) const {
  return Sum(now) / std::max(kLeastWatched, Watched(now));
}

double Odds(double allowed, double wanted) {
  return wanted <= allowed || wanted <= 0 ? 1 : std::max(0.0, allowed) / wanted;
}

}  // namespace lynxgrade::fleet
