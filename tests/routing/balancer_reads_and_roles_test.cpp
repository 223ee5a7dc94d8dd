// Tests of routing by role and log position, and of reads that overflow to the primary.
#include <gtest/gtest.h>

#include <set>

#include "routing/simulated_instance.h"

namespace lynxgrade {
namespace {

TEST(Routing, WritesAndStrongReadsGoToThePrimary) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  EXPECT_EQ(instance.LastServerOf(instance.SendRequest(kNotIdempotentWrite)), kPrimary);
  EXPECT_EQ(instance.LastServerOf(instance.SendRequest(kStrongRead)), kPrimary);
}

TEST(Routing, OtherReadsGoToReplicas) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  std::set<ServerId> used;
  for (int i = 0; i < 40; ++i) {
    for (ClassIndex request_class : {kEventualRead, kBoundedRead, kSessionRead})
      used.insert(instance.LastServerOf(instance.SendRequest(request_class)));
  }
  EXPECT_EQ(used, (std::set<ServerId>{kReplicaA, kReplicaB}));
}

TEST(Routing, ReadsGoToAReplicaThatHasReachedTheRequiredPosition) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  instance.ReportReplicaAt(kReplicaA, instance.now() - 50_ms);
  instance.ReportReplicaAt(kReplicaB, instance.now() - 5000_ms);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(instance.LastServerOf(instance.SendRequest(kBoundedRead)), kReplicaA);
    EXPECT_EQ(instance.LastServerOf(instance.SendRequest(kSessionRead, 200_ms)), kReplicaA);
  }
}

TEST(Routing, AReadWaitsForItsPositionIfServersDoNotCheckPositions) {
  Settings settings = DefaultSettings();
  settings.position_check = PositionCheck::kNone;
  SimulatedInstance instance(settings);
  instance.UpdateList(ThreeServers());
  instance.ReportReplicaAt(kReplicaA, instance.now() - 5000_ms);
  instance.ReportReplicaAt(kReplicaB, instance.now() - 5000_ms);
  const RequestId id = instance.SendRequest(kSessionRead, 1000_ms);
  EXPECT_EQ(instance.AttemptsOf(id), 0u);
  instance.Advance(100_ms);
  EXPECT_FALSE(instance.health_checks.empty());
  instance.ReportReplicaAt(kReplicaB, instance.now() - 500_ms);
  ASSERT_EQ(instance.AttemptsOf(id), 1u);
  EXPECT_EQ(instance.LastServerOf(id), kReplicaB);
}

TEST(Routing, AMisroutedWriteTriesEachServerOnceAndThenWaitsForARoleChange) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  const RequestId id = instance.SendRequest(kNotIdempotentWrite);
  std::set<ServerId> tried;
  for (int i = 0; i < 3; ++i) {
    ASSERT_EQ(instance.AttemptsOf(id), i + 1u);
    tried.insert(instance.LastServerOf(id));
    instance.EndAttempt(id, Outcome::kMisrouted, {std::nullopt, false});
  }
  EXPECT_EQ(tried.size(), 3u);
  const std::size_t before = instance.health_checks.size();
  instance.Advance(100_ms);
  EXPECT_EQ(instance.AttemptsOf(id), 3u);
  EXPECT_GT(instance.health_checks.size(), before);
  instance.ReportPrimaryAt(kReplicaB, instance.now());
  ASSERT_EQ(instance.AttemptsOf(id), 4u);
  EXPECT_EQ(instance.LastServerOf(id), kReplicaB);
}

TEST(Roles, AWriteFindsAnUnknownPrimary) {
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
  EXPECT_EQ(first.size(), 3u) << "instances that start together try different servers";
}

TEST(Roles, ASearchForThePrimaryLeavesAttemptsForIt) {
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

TEST(Roles, TheNewestEvidenceWinsWhateverItsSource) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  instance.ReportPrimaryAt(kReplicaA, instance.now());
  EXPECT_EQ(instance.LastServerOf(instance.SendRequest(kNotIdempotentWrite)), kReplicaA);
  instance.ReportPrimaryAt(kReplicaB, instance.now() - 3000_ms);  // older evidence that arrives later
  EXPECT_EQ(instance.LastServerOf(instance.SendRequest(kNotIdempotentWrite)), kReplicaA);
}

TEST(Overflow, AMisroutedReadUsesThePrimaryOnlyIfNoReplicaWillReachItsPosition) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  instance.ReportReplicaAt(kReplicaA, instance.now() - 5000_ms);
  instance.ReportReplicaAt(kReplicaB, instance.now() - 5000_ms);
  const RequestId id = instance.SendRequest(kBoundedRead);
  ASSERT_NE(instance.LastServerOf(id), kPrimary);  // the first attempt never goes to the primary
  instance.EndAttempt(id, Outcome::kMisrouted, {instance.now() - 5000_ms, false});
  ASSERT_EQ(instance.AttemptsOf(id), 2u);
  EXPECT_EQ(instance.LastServerOf(id), kPrimary);

  const RequestId other = instance.SendRequest(kBoundedRead);  // the overflow window starts at one
  instance.EndAttempt(other, Outcome::kMisrouted, {instance.now() - 5000_ms, false});
  EXPECT_EQ(instance.AttemptsOf(other), 1u);

  instance.ReportReplicaAt(kReplicaB, instance.now());
  ASSERT_EQ(instance.AttemptsOf(other), 2u);
  EXPECT_EQ(instance.LastServerOf(other), kReplicaB);
}

TEST(Overflow, WithoutKnownPositionsAReadIsNotSentAgainToAReplicaThatRejectedIt) {
  Settings settings = DefaultSettings();
  settings.responses_report_position = false;
  SimulatedInstance instance(settings);
  instance.UpdateList(ThreeServers());  // no position is ever reported
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
