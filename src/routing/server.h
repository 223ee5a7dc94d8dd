// The state that one instance keeps for a data server and for a group of them.
//
// Each struct is kept by the part of the decision module that its comment names.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "estimation/clock_lead.h"
#include "estimation/replica_position.h"
#include "fleet/demand.h"
#include "fleet/latency.h"
#include "fleet/slow_start.h"
#include "limits/aimd_window.h"
#include "routing/types.h"

namespace lynxgrade {

// When the server was last seen in each role. Kept by ReplicationState.
struct RoleEvidence {
  std::optional<TimePoint> as_primary;
  std::optional<TimePoint> as_replica;

  bool IsPrimary() const { return as_primary && (!as_replica || *as_primary > *as_replica); }
};

// An attempt that has not ended yet.
struct InFlightAttempt {
  TimePoint sent{};
  ClassIndex request_class = 0;
  bool overflow = false;  // a read sent to the primary, counted in its overflow window
  std::optional<LogPosition> required_position;
  bool position_unknown = false;        // sent while the server's position was unknown
  bool relies_on_primary_role = false;  // a read that this server may answer only as the primary
  std::size_t in_flight_at_start = 0;   // this instance's attempts at the server, this one included
};

// Attempts in flight to the server and their latency. Kept by LatencyModel and RequestRouter.
struct ServerLoad {
  std::map<std::pair<RequestId, AttemptNumber>, InFlightAttempt> in_flight;
  fleet::ServerLatencyEstimator latency;
  TimePoint newest_answered_sent{};  // when the newest attempt that it answered was sent
  double queued = 0;                 // requests, as reported by the server
};

// Failures of the server. Kept by OutlierEjection; health checks and slow starts reset parts of it.
struct EjectionState {
  double failure_rate = 0;       // exponentially weighted moving average
  int consecutive_failures = 0;  // of any kind
  int consecutive_losses = 0;    // the latest consecutive failures without a response
  bool down = false;             // a connection broke in flight, or a health check reached no process
  int ejections = 0;             // consecutive; each doubles the duration of the next
  TimePoint ejected_until{};
  TimePoint connections_scarce_until{};

  // Whether its process has probably ended. A single refused connection may only mean that the server has no
  // connection slots left.
  bool IsPresumedDown() const { return down || consecutive_losses > 1; }
};

// The latest health check of the server. Kept by HealthChecks.
struct HealthCheckState {
  TimePoint started{};
  bool in_flight = false;
};

struct Server {
  ServerId id{};
  GroupId group{};
  ZoneIndex zone = 0;
  double weight = 1;

  bool draining = false;  // listed as draining or deleted; gets no new attempts
  std::optional<TimePoint> deleted_since;
  std::optional<TimePoint> started;  // start of its process, if known

  RoleEvidence role;
  estimation::ReplicaPosition position;
  ServerLoad load;
  EjectionState ejection;
  HealthCheckState health_check;
  fleet::WarmingTokenBucket warm_up_bucket;
  limits::AimdWindow overflow_window;  // reads that the server handles as primary besides its own requests

  bool IsPrimary() const { return role.IsPrimary(); }
  bool IsUsable(TimePoint now) const { return !draining && now >= ejection.ejected_until; }
};

// One value for replicas and one for the primary.
template <typename Value>
struct PerRole {
  Value replica;
  Value primary;

  Value& For(bool is_primary) { return is_primary ? primary : replica; }
  const Value& For(bool is_primary) const { return is_primary ? primary : replica; }
};

struct Group {
  std::vector<ServerId> servers;
  std::uint64_t role_changes = 0;    // how often a server became the primary
  bool searching_primary = false;    // the primary is unknown, or is presumed to be down
  estimation::ClockLead clock_lead;  // of its servers' positions
  PerRole<fleet::DemandEstimator> demand;
  PerRole<fleet::GroupLatencyEstimator> latency;
};

}  // namespace lynxgrade
