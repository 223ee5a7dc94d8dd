#include "fleet/latency.h"

#include <algorithm>
#include <cmath>

namespace lynxgrade::fleet {
namespace {

// A queue that matters is some of the shortest aims long (hundreds of milliseconds): it builds up and goes
// within about a second, and what was heard so long ago has half faded.
constexpr double kFades = 1.5;          // seconds
constexpr double kLeastGain = 0.08;     // about the last twenty answers, where they come fast
constexpr double kMostGain = 0.6;       // one answer is not all: requests of a class differ by themselves
constexpr double kMostLostGain = 0.25;  // where none came: it may be the connection that is lost
constexpr double kCrowdPrior = 1;       // answers that the absence of news stands for
constexpr double kOldAfter = 3;         // seconds: two such spans, as the member's own news tells more

double Seconds(Duration d) { return static_cast<double>(d.count()) * 1e-6; }

}  // namespace

double GroupLatencyEstimator::Kept(Duration now) const {
  return std::exp(-Seconds(std::max(Duration{0}, now - last_)) / kFades);
}

void GroupLatencyEstimator::Add(Duration now, double slowness) {
  const double kept = Kept(now);
  sum_ = sum_ * kept + slowness;
  count_ = count_ * kept + 1;
  last_ = std::max(last_, now);
}

double GroupLatencyEstimator::Mean(Duration now, double otherwise) const {
  const double kept = Kept(now);
  return (sum_ * kept + kCrowdPrior * otherwise) / (count_ * kept + kCrowdPrior);
}

double ServerLatencyEstimator::Gain(Duration now) const {
  const double faded = 1 - std::exp(-Seconds(std::max(Duration{0}, now - heard_)) / kFades);
  return std::clamp(faded, kLeastGain, kMostGain);
}

void ServerLatencyEstimator::Answered(Duration now, double slowness, std::size_t beside) {
  const double gain = Gain(now);
  slowness_ += gain * (slowness - slowness_);
  each_ += gain * (slowness / static_cast<double>(beside + 1) - each_);
  heard_ = std::max(heard_, now);
}

void ServerLatencyEstimator::Overdue(Duration now, double slowness) {
  slowness_ += std::min(kMostLostGain, Gain(now)) * std::max(0.0, slowness - slowness_);
  heard_ = std::max(heard_, now);
}

double ServerLatencyEstimator::Slowness(Duration now, const GroupLatencyEstimator& group) const {
  const double own = std::exp(-Seconds(std::max(Duration{0}, now - heard_)) / kOldAfter);
  return own * slowness_ + (1 - own) * group.Mean(now, slowness_);
}

}  // namespace lynxgrade::fleet
