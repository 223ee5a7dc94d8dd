#include "routing/latency_model.h"

#include <algorithm>

namespace lynxgrade {
namespace {

// Gain of the moving average of a class's baseline latency, and further factor for increases. The baseline
// adapts slowly, upwards even more slowly, so that queueing time is not mistaken for work.
constexpr double kBaselineGain = 0.02;
constexpr double kBaselineRiseFactor = 0.2;
constexpr double kMinBaselineSeconds = 1e-3;
constexpr double kInitialBaselineFraction = 0.25;  // of the latency objective
constexpr double kMinResponseSeconds = 1e-4;
constexpr double kMinSlowness = 0.05;
// Limits the effect of one cancelled attempt.
constexpr double kMaxCancelledSlowness = 8;  // times the baseline
// A server has spare capacity if requests take at most this fraction of their latency objective there.
constexpr double kSpareCapacityFraction = 0.6;

}  // namespace

LatencyModel::LatencyModel(DecisionContext& context, ServerTable& servers)
    : context_(context), servers_(servers) {
  for (const RequestClass& request_class : context.settings().classes) {
    const double initial = ToSeconds(request_class.latency_objective) * kInitialBaselineFraction;
    baseline_seconds_.push_back(std::max(kMinBaselineSeconds, initial));
  }
}

double LatencyModel::ShortestBaselineSeconds() const { return *std::ranges::min_element(baseline_seconds_); }

// Attempts sent before one that has been answered are not counted: the server is working, and either the
// older attempt's connection hangs or its work is long. Counting it would make a healthy server look slow for
// as long as the attempt is in flight.
double LatencyModel::Slowness(const Server& server) const {
  double ages = 0;
  double count = 0;
  for (const auto& [key, attempt] : server.load.in_flight) {
    if (attempt.sent < server.load.newest_answered_sent) continue;
    ages += ToSeconds(context_.now() - attempt.sent) / baseline_seconds_[attempt.request_class];
    ++count;
  }
  const auto& group_latency = servers_.GroupOf(server.group).latency.For(server.IsPrimary());
  const double recorded = server.load.latency.Slowness(context_.now_since_epoch(), group_latency);
  return std::max({kMinSlowness, recorded, count > 0 ? ages / count : 0});
}

// Attempts in flight indicate a queue before latencies do.
double LatencyModel::ExpectedSeconds(const Request& request, const Server& server) const {
  const double queue =
      server.load.latency.slowness_per_request() * static_cast<double>(server.load.in_flight.size() + 1);
  return BaselineSeconds(request) * std::max(Slowness(server), queue);
}

bool LatencyModel::IsWellWithinObjective(ClassIndex request_class, const Server& server) const {
  const RequestClass& settings = context_.settings().classes[request_class];
  return baseline_seconds_[request_class] * Slowness(server) <=
         kSpareCapacityFraction * ToSeconds(settings.latency_objective);
}

void LatencyModel::RecordResponse(Server& server, const InFlightAttempt& attempt, Duration elapsed) {
  double& baseline = baseline_seconds_[attempt.request_class];
  const Duration now = context_.now_since_epoch();
  const double taken = std::max(kMinResponseSeconds, ToSeconds(elapsed));
  server.load.latency.RecordResponse(now, taken / baseline, attempt.in_flight_at_start);
  servers_.GroupOf(server.group).latency.For(server.IsPrimary()).RecordResponse(now, taken / baseline);
  baseline += kBaselineGain * (taken > baseline ? kBaselineRiseFactor : 1) * (taken - baseline);
  server.load.newest_answered_sent = std::max(server.load.newest_answered_sent, attempt.sent);
}

void LatencyModel::RecordCancelled(Server& server, const InFlightAttempt& attempt, Duration elapsed) {
  // If a later attempt was answered, or if responses report queue lengths and the last one reported no queue,
  // the response was lost, which does not indicate a slow server.
  const bool may_be_queued =
      context_.settings().load_reporting != LoadReporting::kWithResponses || server.load.queued >= 1;
  if (attempt.sent <= server.load.newest_answered_sent || !may_be_queued) return;
  const Duration now = context_.now_since_epoch();
  const double slowness =
      std::min(kMaxCancelledSlowness, ToSeconds(elapsed) / baseline_seconds_[attempt.request_class]);
  server.load.latency.RecordOverdue(now, slowness);
  auto& group_latency = servers_.GroupOf(server.group).latency.For(server.IsPrimary());
  if (slowness > group_latency.Mean(now, 1)) group_latency.RecordResponse(now, slowness);
}

}  // namespace lynxgrade
