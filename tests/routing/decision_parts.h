// The parts of the decision module without the Balancer, with a group of one primary and two replicas.
#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "routing/candidate_selection.h"
#include "routing/eligibility.h"
#include "routing/endpoint_list_updater.h"
#include "routing/health_checks.h"
#include "routing/load_shedding.h"
#include "routing/outlier_ejection.h"
#include "routing/primary_overflow.h"
#include "routing/primary_selection.h"

namespace lynxgrade {

inline constexpr GroupId kGroup{1};
inline constexpr ServerId kPrimary{1};
inline constexpr ServerId kReplica{2};
inline constexpr ServerId kOtherReplica{3};

inline constexpr Duration Milliseconds(std::int64_t count) { return Duration(count * 1000); }

// Settings with one request class, and servers that check positions.
inline Settings SettingsFor(AccessKind kind, Idempotency idempotency = Idempotency::kIdempotent) {
  Settings settings;
  settings.classes = {{.kind = kind,
                       .idempotency = idempotency,
                       .latency_objective = Milliseconds(400),
                       .deadline = Milliseconds(1000),
                       .staleness_bound = Milliseconds(100),
                       .idempotency_window = Milliseconds(500)}};
  settings.position_check = PositionCheck::kWait;
  settings.load_reporting = LoadReporting::kOnHealthCheck;
  settings.may_health_check = true;
  settings.max_attempts = 4;
  settings.health_check_price = 0.01;
  settings.initial_capacity = 0.2;
  settings.slow_start_duration = Milliseconds(10000);
  settings.overload_factor = 2;
  settings.overload_duration = Milliseconds(2000);
  return settings;
}

struct DecisionParts {
  explicit DecisionParts(Settings settings) : context(std::move(settings), 7) {
    BeginEvent(TimePoint{Milliseconds(1'000'000)});
    for (ServerId id : {kPrimary, kReplica, kOtherReplica}) servers.FindOrAdd(id, kGroup, 0);
  }

  // Begins an event at the given time.
  void BeginEvent(TimePoint now) { context.BeginEvent(now, actions); }
  void Advance(Duration time) { BeginEvent(context.now() + time); }

  // A request that arrives now and has 1 s left.
  Request MakeRequest() {
    Request request;
    request.event.id = RequestId(++last_request_id);
    request.event.group = kGroup;
    request.arrived = request.first_client_attempt = context.now();
    request.deadline = context.now() + Milliseconds(1000);
    return request;
  }

  template <typename Kind>
  int Count() const {
    return static_cast<int>(std::ranges::count_if(
        actions, [](const Action& action) { return std::holds_alternative<Kind>(action); }));
  }

  Actions actions;
  DecisionContext context;
  ServerTable servers;
  ReplicationState replication{context, servers};
  LatencyModel latencies{context, servers};
  SlowStartAdmission slow_start{context, servers, latencies};
  RetryPolicy retry_policy{context};
  HealthChecks health_checks{context, servers, replication};
  OutlierEjection outlier_ejection{context, servers, health_checks, slow_start};
  LoadShedding load_shedding{context, servers, latencies};
  EndpointListUpdater endpoint_list{context, servers, replication, slow_start};
  Eligibility eligibility{context, servers, replication, retry_policy, slow_start};
  CandidateSelection candidate_selection{context, servers, replication, latencies, slow_start};
  PrimarySelection primary_selection{context, servers, replication, eligibility};
  PrimaryOverflow primary_overflow{context, replication, latencies, eligibility};
  std::uint32_t last_request_id = 0;
};

}  // namespace lynxgrade
