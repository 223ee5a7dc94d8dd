#include "fleet/demand.h"

#include <algorithm>
#include <cmath>

namespace lynxgrade::fleet {
namespace {

constexpr double kTimeConstantSeconds = 3;  // short against a slow start, long against gaps between arrivals
constexpr double kPriorSeconds = 3;         // of observation that the prior stands for
constexpr double kLeastObservedSeconds = 0.3;  // one arrival in the first instant is no flood

}  // namespace

double DemandEstimator::DecayedSum(Duration now) const {
  if (!first_) return 0;
  return sum_ * std::exp(-ToSeconds(std::max(Duration{0}, now - last_)) / kTimeConstantSeconds);
}

// How much time the sum stands for: less than its time constant until that has passed.
double DemandEstimator::ObservedSeconds(Duration now) const {
  if (!first_) return 0;
  const double age = ToSeconds(std::max(Duration{0}, now - *first_));
  return kTimeConstantSeconds * (1 - std::exp(-age / kTimeConstantSeconds));
}

void DemandEstimator::RecordWork(Duration now, double work) {
  sum_ = DecayedSum(now) + work;
  if (!first_) first_ = now;
  last_ = std::max(last_, now);
}

double DemandEstimator::PerSecond(Duration now, double prior) const {
  return (DecayedSum(now) + prior * kPriorSeconds) / (ObservedSeconds(now) + kPriorSeconds);
}

double DemandEstimator::PerSecond(Duration now) const {
  return DecayedSum(now) / std::max(kLeastObservedSeconds, ObservedSeconds(now));
}

double AdmissionProbability(double allowed, double wanted) {
  return wanted <= allowed || wanted <= 0 ? 1 : std::max(0.0, allowed) / wanted;
}

}  // namespace lynxgrade::fleet
