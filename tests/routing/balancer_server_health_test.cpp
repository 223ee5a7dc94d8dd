// Tests of how failures, refused connections and latency change the share of requests that a server gets.
#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "routing/simulated_instance.h"

namespace lynxgrade {
namespace {

// In a fleet of 100 an instance sees a write of a given group every few seconds, and its health check budget
// is small.
TEST(Connections, AnImmediateRefusalDoesNotMarkTheServerAsDownOrRestarted) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  int closed = 0;
  for (int i = 0; i < 5; ++i) {
    const RequestId id = instance.SendRequest(kNotIdempotentWrite);
    instance.EndAttempt(id, Outcome::kUnreachable, {}, 0_ms);
    instance.Advance(300_ms);
    ASSERT_EQ(instance.AttemptsOf(id), 2u)
        << "the primary must be neither ejected for long nor treated as warming";
    AttemptEndedEvent end{.id = id, .attempt = 1, .server = kPrimary, .elapsed = 10_ms, .request_done = true};
    for (const Action& a : instance.Handle(end)) closed += std::holds_alternative<CloseIdleConnections>(a);
  }
  EXPECT_EQ(closed, 5) << "idle connections must be closed after use";
}

TEST(Connections, ARefusalWithFailingHealthChecksMarksTheServerAsDown) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  for (int i = 0; i < 4; ++i) {
    instance.EndAttempt(instance.SendRequest(kNotIdempotentWrite), Outcome::kUnreachable, {}, 0_ms);
    instance.Handle(HealthCheckEvent{kPrimary, Outcome::kUnreachable, 1_ms, std::nullopt});
    instance.Advance(3000_ms);
  }
  instance.sends.clear();
  for (int i = 0; i < 100; ++i) instance.SendRequest(kNotIdempotentWrite);
  EXPECT_LE(instance.sends.size(), 10u) << "the primary must be treated as restarted";
}

// A server whose process has ended but that is still listed refuses all connections. Its backoff grows, and
// no idle connections to other servers are closed.
TEST(Connections, ContinuedRefusalsBackOffAndCloseNoConnectionsToOtherServers) {
  Settings settings = DefaultSettings();
  settings.may_health_check = false;
  SimulatedInstance instance(settings);
  instance.UpdateList(ThreeServers());
  int rejected = 0, late = 0, closed = 0;
  for (int i = 0; i < 1000; ++i) {
    const RequestId id = instance.SendRequest(kEventualRead);
    for (int again = 0; again < 5 && instance.AttemptsOf(id) > 0 && instance.LastServerOf(id) == kReplicaA;
         ++again) {
      (i < 500 ? rejected : late) += 1;
      instance.EndAttempt(id, Outcome::kUnreachable, {}, 0_ms);
    }
    if (instance.AttemptsOf(id) == 0 || instance.LastServerOf(id) == kReplicaA) continue;
    AttemptEndedEvent end{
        .id = id, .server = instance.LastServerOf(id), .elapsed = 10_ms, .request_done = true};
    end.attempt = static_cast<AttemptNumber>(instance.AttemptsOf(id) - 1);
    for (const Action& a : instance.Handle(end)) closed += std::holds_alternative<CloseIdleConnections>(a);
    instance.Advance(10_ms);
  }
  EXPECT_LE(rejected, 12) << "within 5 s the backoff doubles from 50 ms";
  EXPECT_GE(late, 1) << "it must be tried again, as it may have recovered";
  EXPECT_LE(late, 4);
  EXPECT_EQ(closed, 0);
}

// Number of reads, out of 100, that go to a server at which all attempts are cancelled without a response.
int CountReadsToServerWithCancelledAttempts(LoadReporting reports) {
  Settings settings = DefaultSettings();
  settings.load_reporting = reports;
  SimulatedInstance instance(settings);
  instance.UpdateList(ThreeServers());
  const auto round = [&] {
    const RequestId id = instance.SendRequest(kEventualRead);
    if (instance.AttemptsOf(id) == 0) return false;
    const bool hit = instance.LastServerOf(id) == kReplicaA;
    if (hit) {
      instance.Advance(400_ms);
      instance.Handle(ClientDisconnectedEvent{id});
      instance.EndAttempt(id, Outcome::kCancelled, {}, 400_ms);
    } else {
      instance.Advance(125_ms);
      instance.EndAttempt(id, Outcome::kOk, {}, 125_ms);
    }
    return hit;
  };
  for (int i = 0; i < 60; ++i) round();
  int count = 0;
  for (int i = 0; i < 100; ++i) count += round();
  return count;
}

TEST(Health, CancelledAttemptsLowerAServersShare) {
  EXPECT_LT(CountReadsToServerWithCancelledAttempts(LoadReporting::kOnHealthCheck), 25);
}

TEST(Health, CancelledAttemptsDoNotCountIfResponsesReportNoQueue) {
  EXPECT_GT(CountReadsToServerWithCancelledAttempts(LoadReporting::kWithResponses), 35);
}

TEST(Health, LongEventualReadsPreferOneReplica) {
  Settings settings = DefaultSettings();
  settings.classes[kEventualRead].latency_objective = 1600_ms;
  SimulatedInstance instance(settings);
  instance.UpdateList(ThreeServers());
  int to_a = 0;
  for (int i = 0; i < 100; ++i) {
    const RequestId id = instance.SendRequest(kEventualRead);
    if (instance.AttemptsOf(id) == 0) continue;
    to_a += instance.LastServerOf(id) == kReplicaA;
    instance.Advance(450_ms);
    instance.EndAttempt(id, Outcome::kOk, {}, 450_ms);
  }
  EXPECT_GT(to_a, 70);
}

TEST(Health, FastFailuresDoNotLookLikeLowLatency) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  for (int i = 0; i < 60; ++i) {
    const RequestId id = instance.SendRequest(kEventualRead);
    const bool bad = instance.LastServerOf(id) == kReplicaA;
    instance.EndAttempt(id, bad ? Outcome::kError : Outcome::kOk, {}, bad ? 1_ms : 100_ms);
    if (bad && instance.AttemptsOf(id) > 1) instance.EndAttempt(id, Outcome::kOk, {}, 100_ms);
    instance.Advance(5_ms);
  }
  int to_a = 0;
  for (int i = 0; i < 40; ++i) {
    const RequestId id = instance.SendRequest(kEventualRead);
    to_a += instance.LastServerOf(id) == kReplicaA;
    instance.EndAttempt(id, Outcome::kOk, {}, 100_ms);
  }
  EXPECT_LT(to_a, 8);
}

TEST(Health, TheAgeOfAttemptsInFlightLowersAServersShare) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  for (int i = 0; i < 6; ++i) instance.SendRequest(kEventualRead);
  std::map<RequestId, ServerId> held;
  for (const StartAttempt& send : instance.sends) {
    if (send.server == kReplicaA)
      held[send.id] = kReplicaA;
    else
      instance.EndAttempt(send.id, Outcome::kOk, {}, 50_ms);
  }
  ASSERT_FALSE(held.empty());
  instance.Advance(1000_ms);
  int to_a = 0;
  for (int i = 0; i < 40; ++i) {
    const RequestId id = instance.SendRequest(kEventualRead);
    to_a += instance.LastServerOf(id) == kReplicaA;
    instance.EndAttempt(id, Outcome::kOk, {}, 50_ms);
  }
  EXPECT_LT(to_a, 8);
}

// In a fleet of 100 an instance gets a response of a given server every few seconds, so that each response
// must have a high weight.
TEST(Health, AServerWithRareResponsesLosesItsShareAfterAFewSlowOnes) {
  int slow = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedInstance instance(DefaultSettings(), seed);
    instance.UpdateList(ThreeServers());
    for (int i = 0; i < 40; ++i) {
      const RequestId id = instance.SendRequest(kEventualRead);
      if (instance.AttemptsOf(id) == 0) continue;
      slow += i >= 10 && instance.LastServerOf(id) == kReplicaA;
      const Duration taken = instance.LastServerOf(id) == kReplicaA ? 400_ms : 60_ms;
      instance.Advance(taken);
      instance.EndAttempt(id, Outcome::kOk, {}, taken);
      instance.Advance(4000_ms);
    }
  }
  EXPECT_LT(slow, 50);
}

TEST(Health, AStallOfTheInstanceDoesNotMakeServersLookSlow) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  for (int i = 0; i < 60; ++i)
    instance.EndAttempt(instance.SendRequest(kEventualRead), Outcome::kOk, {}, 50_ms),
        instance.Advance(60_ms);
  for (int round = 0; round < 10; ++round) {
    std::vector<RequestId> ids;
    ids.reserve(4);
    for (int i = 0; i < 4; ++i) ids.push_back(instance.SendRequest(kEventualRead));
    instance.Stall(900_ms);
    for (RequestId id : ids) instance.EndAttempt(id, Outcome::kOk, {}, 900_ms);
    instance.Advance(100_ms);
  }
  const std::size_t before = instance.rejected.size();
  for (int i = 0; i < 20; ++i)
    instance.EndAttempt(instance.SendRequest(kEventualRead), Outcome::kOk, {}, 50_ms);
  EXPECT_EQ(instance.rejected.size(), before);
}

TEST(Health, AGroupWithAllServersEjectedStillGetsRequests) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  for (int i = 0; i < 60; ++i) {
    const RequestId id = instance.SendRequest(kEventualRead);
    for (std::size_t ended = 0; ended < instance.AttemptsOf(id); ++ended)
      instance.EndAttempt(id, Outcome::kError, {}, 1_ms);
    instance.Advance(20_ms);
  }
  instance.Advance(200_ms);
  EXPECT_GE(instance.AttemptsOf(instance.SendRequest(kEventualRead)), 1u);
}

}  // namespace
}  // namespace lynxgrade
