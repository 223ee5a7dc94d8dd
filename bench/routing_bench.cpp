// CPU time of the balancer with 10, 60 and 600 data servers in groups of six: for one request, from its
// arrival to its end, and for one periodic tick. The time per request must not grow with the number of other
// groups.
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

// A balancer with a list of servers, and the simulated time.
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

  // Runs one request to the next group, which responds after 30 ms of simulated time.
  void RunRequest() {
    RequestEvent request;
    request.id = RequestId(++last_request);
    request.group = GroupId(last_request % groups);
    request.time_left = Duration(1600000);
    now += Duration(1000);
    Feed(request);
    AttemptEndedEvent result;
    result.id = request.id;
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<StartAttempt>(&action)) result.server = send->server;
    }
    result.elapsed = Duration(30000);
    result.request_done = true;
    result.metadata = {now, false};
    now += result.elapsed;
    Feed(result);
  }

  TimePoint now{Duration(1000000000)};
  Balancer balancer;
  Actions actions;
  TimerId tick_timer{};
  std::uint32_t groups = 1, last_request = 0;
};

void Decision(benchmark::State& state) {
  LoadedBalancer loaded(static_cast<std::uint32_t>(state.range(0)));
  for (int i = 0; i < 2000; ++i) loaded.RunRequest();
  for (auto _ : state) loaded.RunRequest();
}

// The tick runs 20 times per second at any load.
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
