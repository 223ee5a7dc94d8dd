#include "fleet/demand.h"

#include <algorithm>
#include <cmath>

namespace lynxgrade::fleet {
namespace {

constexpr double kTimeConstantSeconds = 3;   // shorter than a slow start, longer than gaps between arrivals
constexpr double kPriorSeconds = 3;          // observation time that the prior stands for
constexpr double kMinObservedSeconds = 0.3;  // keeps a single first arrival from looking like a high rate

}  // namespace

double DemandEstimator::DecayedSum(Duration now) const {
  if (!first_) return 0;
  return sum_ * std::exp(-ToSeconds(std::max(Duration{0}, now - last_)) / kTimeConstantSeconds);
}

// The observation time that the sum stands for, which approaches the time constant.
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
  return DecayedSum(now) / std::max(kMinObservedSeconds, ObservedSeconds(now));
}

double AdmissionProbability(double allowed, double demand) {
  return demand <= allowed || demand <= 0 ? 1 : std::max(0.0, allowed) / demand;
}

}  // namespace lynxgrade::fleet
