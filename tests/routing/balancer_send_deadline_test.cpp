// Tests of the time by which a read must have been sent: the data that answer it may be as old as its class
// allows when the last byte of its statement is sent, however long that is after the routing decision.
#include <gtest/gtest.h>

#include "routing/simulated_instance.h"

namespace lynxgrade {
namespace {

constexpr Duration kBound = 300_ms;  // of DefaultSettings

Settings UncheckedSettings() {
  Settings settings = DefaultSettings();
  settings.position_check = PositionCheck::kNone;
  return settings;
}

// Servers that do not check positions; replica A has reported a position 100 ms ago, replica B an old one.
struct UncheckedInstance : SimulatedInstance {
  explicit UncheckedInstance(const Settings& settings = UncheckedSettings()) : SimulatedInstance(settings) {
    UpdateList(ThreeServers());
    ReportReplicaAt(kReplicaA, now() - 100_ms);
    ReportReplicaAt(kReplicaB, now() - 5000_ms);
  }
};

// Guards against a read that is judged when it is routed and sent when its data are too old.
TEST(SendDeadline, IsTheProvenPositionPlusTheBound) {
  UncheckedInstance instance;
  const TimePoint decided = instance.now();
  const RequestId id = instance.SendRequest(kBoundedRead);
  ASSERT_EQ(instance.LastServerOf(id), kReplicaA);
  EXPECT_EQ(instance.SendDeadlineOf(id), decided - 100_ms + kBound);
  instance.Advance(30_ms);
  EXPECT_EQ(instance.SendDeadlineOf(id), decided - 100_ms + kBound);
}

// Guards against a read that is given up although its server has reported newer data meanwhile.
TEST(SendDeadline, MovesWithANewerReport) {
  UncheckedInstance instance;
  const RequestId id = instance.SendRequest(kBoundedRead);
  instance.Advance(150_ms);
  instance.ReportReplicaAt(kReplicaA, instance.now() - 20_ms);
  EXPECT_EQ(instance.SendDeadlineOf(id), instance.now() - 20_ms + kBound);
}

// Guards against limits where the servers themselves reject what they cannot answer in time.
TEST(SendDeadline, DoesNotApplyWhereServersCheckPositions) {
  for (const PositionCheck check : {PositionCheck::kReject, PositionCheck::kWait}) {
    Settings settings = DefaultSettings();
    settings.position_check = check;
    UncheckedInstance instance(settings);
    for (const ClassIndex request_class : {kBoundedRead, kSessionRead, kEventualRead, kStrongRead}) {
      EXPECT_EQ(instance.SendDeadlineOf(instance.SendRequest(request_class)), TimePoint::max());
    }
  }
}

TEST(SendDeadline, DoesNotApplyToReadsOfAnyDataAndToWrites) {
  UncheckedInstance instance;
  for (const ClassIndex request_class : {kEventualRead, kWriteWithKey, kNotIdempotentWrite}) {
    EXPECT_EQ(instance.SendDeadlineOf(instance.SendRequest(request_class)), TimePoint::max());
  }
}

// Guards against a read that is sent to a server as the primary after that has been heard as a replica.
TEST(SendDeadline, OfAReadAtThePrimaryEndsWithItsRole) {
  UncheckedInstance instance;
  instance.ReportPrimaryAt(kPrimary, instance.now());
  const RequestId strong = instance.SendRequest(kStrongRead);
  ASSERT_EQ(instance.LastServerOf(strong), kPrimary);
  EXPECT_EQ(instance.SendDeadlineOf(strong), TimePoint::max());
  instance.Advance(10_ms);
  instance.ReportReplicaAt(kPrimary, instance.now());
  EXPECT_EQ(instance.SendDeadlineOf(strong), TimePoint::min());
}

// As above, for a bounded read, which the former primary may still answer by its position.
TEST(SendDeadline, OfABoundedReadAtAFormerPrimaryIsThatOfAReplica) {
  Settings settings = UncheckedSettings();
  SimulatedInstance instance(settings);
  instance.UpdateList({{.server = kPrimary, .group = kGroup, .primary = true}});
  instance.ReportPrimaryAt(kPrimary, instance.now());
  const RequestId id = instance.SendRequest(kBoundedRead);
  ASSERT_EQ(instance.AttemptsOf(id), 1u);
  EXPECT_EQ(instance.SendDeadlineOf(id), TimePoint::max());
  instance.Advance(10_ms);
  instance.ReportReplicaAt(kPrimary, instance.now() - 5_ms);
  EXPECT_EQ(instance.SendDeadlineOf(id), instance.now() - 5_ms + kBound);
}

// Guards against reads at a former primary that has not been heard since another server took over.
TEST(SendDeadline, OfAReadAtAPrimaryEndsWithTheWordOfANewerOne) {
  UncheckedInstance instance;
  instance.ReportPrimaryAt(kPrimary, instance.now());
  const RequestId strong = instance.SendRequest(kStrongRead);
  instance.Advance(400_ms);
  instance.ReportPrimaryAt(kReplicaB, instance.now());
  EXPECT_EQ(instance.SendDeadlineOf(strong), TimePoint::min());
  instance.Advance(1_ms);
  instance.ReportReplicaAt(kReplicaA, instance.now() - 5000_ms);
  const RequestId bounded = instance.SendRequest(kBoundedRead);
  EXPECT_EQ(instance.AttemptsOf(bounded), 0u);  // neither replica has recent data
}

// Guards against the last word of a request that has ended.
TEST(SendDeadline, OfAnEndedRequestHasPassed) {
  UncheckedInstance instance;
  const RequestId id = instance.SendRequest(kBoundedRead);
  instance.Handle(ClientDisconnectedEvent{id});
  EXPECT_EQ(instance.SendDeadlineOf(id), TimePoint::min());
}

// Guards against a server that is blamed for its connection, and against a budget of retries that runs out.
TEST(ExpiredAttempt, IsRoutedAgainAtOnceAndBlamesNobody) {
  UncheckedInstance instance;
  for (int i = 0; i < 60; ++i) {
    instance.ReportReplicaAt(kReplicaA, instance.now() - 250_ms);
    const RequestId id = instance.SendRequest(kBoundedRead);
    ASSERT_EQ(instance.LastServerOf(id), kReplicaA);
    instance.Advance(51_ms);
    instance.ReportReplicaAt(kReplicaB, instance.now() - 10_ms);
    instance.EndAttempt(id, Outcome::kSendExpired);
    ASSERT_EQ(instance.AttemptsOf(id), 2u);
    EXPECT_EQ(instance.LastServerOf(id), kReplicaB);
    instance.EndAttempt(id, Outcome::kOk);
    instance.Advance(1000_ms);  // until what B has reported is too old
  }
  EXPECT_TRUE(instance.rejected.empty());
}

// Guards against a read that is refused since attempts that were never sent have used up its number.
TEST(ExpiredAttempt, DoesNotCountAsAnAttempt) {
  Settings settings = UncheckedSettings();
  settings.max_attempts = 2;
  UncheckedInstance instance(settings);
  const RequestId id = instance.SendRequest(kBoundedRead);
  for (int i = 0; i < 5; ++i) {
    instance.ReportReplicaAt(kReplicaA, instance.now());
    instance.EndAttempt(id, Outcome::kSendExpired, {}, 10_ms, 1_ms);
    instance.Advance(2_ms);
  }
  EXPECT_EQ(instance.FinalAnswersTo(id), 0u);
  instance.ReportReplicaAt(kReplicaA, instance.now());
  const std::size_t before = instance.AttemptsOf(id);
  instance.EndAttempt(id, Outcome::kError);
  EXPECT_EQ(instance.AttemptsOf(id), before + 1);  // the second that counts, and the last one
  instance.EndAttempt(id, Outcome::kError);
  EXPECT_EQ(instance.AttemptsOf(id), before + 1);
  EXPECT_EQ(instance.FinalAnswersTo(id), 1u);
}

// Guards against an endless loop within one pass of the host, whose clock stands while attempts expire.
TEST(ExpiredAttempt, IsNotRoutedToTheSameServerByAClockThatStands) {
  UncheckedInstance instance;
  instance.ReportReplicaAt(kReplicaA, instance.now() - 100_ms);
  const RequestId id = instance.SendRequest(kBoundedRead);
  instance.EndAttempt(id, Outcome::kSendExpired, {}, 10_ms, 201_ms);  // noticed 201 ms into the pass
  EXPECT_EQ(instance.AttemptsOf(id), 1u);
  EXPECT_EQ(instance.FinalAnswersTo(id), 0u);
  instance.Advance(201_ms);
  EXPECT_EQ(instance.AttemptsOf(id), 1u);
  instance.ReportReplicaAt(kReplicaA, instance.now() - 10_ms);
  EXPECT_EQ(instance.AttemptsOf(id), 2u);
}

// Guards against the response of an attempt that was sent too late, and against a request that is lost with
// it.
TEST(LateAttempt, IsRepeatedWhereTheClassAllowsIt) {
  UncheckedInstance instance;
  const RequestId id = instance.SendRequest(kBoundedRead);
  instance.EndAttempt(id, Outcome::kSentLate, {}, 10_ms, 10_ms);
  EXPECT_EQ(instance.AttemptsOf(id), 2u);
  Settings settings = UncheckedSettings();
  settings.classes[kBoundedRead].idempotency = Idempotency::kNotIdempotent;
  UncheckedInstance once(settings);
  const RequestId unrepeatable = once.SendRequest(kBoundedRead);
  once.EndAttempt(unrepeatable, Outcome::kSentLate, {}, 10_ms, 10_ms);
  EXPECT_EQ(once.AttemptsOf(unrepeatable), 1u);
  EXPECT_EQ(once.failed, std::vector<RequestId>{unrepeatable});
}

// Guards against the answer of a server that took a read as the primary and had been replaced by then.
TEST(ResponseOfAFormerPrimary, IsNotServed) {
  UncheckedInstance instance;
  instance.ReportPrimaryAt(kPrimary, instance.now());
  const RequestId strong = instance.SendRequest(kStrongRead);
  EXPECT_TRUE(instance.MayServe(strong, {std::nullopt, true}));
  EXPECT_TRUE(instance.MayServe(strong, {std::nullopt, std::nullopt}));
  EXPECT_FALSE(instance.MayServe(strong, {std::nullopt, false}));
  const RequestId bounded = instance.SendRequest(kBoundedRead);
  ASSERT_EQ(instance.LastServerOf(bounded), kReplicaA);
  EXPECT_TRUE(instance.MayServe(bounded, {std::nullopt, false}));
  const RequestId eventual = instance.SendRequest(kEventualRead);
  EXPECT_TRUE(instance.MayServe(eventual, {std::nullopt, false}));
}

// Guards against a judgement by the role at the decision, where the attempt was sent by its position.
TEST(ResponseOfAFormerPrimary, IsServedIfItWasSentAsThatOfAReplica) {
  SimulatedInstance instance(UncheckedSettings());
  instance.UpdateList({{.server = kPrimary, .group = kGroup, .primary = true}});
  instance.ReportPrimaryAt(kPrimary, instance.now());
  const RequestId id = instance.SendRequest(kBoundedRead);
  instance.Advance(10_ms);
  instance.ReportReplicaAt(kPrimary, instance.now() - 5_ms);
  EXPECT_FALSE(instance.MayServe(id, {std::nullopt, false}));
  ASSERT_GT(instance.SendDeadlineOf(id), instance.now());  // asked as it is sent
  EXPECT_TRUE(instance.MayServe(id, {std::nullopt, false}));
}

// Guards against stale data that look recent since the clock of this instance was set back before its start.
TEST(ClockBehind, IsTakenOffThePositions) {
  SimulatedInstance instance(UncheckedSettings());
  instance.UpdateList(ThreeServers());
  constexpr Duration kAhead = 3600000_ms;  // the clock of the servers
  instance.ReportReplicaAt(kReplicaA, instance.now() + kAhead - 5000_ms);
  instance.ReportReplicaAt(kReplicaB, instance.now() + kAhead - 5000_ms);
  const RequestId early = instance.SendRequest(kBoundedRead);
  EXPECT_EQ(instance.AttemptsOf(early), 0u);  // the clock is wrong, and nobody knows by how much
  for (int i = 0; i < 2; ++i) {
    instance.Advance(1_ms);
    instance.ReportPrimaryAt(kPrimary, instance.now() + kAhead);
    instance.ReportReplicaAt(kReplicaA, instance.now() + kAhead - 4999_ms);
  }
  const RequestId id = instance.SendRequest(kBoundedRead);
  EXPECT_EQ(instance.AttemptsOf(id), 0u);
  instance.ReportReplicaAt(kReplicaB, instance.now() + kAhead - 40_ms);
  ASSERT_EQ(instance.AttemptsOf(id), 1u);
  EXPECT_EQ(instance.LastServerOf(id), kReplicaB);
  EXPECT_EQ(instance.SendDeadlineOf(id), instance.now() - 40_ms + kBound);
}

// Guards against a group whose reads are refused, or served by old data, since one position was spoilt.
TEST(PositionAhead, OfASingleReportIsIgnored) {
  UncheckedInstance instance;
  instance.ReportReplicaAt(kReplicaB, instance.now() + 3600000_ms);
  instance.ReportPrimaryAt(kPrimary, instance.now() + 7200000_ms);
  const RequestId id = instance.SendRequest(kBoundedRead);
  ASSERT_EQ(instance.AttemptsOf(id), 1u);
  EXPECT_EQ(instance.LastServerOf(id), kReplicaA);
  EXPECT_EQ(instance.SendDeadlineOf(id), instance.now() - 100_ms + kBound);
  instance.Advance(500_ms);
  instance.ReportReplicaAt(kReplicaB, instance.now() - 20_ms);
  const RequestId later = instance.SendRequest(kBoundedRead);
  ASSERT_EQ(instance.AttemptsOf(later), 1u);
  EXPECT_EQ(instance.LastServerOf(later), kReplicaB);
  EXPECT_EQ(instance.SendDeadlineOf(later), instance.now() - 20_ms + kBound);
}

// Guards against a commit time that is rounded up and taken for a position.
TEST(CommitTime, ProvesThePositionBeforeItsRounding) {
  SimulatedInstance instance(UncheckedSettings());
  instance.UpdateList({{.server = kPrimary, .group = kGroup, .primary = true}});
  const RequestId write = instance.SendRequest(kWriteWithKey);
  instance.EndAttempt(write, Outcome::kOk, {instance.now() - 10_ms, true});
  const RequestId misrouted = instance.SendRequest(kWriteWithKey);
  instance.Advance(1_ms);
  instance.EndAttempt(misrouted, Outcome::kMisrouted, {std::nullopt, false});
  const RequestId id = instance.SendRequest(kBoundedRead);
  ASSERT_EQ(instance.AttemptsOf(id), 1u);
  EXPECT_EQ(instance.SendDeadlineOf(id), instance.now() - 11_ms - 1_ms + kBound);
}

}  // namespace
}  // namespace lynxgrade
