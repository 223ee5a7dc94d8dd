#include "routing/latency_model.h"

#include <algorithm>

namespace lynxgrade {
namespace {

// Gain of a class's usual latency. It is a yardstick and moves slowly, upwards more slowly still: time spent
// in queues must not pass for work.
constexpr double kUsualGain = 0.02;
constexpr double kUsualRiseFactor = 0.2;
constexpr double kLeastUsualSeconds = 1e-3;
constexpr double kInitialObjectiveFraction = 0.25;
constexpr double kLeastResponseSeconds = 1e-4;
constexpr double kLeastSlowness = 0.05;
constexpr double kMaxCancelledSlowness = 8;
// Of the latency objective: a server at which work takes less has capacity to spare.
constexpr double kSpareObjectiveFraction = 0.6;

}  // namespace

LatencyModel::LatencyModel(DecisionContext& context, ServerTable& servers)
    : context_(context), servers_(servers) {
  for (const RequestClass& request_class : context.settings().classes) {
    const double initial = ToSeconds(request_class.latency_objective) * kInitialObjectiveFraction;
    usual_seconds_.push_back(std::max(kLeastUsualSeconds, initial));
  }
}

double LatencyModel::ShortestUsualSeconds() const { return *std::ranges::min_element(usual_seconds_); }

// An attempt sent before one that was answered is not counted: the server works, and the older attempt's
// connection has fallen silent, or its work is long.
double LatencyModel::Slowness(const Server& server) const {
  double ages = 0;
  double count = 0;
  for (const auto& [key, attempt] : server.load.in_flight) {
    if (attempt.sent < server.load.newest_answered) continue;
    ages += ToSeconds(context_.now() - attempt.sent) / usual_seconds_[attempt.request_class];
    ++count;
  }
  const auto& group_latency = servers_.GroupOf(server.group).latency.For(server.IsPrimary());
  const double recorded = server.load.latency.Slowness(context_.now_since_epoch(), group_latency);
  return std::max({kLeastSlowness, recorded, count > 0 ? ages / count : 0});
}

// What is in flight now shows a queue before its latencies do.
double LatencyModel::ExpectedSeconds(const Request& request, const Server& server) const {
  const double queue =
      server.load.latency.slowness_per_request() * static_cast<double>(server.load.in_flight.size() + 1);
  return UsualSeconds(request) * std::max(Slowness(server), queue);
}

bool LatencyModel::HasSpareTime(ClassIndex request_class, const Server& server) const {
  const RequestClass& settings = context_.settings().classes[request_class];
  return usual_seconds_[request_class] * Slowness(server) <=
         kSpareObjectiveFraction * ToSeconds(settings.latency_objective);
}

void LatencyModel::RecordResponse(Server& server, const InFlightAttempt& attempt, Duration elapsed) {
  double& usual = usual_seconds_[attempt.request_class];
  const Duration now = context_.now_since_epoch();
  const double taken = std::max(kLeastResponseSeconds, ToSeconds(elapsed));
  server.load.latency.RecordResponse(now, taken / usual, attempt.in_flight_at_start);
  servers_.GroupOf(server.group).latency.For(server.IsPrimary()).RecordResponse(now, taken / usual);
  usual += kUsualGain * (taken > usual ? kUsualRiseFactor : 1) * (taken - usual);
  server.load.newest_answered = std::max(server.load.newest_answered, attempt.sent);
}

void LatencyModel::RecordCancelled(Server& server, const InFlightAttempt& attempt, Duration elapsed) {
  // Where later attempts were answered, or where responses report queues and the last reported none, the
  // response was lost and says nothing of the server's speed.
  const bool may_be_queued =
      context_.settings().load_reporting != LoadReporting::kWithResponses || server.load.queued >= 1;
  if (attempt.sent <= server.load.newest_answered || !may_be_queued) return;
  const Duration now = context_.now_since_epoch();
  const double slowness =
      std::min(kMaxCancelledSlowness, ToSeconds(elapsed) / usual_seconds_[attempt.request_class]);
  server.load.latency.RecordOverdue(now, slowness);
  auto& group_latency = servers_.GroupOf(server.group).latency.For(server.IsPrimary());
  if (slowness > group_latency.Mean(now, 1)) group_latency.RecordResponse(now, slowness);
}

}  // namespace lynxgrade
