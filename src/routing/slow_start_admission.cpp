#include "routing/slow_start_admission.h"

#include <algorithm>

#include "fleet/fleet_size.h"

namespace lynxgrade {
namespace {

// Fraction of the tenants' total quota that warm servers can certainly serve.
constexpr double kNominalQuotaFraction = 0.4;

}  // namespace

SlowStartAdmission::SlowStartAdmission(DecisionContext& context, ServerTable& servers,
                                       const LatencyModel& latencies)
    : context_(context),
      servers_(servers),
      latencies_(latencies),
      rule_{context.settings().initial_capacity, context.settings().slow_start_duration,
            context.settings().overload_factor, context.settings().overload_duration} {}

void SlowStartAdmission::BeginSlowStart(Server& server, TimePoint when) {
  server.started = when;
  server.load.latency = {};
  EjectionState& ejection = server.ejection;
  ejection.ejected_until = context_.now();
  ejection.failure_rate = 0;
  ejection.consecutive_failures = 0;
  ejection.consecutive_losses = 0;
  ejection.ejections = 0;
  server.warm_up_bucket.Begin(context_.now_since_epoch(), rule_);
}

bool SlowStartAdmission::IsWarming(const Server& server) const {
  return server.started && context_.now() < *server.started + context_.settings().slow_start_duration;
}

double SlowStartAdmission::CapacityShare(const Server& server) const {
  return IsWarming(server) ? rule_.CapacityShare(context_.now() - *server.started) : 1;
}

// This instance's share of the load of a warm server under evenly distributed traffic: a fraction of the
// tenants' quotas, but at least one core's work per server. The measured throughput alone is too low in an
// instance that has just started or rejects many requests: it would underuse a warming server and reject even
// more.
double SlowStartAdmission::NominalThroughput() const {
  double quota = 0;
  for (const Tenant& tenant : context_.settings().tenants) quota += tenant.quota_per_s;
  const auto servers = static_cast<double>(std::max<std::size_t>(1, servers_.server_count()));
  const double per_server = kNominalQuotaFraction * quota * latencies_.ShortestBaselineSeconds() / servers;
  return std::max(1.0, per_server) / fleet::EffectiveFleetSize(context_.settings().fleet_size);
}

// This instance's share of the rate that the server may be sent, in work per second.
double SlowStartAdmission::AllowedRate(const Server& server) const {
  return rule_.InstanceRate(context_.now() - *server.started,
                            std::max(throughput_.PerSecond(), NominalThroughput()));
}

bool SlowStartAdmission::UsesRandomAdmission(const Server& server) const {
  return IsWarming(server) &&
         AllowedRate(server) * rule_.BurstSeconds() < latencies_.ShortestBaselineSeconds();
}

bool SlowStartAdmission::HasCapacity(const Request& request, Server& server) {
  if (!IsWarming(server) || UsesRandomAdmission(server)) return true;
  // Reads arrive evenly, so their unused allowance may accumulate. Waiting writes are all sent at once when a
  // primary is found, so theirs is limited to one burst.
  const double credit_seconds =
      server.IsPrimary() ? rule_.BurstSeconds() : ToSeconds(context_.settings().slow_start_duration);
  const double limit = server.warm_up_bucket.Refill(context_.now_since_epoch(), AllowedRate(server),
                                                    rule_.BurstSeconds(), credit_seconds);
  return server.warm_up_bucket.work() >= std::min(latencies_.BaselineSeconds(request), limit);
}

void SlowStartAdmission::Consume(const Request& request, Server& server) {
  if (!IsWarming(server) || UsesRandomAdmission(server)) return;
  server.warm_up_bucket.Consume(latencies_.BaselineSeconds(request));
}

double SlowStartAdmission::RecordDemand(const Request& request) {
  const bool primary = context_.NeedsPrimary(request);
  const Duration now = context_.now_since_epoch();
  const double work = latencies_.BaselineSeconds(request);
  fleet::DemandEstimator& overall = demand_.For(primary);
  fleet::DemandEstimator& own = servers_.GroupOf(request.event.group).demand.For(primary);
  overall.RecordWork(now, work);
  own.RecordWork(now, work);
  const double prior = overall.PerSecond(now) / static_cast<double>(servers_.group_count());
  return own.PerSecond(now, prior);
}

double SlowStartAdmission::MaxDrawProbability(const Server& server, double demand) const {
  return UsesRandomAdmission(server) ? fleet::AdmissionProbability(AllowedRate(server), demand) : 1;
}

Server* SlowStartAdmission::DrawAdmission(const Request& request, Server* server) {
  if (server == nullptr) return nullptr;
  const double demand = RecordDemand(request);
  if (!UsesRandomAdmission(*server)) return server;
  return context_.DrawBernoulli(fleet::AdmissionProbability(AllowedRate(*server), demand)) ? server : nullptr;
}

void SlowStartAdmission::RecordResponse(ClassIndex request_class) {
  throughput_.RecordWork(latencies_.BaselineSeconds(request_class));
}

void SlowStartAdmission::EndInterval(Duration interval, double warm_servers) {
  throughput_.EndInterval(ToSeconds(interval), warm_servers);
}

}  // namespace lynxgrade
