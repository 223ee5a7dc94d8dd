#include "fleet/latency.h"

#include <algorithm>
#include <cmath>

namespace lynxgrade::fleet {
namespace {

// A queue that matters is some of the shortest latency objectives long (hundreds of milliseconds). It builds
// up and drains within about a second, so that what was recorded so long ago has half decayed.
constexpr double kTimeConstantSeconds = 1.5;
constexpr double kMinGain = 0.08;         // about the last twenty responses, where they come fast
constexpr double kMaxGain = 0.6;          // one response is not all: requests of a class differ
constexpr double kMaxOverdueGain = 0.25;  // without a response it may be the connection that is lost
constexpr double kPriorResponses = 1;
constexpr double kOwnTimeConstantSeconds =
    3;  // longer, as the server's own responses say more than its group's

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
  return (sum_ * decay + kPriorResponses * prior) / (count_ * decay + kPriorResponses);
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
  const double own = std::exp(-ElapsedSeconds(now, last_recorded_) / kOwnTimeConstantSeconds);
  return own * slowness_ + (1 - own) * group.Mean(now, slowness_);
}

}  // namespace lynxgrade::fleet
