// The time of a decision as the fleet grows: one request from its event to its end, and one periodic tick,
// with 10, 60 and 600 servers in groups of six. Servers of other groups must not cost a request anything.
#include <benchmark/benchmark.h>

#include <variant>

#include "routing/balancer.h"

namespace lynxgrade {
namespace {

constexpr std::uint32_t kServersPerGroup = 6;

Settings SiteSettings() {
  Settings settings;
  RequestClass read;
  read.kind = AccessKind::kBoundedRead;
  read.staleness_bound = Duration(500000);
  read.latency_objective = Duration(400000);
  read.deadline = Duration(1600000);
  settings.classes = {read};
  settings.fleet_size = 300;
  settings.max_attempts = 8;
  settings.responses_report_position = settings.may_cancel = settings.may_health_check = true;
  settings.health_check_price = 0.01;
  settings.position_check = PositionCheck::kReject;
  settings.load_reporting = LoadReporting::kWithResponses;
  return settings;
}

struct LoadedBalancer {
  explicit LoadedBalancer(std::uint32_t servers) : balancer(SiteSettings(), 1) {
    EndpointListEvent list{EndpointListKind::kPersisted, {}};
    for (std::uint32_t i = 0; i < servers; ++i) {
      list.entries.push_back({.server = ServerId(i + 1), .group = GroupId(i / kServersPerGroup)});
    }
    groups = (servers + kServersPerGroup - 1) / kServersPerGroup;
    Feed(list);
  }

  void Feed(const Event& event) {
    actions.clear();
    balancer.Handle(now, event, actions);
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) tick_timer = timer->id;
    }
  }

  // One request to the next group, answered after 30 ms.
  void RunRequest() {
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
  TimerId tick_timer{};
  std::uint32_t groups = 1, last = 0;
};

void Decision(benchmark::State& state) {
  LoadedBalancer loaded(static_cast<std::uint32_t>(state.range(0)));
  for (int i = 0; i < 2000; ++i) loaded.RunRequest();
  for (auto _ : state) loaded.RunRequest();
}

// The tick comes twenty times a second, whatever the load.
void Tick(benchmark::State& state) {
  LoadedBalancer loaded(static_cast<std::uint32_t>(state.range(0)));
  const TimerId tick_timer = loaded.tick_timer;
  for (auto _ : state) {
    loaded.now += Duration(50000);
    loaded.Feed(TimerEvent{tick_timer});
  }
}

BENCHMARK(Decision)->Arg(10)->Arg(60)->Arg(600);
BENCHMARK(Tick)->Arg(10)->Arg(60)->Arg(600);

}  // namespace
}  // namespace lynxgrade

BENCHMARK_MAIN();
