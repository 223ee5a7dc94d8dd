// The decision module by itself over long times: what it forgets, and which requests it rejects.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <variant>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade {
namespace {

constexpr ServerId kFirst{1}, kSecond{2};

// One decision module with a clock of its own, in front of two servers that respond after a set time.
struct LongRun {
  LongRun() : LongRun(DefaultSettings()) {}
  explicit LongRun(const Settings& settings) : balancer(settings, 7) {
    List(EndpointListKind::kPersisted, Lifecycle::kServing);
  }

  static Settings DefaultSettings() {
    Settings s;
    RequestClass eventual_read;
    eventual_read.latency_objective = Duration(300000);
    eventual_read.deadline = Duration(1200000);
    s.classes = {eventual_read};
    s.max_attempts = 8;
    s.may_cancel = s.clients_honor_retry_after = true;
    s.max_retry_after = Duration(500000);
    return s;
  }

  void List(EndpointListKind kind, Lifecycle first) {
    EndpointListEvent event{kind, {}};
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
      if (const auto* reject = std::get_if<Reject>(&action)) {
        ++rejected;
        shortest_retry_after = std::min(shortest_retry_after, reject->retry_after);
      }
      if (const auto* check = std::get_if<StartHealthCheck>(&action)) {
        ++health_checks;
        const LoadReport report{.position = now - lag, .primary = false};
        due.emplace(now + Duration(1000),
                    HealthCheckEvent{check->server, Outcome::kOk, Duration(1000), report});
      }
      if (const auto* send = std::get_if<StartAttempt>(&action)) {
        ++sent[send->server];
        AttemptEndedEvent end;
        end.id = send->id;
        end.server = send->server;
        end.elapsed = response_time[send->server];
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
    rejected = 0;
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
  std::map<ServerId, Duration> response_time{{kFirst, Duration(30000)}, {kSecond, Duration(30000)}};
  std::map<ServerId, int> sent;
  int rejected = 0;
  int health_checks = 0;
  Duration lag{0};  // of both servers' positions
  Duration shortest_retry_after{1000000000};
  std::uint32_t last = 0;
};

TEST_CASE("a server that was deleted for long is forgotten, so that its id can stand for another") {
  LongRun run;
  run.response_time[kFirst] = Duration(250000);
  run.Ask(300);
  const int when_slow = run.sent[kFirst];
  run.response_time[kFirst] = Duration(30000);
  run.List(EndpointListKind::kPartial, Lifecycle::kDeleted);
  run.Run(Duration(31000000));
  run.List(EndpointListKind::kPartial, Lifecycle::kServing);
  run.Ask(20);
  CHECK(when_slow < 100);
  CHECK(run.sent[kFirst] >= 5);
}

// One connection that falls silent must not make its server look lost.
TEST_CASE("an attempt that is overtaken does not make its server look slow") {
  LongRun run;
  run.List(EndpointListKind::kPartial, Lifecycle::kDeleted);
  run.Ask(200);
  run.response_time[kSecond] = Duration(60000000);
  run.Ask(1);
  run.response_time[kSecond] = Duration(30000);
  run.Ask(200);
  CHECK(run.rejected < 10);
}

TEST_CASE("a request is not rejected for the server that was drawn while another is clearly faster") {
  LongRun run;
  run.Ask(200);
  run.response_time[kFirst] = Duration(280000);
  run.Ask(2000);
  CHECK(run.sent[kFirst] > 0);
  CHECK(run.rejected == 0);
}

// One instance of hundreds sends to a group once a second, and to each of its servers every six seconds. What
// it recorded last of any of them has to count for all.
TEST_CASE(
    "an instance that seldom sends to a group rejects soon after the group is overloaded, and not for long") {
  LongRun run;
  EndpointListEvent six{EndpointListKind::kPartial, {}};
  for (std::uint32_t i = 3; i <= 6; ++i) six.entries.push_back({.server = ServerId(i), .group = GroupId(1)});
  run.Feed(six);
  const auto all_respond_in = [&](Duration time) {
    for (std::uint32_t i = 1; i <= 6; ++i) run.response_time[ServerId(i)] = time;
  };
  all_respond_in(Duration(60000));
  run.Ask(60, Duration(1000000));
  CHECK(run.rejected == 0);
  all_respond_in(Duration(200000));
  run.Ask(20, Duration(1000000));
  CHECK(run.rejected >= 5);
  all_respond_in(Duration(60000));
  run.Ask(10, Duration(1000000));
  run.Ask(20, Duration(1000000));
  CHECK(run.rejected <= 2);
}

TEST_CASE("where responses are fast, Retry-After is short") {
  LongRun run;
  run.response_time[kFirst] = run.response_time[kSecond] = Duration(10000);
  run.Ask(400);
  run.response_time[kFirst] = run.response_time[kSecond] = Duration(260000);
  run.Ask(200);
  REQUIRE(run.rejected > 0);
  CHECK(run.shortest_retry_after > Duration{0});
  CHECK(run.shortest_retry_after < Duration(50000));
}

TEST_CASE("a write that no server can take is rejected before half of its time has passed") {
  LongRun run;
  run.balancer = Balancer(
      [] {
        Settings s = LongRun::DefaultSettings();
        s.classes[0].kind = AccessKind::kWrite;
        s.classes[0].late_response_value = 1;
        return s;
      }(),
      7);
  run.Feed(EndpointListEvent{EndpointListKind::kPersisted,
                             {{.server = kFirst, .group = GroupId(1), .lifecycle = Lifecycle::kDraining}}});
  RequestEvent ask;
  ask.id = RequestId(1);
  ask.group = GroupId(1);
  ask.time_left = Duration(1200000);
  run.Feed(ask);
  CHECK(run.rejected == 0);
  run.Run(Duration(600000));
  CHECK(run.rejected == 1);
}

// Servers that answer from what they have, however old, and report positions.
Settings UncheckedSettings() {
  Settings s = LongRun::DefaultSettings();
  s.classes[0].kind = AccessKind::kBoundedRead;
  s.classes[0].staleness_bound = Duration(500000);
  s.classes[0].latency_objective = Duration(1000000);
  s.position_check = PositionCheck::kNone;
  s.load_reporting = LoadReporting::kWithResponses;
  s.may_health_check = true;
  s.health_check_price = 0.01;
  return s;
}

// A read that waits in vain costs health checks, and its client retries when no response is of use any more.
TEST_CASE(
    "a read that no replica can catch up for in time is rejected at once, without health checks for it") {
  LongRun run(UncheckedSettings());
  run.lag = Duration(10000000);
  run.Run(Duration(2000000));
  run.health_checks = 0;
  run.Ask(10, Duration(100000));
  CHECK(run.rejected >= 9);
  CHECK(run.sent[kFirst] + run.sent[kSecond] == 0);
  CHECK(run.health_checks < 10);
  CHECK(run.shortest_retry_after > Duration{0});
}

TEST_CASE(
    "a read waits for a replica that is near its required position, and goes there once that is proven") {
  LongRun run(UncheckedSettings());
  run.lag = Duration(600000);
  run.Run(Duration(2000000));
  run.Ask(1, Duration(150000));
  CHECK(run.rejected == 0);
  CHECK(run.sent[kFirst] + run.sent[kSecond] == 0);
  run.lag = Duration(10000);
  run.Run(Duration(200000));
  CHECK(run.rejected == 0);
  CHECK(run.sent[kFirst] + run.sent[kSecond] == 1);
}

// The latency objective counts from the client's first attempt.
TEST_CASE("a client that retries after its latency objective does not take the place of one in time") {
  LongRun run;
  const auto ask = [&](Duration left, bool is_retry) {
    RequestEvent event;
    event.id = RequestId(++run.last);
    event.group = GroupId(1);
    event.time_left = left;
    event.is_retry = is_retry;
    run.Feed(event);
    run.Run(Duration(50000));
  };
  for (int i = 0; i < 20; ++i) ask(Duration(800000), false);
  CHECK(run.rejected == 0);
  // 1.2 s in all: an attempt with 0.85 s left is a retry of one that began 0.35 s ago; the objective is 0.3
  // s.
  ask(Duration(850000), true);
  ask(Duration(400000), true);
  CHECK(run.rejected == 2);
  ask(Duration(800000), false);
  CHECK(run.rejected == 2);
}

TEST_CASE("a request for an unlisted group is rejected at once, whatever time it has left") {
  LongRun run;
  RequestEvent ask;
  ask.id = RequestId(1);
  ask.group = GroupId(5);
  ask.time_left = Duration(1200000);
  run.Feed(ask);
  CHECK(run.rejected == 1);
}

// The key is known in the zone of the server that may have run it, or in its group.
TEST_CASE("a write that may have run is retried within its window, where its key's scope allows") {
  struct Scope {
    bool in_zone;
    ZoneIndex other;  // of the server that is primary by then
    Duration window;
    bool sent;
  };
  for (const Scope& scope :
       {Scope{false, 1, Duration(900000), true}, Scope{true, 1, Duration(900000), false},
        Scope{true, 0, Duration(900000), true}, Scope{false, 0, Duration(250000), false}}) {
    CAPTURE(scope.in_zone);
    CAPTURE(scope.other);
    CAPTURE(scope.window.count());
    Settings s = LongRun::DefaultSettings();
    s.classes[0].kind = AccessKind::kWrite;
    s.classes[0].idempotency = Idempotency::kIdempotencyKey;
    s.classes[0].deduplicated_everywhere = false;
    s.classes[0].deduplicated_in_zone = scope.in_zone;
    s.classes[0].idempotency_window = scope.window;
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
    feed(EndpointListEvent{EndpointListKind::kPersisted,
                           {{.server = kFirst, .group = GroupId(1), .zone = 0},
                            {.server = kSecond, .group = GroupId(1), .zone = scope.other}}});
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
    // The other server is found to be the primary now.
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
      // The retry may be written within the window of the first attempt.
      CHECK(sends[i].write_timeout <= scope.window - Duration(300000));
      CHECK(sends[i].write_timeout > Duration(0));
    }
    CHECK((there > 0) == scope.sent);
    CHECK(sends[0].write_timeout == Duration::max());
  }
}

}  // namespace
}  // namespace lynxgrade
