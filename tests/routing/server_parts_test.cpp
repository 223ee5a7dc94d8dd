// Tests of the parts that keep the state of servers: endpoint list, roles and positions, slow start, ejection
// and health checks.
#include <doctest/doctest.h>

#include "routing/decision_parts.h"

namespace lynxgrade {
namespace {

TEST_CASE("a server that is no longer listed drains at once and expires after the retention time") {
  DecisionParts parts(SettingsFor(AccessKind::kEventualRead));
  parts.endpoint_list.Apply(
      EndpointListEvent{EndpointListKind::kComplete, {{.server = kPrimary, .group = kGroup}}});
  const Server& replica = parts.servers.At(kReplica);
  CHECK(replica.draining);
  CHECK_FALSE(parts.servers.At(kPrimary).draining);
  CHECK_FALSE(parts.endpoint_list.IsExpired(replica));
  parts.Advance(Milliseconds(31'000));
  CHECK(parts.endpoint_list.IsExpired(replica));
  parts.servers.EraseIf([&](const Server& server) { return parts.endpoint_list.IsExpired(server); });
  CHECK(parts.servers.Find(kReplica) == nullptr);
  CHECK(parts.servers.GroupOf(kGroup).servers == std::vector<ServerId>{kPrimary});
}

TEST_CASE("the newest evidence of a role wins, and a role change is counted once") {
  DecisionParts parts(SettingsFor(AccessKind::kWrite));
  Server& first = parts.servers.At(kPrimary);
  Server& second = parts.servers.At(kReplica);
  CHECK(parts.replication.PrimaryOf(kGroup) == nullptr);
  parts.replication.RecordRole(first, ServerRole::kPrimary, parts.context.now());
  parts.replication.RecordRole(first, ServerRole::kPrimary, parts.context.now());
  CHECK(parts.servers.GroupOf(kGroup).role_changes == 1);
  parts.replication.RecordRole(second, ServerRole::kPrimary, parts.context.now() - Milliseconds(10));
  CHECK(parts.replication.PrimaryOf(kGroup) == &first);
  parts.replication.RecordRole(first, ServerRole::kReplica, parts.context.now() - Milliseconds(1));
  CHECK(parts.replication.PrimaryOf(kGroup) == &first);
  parts.Advance(Milliseconds(5));
  parts.replication.RecordRole(first, ServerRole::kReplica, parts.context.now());
  CHECK(parts.replication.PrimaryOf(kGroup) == &second);
}

TEST_CASE("a restarted server is sent less than a warm one until its slow start ends") {
  DecisionParts parts(SettingsFor(AccessKind::kEventualRead));
  Server& server = parts.servers.At(kReplica);
  CHECK(parts.slow_start.CapacityShare(server) == 1);
  parts.slow_start.BeginSlowStart(server, parts.context.now());
  CHECK(parts.slow_start.CapacityShare(server) == doctest::Approx(0.2));
  int admitted = 0;
  for (; admitted < 1000 && parts.slow_start.HasCapacity(parts.MakeRequest(), server); ++admitted) {
    parts.slow_start.Consume(parts.MakeRequest(), server);
  }
  CHECK(admitted >= 1);
  CHECK(admitted < 20);
  parts.Advance(Milliseconds(10'000));
  CHECK(parts.slow_start.CapacityShare(server) == 1);
  CHECK(parts.slow_start.HasCapacity(parts.MakeRequest(), server));
}

TEST_CASE("repeated failures eject a replica but not a primary") {
  DecisionParts parts(SettingsFor(AccessKind::kEventualRead));
  Server& replica = parts.servers.At(kReplica);
  Server& primary = parts.servers.At(kPrimary);
  parts.replication.RecordRole(primary, ServerRole::kPrimary, parts.context.now());
  for (int i = 0; i < 10; ++i) {
    parts.outlier_ejection.RecordOutcome(replica, Outcome::kError, Milliseconds(1));
    parts.outlier_ejection.RecordOutcome(primary, Outcome::kError, Milliseconds(1));
  }
  CHECK_FALSE(replica.IsUsable(parts.context.now()));
  CHECK(primary.IsUsable(parts.context.now()));
}

TEST_CASE("cancelled, misrouted and unsent attempts do not count as failures") {
  DecisionParts parts(SettingsFor(AccessKind::kEventualRead));
  Server& server = parts.servers.At(kReplica);
  for (Outcome outcome : {Outcome::kCancelled, Outcome::kMisrouted, Outcome::kNotRun}) {
    for (int i = 0; i < 10; ++i) parts.outlier_ejection.RecordOutcome(server, outcome, Milliseconds(1));
    CHECK(server.ejection.consecutive_failures == 0);
    CHECK(server.IsUsable(parts.context.now()));
  }
}

TEST_CASE("health checks use a budget, and a server is not checked twice at the same time") {
  DecisionParts parts(SettingsFor(AccessKind::kEventualRead));
  Server& server = parts.servers.At(kReplica);
  parts.health_checks.StartFromBudget(server);
  parts.health_checks.StartFromBudget(server);
  CHECK(parts.Count<StartHealthCheck>() == 1);
  for (int i = 0; i < 100; ++i) {
    parts.Advance(Milliseconds(100));
    parts.health_checks.HandleResult(server, HealthCheckEvent{.server = kReplica, .outcome = Outcome::kOk});
    parts.health_checks.StartFromBudget(server);
  }
  CHECK(parts.Count<StartHealthCheck>() == 19);  // of a budget of 20, one call started no check
}

}  // namespace
}  // namespace lynxgrade
