// A decision module in simulated time: the fixture of the balancer tests.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "consistency/session_consistency_guard.h"
#include "routing/balancer.h"

namespace lynxgrade {

constexpr Duration operator""_ms(unsigned long long n) {
  return Duration(static_cast<std::int64_t>(n) * 1000);
}

// The classes of DefaultSettings.
inline constexpr ClassIndex kEventualRead = 0;
inline constexpr ClassIndex kBoundedRead = 1;
inline constexpr ClassIndex kSessionRead = 2;
inline constexpr ClassIndex kNotIdempotentWrite = 3;
inline constexpr ClassIndex kWriteWithKey = 4;
inline constexpr ClassIndex kStrongRead = 5;

inline constexpr GroupId kGroup{1};

// Servers check positions and report load with their responses. Cancelling, hedging and health checks are
// allowed.
inline Settings DefaultSettings() {
  Settings settings;
  const auto class_of = [](AccessKind kind, Idempotency idempotency) {
    RequestClass request_class;
    request_class.kind = kind;
    request_class.idempotency = idempotency;
    request_class.latency_objective = 500_ms;
    request_class.deadline = 2000_ms;
    request_class.staleness_bound = 300_ms;
    request_class.idempotency_window = 1000_ms;
    request_class.deduplicated_everywhere = false;
    return request_class;
  };
  settings.classes = {class_of(AccessKind::kEventualRead, Idempotency::kIdempotent),
                      class_of(AccessKind::kBoundedRead, Idempotency::kIdempotent),
                      class_of(AccessKind::kSessionRead, Idempotency::kIdempotent),
                      class_of(AccessKind::kWrite, Idempotency::kNotIdempotent),
                      class_of(AccessKind::kWrite, Idempotency::kIdempotencyKey),
                      class_of(AccessKind::kStrongRead, Idempotency::kIdempotent)};
  settings.position_check = PositionCheck::kWait;
  settings.replica_wait_limit = 50_ms;
  settings.listed_role = ListedRole::kInitial;
  settings.responses_report_position = true;
  settings.load_reporting = LoadReporting::kWithResponses;
  settings.may_cancel = settings.may_health_check = settings.may_hedge = true;
  settings.max_attempts = 6;
  settings.drain_grace = 1000_ms;
  settings.initial_capacity = 0.2;
  settings.slow_start_duration = 10000_ms;
  settings.overload_factor = 2;
  settings.overload_duration = 2000_ms;
  return settings;
}

// Runs one Balancer in simulated time: fires its timers and records its actions.
class SimulatedInstance {
 public:
  explicit SimulatedInstance(Settings settings = DefaultSettings(), std::uint64_t seed = 1)
      : consistency_guard_(settings, {}), balancer_(std::move(settings), seed) {}

  // Handles an event and returns the resulting actions.
  Actions Handle(Event event) {
    Actions actions;
    consistency_guard_.PrepareEvent(now_, event);
    balancer_.Handle(now_, event, actions);
    consistency_guard_.HandleActions(actions);
    for (const Action& action : actions) Record(action);
    return actions;
  }

  // Advances the time and fires the timers that become due.
  void Advance(Duration time) {
    const TimePoint end = now_ + time;
    while (!timers_.empty() && timers_.begin()->first <= end) {
      now_ = std::max(now_, timers_.begin()->first);
      const TimerId id = timers_.begin()->second;
      timers_.erase(timers_.begin());
      Handle(TimerEvent{id});
    }
    now_ = end;
  }

  // Advances the time without firing timers, as if the instance were stalled.
  void Stall(Duration time) { now_ += time; }

  void UpdateList(std::vector<EndpointListEntry> entries,
                  EndpointListKind kind = EndpointListKind::kPersisted) {
    Handle(EndpointListEvent{kind, std::move(entries)});
  }

  RequestId SendRequest(ClassIndex request_class, std::optional<Duration> time_since_write = std::nullopt) {
    const RequestId id{++last_request_id_};
    Handle(RequestEvent{.id = id,
                        .group = kGroup,
                        .request_class = request_class,
                        .session = "s",
                        .time_since_write = time_since_write,
                        .time_left = 2000_ms});
    return id;
  }

  // The send deadline of the latest attempt of a request, by what is known now.
  TimePoint SendDeadlineOf(RequestId id) {
    const auto& servers = attempts_.at(id);
    return balancer_.SendDeadline(id, static_cast<AttemptNumber>(servers.size() - 1), servers.back());
  }
  // Whether the latest attempt of a request may be served with a response that has the metadata.
  bool MayServe(RequestId id, ResponseMetadata metadata) const {
    const auto& servers = attempts_.at(id);
    AttemptEndedEvent event;
    event.id = id;
    event.attempt = static_cast<AttemptNumber>(servers.size() - 1);
    event.server = servers.back();
    event.outcome = Outcome::kOk;
    event.metadata = metadata;
    return balancer_.MayServe(event);
  }

  // Ends the latest attempt of a request; `late`: how long after the time of the event the host noticed it.
  void EndAttempt(RequestId id, Outcome outcome, ResponseMetadata metadata = {}, Duration taken = 10_ms,
                  Duration late = 0_ms) {
    if (AttemptsOf(id) == 0) return;
    const auto& servers = attempts_[id];
    AttemptEndedEvent event;
    event.id = id;
    event.attempt = static_cast<AttemptNumber>(servers.size() - 1);
    event.server = servers.back();
    event.outcome = outcome;
    event.elapsed = taken;
    event.request_done = outcome == Outcome::kOk;
    event.metadata = metadata;
    event.received = now_ + late;
    Handle(event);
  }

  // Report the role and position of a server with a health check.
  void ReportPrimaryAt(ServerId server, LogPosition position) {
    Handle(HealthCheckEvent{server, Outcome::kOk, 1_ms, LoadReport{.position = position, .primary = true}});
  }
  void ReportReplicaAt(ServerId server, LogPosition position) {
    Handle(HealthCheckEvent{server, Outcome::kOk, 1_ms, LoadReport{.position = position, .primary = false}});
  }

  std::size_t AttemptsOf(RequestId id) const {
    return static_cast<std::size_t>(std::count_if(
        sends.begin(), sends.end(), [&](const StartAttempt& attempt) { return attempt.id == id; }));
  }
  std::size_t FinalAnswersTo(RequestId id) const {
    return static_cast<std::size_t>(std::count(rejected.begin(), rejected.end(), id) +
                                    std::count(failed.begin(), failed.end(), id));
  }
  ServerId LastServerOf(RequestId id) const { return attempts_.at(id).back(); }
  TimePoint now() const { return now_; }

  std::vector<StartAttempt> sends;
  std::vector<StartHealthCheck> health_checks;
  std::vector<RequestId> rejected;
  std::vector<RequestId> failed;
  Duration retry_after{0};  // of the latest rejection
  int watches = 0;

 private:
  void Record(const Action& action) {
    if (const auto* timer = std::get_if<SetTimer>(&action)) timers_.emplace(now_ + timer->delay, timer->id);
    if (const auto* attempt = std::get_if<StartAttempt>(&action)) {
      sends.push_back(*attempt);
      attempts_[attempt->id].push_back(attempt->server);
    }
    if (const auto* check = std::get_if<StartHealthCheck>(&action)) health_checks.push_back(*check);
    if (std::holds_alternative<WatchEndpointList>(action)) ++watches;
    if (const auto* reject = std::get_if<Reject>(&action)) {
      rejected.push_back(reject->id);
      retry_after = reject->retry_after;
    }
    if (const auto* fail = std::get_if<Fail>(&action)) failed.push_back(fail->id);
  }

  consistency::SessionConsistencyGuard consistency_guard_;  // prepares events as in the pooler
  Balancer balancer_;
  TimePoint now_{Duration(100000000)};
  std::multimap<TimePoint, TimerId> timers_;
  std::map<RequestId, std::vector<ServerId>> attempts_;
  std::uint32_t last_request_id_ = 0;
};

inline constexpr ServerId kPrimary{1};
inline constexpr ServerId kReplicaA{2};
inline constexpr ServerId kReplicaB{3};

// A primary and two replicas.
inline std::vector<EndpointListEntry> ThreeServers() {
  return {{.server = kPrimary, .group = kGroup, .primary = true},
          {.server = kReplicaA, .group = kGroup},
          {.server = kReplicaB, .group = kGroup}};
}

inline EndpointListEntry Entry(ServerId id, Lifecycle lifecycle) {
  EndpointListEntry entry{.server = id, .group = kGroup};
  entry.lifecycle = lifecycle;
  return entry;
}

}  // namespace lynxgrade
