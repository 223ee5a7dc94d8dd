// Tests of load shedding, polling of the endpoint list, unexpected input and determinism.
#include <gtest/gtest.h>

#include <vector>

#include "routing/simulated_instance.h"

namespace lynxgrade {
namespace {

TEST(LoadShedding, RequestsWaitShorterIfClientsAbandonThemEarly) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  const auto waits = [&] {
    const RequestId id = instance.SendRequest(kNotIdempotentWrite);
    instance.EndAttempt(id, Outcome::kMisrouted,
                        ResponseMetadata{std::nullopt, false});  // no primary is known: the request waits
    instance.EndAttempt(id, Outcome::kMisrouted, ResponseMetadata{std::nullopt, false});
    const TimePoint from = instance.now();
    while (instance.FinalAnswersTo(id) == 0 && instance.now() - from < 2000_ms) instance.Advance(10_ms);
    return instance.now() - from;
  };
  EXPECT_GT(waits(), 400_ms);
  for (int i = 0; i < 60; ++i) {
    const RequestId id = instance.SendRequest(kEventualRead);
    instance.Advance(100_ms);
    instance.Handle(ClientDisconnectedEvent{id});
    instance.EndAttempt(id, Outcome::kCancelled);
  }
  EXPECT_LT(waits(), 300_ms);
}

TEST(LoadShedding, LateReadsOfLowPriorityAreRejectedFirst) {
  Settings settings = DefaultSettings();
  settings.classes[kBoundedRead].priority_weight = 9;
  SimulatedInstance instance(settings);
  instance.UpdateList(ThreeServers());
  instance.ReportReplicaAt(kReplicaA, instance.now());
  instance.ReportReplicaAt(kReplicaB, instance.now());
  int rejected[2] = {0, 0};
  for (int i = 0; i < 300; ++i) {
    const ClassIndex request_class = i % 2 == 0 ? kSessionRead : kBoundedRead;
    const RequestId id = instance.SendRequest(request_class);
    if (instance.AttemptsOf(id) > 0) {
      instance.Advance(250_ms);
      instance.EndAttempt(id, Outcome::kOk, {instance.now(), false}, 250_ms);
    } else {
      ++rejected[i % 2];
      EXPECT_EQ(instance.FinalAnswersTo(id), 1u);
    }
  }
  EXPECT_GT(rejected[0], 10);
  EXPECT_GT(rejected[0], rejected[1]);
}

TEST(LoadShedding, RetryAfterGrowsWithTheQueueUpToItsLimit) {
  Settings settings = DefaultSettings();
  settings.clients_honor_retry_after = true;
  settings.max_retry_after = 400_ms;
  SimulatedInstance unlisted(settings);
  unlisted.SendRequest(kWriteWithKey);
  unlisted.Advance(2000_ms);
  ASSERT_EQ(unlisted.rejected.size(), 1u);
  EXPECT_EQ(unlisted.retry_after, 50_ms);  // one tick interval, as no server is known

  const auto retry_after_at = [&](Duration taken) {  // at servers that respond after `taken`
    SimulatedInstance instance(settings);
    instance.UpdateList(ThreeServers());
    instance.ReportReplicaAt(kReplicaA, instance.now());
    instance.ReportReplicaAt(kReplicaB, instance.now());
    for (int i = 0; i < 300; ++i) {
      const RequestId id = instance.SendRequest(kSessionRead);
      if (instance.AttemptsOf(id) == 0) continue;
      instance.Advance(taken);
      instance.EndAttempt(id, Outcome::kOk, {instance.now(), false}, taken);
    }
    EXPECT_FALSE(instance.rejected.empty());
    return instance.retry_after;
  };
  EXPECT_GE(retry_after_at(230_ms), 50_ms);
  EXPECT_LT(retry_after_at(230_ms), retry_after_at(350_ms));  // grows with the queue
  EXPECT_LE(retry_after_at(350_ms), 400_ms);
  settings.clients_honor_retry_after = false;
  EXPECT_EQ(retry_after_at(350_ms), 0_ms);
}

TEST(EndpointList, IsPolledAgainAfterEachError) {
  Settings settings = DefaultSettings();
  settings.poll_endpoint_list = true;
  SimulatedInstance instance(settings);
  instance.UpdateList(ThreeServers());
  instance.Advance(200_ms);
  ASSERT_EQ(instance.watches, 1);
  for (int i = 2; i < 5; ++i) {
    instance.UpdateList({}, EndpointListKind::kError);
    instance.Advance(5000_ms);
    EXPECT_EQ(instance.watches, i);
  }
}

TEST(HealthChecks, ANewInstanceChecksServersOfUnknownPosition) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  instance.Advance(100_ms);
  EXPECT_EQ(instance.health_checks.size(), 3u);
}

TEST(UnexpectedInput, UnknownIdsAndRepeatedEventsAreIgnored) {
  SimulatedInstance instance;
  instance.UpdateList({});
  const RequestId without_servers = instance.SendRequest(kEventualRead);
  instance.Advance(2500_ms);
  EXPECT_EQ(instance.FinalAnswersTo(without_servers), 1u);
  instance.UpdateList({{.server = kReplicaA, .group = kGroup}}, EndpointListKind::kComplete);
  EXPECT_EQ(instance.AttemptsOf(instance.SendRequest(kEventualRead)), 1u);
  const RequestId id = instance.SendRequest(kEventualRead);
  instance.Handle(ClientDisconnectedEvent{id});
  instance.Handle(ClientDisconnectedEvent{id});
  instance.EndAttempt(id, Outcome::kOk);
  instance.Handle(TimerEvent{TimerId(12345)});
  instance.Handle(PeerEvent{1, "hello"});
  instance.Handle(HealthCheckEvent{ServerId(99), Outcome::kError, 1_ms, std::nullopt});
  instance.Advance(3000_ms);
  EXPECT_EQ(instance.FinalAnswersTo(id), 0u);
}

TEST(UnexpectedInput, AWriteForAGroupWithoutServersIsRejected) {
  SimulatedInstance instance;
  instance.UpdateList({});
  const RequestId id = instance.SendRequest(kNotIdempotentWrite);
  instance.Advance(3000_ms);
  EXPECT_EQ(instance.FinalAnswersTo(id), 1u);
}

TEST(Determinism, TheSameEventsResultInTheSameAttempts) {
  std::vector<ServerId> first, second;
  for (auto* out : {&first, &second}) {
    SimulatedInstance instance(DefaultSettings(), 77);
    instance.UpdateList(ThreeServers());
    for (int i = 0; i < 50; ++i) out->push_back(instance.LastServerOf(instance.SendRequest(kEventualRead)));
  }
  EXPECT_EQ(first, second);
}

}  // namespace
}  // namespace lynxgrade
