// The module alone, in simulated time.
#include "routing/balancer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "consistency/session_consistency_guard.h"

namespace lynxgrade {
namespace {

constexpr Duration operator""_ms(unsigned long long n) {
  return Duration(static_cast<std::int64_t>(n) * 1000);
}

constexpr ClassIndex kAny = 0, kBounded = 1, kSession = 2, kUnsafeWrite = 3, kKeyedWrite = 4, kFresh = 5;
const GroupId kGroup{1};

Settings Usual() {
  Settings s;
  const auto cls = [](AccessKind kind, Idempotency effect) {
    RequestClass c;
    c.kind = kind;
    c.idempotency = effect;
    c.latency_objective = 500_ms;
    c.deadline = 2000_ms;
    c.staleness_bound = 300_ms;
    c.idempotency_window = 1000_ms;
    c.deduplicated_everywhere = false;
    return c;
  };
  s.classes = {cls(AccessKind::kEventualRead, Idempotency::kIdempotent),
               cls(AccessKind::kBoundedRead, Idempotency::kIdempotent),
               cls(AccessKind::kSessionRead, Idempotency::kIdempotent),
               cls(AccessKind::kWrite, Idempotency::kNotIdempotent),
               cls(AccessKind::kWrite, Idempotency::kIdempotencyKey),
               cls(AccessKind::kStrongRead, Idempotency::kIdempotent)};
  s.position_check = PositionCheck::kWait;
  s.replica_wait_limit = 50_ms;
  s.listed_role = ListedRole::kInitial;
  s.responses_report_position = true;
  s.load_reporting = LoadReporting::kWithResponses;
  s.may_cancel = s.may_health_check = s.may_hedge = true;
  s.max_attempts = 6;
  s.drain_grace = 1000_ms;
  s.initial_capacity = 0.2;
  s.slow_start_duration = 10000_ms;
  s.overload_factor = 2;
  s.overload_duration = 2000_ms;
  return s;
}

// A proxy in simulated time: fires its timers and keeps what it did.
class Proxy {
 public:
  explicit Proxy(Settings settings = Usual(), std::uint64_t seed = 1)
      : consistency_guard_(settings, {}), balancer_(std::move(settings), seed) {}

  Actions Give(Event event) {
    Actions actions;
    consistency_guard_.PrepareEvent(now_, event);
    balancer_.Handle(now_, event, actions);
    consistency_guard_.HandleActions(actions);
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) timers_.emplace(now_ + timer->delay, timer->id);
      if (const auto* send = std::get_if<StartAttempt>(&action)) {
        sends.push_back(*send);
        attempts_[send->id].push_back(send->server);
      }
      if (std::holds_alternative<StartHealthCheck>(action))
        probes.push_back(std::get<StartHealthCheck>(action));
      if (std::holds_alternative<WatchEndpointList>(action)) ++watches;
      if (const auto* refuse = std::get_if<Reject>(&action)) {
        refused.push_back(refuse->id);
        advice = refuse->retry_after;
      }
      if (std::holds_alternative<Fail>(action)) failed.push_back(std::get<Fail>(action).id);
    }
    return actions;
  }

  void Pass(Duration time) {
    const TimePoint end = now_ + time;
    while (!timers_.empty() && timers_.begin()->first <= end) {
      now_ = std::max(now_, timers_.begin()->first);
      const TimerId id = timers_.begin()->second;
      timers_.erase(timers_.begin());
      Give(TimerEvent{id});
    }
    now_ = end;
  }

  // Time in which nothing reaches the module; timers come late.
  void Stall(Duration time) { now_ += time; }

  void List(std::vector<ListEntry> entries, ListKind kind = ListKind::kPersisted) {
    Give(ListEvent{kind, std::move(entries)});
  }

  RequestId Ask(ClassIndex cls, std::optional<Duration> time_since_write = std::nullopt) {
    const RequestId id{++last_};
    Give(RequestEvent{.id = id,
                      .group = kGroup,
                      .request_class = cls,
                      .session = "s",
                      .time_since_write = time_since_write,
                      .time_left = 2000_ms});
    return id;
  }

  // Ends the newest attempt of a request.
  void End(RequestId id, Outcome outcome, ResponseMetadata metadata = {}, Duration taken = 10_ms) {
    if (SendsOf(id) == 0) return;
    const auto& made = attempts_[id];
    AttemptEndedEvent event;
    event.id = id;
    event.attempt = static_cast<AttemptNumber>(made.size() - 1);
    event.server = made.back();
    event.outcome = outcome;
    event.elapsed = taken;
    event.request_done = outcome == Outcome::kOk;
    event.metadata = metadata;
    Give(event);
  }

  void Told(ServerId server, LogPosition position, bool primary) {
    LoadReport report;
    report.position = position;
    report.primary = primary;
    Give(HealthCheckEvent{server, Outcome::kOk, 1_ms, report});
  }

  std::size_t SendsOf(RequestId id) const {
    return static_cast<std::size_t>(
        std::count_if(sends.begin(), sends.end(), [&](const StartAttempt& s) { return s.id == id; }));
  }
  std::size_t AnswersTo(RequestId id) const {
    return static_cast<std::size_t>(std::count(refused.begin(), refused.end(), id) +
                                    std::count(failed.begin(), failed.end(), id));
  }
  ServerId LastTo(RequestId id) const { return attempts_.at(id).back(); }
  TimePoint now() const { return now_; }

  std::vector<StartAttempt> sends;
  std::vector<StartHealthCheck> probes;
  std::vector<RequestId> refused, failed;
  Duration advice{0};  // of the newest refusal
  int watches = 0;

 private:
  consistency::SessionConsistencyGuard consistency_guard_;  // hosts the module as the programs do
  Balancer balancer_;
  TimePoint now_{Duration(100000000)};
  std::multimap<TimePoint, TimerId> timers_;
  std::map<RequestId, std::vector<ServerId>> attempts_;
  std::uint32_t last_ = 0;
};

const ServerId kPrimary{1}, kA{2}, kB{3};

std::vector<ListEntry> Three() {
  return {{.server = kPrimary, .group = kGroup, .primary = true},
          {.server = kA, .group = kGroup},
          {.server = kB, .group = kGroup}};
}

ListEntry Entry(ServerId id, Lifecycle lifecycle) {
  ListEntry entry{.server = id, .group = kGroup};
  entry.lifecycle = lifecycle;
  return entry;
}

TEST(OrdinaryPath, WritesAndFreshReadsGoToThePrimary) {
  Proxy p;
  p.List(Three());
  EXPECT_EQ(p.LastTo(p.Ask(kUnsafeWrite)), kPrimary);
  EXPECT_EQ(p.LastTo(p.Ask(kFresh)), kPrimary);
}

TEST(OrdinaryPath, OtherReadsGoToReplicas) {
  Proxy p;
  p.List(Three());
  std::set<ServerId> used;
  for (int i = 0; i < 40; ++i) {
    for (ClassIndex cls : {kAny, kBounded, kSession}) used.insert(p.LastTo(p.Ask(cls)));
  }
  EXPECT_EQ(used, (std::set<ServerId>{kA, kB}));
}

TEST(OrdinaryPath, ReadsGoToAReplicaThatHasReachedTheirOwnTarget) {
  Proxy p;
  p.List(Three());
  p.Told(kA, p.now() - 50_ms, false);
  p.Told(kB, p.now() - 5000_ms, false);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(p.LastTo(p.Ask(kBounded)), kA);
    EXPECT_EQ(p.LastTo(p.Ask(kSession, 200_ms)), kA);
  }
}

TEST(OrdinaryPath, WhereMembersDoNotCheckAReadWaitsForItsPosition) {
  Settings s = Usual();
  s.position_check = PositionCheck::kNone;
  Proxy p(s);
  p.List(Three());
  p.Told(kA, p.now() - 5000_ms, false);
  p.Told(kB, p.now() - 5000_ms, false);
  const RequestId id = p.Ask(kSession, 1000_ms);
  EXPECT_EQ(p.SendsOf(id), 0u);
  p.Pass(100_ms);
  EXPECT_FALSE(p.probes.empty());
  p.Told(kB, p.now() - 500_ms, false);
  ASSERT_EQ(p.SendsOf(id), 1u);
  EXPECT_EQ(p.LastTo(id), kB);
}

TEST(OrdinaryPath, AfterAMissAWriteAsksEachOtherMemberOnceAndIsThenHeldForARoleChange) {
  Proxy p;
  p.List(Three());
  const RequestId id = p.Ask(kUnsafeWrite);
  std::set<ServerId> asked;
  for (int i = 0; i < 3; ++i) {
    ASSERT_EQ(p.SendsOf(id), i + 1u);
    asked.insert(p.LastTo(id));
    p.End(id, Outcome::kMisrouted, {std::nullopt, false});
  }
  EXPECT_EQ(asked.size(), 3u);
  const std::size_t before = p.probes.size();
  p.Pass(100_ms);
  EXPECT_EQ(p.SendsOf(id), 3u);
  EXPECT_GT(p.probes.size(), before);
  p.Told(kB, p.now(), true);
  ASSERT_EQ(p.SendsOf(id), 4u);
  EXPECT_EQ(p.LastTo(id), kB);
}

// A pooler among a hundred sees a write of a group every few seconds and can pay for few probes.
TEST(Roles, AWriteFindsAPrimaryThatNothingHasShown) {
  Settings s = Usual();
  s.may_health_check = false;
  s.listed_role = ListedRole::kNone;
  std::set<ServerId> first;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    Proxy p(s, seed);
    p.List(Three());
    const RequestId id = p.Ask(kKeyedWrite);
    first.insert(p.LastTo(id));
    while (p.LastTo(id) != kPrimary && p.SendsOf(id) < 4)
      p.End(id, Outcome::kMisrouted, {std::nullopt, false});
    EXPECT_EQ(p.LastTo(id), kPrimary);
    p.End(id, Outcome::kOk, {std::nullopt, true});
    EXPECT_EQ(p.LastTo(p.Ask(kKeyedWrite)), kPrimary);
  }
  EXPECT_EQ(first.size(), 3u) << "proxies that start together do not all ask the same member";
}

TEST(Roles, AWriteKeepsAttemptsForThePrimaryThatIsFound) {
  Settings s = Usual();
  s.max_attempts = 4;
  s.listed_role = ListedRole::kNone;
  Proxy p(s);
  p.List(Three());
  const RequestId id = p.Ask(kKeyedWrite);
  for (int i = 0; i < 3; ++i) p.End(id, Outcome::kMisrouted, {std::nullopt, false});
  EXPECT_EQ(p.SendsOf(id), 2u);
  p.Pass(10_ms);
  p.Told(kPrimary, p.now(), true);
  EXPECT_EQ(p.SendsOf(id), 3u);
}

TEST(Roles, NewestEvidenceWinsWhateverItsSource) {
  Proxy p;
  p.List(Three());
  p.Told(kA, p.now(), true);
  EXPECT_EQ(p.LastTo(p.Ask(kUnsafeWrite)), kA);
  p.Told(kB, p.now() - 3000_ms, true);  // an older claim arrives later
  EXPECT_EQ(p.LastTo(p.Ask(kUnsafeWrite)), kA);
}

TEST(Rules, EachRequestIsAnsweredOnceAndInTime) {
  for (ClassIndex cls : {kAny, kBounded, kSession, kUnsafeWrite, kKeyedWrite, kFresh}) {
    Proxy p;
    p.List(Three());
    const RequestId id = p.Ask(cls);  // its attempt never comes back
    p.Pass(2000_ms);
    EXPECT_EQ(p.AnswersTo(id), 1u) << cls;
    p.End(id, Outcome::kTimeout);
    p.Pass(3000_ms);
    EXPECT_EQ(p.AnswersTo(id), 1u) << cls;
    EXPECT_EQ(p.SendsOf(id), 1u) << cls;
  }
}

TEST(Rules, AnUnsafeWriteThatMayHaveRunIsNeitherResentNorRefused) {
  for (Outcome outcome :
       {Outcome::kError, Outcome::kTimeout, Outcome::kConnectionLost, Outcome::kCancelled}) {
    Proxy p;
    p.List(Three());
    const RequestId id = p.Ask(kUnsafeWrite);
    p.End(id, outcome);
    p.Pass(2000_ms);
    EXPECT_EQ(p.SendsOf(id), 1u);
    EXPECT_TRUE(p.refused.empty());
    EXPECT_EQ(p.failed.size(), 1u);
  }
}

TEST(Rules, AnUnsafeWriteThatNeverRanIsTriedAgainAndMayBeRefused) {
  for (Outcome outcome : {Outcome::kOverloaded, Outcome::kUnreachable}) {
    Proxy p;
    p.List(Three());
    const RequestId id = p.Ask(kUnsafeWrite);
    p.End(id, outcome);
    p.Pass(500_ms);
    EXPECT_GE(p.SendsOf(id), 2u);
    p.End(id, outcome);
    p.Pass(1500_ms);
    EXPECT_EQ(p.AnswersTo(id), 1u);
  }
}

TEST(Rules, AKeyedWriteIsResentOnlyInsideItsWindow) {
  Proxy p;
  p.List(Three());
  const RequestId id = p.Ask(kKeyedWrite);
  p.End(id, Outcome::kError);
  p.Pass(200_ms);
  ASSERT_EQ(p.SendsOf(id), 2u);
  p.Pass(850_ms);
  p.End(id, Outcome::kOverloaded);
  p.Pass(1000_ms);
  EXPECT_EQ(p.SendsOf(id), 2u);
  EXPECT_TRUE(p.refused.empty());  // an earlier attempt may have run, and only the group drops repeats
  EXPECT_EQ(p.failed.size(), 1u);
}

TEST(Rules, NothingIsSentToAMemberThatDrainsOrIsGone) {
  Proxy p;
  p.List(Three());
  p.List({Entry(kA, Lifecycle::kDraining)}, ListKind::kPartial);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(p.LastTo(p.Ask(kAny)), kB);
  p.List({Entry(kPrimary, Lifecycle::kServing), Entry(kA, Lifecycle::kServing)}, ListKind::kComplete);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(p.LastTo(p.Ask(kAny)), kA);
}

TEST(Rules, WhereGoneDoesNotBindADrainStillDoesAfterTheMemberIsGone) {
  Settings settings = Usual();
  settings.unlisted_stay_usable = true;
  Proxy p(settings);
  p.List(Three());
  p.List({Entry(kA, Lifecycle::kDraining)}, ListKind::kPartial);
  p.List({Entry(kA, Lifecycle::kDeleted), Entry(kB, Lifecycle::kDeleted)}, ListKind::kPartial);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(p.LastTo(p.Ask(kAny)), kB);
  p.List({Entry(kA, Lifecycle::kServing)}, ListKind::kPartial);
  std::set<ServerId> used;
  for (int i = 0; i < 20; ++i) used.insert(p.LastTo(p.Ask(kAny)));
  EXPECT_TRUE(used.contains(kA));
}

TEST(Rules, AColdMemberGetsOnlyItsBudgetAlsoAsPrimary) {
  Proxy p;
  auto entries = Three();
  entries[0].started = p.now();
  p.List(entries);
  for (int i = 0; i < 200; ++i) p.Ask(kUnsafeWrite);
  EXPECT_LT(p.sends.size(), 20u);
  p.Pass(1000_ms);
  EXPECT_GE(p.sends.size(), 1u);
  EXPECT_LT(p.sends.size(), 40u);
}

TEST(Rules, WhereMembersDoNotCheckNoReadIsSentBelowItsTarget) {
  Settings s = Usual();
  s.position_check = PositionCheck::kNone;
  Proxy p(s);
  p.List(Three());
  p.Told(kA, p.now() - 5000_ms, false);
  const RequestId id = p.Ask(kBounded);
  p.Pass(2000_ms);
  EXPECT_EQ(p.SendsOf(id), 0u);
  EXPECT_EQ(p.AnswersTo(id), 1u);
}

TEST(Rules, NoTwoAttemptsAtOnceWhereForbidden) {
  Settings s = Usual();
  s.may_hedge = false;
  Proxy p(s);
  p.List(Three());
  const RequestId id = p.Ask(kAny);
  p.Pass(1000_ms);
  EXPECT_EQ(p.SendsOf(id), 1u);
}

TEST(Rules, AttemptsStayUnderTheirLimit) {
  Settings s = Usual();
  s.max_attempts = 2;
  Proxy p(s);
  p.List(Three());
  const RequestId id = p.Ask(kAny);
  p.End(id, Outcome::kError);
  p.End(id, Outcome::kError);
  EXPECT_EQ(p.SendsOf(id), 2u);
  EXPECT_EQ(p.AnswersTo(id), 1u);
}

TEST(Spill, AMissedReadUsesThePrimaryOnlyWhenNoReplicaWillReachItsTarget) {
  Proxy p;
  p.List(Three());
  p.Told(kA, p.now() - 5000_ms, false);
  p.Told(kB, p.now() - 5000_ms, false);
  const RequestId id = p.Ask(kBounded);
  ASSERT_NE(p.LastTo(id), kPrimary);  // the first send is never the primary's
  p.End(id, Outcome::kMisrouted, {p.now() - 5000_ms, false});
  ASSERT_EQ(p.SendsOf(id), 2u);
  EXPECT_EQ(p.LastTo(id), kPrimary);

  const RequestId other = p.Ask(kBounded);  // the window is one to begin with
  p.End(other, Outcome::kMisrouted, {p.now() - 5000_ms, false});
  EXPECT_EQ(p.SendsOf(other), 1u);

  p.Told(kB, p.now(), false);
  ASSERT_EQ(p.SendsOf(other), 2u);
  EXPECT_EQ(p.LastTo(other), kB);
}

TEST(Rules, AMemberThatTurnsWorkAwayRests) {
  Proxy p;
  p.List(Three());
  p.End(p.Ask(kUnsafeWrite), Outcome::kOverloaded);
  const std::size_t before = p.sends.size();
  for (int i = 0; i < 50; ++i) p.Ask(kUnsafeWrite);
  EXPECT_EQ(p.sends.size(), before);
  p.Pass(200_ms);
  EXPECT_GT(p.sends.size(), before);
}

TEST(Rules, BelowOneRequestTheColdBudgetsOfManyProxiesStillAddUp) {
  int sent = 0;
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    Settings settings = Usual();
    settings.peers_total = 500;
    Proxy p(settings, seed);
    auto entries = Three();
    entries[0].started = p.now();
    p.List(entries);
    for (int i = 0; i < 10; ++i) {
      p.Ask(kUnsafeWrite);
      p.Pass(400_ms);
    }
    sent += static_cast<int>(p.sends.size());
  }
  // Four seconds at 0.24 to 0.5 of a core, writes of an eighth of a second each, and one filling of a second.
  EXPECT_GE(sent, 6);
  EXPECT_LE(sent, 30);
}

TEST(Connections, OneRefusedAtOnceIsAShortageNotAMemberThatIsDownOrNew) {
  Proxy p;
  p.List(Three());
  int closed = 0;
  for (int i = 0; i < 5; ++i) {
    const RequestId id = p.Ask(kUnsafeWrite);
    p.End(id, Outcome::kUnreachable, {}, 0_ms);
    p.Pass(300_ms);
    ASSERT_EQ(p.SendsOf(id), 2u) << "the primary neither rests long nor counts as cold";
    AttemptEndedEvent end{.id = id, .attempt = 1, .server = kPrimary, .elapsed = 10_ms, .request_done = true};
    for (const Action& a : p.Give(end)) closed += std::holds_alternative<CloseIdleConnections>(a);
  }
  EXPECT_EQ(closed, 5) << "connections are given back after use";
}

TEST(Connections, OneRefusedWhereNoProbeIsAnsweredEitherIsAMemberThatIsDown) {
  Proxy p;
  p.List(Three());
  for (int i = 0; i < 4; ++i) {
    p.End(p.Ask(kUnsafeWrite), Outcome::kUnreachable, {}, 0_ms);
    p.Give(HealthCheckEvent{kPrimary, Outcome::kUnreachable, 1_ms, std::nullopt});
    p.Pass(3000_ms);
  }
  p.sends.clear();
  for (int i = 0; i < 100; ++i) p.Ask(kUnsafeWrite);
  EXPECT_LE(p.sends.size(), 10u) << "it counts as starting anew";
}

// One that ended without a word on the list refuses for ever: the rest grows, and no other member's
// connections are given back for it.
TEST(Connections, OneThatGoesOnRefusingIsAskedEverMoreSeldomAndCostsNoOtherItsConnections) {
  Settings s = Usual();
  s.may_health_check = false;
  Proxy p(s);
  p.List(Three());
  int refused = 0, late = 0, closed = 0;
  for (int i = 0; i < 1000; ++i) {
    const RequestId id = p.Ask(kAny);
    for (int again = 0; again < 5 && p.SendsOf(id) > 0 && p.LastTo(id) == kA; ++again) {
      (i < 500 ? refused : late) += 1;
      p.End(id, Outcome::kUnreachable, {}, 0_ms);
    }
    if (p.SendsOf(id) == 0 || p.LastTo(id) == kA) continue;
    AttemptEndedEvent end{.id = id, .server = p.LastTo(id), .elapsed = 10_ms, .request_done = true};
    end.attempt = static_cast<AttemptNumber>(p.SendsOf(id) - 1);
    for (const Action& a : p.Give(end)) closed += std::holds_alternative<CloseIdleConnections>(a);
    p.Pass(10_ms);
  }
  EXPECT_LE(refused, 12) << "in five seconds: the rest doubles from 50 ms";
  EXPECT_GE(late, 1) << "it is asked again, for it may be back";
  EXPECT_LE(late, 4);
  EXPECT_EQ(closed, 0);
}

TEST(Overload, ClientsThatLeaveEarlyTeachHowLongTheyStay) {
  Proxy p;
  p.List(Three());
  const auto waits = [&] {
    const RequestId id = p.Ask(kUnsafeWrite);
    p.End(id, Outcome::kMisrouted, ResponseMetadata{std::nullopt, false});  // the primary is gone: held
    p.End(id, Outcome::kMisrouted, ResponseMetadata{std::nullopt, false});
    const TimePoint from = p.now();
    while (p.AnswersTo(id) == 0 && p.now() - from < 2000_ms) p.Pass(10_ms);
    return p.now() - from;
  };
  EXPECT_GT(waits(), 400_ms);
  for (int i = 0; i < 60; ++i) {
    const RequestId id = p.Ask(kAny);
    p.Pass(100_ms);
    p.Give(ClientDisconnectedEvent{id});
    p.End(id, Outcome::kCancelled);
  }
  EXPECT_LT(waits(), 300_ms);
}

// How many of a hundred reads go to a member at which all attempts are called off unanswered.
int ChosenThoughCalledOff(LoadReporting reports) {
  Settings settings = Usual();
  settings.load_reporting = reports;
  Proxy p(settings);
  p.List(Three());
  const auto round = [&] {
    const RequestId id = p.Ask(kAny);
    if (p.SendsOf(id) == 0) return false;
    const bool hit = p.LastTo(id) == kA;
    if (hit) {
      p.Pass(400_ms);
      p.Give(ClientDisconnectedEvent{id});
      p.End(id, Outcome::kCancelled, {}, 400_ms);
    } else {
      p.Pass(125_ms);
      p.End(id, Outcome::kOk, {}, 125_ms);
    }
    return hit;
  };
  for (int i = 0; i < 60; ++i) round();
  int count = 0;
  for (int i = 0; i < 100; ++i) count += round();
  return count;
}

TEST(Health, AttemptsCalledOffCountAgainstTheirMember) {
  EXPECT_LT(ChosenThoughCalledOff(LoadReporting::kOnHealthCheck), 25);
}

TEST(Health, WhereAnswersTellOfNoQueueACalledOffAttemptLostItsAnswer) {
  EXPECT_GT(ChosenThoughCalledOff(LoadReporting::kWithResponses), 35);
}

TEST(Rules, QueueingDoesNotInflateTheColdBudget) {
  Proxy p;
  p.List(Three());
  for (int i = 0; i < 200; ++i) {
    const RequestId id = p.Ask(kAny);
    p.Pass(1900_ms);
    if (p.AnswersTo(id) == 0 && p.SendsOf(id) > 0) p.End(id, Outcome::kOk, {}, 1900_ms);
  }
  auto entries = Three();
  entries[0].started = p.now();
  p.List({entries[0]}, ListKind::kPartial);
  const auto to_primary = [&] {
    return std::count_if(p.sends.begin(), p.sends.end(),
                         [](const StartAttempt& s) { return s.server == kPrimary; });
  };
  const auto before = to_primary();
  for (int i = 0; i < 200; ++i) p.Ask(kUnsafeWrite);
  EXPECT_LT(to_primary() - before, 40);
}

TEST(Overload, AReadExpectedTooLateIsRefusedEarlyTheCheapOneFirst) {
  Settings s = Usual();
  s.classes[kBounded].priority_weight = 9;
  Proxy p(s);
  p.List(Three());
  p.Told(kA, p.now(), false);
  p.Told(kB, p.now(), false);
  int refused[2] = {0, 0};
  for (int i = 0; i < 300; ++i) {
    const ClassIndex cls = i % 2 == 0 ? kSession : kBounded;
    const RequestId id = p.Ask(cls);
    if (p.SendsOf(id) > 0) {
      p.Pass(250_ms);
      p.End(id, Outcome::kOk, {p.now(), false}, 250_ms);
    } else {
      ++refused[i % 2];
      EXPECT_EQ(p.AnswersTo(id), 1u);
    }
  }
  EXPECT_GT(refused[0], 10);
  EXPECT_GT(refused[0], refused[1]);
}

// Guards against a refusal that tells nothing: clients would come back on their own, at the worst moment.
TEST(Overload, ARefusalSaysWhenToComeBackWithinTheLimit) {
  Settings s = Usual();
  s.clients_honor_retry_after = true;
  s.max_retry_after = 400_ms;
  Proxy nobody(s);
  nobody.Ask(kKeyedWrite);
  nobody.Pass(2000_ms);
  ASSERT_EQ(nobody.refused.size(), 1u);
  EXPECT_EQ(nobody.advice, 50_ms);  // held here until a member is known: a pause

  const auto advice_at = [&](Duration taken) {  // of members that answer so slowly
    Proxy p(s);
    p.List(Three());
    p.Told(kA, p.now(), false);
    p.Told(kB, p.now(), false);
    for (int i = 0; i < 300; ++i) {
      const RequestId id = p.Ask(kSession);
      if (p.SendsOf(id) == 0) continue;
      p.Pass(taken);
      p.End(id, Outcome::kOk, {p.now(), false}, taken);
    }
    EXPECT_FALSE(p.refused.empty());
    return p.advice;
  };
  EXPECT_GE(advice_at(230_ms), 50_ms);
  EXPECT_LT(advice_at(230_ms), advice_at(350_ms));  // the more there is to work off, the later
  EXPECT_LE(advice_at(350_ms), 400_ms);
  s.clients_honor_retry_after = false;
  EXPECT_EQ(advice_at(350_ms), 0_ms);
}

TEST(Health, LongAnyReadsAreDrawnTogether) {
  Settings s = Usual();
  s.classes[kAny].latency_objective = 1600_ms;
  Proxy p(s);
  p.List(Three());
  int to_a = 0;
  for (int i = 0; i < 100; ++i) {
    const RequestId id = p.Ask(kAny);
    if (p.SendsOf(id) == 0) continue;
    to_a += p.LastTo(id) == kA;
    p.Pass(450_ms);
    p.End(id, Outcome::kOk, {}, 450_ms);
  }
  EXPECT_GT(to_a, 70);
}

TEST(Spill, WhereLittleIsHeardTheOwnMissesAreNewsEnough) {
  Settings s = Usual();
  s.responses_report_position = false;
  Proxy p(s);
  p.List(Three());  // no position is ever heard
  const RequestId id = p.Ask(kBounded);
  const ServerId first = p.LastTo(id);
  p.End(id, Outcome::kMisrouted, {std::nullopt, false});
  ASSERT_EQ(p.SendsOf(id), 2u);
  EXPECT_NE(p.LastTo(id), first);
  if (p.LastTo(id) != kPrimary) p.End(id, Outcome::kMisrouted, {std::nullopt, false});
  EXPECT_EQ(p.LastTo(id), kPrimary);
}

TEST(Health, FastFailuresDoNotLookLikeLowLatency) {
  Proxy p;
  p.List(Three());
  for (int i = 0; i < 60; ++i) {
    const RequestId id = p.Ask(kAny);
    const bool bad = p.LastTo(id) == kA;
    p.End(id, bad ? Outcome::kError : Outcome::kOk, {}, bad ? 1_ms : 100_ms);
    if (bad && p.SendsOf(id) > 1) p.End(id, Outcome::kOk, {}, 100_ms);
    p.Pass(5_ms);
  }
  int to_a = 0;
  for (int i = 0; i < 40; ++i) {
    const RequestId id = p.Ask(kAny);
    to_a += p.LastTo(id) == kA;
    p.End(id, Outcome::kOk, {}, 100_ms);
  }
  EXPECT_LT(to_a, 8);
}

TEST(Health, OutstandingAttemptsAgeIntoTheDraw) {
  Proxy p;
  p.List(Three());
  for (int i = 0; i < 6; ++i) p.Ask(kAny);
  std::map<RequestId, ServerId> held;
  for (const StartAttempt& send : p.sends) {
    if (send.server == kA)
      held[send.id] = kA;
    else
      p.End(send.id, Outcome::kOk, {}, 50_ms);
  }
  ASSERT_FALSE(held.empty());
  p.Pass(1000_ms);
  int to_a = 0;
  for (int i = 0; i < 40; ++i) {
    const RequestId id = p.Ask(kAny);
    to_a += p.LastTo(id) == kA;
    p.End(id, Outcome::kOk, {}, 50_ms);
  }
  EXPECT_LT(to_a, 8);
}

// One proxy of a hundred hears of a member every few seconds: what it heard last must count for more there.
TEST(Health, AMemberHeardOfSeldomLosesItsShareAfterFewSlowAnswers) {
  int slow = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Proxy p(Usual(), seed);
    p.List(Three());
    for (int i = 0; i < 40; ++i) {
      const RequestId id = p.Ask(kAny);
      if (p.SendsOf(id) == 0) continue;
      slow += i >= 10 && p.LastTo(id) == kA;
      const Duration taken = p.LastTo(id) == kA ? 400_ms : 60_ms;
      p.Pass(taken);
      p.End(id, Outcome::kOk, {}, taken);
      p.Pass(4000_ms);
    }
  }
  EXPECT_LT(slow, 50);
}

TEST(Health, AStallOfTheProxyItselfIsNotTakenForSlowMembers) {
  Proxy p;
  p.List(Three());
  for (int i = 0; i < 60; ++i) p.End(p.Ask(kAny), Outcome::kOk, {}, 50_ms), p.Pass(60_ms);
  for (int round = 0; round < 10; ++round) {
    std::vector<RequestId> ids;
    for (int i = 0; i < 4; ++i) ids.push_back(p.Ask(kAny));
    p.Stall(900_ms);
    for (RequestId id : ids) p.End(id, Outcome::kOk, {}, 900_ms);
    p.Pass(100_ms);
  }
  const std::size_t before = p.refused.size();
  for (int i = 0; i < 20; ++i) p.End(p.Ask(kAny), Outcome::kOk, {}, 50_ms);
  EXPECT_EQ(p.refused.size(), before);
}

TEST(Health, AGroupIsNeverEjectedWhole) {
  Proxy p;
  p.List(Three());
  for (int i = 0; i < 60; ++i) {
    const RequestId id = p.Ask(kAny);
    for (std::size_t ended = 0; ended < p.SendsOf(id); ++ended) p.End(id, Outcome::kError, {}, 1_ms);
    p.Pass(20_ms);
  }
  p.Pass(200_ms);
  EXPECT_GE(p.SendsOf(p.Ask(kAny)), 1u);
}

TEST(Discovery, AsksAgainAfterAnErrorLaterEachTime) {
  Settings s = Usual();
  s.poll_endpoint_list = true;
  Proxy p(s);
  p.List(Three());
  p.Pass(200_ms);
  ASSERT_EQ(p.watches, 1);
  for (int i = 2; i < 5; ++i) {
    p.List({}, ListKind::kError);
    p.Pass(5000_ms);
    EXPECT_EQ(p.watches, i);
  }
}

TEST(Discovery, AFreshProxyProbesUnheardMembers) {
  Proxy p;
  p.List(Three());
  p.Pass(100_ms);
  EXPECT_EQ(p.probes.size(), 3u);
}

TEST(OddInput, DoesNoHarm) {
  Proxy p;
  p.List({});
  const RequestId lonely = p.Ask(kAny);
  p.Pass(2500_ms);
  EXPECT_EQ(p.AnswersTo(lonely), 1u);
  p.List({{.server = kA, .group = kGroup}}, ListKind::kComplete);
  EXPECT_EQ(p.SendsOf(p.Ask(kAny)), 1u);
  const RequestId id = p.Ask(kAny);
  p.Give(ClientDisconnectedEvent{id});
  p.Give(ClientDisconnectedEvent{id});
  p.End(id, Outcome::kOk);
  p.Give(TimerEvent{TimerId(12345)});
  p.Give(PeerEvent{1, "hello"});
  p.Give(HealthCheckEvent{ServerId(99), Outcome::kError, 1_ms, std::nullopt});
  p.Pass(3000_ms);
  EXPECT_EQ(p.AnswersTo(id), 0u);
}

TEST(OddInput, AWriteForAGroupWithoutMembersIsHeldAndRefused) {
  Proxy p;
  p.List({});
  const RequestId id = p.Ask(kUnsafeWrite);
  p.Pass(3000_ms);
  EXPECT_EQ(p.AnswersTo(id), 1u);
}

TEST(Determinism, TheSameEventsGiveTheSameSends) {
  std::vector<ServerId> first, second;
  for (auto* out : {&first, &second}) {
    Proxy p(Usual(), 77);
    p.List(Three());
    for (int i = 0; i < 50; ++i) out->push_back(p.LastTo(p.Ask(kAny)));
  }
  EXPECT_EQ(first, second);
}

}  // namespace
}  // namespace lynxgrade
