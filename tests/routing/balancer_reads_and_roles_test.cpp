// Where reads and writes go: positions, roles, and the overflow to the primary.
#include <gtest/gtest.h>

#include <set>

#include "routing/simulated_instance.h"

namespace lynxgrade {
namespace {

TEST(OrdinaryPath, WritesAndStrongReadsGoToThePrimary) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  EXPECT_EQ(instance.LastServerOf(instance.SendRequest(kNotIdempotentWrite)), kPrimary);
  EXPECT_EQ(instance.LastServerOf(instance.SendRequest(kStrongRead)), kPrimary);
}

TEST(OrdinaryPath, OtherReadsGoToReplicas) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  std::set<ServerId> used;
  for (int i = 0; i < 40; ++i) {
    for (ClassIndex request_class : {kEventualRead, kBoundedRead, kSessionRead})
      used.insert(instance.LastServerOf(instance.SendRequest(request_class)));
  }
  EXPECT_EQ(used, (std::set<ServerId>{kA, kB}));
}

TEST(OrdinaryPath, ReadsGoToAReplicaThatHoldsTheirRequiredPosition) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  instance.ReportReplicaAt(kA, instance.now() - 50_ms);
  instance.ReportReplicaAt(kB, instance.now() - 5000_ms);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(instance.LastServerOf(instance.SendRequest(kBoundedRead)), kA);
    EXPECT_EQ(instance.LastServerOf(instance.SendRequest(kSessionRead, 200_ms)), kA);
  }
}

TEST(OrdinaryPath, WhereServersDoNotCheckAReadWaitsForItsPosition) {
  Settings settings = DefaultSettings();
  settings.position_check = PositionCheck::kNone;
  SimulatedInstance instance(settings);
  instance.UpdateList(ThreeServers());
  instance.ReportReplicaAt(kA, instance.now() - 5000_ms);
  instance.ReportReplicaAt(kB, instance.now() - 5000_ms);
  const RequestId id = instance.SendRequest(kSessionRead, 1000_ms);
  EXPECT_EQ(instance.AttemptsOf(id), 0u);
  instance.Advance(100_ms);
  EXPECT_FALSE(instance.health_checks.empty());
  instance.ReportReplicaAt(kB, instance.now() - 500_ms);
  ASSERT_EQ(instance.AttemptsOf(id), 1u);
  EXPECT_EQ(instance.LastServerOf(id), kB);
}

TEST(OrdinaryPath, AMisroutedWriteAsksEachOtherServerOnceAndThenWaitsForARoleChange) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  const RequestId id = instance.SendRequest(kNotIdempotentWrite);
  std::set<ServerId> asked;
  for (int i = 0; i < 3; ++i) {
    ASSERT_EQ(instance.AttemptsOf(id), i + 1u);
    asked.insert(instance.LastServerOf(id));
    instance.EndAttempt(id, Outcome::kMisrouted, {std::nullopt, false});
  }
  EXPECT_EQ(asked.size(), 3u);
  const std::size_t before = instance.health_checks.size();
  instance.Advance(100_ms);
  EXPECT_EQ(instance.AttemptsOf(id), 3u);
  EXPECT_GT(instance.health_checks.size(), before);
  instance.ReportPrimaryAt(kB, instance.now());
  ASSERT_EQ(instance.AttemptsOf(id), 4u);
  EXPECT_EQ(instance.LastServerOf(id), kB);
}

TEST(Roles, AWriteFindsAPrimaryThatIsUnknown) {
  Settings settings = DefaultSettings();
  settings.may_health_check = false;
  settings.listed_role = ListedRole::kNone;
  std::set<ServerId> first;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    SimulatedInstance instance(settings, seed);
    instance.UpdateList(ThreeServers());
    const RequestId id = instance.SendRequest(kWriteWithKey);
    first.insert(instance.LastServerOf(id));
    while (instance.LastServerOf(id) != kPrimary && instance.AttemptsOf(id) < 4)
      instance.EndAttempt(id, Outcome::kMisrouted, {std::nullopt, false});
    EXPECT_EQ(instance.LastServerOf(id), kPrimary);
    instance.EndAttempt(id, Outcome::kOk, {std::nullopt, true});
    EXPECT_EQ(instance.LastServerOf(instance.SendRequest(kWriteWithKey)), kPrimary);
  }
  EXPECT_EQ(first.size(), 3u) << "instances that start together do not all ask the same server";
}

TEST(Roles, AWriteKeepsAttemptsForThePrimaryThatIsFound) {
  Settings settings = DefaultSettings();
  settings.max_attempts = 4;
  settings.listed_role = ListedRole::kNone;
  SimulatedInstance instance(settings);
  instance.UpdateList(ThreeServers());
  const RequestId id = instance.SendRequest(kWriteWithKey);
  for (int i = 0; i < 3; ++i) instance.EndAttempt(id, Outcome::kMisrouted, {std::nullopt, false});
  EXPECT_EQ(instance.AttemptsOf(id), 2u);
  instance.Advance(10_ms);
  instance.ReportPrimaryAt(kPrimary, instance.now());
  EXPECT_EQ(instance.AttemptsOf(id), 3u);
}

TEST(Roles, NewestEvidenceWinsWhateverItsSource) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  instance.ReportPrimaryAt(kA, instance.now());
  EXPECT_EQ(instance.LastServerOf(instance.SendRequest(kNotIdempotentWrite)), kA);
  instance.ReportPrimaryAt(kB, instance.now() - 3000_ms);  // older evidence arrives later
  EXPECT_EQ(instance.LastServerOf(instance.SendRequest(kNotIdempotentWrite)), kA);
}

TEST(Overflow, AMisroutedReadUsesThePrimaryOnlyWhenNoReplicaWillReachItsPosition) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  instance.ReportReplicaAt(kA, instance.now() - 5000_ms);
  instance.ReportReplicaAt(kB, instance.now() - 5000_ms);
  const RequestId id = instance.SendRequest(kBoundedRead);
  ASSERT_NE(instance.LastServerOf(id), kPrimary);  // the first attempt never goes to the primary
  instance.EndAttempt(id, Outcome::kMisrouted, {instance.now() - 5000_ms, false});
  ASSERT_EQ(instance.AttemptsOf(id), 2u);
  EXPECT_EQ(instance.LastServerOf(id), kPrimary);

  const RequestId other = instance.SendRequest(kBoundedRead);  // the window is one to begin with
  instance.EndAttempt(other, Outcome::kMisrouted, {instance.now() - 5000_ms, false});
  EXPECT_EQ(instance.AttemptsOf(other), 1u);

  instance.ReportReplicaAt(kB, instance.now());
  ASSERT_EQ(instance.AttemptsOf(other), 2u);
  EXPECT_EQ(instance.LastServerOf(other), kB);
}

TEST(Overflow, WhereNoPositionIsKnownTheRequestsOwnMisroutingsCount) {
  Settings settings = DefaultSettings();
  settings.responses_report_position = false;
  SimulatedInstance instance(settings);
  instance.UpdateList(ThreeServers());  // no position is ever heard
  const RequestId id = instance.SendRequest(kBoundedRead);
  const ServerId first = instance.LastServerOf(id);
  instance.EndAttempt(id, Outcome::kMisrouted, {std::nullopt, false});
  ASSERT_EQ(instance.AttemptsOf(id), 2u);
  EXPECT_NE(instance.LastServerOf(id), first);
  if (instance.LastServerOf(id) != kPrimary)
    instance.EndAttempt(id, Outcome::kMisrouted, {std::nullopt, false});
  EXPECT_EQ(instance.LastServerOf(id), kPrimary);
}

}  // namespace
}  // namespace lynxgrade
