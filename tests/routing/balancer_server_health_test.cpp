// How failures, refused connections and latency change the share of a server.
#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "routing/simulated_instance.h"

namespace lynxgrade {
namespace {

// A pooler among a hundred sees a write of a group every few seconds and can pay for few health_checks.

TEST(Connections, OneRefusedAtOnceIsAShortageNotAServerThatIsDownOrRestarted) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  int closed = 0;
  for (int i = 0; i < 5; ++i) {
    const RequestId id = instance.SendRequest(kNotIdempotentWrite);
    instance.EndAttempt(id, Outcome::kUnreachable, {}, 0_ms);
    instance.Advance(300_ms);
    ASSERT_EQ(instance.AttemptsOf(id), 2u)
        << "the primary is neither ejected for long nor taken to be warming";
    AttemptEndedEvent end{.id = id, .attempt = 1, .server = kPrimary, .elapsed = 10_ms, .request_done = true};
    for (const Action& a : instance.Handle(end)) closed += std::holds_alternative<CloseIdleConnections>(a);
  }
  EXPECT_EQ(closed, 5) << "connections are given back after use";
}

TEST(Connections, OneRefusedWhereHealthChecksFailTooIsAServerThatIsDown) {
  SimulatedInstance instance;
  instance.UpdateList(ThreeServers());
  for (int i = 0; i < 4; ++i) {
    instance.EndAttempt(instance.SendRequest(kNotIdempotentWrite), Outcome::kUnreachable, {}, 0_ms);
    instance.Handle(HealthCheckEvent{kPrimary, Outcome::kUnreachable, 1_ms, std::nullopt});
    instance.Advance(3000_ms);
  }
  instance.sends.clear();
  for (int i = 0; i < 100; ++i) instance.SendRequest(kNotIdempotentWrite);
  EXPECT_LE(instance.sends.size(), 10u) << "it counts as restarted";
}

// One that ended without leaving the list refuses for ever: its ejection grows, and no other server's

// connections are given back for it.

TEST(Connections, AServerThatGoesOnRefusingIsDialledEverLessOftenAndCostsNoOtherItsConnections) {
  Settings settings = DefaultSettings();
  settings.may_health_check = false;
  SimulatedInstance instance(settings);
  instance.UpdateList(ThreeServers());
  int rejected = 0, late = 0, closed = 0;
  for (int i = 0; i < 1000; ++i) {
    const RequestId id = instance.SendRequest(kEventualRead);
    for (int again = 0; again < 5 && instance.AttemptsOf(id) > 0 && instance.LastServerOf(id) == kA;
         ++again) {
      (i < 500 ? rejected : late) += 1;
      instance.EndAttempt(id, Outcome::kUnreachable, {}, 0_ms);
    }
    if (instance.AttemptsOf(id) == 0 || instance.LastServerOf(id) == kA) continue;
    AttemptEndedEvent end{
        .id = id, .server = instance.LastServerOf(id), .elapsed = 10_ms, .request_done = true};
    end.attempt = static_cast<AttemptNumber>(instance.AttemptsOf(id) - 1);
    for (const Action& a : instance.Handle(end)) closed += std::holds_alternative<CloseIdleConnections>(a);
    instance.Advance(10_ms);
  }
  EXPECT_LE(rejected, 12) << "in five seconds: the ejection doubles from 50 ms";
  EXPECT_GE(late, 1) << "it is tried again, for it may be back";
  EXPECT_LE(late, 4);
  EXPECT_EQ(closed, 0);
}

// How many of a hundred reads go to a server at which all attempts are cancelled unanswered.

int ChosenThoughCancelled(LoadReporting reports) {
  Settings settings = DefaultSettings();
  settings.load_reporting = reports;
  SimulatedInstance instance(settings);
  instance.UpdateList(ThreeServers());
  const auto round = [&] {
    const RequestId id = instance.SendRequest(kEventualRead);
    if (instance.AttemptsOf(id) == 0) return false;
    const bool hit = instance.LastServerOf(id) == kA;
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

TEST(Health, CancelledAttemptsCountAgainstTheirServer) {
  EXPECT_LT(ChosenThoughCancelled(LoadReporting::kOnHealthCheck), 25);
}

TEST(Health, WhereResponsesReportNoQueueACancelledAttemptDoesNotCount) {
  EXPECT_GT(ChosenThoughCancelled(LoadReporting::kWithResponses), 35);
}

// Without such advice clients would retry by themselves, at the worst moment.

TEST(Health, LongEventualReadsPreferOneReplica) {
  Settings settings = DefaultSettings();
  settings.classes[kEventualRead].latency_objective = 1600_ms;
  SimulatedInstance instance(settings);
  instance.UpdateList(ThreeServers());
  int to_a = 0;
  for (int i = 0; i < 100; ++i) {
    const RequestId id = instance.SendRequest(kEventualRead);
    if (instance.AttemptsOf(id) == 0) continue;
    to_a += instance.LastServerOf(id) == kA;
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
    const bool bad = instance.LastServerOf(id) == kA;
    instance.EndAttempt(id, bad ? Outcome::kError : Outcome::kOk, {}, bad ? 1_ms : 100_ms);
    if (bad && instance.AttemptsOf(id) > 1) instance.EndAttempt(id, Outcome::kOk, {}, 100_ms);
    instance.Advance(5_ms);
  }
  int to_a = 0;
  for (int i = 0; i < 40; ++i) {
    const RequestId id = instance.SendRequest(kEventualRead);
    to_a += instance.LastServerOf(id) == kA;
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
    if (send.server == kA)
      held[send.id] = kA;
    else
      instance.EndAttempt(send.id, Outcome::kOk, {}, 50_ms);
  }
  ASSERT_FALSE(held.empty());
  instance.Advance(1000_ms);
  int to_a = 0;
  for (int i = 0; i < 40; ++i) {
    const RequestId id = instance.SendRequest(kEventualRead);
    to_a += instance.LastServerOf(id) == kA;
    instance.EndAttempt(id, Outcome::kOk, {}, 50_ms);
  }
  EXPECT_LT(to_a, 8);
}

// One instance of a hundred hears of a server every few seconds, so that what it heard last counts for more.

TEST(Health, AServerHeardOfSeldomLosesItsShareAfterFewSlowResponses) {
  int slow = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedInstance instance(DefaultSettings(), seed);
    instance.UpdateList(ThreeServers());
    for (int i = 0; i < 40; ++i) {
      const RequestId id = instance.SendRequest(kEventualRead);
      if (instance.AttemptsOf(id) == 0) continue;
      slow += i >= 10 && instance.LastServerOf(id) == kA;
      const Duration taken = instance.LastServerOf(id) == kA ? 400_ms : 60_ms;
      instance.Advance(taken);
      instance.EndAttempt(id, Outcome::kOk, {}, taken);
      instance.Advance(4000_ms);
    }
  }
  EXPECT_LT(slow, 50);
}

TEST(Health, AStallOfTheInstanceItselfIsNotTakenForSlowServers) {
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

TEST(Health, AGroupIsNeverEjectedCompletely) {
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
