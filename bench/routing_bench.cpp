// The time of a decision as the fleet grows: one request from its event to its end, and one beat, with 10, 60
// and 600 members in groups of six. What the request's own group does not hold must not cost it anything.
#include <benchmark/benchmark.h>

#include <variant>

#include "routing/balancer.h"

namespace lynxgrade {
namespace {

constexpr std::uint32_t kGroup = 6;

Settings Site() {
  Settings s;
  RequestClass read;
  read.kind = AccessKind::kBoundedRead;
  read.staleness_bound = Duration(500000);
  read.latency_objective = Duration(400000);
  read.deadline = Duration(1600000);
  s.classes = {read};
  s.peers_total = 300;
  s.max_attempts = 8;
  s.responses_report_position = s.may_cancel = s.may_health_check = true;
  s.health_check_price = 0.01;
  s.position_check = PositionCheck::kReject;
  s.load_reporting = LoadReporting::kWithResponses;
  return s;
}

struct Rig {
  explicit Rig(std::uint32_t servers) : balancer(Site(), 1) {
    ListEvent list{ListKind::kPersisted, {}};
    for (std::uint32_t i = 0; i < servers; ++i) {
      list.entries.push_back({.server = ServerId(i + 1), .group = GroupId(i / kGroup)});
    }
    groups = (servers + kGroup - 1) / kGroup;
    Feed(list);
  }

  void Feed(const Event& event) {
    actions.clear();
    balancer.Handle(now, event, actions);
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) beat = timer->id;
    }
  }

  // One request to the next group, answered after 30 ms.
  void Request() {
    RequestEvent ask;
    ask.id = RequestId(++last);
    ask.group = GroupId(last % groups);
    ask.time_left = Duration(1600000);
    now += Duration(1000);
    Feed(ask);
    AttemptEndedEvent end;
    end.id = ask.id;
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<StartAttempt>(&action)) end.server = send->server;
    }
    end.elapsed = Duration(30000);
    end.request_done = true;
    end.metadata = {now, false};
    now += end.elapsed;
    Feed(end);
  }

  TimePoint now{Duration(1000000000)};
  Balancer balancer;
  Actions actions;
  TimerId beat{};
  std::uint32_t groups = 1, last = 0;
};

void Decision(benchmark::State& state) {
  Rig rig(static_cast<std::uint32_t>(state.range(0)));
  for (int i = 0; i < 2000; ++i) rig.Request();
  for (auto _ : state) rig.Request();
}

// The beat comes twenty times a second, whatever is asked.
void Beat(benchmark::State& state) {
  Rig rig(static_cast<std::uint32_t>(state.range(0)));
  const TimerId beat = rig.beat;
  for (auto _ : state) {
    rig.now += Duration(50000);
    rig.Feed(TimerEvent{beat});
  }
}

BENCHMARK(Decision)->Arg(10)->Arg(60)->Arg(600);
BENCHMARK(Beat)->Arg(10)->Arg(60)->Arg(600);

}  // namespace
}  // namespace lynxgrade

BENCHMARK_MAIN();
