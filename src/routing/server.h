// What one instance knows of one data server, and of one group of them.
//
// Each part of the decision module has a struct of its own here and is the only one that changes it.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "estimation/replica_position.h"
#include "fleet/demand.h"
#include "fleet/latency.h"
#include "fleet/slow_start.h"
#include "limits/aimd_window.h"
#include "routing/types.h"

namespace lynxgrade {

// The newest evidence for either role (kept by ReplicationState).
struct RoleEvidence {
  std::optional<TimePoint> as_primary;
  std::optional<TimePoint> as_replica;

  bool IsPrimary() const { return as_primary && (!as_replica || *as_primary > *as_replica); }
};

// An attempt that has not ended yet.
struct InFlightAttempt {
  TimePoint sent{};
  ClassIndex request_class = 0;
  bool overflow = false;  // a read sent to the primary, counted by its overflow window
  std::optional<LogPosition> required_position;
  bool position_unknown = false;       // sent without knowing how far the server has come
  std::size_t in_flight_at_start = 0;  // attempts of this instance at the server, itself included
};

// What is in flight to the server, and how long that takes (kept by LatencyModel and RequestRouter).
struct ServerLoad {
  std::map<std::pair<RequestId, AttemptNumber>, InFlightAttempt> in_flight;
  fleet::ServerLatencyEstimator latency;
  TimePoint newest_answered{};  // when the newest attempt that it answered was sent
  double queued = 0;            // as the server reported it
};

// Failures of the server (kept by OutlierEjection).
struct EjectionState {
  double failure_rate = 0;       // exponentially weighted
  int consecutive_failures = 0;  // all kinds
  int consecutive_losses = 0;    // the newest of them that brought no answer at all
  bool down = false;             // one was lost in flight, or a health check found no process
  int ejections = 0;             // in a row; each doubles the next
  TimePoint ejected_until{};
  TimePoint connections_scarce_until{};

  // Whether its process seems to have ended: a single refused connection may be a shortage of connections.
  bool SeemsLost() const { return down || consecutive_losses > 1; }
};

// Kept by HealthChecks.
struct HealthCheckState {
  TimePoint started{};
  bool in_flight = false;
};

struct Server {
  ServerId id{};
  GroupId group{};
  ZoneIndex zone = 0;
  double weight = 1;

  bool draining = false;  // listed as draining or deleted: gets no new attempts
  std::optional<TimePoint> deleted_since;
  std::optional<TimePoint> started;  // when its process started, where that is known

  RoleEvidence role;
  estimation::ReplicaPosition position;
  ServerLoad load;
  EjectionState ejection;
  HealthCheckState health_check;
  fleet::WarmingTokenBucket warm_up_bucket;
  limits::AimdWindow overflow_window;  // for reads that a primary serves beside its own work

  bool IsPrimary() const { return role.IsPrimary(); }
  bool IsUsable(TimePoint now) const { return !draining && now >= ejection.ejected_until; }
};

// One value for a group's replicas and one for its primary.
template <typename Value>
struct PerRole {
  Value replica;
  Value primary;

  Value& For(bool is_primary) { return is_primary ? primary : replica; }
  const Value& For(bool is_primary) const { return is_primary ? primary : replica; }
};

struct Group {
  std::vector<ServerId> servers;
  std::uint64_t role_changes = 0;  // how often a server became the primary
  bool searching_primary = false;  // nobody is known to be the primary, or it seems to be lost
  PerRole<fleet::DemandEstimator> demand;
  PerRole<fleet::GroupLatencyEstimator> latency;
};

}  // namespace lynxgrade
