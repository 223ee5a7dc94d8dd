#include "capacity/scenario.h"

#include <algorithm>
#include <cmath>

namespace lynxgrade::capacity {

double ReachableMachines(const Target& target, Scenario scenario) {
  if (scenario == Scenario::kZoneLost) return std::max(1.0, target.control_machines - 1);
  if (scenario == Scenario::kRegionsPartitioned)
    return std::max(1.0, std::floor(target.control_machines / 2));
  return target.control_machines;
}

double ListChangesPerS(const Target& target) {
  return (target.machine_failures_per_day + target.restarts_per_day + target.primary_changes_per_day) /
         kSecondsPerDay;
}

FleetSize SizeAt(const Target& target, Scenario scenario) {
  FleetSize size;
  size.poolers = target.poolers;
  size.databases = target.databases;
  size.groups = target.databases / target.members_of_a_group.assumed;
  size.clients = target.clients;
  size.statements_per_s = target.statements_per_s;
  size.writes_share = target.writes_percent.assumed / 100;
  size.own_reads_share = target.own_reads_percent.assumed / 100;
  size.session_statements = target.session_statements.assumed;
  size.roaming_share = target.roaming_percent.assumed / 100;
  size.changes_per_s = ListChangesPerS(target);
  size.lease_managers = ReachableMachines(target, scenario);
  switch (scenario) {
    case Scenario::kOrdinary:
      break;
    case Scenario::kWorstOrdinary:
      size.statements_per_s *= target.busiest_second_ratio.assumed;
      // Each replacement removes and adds an endpoint, one machine fails, and a primary change alters two.
      size.changes_per_s = 2 * target.restarts_at_once.assumed + 1 + 2;
      break;
    case Scenario::kZoneLost: {
      const double remaining = 1 - 1 / target.zones;
      size.changes_per_s = size.databases / target.zones;
      size.poolers *= remaining;
      size.databases *= remaining;
      size.groups *= remaining;
      break;
    }
    case Scenario::kRegionsPartitioned: {
      const double reachable = 1 / target.regions;
      size.poolers *= reachable;
      size.databases *= reachable;
      size.groups *= reachable;
      size.clients *= reachable;
      size.statements_per_s *= reachable;
      break;
    }
  }
  return size;
}

Target ScaledTo(const Target& target, double poolers) {
  const double factor = poolers / target.poolers;
  Target grown = target;
  grown.poolers = poolers;
  grown.databases *= factor;
  grown.clients *= factor;
  grown.statements_per_s *= factor;
  grown.machine_failures_per_day *= factor;
  grown.restarts_per_day *= factor;
  grown.primary_changes_per_day *= factor;
  return grown;
}

}  // namespace lynxgrade::capacity
