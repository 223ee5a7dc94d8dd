#include "routing/load_shedding.h"

#include <algorithm>
#include <cmath>

namespace lynxgrade {
namespace {

// Requests are rejected with a probability that rises from 0, where the expected latency is the first
// fraction of the time left, to its maximum, where it is the sum of both.
constexpr double kRejectionStartFraction = 0.35;
constexpr double kRejectionRampFraction = 0.4;
// Below 1, so that some requests still reach the servers and recovery is noticed.
constexpr double kMaxRejectionProbability = 0.95;
// A queue drains in this fraction of its length while rejections reduce the arrivals.
constexpr double kQueueDrainFraction = 0.5;
// Classes whose late responses have at least this value may wait beyond their latency objective.
constexpr double kMinLateResponseValue = 0.5;
// Bounds of the shedding priority, which keep classes from starving.
constexpr double kMinSheddingPriority = 0.8;
constexpr double kMaxSheddingPriority = 1.6;
constexpr double kMinValueRate = 1e-9;
constexpr double kMinSecondsLeft = 1e-4;
constexpr double kMinObjectiveSeconds = 1e-6;
constexpr Duration kOneSecond{1000000};

}  // namespace

LoadShedding::LoadShedding(DecisionContext& context, ServerTable& servers, const LatencyModel& latencies)
    : context_(context),
      servers_(servers),
      latencies_(latencies),
      first_attempts_(context.settings().classes.size()) {}

TimePoint LoadShedding::EstimateFirstClientAttempt(const Request& request) {
  estimation::FirstAttemptEstimator& estimator = first_attempts_[request.event.request_class];
  const auto kind =
      request.event.is_retry ? estimation::AttemptKind::kRetry : estimation::AttemptKind::kFirst;
  return request.arrived -
         estimator.EstimateAge(context_.ClassOf(request).deadline, request.deadline - request.arrived, kind);
}

void LoadShedding::RecordUnserved(const Request& request) {
  first_attempts_[request.event.request_class].RecordUnserved(context_.now() - request.first_client_attempt);
}

void LoadShedding::RecordClientWait(const Request& request, estimation::WaitEnd end) {
  const double objective =
      std::max(kMinObjectiveSeconds, ToSeconds(context_.ClassOf(request).latency_objective));
  patience_.RecordWait(ToSeconds(context_.now() - request.arrived) / objective, end);
}

Duration LoadShedding::EffectiveObjective(const Request& request) const {
  return Scale(context_.ClassOf(request).latency_objective, patience_.MedianPatience());
}

TimePoint LoadShedding::UsefulUntil(const Request& request) const {
  if (context_.ClassOf(request).late_response_value >= kMinLateResponseValue) return request.deadline;
  return std::min(request.deadline, request.first_client_attempt + EffectiveObjective(request));
}

bool LoadShedding::IsTooLate(const Request& request) const {
  return ToSeconds(UsefulUntil(request) - context_.now()) < latencies_.BaselineSeconds(request) / 2;
}

bool LoadShedding::HasWaitedTooLong(const Request& request) const {
  const TimePoint half = request.arrived + (request.deadline - request.arrived) / 2;
  return context_.now() + kTickInterval >= half && !request.ReachedAnyServer();
}

bool LoadShedding::DrawRejection(const Request& request, const Server& server) {
  // Once the objective has passed, the time until a response becomes useless counts instead.
  const TimePoint objective = request.first_client_attempt + EffectiveObjective(request);
  const TimePoint until =
      context_.now() < objective ? std::min(objective, request.deadline) : UsefulUntil(request);
  const double left = std::max(kMinSecondsLeft, ToSeconds(until - context_.now()));
  const double weighted = latencies_.ExpectedSeconds(request, server) / left * SheddingPriority(request);
  return context_.DrawBernoulli(
      std::min(kMaxRejectionProbability, (weighted - kRejectionStartFraction) / kRejectionRampFraction));
}

double LoadShedding::SheddingPriority(const Request& request) const {
  const std::vector<RequestClass>& classes = context_.settings().classes;
  double sum = 0;
  double count = 0;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    if (NeedsPrimary(classes[i]) != context_.NeedsPrimary(request)) continue;
    sum += classes[i].priority_weight / latencies_.BaselineSeconds(static_cast<ClassIndex>(i));
    ++count;
  }
  const double own = std::max(
      kMinValueRate, context_.ClassOf(request).priority_weight / latencies_.BaselineSeconds(request));
  return std::clamp(std::sqrt(sum / count / own), kMinSheddingPriority, kMaxSheddingPriority);
}

// The time until the first server has ended its ejection and drained the queue that makes it too slow for the
// class, or one tick interval if no server is known that could take the request. Not less than the baseline
// latency (or a tick interval, if that is shorter), as little changes in that time.
Duration LoadShedding::RetryAfter(const Request& request) const {
  if (!context_.settings().clients_honor_retry_after) return Duration{0};
  std::optional<Duration> soonest;
  const bool needs_primary = context_.NeedsPrimary(request);
  for (ServerId id : servers_.GroupOf(request.event.group).servers) {
    const Server& server = servers_.At(id);
    if (server.draining || needs_primary != server.IsPrimary()) continue;
    const Duration ejected = std::max(Duration{0}, server.ejection.ejected_until - context_.now());
    const double excess = std::max(0.0, latencies_.ExpectedSeconds(request, server) -
                                            kRejectionStartFraction * ToSeconds(EffectiveObjective(request)));
    const Duration ready = ejected + Scale(kOneSecond, kQueueDrainFraction * excess);
    soonest = std::min(soonest.value_or(ready), ready);
  }
  const Duration minimum = std::min(kTickInterval, Scale(kOneSecond, latencies_.BaselineSeconds(request)));
  return std::min(context_.settings().max_retry_after, std::max(minimum, soonest.value_or(kTickInterval)));
}

}  // namespace lynxgrade
