// The decision module by itself, on days that last: what it forgets, and whom it refuses.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <variant>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade {
namespace {

constexpr ServerId kFirst{1}, kSecond{2};

// One module with a clock of its own; attempts are answered after the time that is set for their member.
struct Rig {
  Rig() : Rig(SettingsHere()) {}
  explicit Rig(const Settings& settings) : balancer(settings, 7) {
    List(ListKind::kPersisted, Lifecycle::kServing);
  }

  static Settings SettingsHere() {
    Settings s;
    RequestClass any;
    any.latency_objective = Duration(300000);
    any.deadline = Duration(1200000);
    s.classes = {any};
    s.max_attempts = 8;
    s.may_cancel = s.clients_honor_retry_after = true;
    s.max_retry_after = Duration(500000);
    return s;
  }

  void List(ListKind kind, Lifecycle first) {
    ListEvent event{kind, {}};
    event.entries.push_back({.server = kFirst, .group = GroupId(1), .lifecycle = first});
    event.entries.push_back({.server = kSecond, .group = GroupId(1)});
    Feed(event);
  }

  void Feed(const Event& event) {
    Actions actions;
    balancer.Handle(now, event, actions);
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action))
        due.emplace(now + timer->delay, TimerEvent{timer->id});
      if (const auto* refuse = std::get_if<Reject>(&action)) {
        ++refused;
        shortest = std::min(shortest, refuse->retry_after);
      }
      if (const auto* probe = std::get_if<StartHealthCheck>(&action)) {
        ++probes;
        const LoadReport report{.position = now - lag, .primary = false};
        due.emplace(now + Duration(1000),
                    HealthCheckEvent{probe->server, Outcome::kOk, Duration(1000), report});
      }
      if (const auto* send = std::get_if<StartAttempt>(&action)) {
        ++sent[send->server];
        AttemptEndedEvent end;
        end.id = send->id;
        end.server = send->server;
        end.elapsed = takes[send->server];
        end.request_done = true;
        due.emplace(now + end.elapsed, end);
      }
    }
  }

  void Run(Duration time) {
    const TimePoint until = now + time;
    while (!due.empty() && due.begin()->first <= until) {
      const auto [when, event] = *due.begin();
      due.erase(due.begin());
      now = when;
      Feed(event);
    }
    now = until;
  }

  void Ask(int count, Duration every = Duration(20000)) {
    sent.clear();
    refused = 0;
    for (int i = 0; i < count; ++i) {
      RequestEvent ask;
      ask.id = RequestId(++last);
      ask.group = GroupId(1);
      ask.time_left = Duration(1200000);
      Feed(ask);
      Run(every);
    }
  }

  TimePoint now{Duration(1000000000)};
  Balancer balancer;
  std::multimap<TimePoint, Event> due;
  std::map<ServerId, Duration> takes{{kFirst, Duration(30000)}, {kSecond, Duration(30000)}};
  std::map<ServerId, int> sent;
  int refused = 0;
  int probes = 0;
  Duration lag{0};  // of both members, as probes tell it
  Duration shortest{1000000000};
  std::uint32_t last = 0;
};

TEST_CASE("a member that is gone for long is forgotten: under its id another may come") {
  Rig rig;
  rig.takes[kFirst] = Duration(250000);
  rig.Ask(300);
  const int when_slow = rig.sent[kFirst];
  rig.takes[kFirst] = Duration(30000);
  rig.List(ListKind::kPartial, Lifecycle::kDeleted);
  rig.Run(Duration(31000000));
  rig.List(ListKind::kPartial, Lifecycle::kServing);
  rig.Ask(20);
  CHECK(when_slow < 100);
  CHECK(rig.sent[kFirst] >= 5);
}

// One connection that falls silent must not make its data server look lost.
TEST_CASE("an attempt that is overtaken does not make its member look slow") {
  Rig rig;
  rig.List(ListKind::kPartial, Lifecycle::kDeleted);
  rig.Ask(200);
  rig.takes[kSecond] = Duration(60000000);
  rig.Ask(1);
  rig.takes[kSecond] = Duration(30000);
  rig.Ask(200);
  CHECK(rig.refused < 10);
}

TEST_CASE("a request is not refused for the member that the draw fell on while another is clearly quicker") {
  Rig rig;
  rig.Ask(200);
  rig.takes[kFirst] = Duration(280000);
  rig.Ask(2000);
  CHECK(rig.sent[kFirst] > 0);
  CHECK(rig.refused == 0);
}

// One pooler of hundreds asks a group once a second, and each of its members every six. What it heard last of
// any of them tells of all: a crowded group was sent its usual load until its queues were full.
TEST_CASE("a pooler that asks a group seldom refuses soon after the group is crowded, and not for long") {
  Rig rig;
  ListEvent six{ListKind::kPartial, {}};
  for (std::uint32_t i = 3; i <= 6; ++i) six.entries.push_back({.server = ServerId(i), .group = GroupId(1)});
  rig.Feed(six);
  const auto all_take = [&](Duration time) {
    for (std::uint32_t i = 1; i <= 6; ++i) rig.takes[ServerId(i)] = time;
  };
  all_take(Duration(60000));
  rig.Ask(60, Duration(1000000));
  CHECK(rig.refused == 0);
  all_take(Duration(200000));
  rig.Ask(20, Duration(1000000));
  CHECK(rig.refused >= 5);
  all_take(Duration(60000));
  rig.Ask(10, Duration(1000000));
  rig.Ask(20, Duration(1000000));
  CHECK(rig.refused <= 2);
}

TEST_CASE("where answers are quick, the advice to come back is short") {
  Rig rig;
  rig.takes[kFirst] = rig.takes[kSecond] = Duration(10000);
  rig.Ask(400);
  rig.takes[kFirst] = rig.takes[kSecond] = Duration(260000);
  rig.Ask(200);
  REQUIRE(rig.refused > 0);
  CHECK(rig.shortest > Duration{0});
  CHECK(rig.shortest < Duration(50000));
}

TEST_CASE("a write that can be sent to nobody is refused before half of its time has gone") {
  Rig rig;
  rig.balancer = Balancer(
      [] {
        Settings s = Rig::SettingsHere();
        s.classes[0].kind = AccessKind::kWrite;
        s.classes[0].late_response_value = 1;
        return s;
      }(),
      7);
  rig.Feed(ListEvent{ListKind::kPersisted,
                     {{.server = kFirst, .group = GroupId(1), .lifecycle = Lifecycle::kDraining}}});
  RequestEvent ask;
  ask.id = RequestId(1);
  ask.group = GroupId(1);
  ask.time_left = Duration(1200000);
  rig.Feed(ask);
  CHECK(rig.refused == 0);
  rig.Run(Duration(600000));
  CHECK(rig.refused == 1);
}

// Data servers that answer from what they have, however old, and report positions.
Settings Unchecked() {
  Settings s = Rig::SettingsHere();
  s.classes[0].kind = AccessKind::kBoundedRead;
  s.classes[0].staleness_bound = Duration(500000);
  s.classes[0].latency_objective = Duration(1000000);
  s.position_check = PositionCheck::kNone;
  s.load_reporting = LoadReporting::kWithResponses;
  s.may_health_check = true;
  s.health_check_price = 0.01;
  return s;
}

// Seen on the second deployment: reads waited a second for replicas that were ten seconds behind, with a
// probe of each every pause, were refused then, and clients came again when nothing was of use any more.
TEST_CASE("a read that no replica can come to in time is refused at once, and nobody is asked for it") {
  Rig rig(Unchecked());
  rig.lag = Duration(10000000);
  rig.Run(Duration(2000000));
  rig.probes = 0;
  rig.Ask(10, Duration(100000));
  CHECK(rig.refused >= 9);
  CHECK(rig.sent[kFirst] + rig.sent[kSecond] == 0);
  CHECK(rig.probes < 10);
  CHECK(rig.shortest > Duration{0});
}

TEST_CASE("a read waits for a replica that is near its target, and goes there once it is proven") {
  Rig rig(Unchecked());
  rig.lag = Duration(600000);
  rig.Run(Duration(2000000));
  rig.Ask(1, Duration(150000));
  CHECK(rig.refused == 0);
  CHECK(rig.sent[kFirst] + rig.sent[kSecond] == 0);
  rig.lag = Duration(10000);
  rig.Run(Duration(200000));
  CHECK(rig.refused == 0);
  CHECK(rig.sent[kFirst] + rig.sent[kSecond] == 1);
}

// The same: a tenth of all answers came after the aim, which is counted from the client's first try, on days
// on which half of the reads were refused.
TEST_CASE("a client that comes again after its aim has passed does not take the place of one in time") {
  Rig rig;
  const auto ask = [&](Duration left, bool is_retry) {
    RequestEvent event;
    event.id = RequestId(++rig.last);
    event.group = GroupId(1);
    event.time_left = left;
    event.is_retry = is_retry;
    rig.Feed(event);
    rig.Run(Duration(50000));
  };
  for (int i = 0; i < 20; ++i) ask(Duration(800000), false);
  CHECK(rig.refused == 0);
  // 1.2 s in all: a try with 0.85 s left is the last of one that began 0.35 s ago, and its aim is 0.3 s.
  ask(Duration(850000), true);
  ask(Duration(400000), true);
  CHECK(rig.refused == 2);
  ask(Duration(800000), false);
  CHECK(rig.refused == 2);
}

TEST_CASE("a group that no list names is refused at once, whatever time there is") {
  Rig rig;
  RequestEvent ask;
  ask.id = RequestId(1);
  ask.group = GroupId(5);
  ask.time_left = Duration(1200000);
  rig.Feed(ask);
  CHECK(rig.refused == 1);
}

// The key is known in the zone of the member that may have run it, to its group, or to all.
TEST_CASE("a write that may have run is repeated within its window, where its key's scope allows") {
  struct Scope {
    bool in_zone;
    ZoneIndex other;  // of the member that is primary by then
    Duration window;
    bool sent;
  };
  for (const Scope& c : {Scope{false, 1, Duration(900000), true}, Scope{true, 1, Duration(900000), false},
                         Scope{true, 0, Duration(900000), true}, Scope{false, 0, Duration(250000), false}}) {
    CAPTURE(c.in_zone);
    CAPTURE(c.other);
    CAPTURE(c.window.count());
    Settings s = Rig::SettingsHere();
    s.classes[0].kind = AccessKind::kWrite;
    s.classes[0].idempotency = Idempotency::kIdempotencyKey;
    s.classes[0].deduplicated_everywhere = false;
    s.classes[0].deduplicated_in_zone = c.in_zone;
    s.classes[0].idempotency_window = c.window;
    s.classes[0].latency_objective = Duration(1200000);
    Balancer balancer(s, 3);
    TimePoint now{Duration(1000000000)};
    std::multimap<TimePoint, TimerId> due;
    std::vector<StartAttempt> sends;
    const auto feed = [&](const Event& event) {
      Actions actions;
      balancer.Handle(now, event, actions);
      for (const Action& action : actions) {
        if (const auto* timer = std::get_if<SetTimer>(&action)) due.emplace(now + timer->delay, timer->id);
        if (const auto* send = std::get_if<StartAttempt>(&action)) sends.push_back(*send);
      }
    };
    feed(ListEvent{ListKind::kPersisted,
                   {{.server = kFirst, .group = GroupId(1), .zone = 0},
                    {.server = kSecond, .group = GroupId(1), .zone = c.other}}});
    RequestEvent ask;
    ask.id = RequestId(1);
    ask.group = GroupId(1);
    ask.time_left = Duration(1200000);
    feed(ask);
    REQUIRE(sends.size() == 1);
    const ServerId ran = sends[0].server, other = ran == kFirst ? kSecond : kFirst;
    const TimePoint sent = now;
    now += Duration(300000);
    feed(AttemptEndedEvent{
        .id = RequestId(1), .server = ran, .outcome = Outcome::kConnectionLost, .elapsed = now - sent});
    // Another write shows that the other member is the primary now.
    feed(HealthCheckEvent{other, Outcome::kOk, Duration(1000), LoadReport{.position = now, .primary = true}});
    while (!due.empty() && due.begin()->first < sent + Duration(1150000)) {
      const auto [when, id] = *due.begin();
      due.erase(due.begin());
      now = std::max(now, when);
      feed(TimerEvent{id});
    }
    std::size_t there = 0;
    for (std::size_t i = 1; i < sends.size(); ++i) {
      there += sends[i].server == other;
      // It says until when the repeat may be written: within the window of the first.
      CHECK(sends[i].write_within <= c.window - Duration(300000));
      CHECK(sends[i].write_within > Duration(0));
    }
    CHECK((there > 0) == c.sent);
    CHECK(sends[0].write_within == Duration::max());
  }
}

}  // namespace
}  // namespace lynxgrade
