// Tests of the decision module over longer simulated times: expiry of state, rejections and retries.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <variant>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade {
namespace {

constexpr ServerId kServerA{1}, kServerB{2};

// One Balancer with a simulated clock and two servers that respond after configured times.
struct BalancerSimulation {
  BalancerSimulation() : BalancerSimulation(DefaultSettings()) {}
  explicit BalancerSimulation(const Settings& settings) : balancer(settings, 7) {
    UpdateList(EndpointListKind::kPersisted, Lifecycle::kServing);
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

  void UpdateList(EndpointListKind kind, Lifecycle first) {
    EndpointListEvent event{kind, {}};
    event.entries.push_back({.server = kServerA, .group = GroupId(1), .lifecycle = first});
    event.entries.push_back({.server = kServerB, .group = GroupId(1)});
    HandleEvent(event);
  }

  void HandleEvent(const Event& event) {
    Actions actions;
    balancer.Handle(now, event, actions);
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action))
        pending.emplace(now + timer->delay, TimerEvent{timer->id});
      if (const auto* reject = std::get_if<Reject>(&action)) {
        ++rejected;
        shortest_retry_after = std::min(shortest_retry_after, reject->retry_after);
      }
      if (const auto* check = std::get_if<StartHealthCheck>(&action)) {
        ++health_checks;
        const LoadReport report{.position = now - lag, .primary = false};
        pending.emplace(now + Duration(1000),
                        HealthCheckEvent{check->server, Outcome::kOk, Duration(1000), report});
      }
      if (const auto* send = std::get_if<StartAttempt>(&action)) {
        ++sent[send->server];
        AttemptEndedEvent end;
        end.id = send->id;
        end.server = send->server;
        end.elapsed = response_time[send->server];
        end.request_done = true;
        pending.emplace(now + end.elapsed, end);
      }
    }
  }

  void Run(Duration time) {
    const TimePoint until = now + time;
    while (!pending.empty() && pending.begin()->first <= until) {
      const auto [when, event] = *pending.begin();
      pending.erase(pending.begin());
      now = when;
      HandleEvent(event);
    }
    now = until;
  }

  void SendRequests(int count, Duration interval = Duration(20000)) {
    sent.clear();
    rejected = 0;
    for (int i = 0; i < count; ++i) {
      RequestEvent request;
      request.id = RequestId(++last_id);
      request.group = GroupId(1);
      request.time_left = Duration(1200000);
      HandleEvent(request);
      Run(interval);
    }
  }

  TimePoint now{Duration(1000000000)};
  Balancer balancer;
  std::multimap<TimePoint, Event> pending;
  std::map<ServerId, Duration> response_time{{kServerA, Duration(30000)}, {kServerB, Duration(30000)}};
  std::map<ServerId, int> sent;
  int rejected = 0;
  int health_checks = 0;
  Duration lag{0};  // of both servers' positions
  Duration shortest_retry_after{1000000000};
  std::uint32_t last_id = 0;
};

TEST_CASE("the state of a deleted server expires") {
  BalancerSimulation simulation;
  simulation.response_time[kServerA] = Duration(250000);
  simulation.SendRequests(300);
  const int sent_while_slow = simulation.sent[kServerA];
  simulation.response_time[kServerA] = Duration(30000);
  simulation.UpdateList(EndpointListKind::kPartial, Lifecycle::kDeleted);
  simulation.Run(Duration(31000000));
  simulation.UpdateList(EndpointListKind::kPartial, Lifecycle::kServing);
  simulation.SendRequests(20);
  CHECK(sent_while_slow < 100);
  CHECK(simulation.sent[kServerA] >= 5);
}

// A single hanging connection must not make its server look slow.
TEST_CASE("an unanswered attempt does not count as slowness once a later attempt was answered") {
  BalancerSimulation simulation;
  simulation.UpdateList(EndpointListKind::kPartial, Lifecycle::kDeleted);
  simulation.SendRequests(200);
  simulation.response_time[kServerB] = Duration(60000000);
  simulation.SendRequests(1);
  simulation.response_time[kServerB] = Duration(30000);
  simulation.SendRequests(200);
  CHECK(simulation.rejected < 10);
}

TEST_CASE("a request is not rejected while a candidate is clearly faster than the drawn server") {
  BalancerSimulation simulation;
  simulation.SendRequests(200);
  simulation.response_time[kServerA] = Duration(280000);
  simulation.SendRequests(2000);
  CHECK(simulation.sent[kServerA] > 0);
  CHECK(simulation.rejected == 0);
}

// In a fleet of hundreds an instance sends to a group once per second, and to each of its six servers every
// 6 s. Responses of any server must therefore affect the estimates of all servers in the group.
TEST_CASE("rejections follow a group's overload and recovery even at one request per second") {
  BalancerSimulation simulation;
  EndpointListEvent more_servers{EndpointListKind::kPartial, {}};
  for (std::uint32_t i = 3; i <= 6; ++i)
    more_servers.entries.push_back({.server = ServerId(i), .group = GroupId(1)});
  simulation.HandleEvent(more_servers);
  const auto all_respond_in = [&](Duration time) {
    for (std::uint32_t i = 1; i <= 6; ++i) simulation.response_time[ServerId(i)] = time;
  };
  all_respond_in(Duration(60000));
  simulation.SendRequests(60, Duration(1000000));
  CHECK(simulation.rejected == 0);
  all_respond_in(Duration(200000));
  simulation.SendRequests(20, Duration(1000000));
  CHECK(simulation.rejected >= 5);
  all_respond_in(Duration(60000));
  simulation.SendRequests(10, Duration(1000000));
  simulation.SendRequests(20, Duration(1000000));
  CHECK(simulation.rejected <= 2);
}

TEST_CASE("Retry-After is below one tick interval if the baseline latency is") {
  BalancerSimulation simulation;
  simulation.response_time[kServerA] = simulation.response_time[kServerB] = Duration(10000);
  simulation.SendRequests(400);
  simulation.response_time[kServerA] = simulation.response_time[kServerB] = Duration(260000);
  simulation.SendRequests(200);
  REQUIRE(simulation.rejected > 0);
  CHECK(simulation.shortest_retry_after > Duration{0});
  CHECK(simulation.shortest_retry_after < Duration(50000));
}

TEST_CASE("a write without a usable server is rejected by half of its deadline") {
  BalancerSimulation simulation;
  simulation.balancer = Balancer(
      [] {
        Settings s = BalancerSimulation::DefaultSettings();
        s.classes[0].kind = AccessKind::kWrite;
        s.classes[0].late_response_value = 1;
        return s;
      }(),
      7);
  simulation.HandleEvent(
      EndpointListEvent{EndpointListKind::kPersisted,
                        {{.server = kServerA, .group = GroupId(1), .lifecycle = Lifecycle::kDraining}}});
  RequestEvent request;
  request.id = RequestId(1);
  request.group = GroupId(1);
  request.time_left = Duration(1200000);
  simulation.HandleEvent(request);
  CHECK(simulation.rejected == 0);
  simulation.Run(Duration(600000));
  CHECK(simulation.rejected == 1);
}

// Servers that do not check positions, but report them.
Settings SettingsWithoutPositionCheck() {
  Settings s = BalancerSimulation::DefaultSettings();
  s.classes[0].kind = AccessKind::kBoundedRead;
  s.classes[0].staleness_bound = Duration(500000);
  s.classes[0].latency_objective = Duration(1000000);
  s.position_check = PositionCheck::kNone;
  s.load_reporting = LoadReporting::kWithResponses;
  s.may_health_check = true;
  s.health_check_price = 0.01;
  return s;
}

// Letting such a read wait would cost health checks and leave the client no time to retry.
TEST_CASE("a read is rejected at once if no replica can reach its position in time") {
  BalancerSimulation simulation(SettingsWithoutPositionCheck());
  simulation.lag = Duration(10000000);
  simulation.Run(Duration(2000000));
  simulation.health_checks = 0;
  simulation.SendRequests(10, Duration(100000));
  CHECK(simulation.rejected >= 9);
  CHECK(simulation.sent[kServerA] + simulation.sent[kServerB] == 0);
  CHECK(simulation.health_checks < 10);
  CHECK(simulation.shortest_retry_after > Duration{0});
}

TEST_CASE("a read waits for a replica close to its required position until the position is proven") {
  BalancerSimulation simulation(SettingsWithoutPositionCheck());
  simulation.lag = Duration(600000);
  simulation.Run(Duration(2000000));
  simulation.SendRequests(1, Duration(150000));
  CHECK(simulation.rejected == 0);
  CHECK(simulation.sent[kServerA] + simulation.sent[kServerB] == 0);
  simulation.lag = Duration(10000);
  simulation.Run(Duration(200000));
  CHECK(simulation.rejected == 0);
  CHECK(simulation.sent[kServerA] + simulation.sent[kServerB] == 1);
}

// The latency objective counts from the client's first attempt.
TEST_CASE("a retry after the latency objective has passed is rejected") {
  BalancerSimulation simulation;
  const auto send = [&](Duration left, bool is_retry) {
    RequestEvent event;
    event.id = RequestId(++simulation.last_id);
    event.group = GroupId(1);
    event.time_left = left;
    event.is_retry = is_retry;
    simulation.HandleEvent(event);
    simulation.Run(Duration(50000));
  };
  for (int i = 0; i < 20; ++i) send(Duration(800000), false);
  CHECK(simulation.rejected == 0);
  // The deadline is 1.2 s, so an attempt with 0.85 s left is a retry 0.35 s after the first one. The latency
  // objective is 0.3 s.
  send(Duration(850000), true);
  send(Duration(400000), true);
  CHECK(simulation.rejected == 2);
  send(Duration(800000), false);
  CHECK(simulation.rejected == 2);
}

TEST_CASE("a request for an unlisted group is rejected at once") {
  BalancerSimulation simulation;
  RequestEvent request;
  request.id = RequestId(1);
  request.group = GroupId(5);
  request.time_left = Duration(1200000);
  simulation.HandleEvent(request);
  CHECK(simulation.rejected == 1);
}

// Servers know the idempotency key either in the zone or in the group of the server that may have run the
// write.
TEST_CASE("a write that may have run is retried only within its idempotency window and the key's scope") {
  struct Scope {
    bool in_zone;
    ZoneIndex other;  // zone of the server that has become primary
    Duration window;
    bool sent;
  };
  for (const Scope& scope :
       {Scope{false, 1, Duration(900000), true}, Scope{true, 1, Duration(900000), false},
        Scope{true, 0, Duration(900000), true}, Scope{false, 0, Duration(250000), false}}) {
    CAPTURE(scope.in_zone);
    CAPTURE(scope.other);
    CAPTURE(scope.window.count());
    Settings s = BalancerSimulation::DefaultSettings();
    s.classes[0].kind = AccessKind::kWrite;
    s.classes[0].idempotency = Idempotency::kIdempotencyKey;
    s.classes[0].deduplicated_everywhere = false;
    s.classes[0].deduplicated_in_zone = scope.in_zone;
    s.classes[0].idempotency_window = scope.window;
    s.classes[0].latency_objective = Duration(1200000);
    Balancer balancer(s, 3);
    TimePoint now{Duration(1000000000)};
    std::multimap<TimePoint, TimerId> pending;
    std::vector<StartAttempt> sends;
    const auto handle = [&](const Event& event) {
      Actions actions;
      balancer.Handle(now, event, actions);
      for (const Action& action : actions) {
        if (const auto* timer = std::get_if<SetTimer>(&action))
          pending.emplace(now + timer->delay, timer->id);
        if (const auto* send = std::get_if<StartAttempt>(&action)) sends.push_back(*send);
      }
    };
    handle(EndpointListEvent{EndpointListKind::kPersisted,
                             {{.server = kServerA, .group = GroupId(1), .zone = 0},
                              {.server = kServerB, .group = GroupId(1), .zone = scope.other}}});
    RequestEvent request;
    request.id = RequestId(1);
    request.group = GroupId(1);
    request.time_left = Duration(1200000);
    handle(request);
    REQUIRE(sends.size() == 1);
    const ServerId first_server = sends[0].server, other = first_server == kServerA ? kServerB : kServerA;
    const TimePoint sent = now;
    now += Duration(300000);
    handle(AttemptEndedEvent{.id = RequestId(1),
                             .server = first_server,
                             .outcome = Outcome::kConnectionLost,
                             .elapsed = now - sent});
    // A health check reports the other server as the primary.
    handle(
        HealthCheckEvent{other, Outcome::kOk, Duration(1000), LoadReport{.position = now, .primary = true}});
    while (!pending.empty() && pending.begin()->first < sent + Duration(1150000)) {
      const auto [when, id] = *pending.begin();
      pending.erase(pending.begin());
      now = std::max(now, when);
      handle(TimerEvent{id});
    }
    std::size_t retries_at_other = 0;
    for (std::size_t i = 1; i < sends.size(); ++i) {
      retries_at_other += sends[i].server == other;
      // The retry must be written within the idempotency window, which began with the first attempt.
      CHECK(sends[i].write_timeout <= scope.window - Duration(300000));
      CHECK(sends[i].write_timeout > Duration(0));
    }
    CHECK((retries_at_other > 0) == scope.sent);
    CHECK(sends[0].write_timeout == Duration::max());
  }
}

}  // namespace
}  // namespace lynxgrade
