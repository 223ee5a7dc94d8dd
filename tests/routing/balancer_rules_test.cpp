// Tests of the rules that every decision must satisfy: final answers, retries, draining, slow start and
// attempt limits.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "routing/simulated_instance.h"

namespace lynxgrade {
namespace {

TEST(Rules, EachRequestGetsOneFinalAnswerWithinItsDeadline) {
  for (ClassIndex request_class :
       {kEventualRead, kBoundedRead, kSessionRead, kNotIdempotentWrite, kWriteWithKey, kStrongRead}) {
    SimulatedInstance instance;
    instance.UpdateList(ThreeServers());
    const RequestId id = instance.SendRequest(request_class);  // its attempt never ends
    instance.Advance(2000_ms);
    EXPECT_EQ(instance.FinalAnswersTo(id), 1u) << request_class;
    instance.EndAttempt(id, Outcome::kTimeout);
    instance.Advance(3000_ms);
    EXPECT_EQ(instance.FinalAnswersTo(id), 1u) << request_class;
    EXPECT_EQ(instance.AttemptsOf(id), 1u) << request_class;
  }
}

TEST(Rules, ANonIdempotentWriteThatMayHaveRunIsNeitherRetriedNorRejected) {
  for (Outcome outcome :
       {Outcome::kError, Outcome::kTimeout, Outcome::kConnectionLost, Outcome::kCancelled}) {
    SimulatedInstance instance;
    instance.UpdateList(ThreeServers());
    const RequestId id = instance.SendRequest(kNotIdempotentWrite);
    instance.EndAttempt(id, outcome);
    instance.Advance(2000_ms);
    EXPECT_EQ(instance.AttemptsOf(id), 1u);
    EXPECT_TRUE(instance.rejected.empty());
    EXPECT_EQ(instance.failed.size(), 1u);
  }
}

TEST(Rules, ANonIdempotentWriteThatNeverRanIsRetriedAndMayBeRejected) {
  for (Outcome outcome : {Outcome::kOverloaded, Outcome::kUnreachable}) {
    SimulatedInstance instance;
    instance.UpdateList(ThreeServers());
    const RequestId id = instance.SendRequest(kNotIdempotentWrite);
    instance.EndAttempt(id, outcome);
    instance.Advance(500_ms);
    EXPECT_GE(instance.AttemptsOf(id), 2u);
    instance.EndAttempt(id, outcome);
    instance.Advance(1500_ms);
    EXPECT_EQ(instance.FinalAnswersTo(id), 1u);
  }
}

TEST(Rules, AWriteWithAnIdempotencyKeyIsRetriedOnlyWithinItsWindow) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  const RequestId id = instance.SendRequest(kWriteWithKey);
  instance.EndAttempt(id, Outcome::kError);
  instance.Advance(200_ms);
  ASSERT_EQ(instance.AttemptsOf(id), 2u);
  instance.Advance(850_ms);
  instance.EndAttempt(id, Outcome::kOverloaded);
  instance.Advance(1000_ms);
  EXPECT_EQ(instance.AttemptsOf(id), 2u);
  EXPECT_TRUE(
      instance.rejected.empty());  // an earlier attempt may have run, and only its group discards duplicates
  EXPECT_EQ(instance.failed.size(), 1u);
}

TEST(Rules, NothingIsSentToADrainingOrUnlistedServer) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  instance.UpdateList({Entry(kReplicaA, Lifecycle::kDraining)}, EndpointListKind::kPartial);
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(instance.LastServerOf(instance.SendRequest(kEventualRead)), kReplicaB);
  instance.UpdateList({Entry(kPrimary, Lifecycle::kServing), Entry(kReplicaA, Lifecycle::kServing)},
                      EndpointListKind::kComplete);
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(instance.LastServerOf(instance.SendRequest(kEventualRead)), kReplicaA);
}

TEST(Rules, ADrainingServerThatIsDeletedIsNotUsedEvenIfUnlistedServersStayUsable) {
  Settings settings = DefaultSettings();
  settings.unlisted_stay_usable = true;
  SimulatedInstance instance(settings);
  instance.UpdateList(ThreeServers());
  instance.UpdateList({Entry(kReplicaA, Lifecycle::kDraining)}, EndpointListKind::kPartial);
  instance.UpdateList({Entry(kReplicaA, Lifecycle::kDeleted), Entry(kReplicaB, Lifecycle::kDeleted)},
                      EndpointListKind::kPartial);
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(instance.LastServerOf(instance.SendRequest(kEventualRead)), kReplicaB);
  instance.UpdateList({Entry(kReplicaA, Lifecycle::kServing)}, EndpointListKind::kPartial);
  std::set<ServerId> used;
  for (int i = 0; i < 20; ++i) used.insert(instance.LastServerOf(instance.SendRequest(kEventualRead)));
  EXPECT_TRUE(used.contains(kReplicaA));
}

TEST(Rules, AWarmingPrimaryIsLimitedToItsSlowStartRate) {
  SimulatedInstance instance;
  auto entries = ThreeServers();
  entries[0].started = instance.now();
  instance.UpdateList(entries);
  for (int i = 0; i < 200; ++i) instance.SendRequest(kNotIdempotentWrite);
  EXPECT_LT(instance.sends.size(), 20u);
  instance.Advance(1000_ms);
  EXPECT_GE(instance.sends.size(), 1u);
  EXPECT_LT(instance.sends.size(), 40u);
}

TEST(Rules, IfServersDoNotCheckPositionsNoReadIsSentBelowItsRequiredPosition) {
  Settings settings = DefaultSettings();
  settings.position_check = PositionCheck::kNone;
  SimulatedInstance instance(settings);
  instance.UpdateList(ThreeServers());
  instance.ReportReplicaAt(kReplicaA, instance.now() - 5000_ms);
  const RequestId id = instance.SendRequest(kBoundedRead);
  instance.Advance(2000_ms);
  EXPECT_EQ(instance.AttemptsOf(id), 0u);
  EXPECT_EQ(instance.FinalAnswersTo(id), 1u);
}

TEST(Rules, NoHedgedRequestsIfHedgingIsNotAllowed) {
  Settings settings = DefaultSettings();
  settings.may_hedge = false;
  SimulatedInstance instance(settings);
  instance.UpdateList(ThreeServers());
  const RequestId id = instance.SendRequest(kEventualRead);
  instance.Advance(1000_ms);
  EXPECT_EQ(instance.AttemptsOf(id), 1u);
}

TEST(Rules, AttemptsAreLimited) {
  Settings settings = DefaultSettings();
  settings.max_attempts = 2;
  SimulatedInstance instance(settings);
  instance.UpdateList(ThreeServers());
  const RequestId id = instance.SendRequest(kEventualRead);
  instance.EndAttempt(id, Outcome::kError);
  instance.EndAttempt(id, Outcome::kError);
  EXPECT_EQ(instance.AttemptsOf(id), 2u);
  EXPECT_EQ(instance.FinalAnswersTo(id), 1u);
}

TEST(Rules, AnOverloadedServerIsEjected) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  instance.EndAttempt(instance.SendRequest(kNotIdempotentWrite), Outcome::kOverloaded);
  const std::size_t before = instance.sends.size();
  for (int i = 0; i < 50; ++i) instance.SendRequest(kNotIdempotentWrite);
  EXPECT_EQ(instance.sends.size(), before);
  instance.Advance(200_ms);
  EXPECT_GT(instance.sends.size(), before);
}

TEST(Rules, SlowStartSharesBelowOneRequestAddUpOverTheFleet) {
  int sent = 0;
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    Settings settings = DefaultSettings();
    settings.fleet_size = 500;
    SimulatedInstance instance(settings, seed);
    auto entries = ThreeServers();
    entries[0].started = instance.now();
    instance.UpdateList(entries);
    for (int i = 0; i < 10; ++i) {
      instance.SendRequest(kNotIdempotentWrite);
      instance.Advance(400_ms);
    }
    sent += static_cast<int>(instance.sends.size());
  }
  // 4 s at 0.24 to 0.5 of a core, and one full bucket of 1 s, with writes of 1/8 s of work each.
  EXPECT_GE(sent, 6);
  EXPECT_LE(sent, 30);
}

TEST(Rules, QueueingDoesNotRaiseTheSlowStartRate) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  for (int i = 0; i < 200; ++i) {
    const RequestId id = instance.SendRequest(kEventualRead);
    instance.Advance(1900_ms);
    if (instance.FinalAnswersTo(id) == 0 && instance.AttemptsOf(id) > 0)
      instance.EndAttempt(id, Outcome::kOk, {}, 1900_ms);
  }
  auto entries = ThreeServers();
  entries[0].started = instance.now();
  instance.UpdateList({entries[0]}, EndpointListKind::kPartial);
  const auto to_primary = [&] {
    return std::count_if(instance.sends.begin(), instance.sends.end(),
                         [](const StartAttempt& attempt) { return attempt.server == kPrimary; });
  };
  const auto before = to_primary();
  for (int i = 0; i < 200; ++i) instance.SendRequest(kNotIdempotentWrite);
  EXPECT_LT(to_primary() - before, 40);
}

}  // namespace
}  // namespace lynxgrade
