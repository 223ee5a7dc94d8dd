// Health checks: which servers are checked, and when, within a budget.
//
// A health check has a price. Hundreds of instances that search for the same primary, or check the same stale
// replicas, must not add up to a load, so that routine checks are paid from a budget that requests earn.
#pragma once

#include <set>

#include "routing/replication_state.h"

namespace lynxgrade {

class HealthChecks {
 public:
  HealthChecks(DecisionContext& context, ServerTable& servers, ReplicationState& replication)
      : context_(context), servers_(servers), replication_(replication) {}

  // A request arrived: it earns the budget a fraction of a check.
  void RecordRequest();
  // Starts a check, unless checks are forbidden or the server was checked just now.
  void Start(Server& server);
  // The same, if the budget allows it.
  void StartFromBudget(Server& server);
  // Checks the replicas that may hold the position that the read requires, while none is known to.
  void CheckReplicasFor(const Request& request);
  // Checks one random server of each group.
  void SearchPrimaries(const std::set<GroupId>& groups);
  // Checks a few of the servers whose positions are stale, the stalest first.
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
