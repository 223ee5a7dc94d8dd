#include "fleet/latency.h"

#include <algorithm>
#include <cmath>

namespace lynxgrade::fleet {
namespace {

// Relevant queues are a few times the shortest latency objective long (hundreds of milliseconds) and build up
// and drain within about 1 s. Responses of that age have decayed to half.
constexpr double kTimeConstantSeconds = 1.5;
constexpr double kMinGain = 0.08;          // weights about the last 20 responses if they arrive fast
constexpr double kMaxGain = 0.6;           // below 1, as the requests of a class vary
constexpr double kMaxOverdueGain = 0.25;   // lower, as a missing response may be a lost connection
constexpr double kPriorResponseCount = 1;  // responses that the prior stands for
// Longer, as a server's own responses are more informative than its group's.
constexpr double kServerTimeConstantSeconds = 3;

double ElapsedSeconds(Duration now, Duration since) { return ToSeconds(std::max(Duration{0}, now - since)); }

}  // namespace

double GroupLatencyEstimator::Decay(Duration now) const {
  return std::exp(-ElapsedSeconds(now, last_) / kTimeConstantSeconds);
}

void GroupLatencyEstimator::RecordResponse(Duration now, double slowness) {
  const double decay = Decay(now);
  sum_ = sum_ * decay + slowness;
  count_ = count_ * decay + 1;
  last_ = std::max(last_, now);
}

double GroupLatencyEstimator::Mean(Duration now, double prior) const {
  const double decay = Decay(now);
  return (sum_ * decay + kPriorResponseCount * prior) / (count_ * decay + kPriorResponseCount);
}

double ServerLatencyEstimator::Gain(Duration now) const {
  const double decayed = 1 - std::exp(-ElapsedSeconds(now, last_recorded_) / kTimeConstantSeconds);
  return std::clamp(decayed, kMinGain, kMaxGain);
}

void ServerLatencyEstimator::RecordResponse(Duration now, double slowness, std::size_t in_flight) {
  const double gain = Gain(now);
  const double per_request = slowness / static_cast<double>(in_flight + 1);
  slowness_ += gain * (slowness - slowness_);
  slowness_per_request_ += gain * (per_request - slowness_per_request_);
  last_recorded_ = std::max(last_recorded_, now);
}

void ServerLatencyEstimator::RecordOverdue(Duration now, double slowness) {
  slowness_ += std::min(kMaxOverdueGain, Gain(now)) * std::max(0.0, slowness - slowness_);
  last_recorded_ = std::max(last_recorded_, now);
}

double ServerLatencyEstimator::Slowness(Duration now, const GroupLatencyEstimator& group) const {
  const double own = std::exp(-ElapsedSeconds(now, last_recorded_) / kServerTimeConstantSeconds);
  return own * slowness_ + (1 - own) * group.Mean(now, slowness_);
}

}  // namespace lynxgrade::fleet
