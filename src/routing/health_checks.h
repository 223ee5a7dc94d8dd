// Decides when which servers are health-checked, within a budget.
//
// A health check has a price. The routine checks of hundreds of instances that search for the same primary,
// or refresh the same stale replicas, must not add up to a noticeable load. They are therefore paid from a
// budget that grows with each request.
#pragma once

#include <set>

#include "routing/replication_state.h"

namespace lynxgrade {

class HealthChecks {
 public:
  HealthChecks(DecisionContext& context, ServerTable& servers, ReplicationState& replication)
      : context_(context), servers_(servers), replication_(replication) {}

  // Adds a fraction of a check to the budget for an arriving request.
  void RecordRequest();
  // Starts a check unless checks are not allowed, the server is draining, a check is in flight, or the last
  // one started less than a tick interval ago.
  void Start(Server& server);
  // The same, if the budget has a check left. Takes it from the budget even if no check is started.
  void StartFromBudget(Server& server);
  // Checks the replicas that may have reached the read's required position. Not limited by the budget.
  void CheckReplicasFor(const Request& request);
  // Checks one random server of each group, to find its primary.
  void SearchPrimaries(const std::set<GroupId>& groups);
  // Checks some of the servers with stale positions, the stalest first.
  void CheckStaleServers();

  void HandleResult(Server& server, const HealthCheckEvent& event);

 private:
  DecisionContext& context_;
  ServerTable& servers_;
  ReplicationState& replication_;
  double budget_ = kMaxBudget;

  static constexpr double kMaxBudget = 20;  // checks
};

}  // namespace lynxgrade
