#include "routing/load_shedding.h"

#include <algorithm>
#include <cmath>

namespace lynxgrade {
namespace {

// Rejection starts where the expected latency is this part of the time left, and is almost certain the second
// part later.
constexpr double kRejectFromFraction = 0.35;
constexpr double kRejectRampFraction = 0.4;
// Some requests always get through, or recovery would go unnoticed.
constexpr double kMaxRejectionProbability = 0.95;
// Of its length: what a queue takes to drain while rejections thin out the arrivals.
constexpr double kQueueDrainFraction = 0.5;
// A class that is worth at least this part when late is waited for after its latency objective.
constexpr double kLateResponseMatters = 0.5;
// Bounds of the shedding priority, so that no class starves.
constexpr double kMinSheddingPriority = 0.8;
constexpr double kMaxSheddingPriority = 1.6;
constexpr double kLeastEarningRate = 1e-9;
constexpr double kLeastSecondsLeft = 1e-4;
constexpr double kLeastObjectiveSeconds = 1e-6;
constexpr Duration kOneSecond{1000000};

}  // namespace

LoadShedding::LoadShedding(DecisionContext& context, ServerTable& servers, const LatencyModel& latencies)
    : context_(context),
      servers_(servers),
      latencies_(latencies),
      first_attempts_(context.settings().classes.size()) {}

TimePoint LoadShedding::EstimateFirstAsked(const Request& request) {
  estimation::FirstAttemptEstimator& estimator = first_attempts_[request.event.request_class];
  const auto kind =
      request.event.is_retry ? estimation::AttemptKind::kRetry : estimation::AttemptKind::kFirst;
  return request.arrived -
         estimator.EstimateAge(context_.ClassOf(request).deadline, request.deadline - request.arrived, kind);
}

void LoadShedding::RecordUnserved(const Request& request) {
  first_attempts_[request.event.request_class].RecordUnserved(context_.now() - request.first_asked);
}

void LoadShedding::RecordClientStay(const Request& request, estimation::StayEnd end) {
  const double objective =
      std::max(kLeastObjectiveSeconds, ToSeconds(context_.ClassOf(request).latency_objective));
  patience_.RecordStay(ToSeconds(context_.now() - request.arrived) / objective, end);
}

Duration LoadShedding::EffectiveObjective(const Request& request) const {
  return Scale(context_.ClassOf(request).latency_objective, patience_.MedianStay());
}

TimePoint LoadShedding::UsefulUntil(const Request& request) const {
  if (context_.ClassOf(request).late_response_value >= kLateResponseMatters) return request.deadline;
  return std::min(request.deadline, request.first_asked + EffectiveObjective(request));
}

bool LoadShedding::IsTooLate(const Request& request) const {
  return ToSeconds(UsefulUntil(request) - context_.now()) < latencies_.UsualSeconds(request) / 2;
}

bool LoadShedding::HasWaitedTooLong(const Request& request) const {
  const TimePoint half = request.arrived + (request.deadline - request.arrived) / 2;
  return context_.now() + kTickInterval >= half && !request.ReachedAnyServer();
}

bool LoadShedding::DrawRejection(const Request& request, const Server& server) {
  // Once the objective has passed, what is left of the usefulness counts.
  const TimePoint objective = request.first_asked + EffectiveObjective(request);
  const TimePoint until =
      context_.now() < objective ? std::min(objective, request.deadline) : UsefulUntil(request);
  const double left = std::max(kLeastSecondsLeft, ToSeconds(until - context_.now()));
  const double weighted = latencies_.ExpectedSeconds(request, server) / left * SheddingPriority(request);
  return context_.DrawChance(
      std::min(kMaxRejectionProbability, (weighted - kRejectFromFraction) / kRejectRampFraction));
}

double LoadShedding::SheddingPriority(const Request& request) const {
  const std::vector<RequestClass>& classes = context_.settings().classes;
  double sum = 0;
  double count = 0;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    if (NeedsPrimary(classes[i]) != context_.NeedsPrimary(request)) continue;
    sum += classes[i].priority_weight / latencies_.UsualSeconds(static_cast<ClassIndex>(i));
    ++count;
  }
  const double own = std::max(kLeastEarningRate,
                              context_.ClassOf(request).priority_weight / latencies_.UsualSeconds(request));
  return std::clamp(std::sqrt(sum / count / own), kMinSheddingPriority, kMaxSheddingPriority);
}

// Once the server that is ready soonest has ended its ejection and has worked off what makes it too slow for
// the class; a tick where no server is known to take the request. Never less than one response takes, in
// which little changes.
Duration LoadShedding::RetryAfter(const Request& request) const {
  if (!context_.settings().clients_honor_retry_after) return Duration{0};
  std::optional<Duration> soonest;
  const bool needs_primary = context_.NeedsPrimary(request);
  for (ServerId id : servers_.GroupOf(request.event.group).servers) {
    const Server& server = servers_.At(id);
    if (server.draining || needs_primary != server.IsPrimary()) continue;
    const Duration ejected = std::max(Duration{0}, server.ejection.ejected_until - context_.now());
    const double excess = std::max(0.0, latencies_.ExpectedSeconds(request, server) -
                                            kRejectFromFraction * ToSeconds(EffectiveObjective(request)));
    const Duration ready = ejected + Scale(kOneSecond, kQueueDrainFraction * excess);
    soonest = std::min(soonest.value_or(ready), ready);
  }
  const Duration least = std::min(kTickInterval, Scale(kOneSecond, latencies_.UsualSeconds(request)));
  return std::min(context_.settings().max_retry_after, std::max(least, soonest.value_or(kTickInterval)));
}

}  // namespace lynxgrade
