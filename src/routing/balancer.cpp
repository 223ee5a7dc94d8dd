// Dispatcher of the decision module: owns its parts and the seeded random engine, and passes each event to
// them in a fixed order.
#include "routing/balancer.h"

#include <algorithm>

#include "routing/endpoint_list_updater.h"
#include "routing/outlier_ejection.h"
#include "routing/request_router.h"

namespace lynxgrade {
namespace {

// A gap between events longer than this many tick intervals means that the instance itself was stalled.
constexpr int kStallTicks = 2;

}  // namespace

class Balancer::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : context_(std::move(settings), seed) {}

  void Handle(TimePoint now, const Event& event, Actions& actions) {
    context_.BeginEvent(now, actions);
    ExcludeOwnStall();
    std::visit([this](const auto& typed_event) { On(typed_event); }, event);
    if (context_.IsRetryOfWaitingRequested()) router_.RetryWaiting();
    // Also clears requests that routing itself made: waiting requests are routed again once per event.
    context_.ClearRetryOfWaiting();
  }

  TimePoint SendDeadline(RequestId id, AttemptNumber attempt, ServerId server_id) {
    Server* server = servers_.Find(server_id);
    return server == nullptr ? TimePoint::min() : router_.SendDeadline(id, attempt, *server);
  }

  bool MayServe(const AttemptEndedEvent& event) {
    if (event.metadata.primary.value_or(true)) return true;
    const Server* server = servers_.Find(event.server);
    if (server == nullptr) return true;
    const auto attempt = server->load.in_flight.find({event.id, event.attempt});
    return attempt == server->load.in_flight.end() || !attempt->second.relies_on_primary_role;
  }

 private:
  void On(const EndpointListEvent& event) { endpoint_list_.Apply(event); }
  void On(const RequestEvent& event) { router_.HandleRequest(event); }
  void On(const ResponseStartedEvent& event) { router_.HandleResponseStarted(event); }
  void On(const ClientDisconnectedEvent& event) { router_.HandleClientDisconnected(event); }
  void On(const PeerEvent&) {}  // routing uses no messages between instances

  void On(const AttemptEndedEvent& event) {
    Server* server = servers_.Find(event.server);
    if (server == nullptr) return;
    const auto attempt = server->load.in_flight.extract({event.id, event.attempt});
    if (attempt.empty()) return;
    RecordAttemptEnd(*server, attempt.mapped(), event);
    router_.HandleAttemptEnd(*server, event);
  }

  void On(const HealthCheckEvent& event) {
    if (Server* server = servers_.Find(event.server)) health_checks_.HandleResult(*server, event);
  }

  void On(const TimerEvent& event) {
    const auto raw_id = static_cast<std::uint64_t>(event.id);
    switch (static_cast<TimerKind>(raw_id >> 32)) {
      case TimerKind::kRequestDeadline:
        return router_.HandleDeadline(RequestId(static_cast<std::uint32_t>(raw_id)));
      case TimerKind::kPeriodicTick:
        return HandleTick();
      case TimerKind::kWatchEndpointList:
        return context_.Emit(WatchEndpointList{true});
    }
  }

  // Updates the server's state from the end of an attempt.
  void RecordAttemptEnd(Server& server, const InFlightAttempt& attempt, const AttemptEndedEvent& event) {
    if (attempt.overflow) primary_overflow_.RecordEnd(server, event.outcome);
    RecordReadOfPosition(server, attempt, event.outcome);
    replication_.RecordResponse(server, context_.settings().classes[attempt.request_class], event.metadata,
                                event.received);
    if (event.report) replication_.RecordReport(server, *event.report, event.received);
    const Duration elapsed = std::min(event.elapsed, context_.now() - attempt.sent);
    if (event.outcome == Outcome::kOk) {
      latencies_.RecordResponse(server, attempt, elapsed);
      slow_start_.RecordResponse(attempt.request_class);
    } else if (event.outcome == Outcome::kCancelled) {
      latencies_.RecordCancelled(server, attempt, elapsed);
    }
    outlier_ejection_.RecordOutcome(server, event.outcome, elapsed);
    outlier_ejection_.CloseIdleIfScarce(server);
  }

  void RecordReadOfPosition(Server& server, const InFlightAttempt& attempt, Outcome outcome) {
    if (!attempt.required_position || server.IsPrimary()) return;
    if (outcome != Outcome::kOk && outcome != Outcome::kMisrouted) return;
    if (attempt.position_unknown) candidate_selection_.RecordReadOfUnknownPosition(server, outcome);
    // Servers that check positions respond only once they have reached the required one.
    if (outcome == Outcome::kOk && context_.settings().position_check != PositionCheck::kNone) {
      replication_.RecordPosition(server, *attempt.required_position);
    }
  }

  void HandleTick() {
    context_.SetTimer(TimerKind::kPeriodicTick, kTickInterval);
    double warm_servers = 0;
    // A single pass: with hundreds of servers, each pass costs an idle instance 0.2 % of a core.
    servers_.EraseIf([&](const Server& server) {
      warm_servers += server.IsUsable(context_.now()) ? slow_start_.CapacityShare(server) : 0;
      return endpoint_list_.IsExpired(server);
    });
    slow_start_.EndInterval(kTickInterval, warm_servers);
    health_checks_.SearchPrimaries(router_.GroupsSearchingPrimary());
    health_checks_.CheckStaleServers();
    context_.RequestRetryOfWaiting();
  }

  // After a stall of the instance itself, responses arrive late although no server was slow; without the
  // correction all servers would look slow and reads would be rejected long afterwards. The periodic tick
  // makes a stall distinguishable from a pause of all traffic, during which ticks continue.
  void ExcludeOwnStall() {
    const TimePoint now = context_.now();
    const Duration gap = now - last_event_;
    if (last_event_ != TimePoint{} && gap > kTickInterval * kStallTicks) {
      const Duration stall = gap - kTickInterval;
      servers_.ForEach([&](Server& server) {
        for (auto& [key, attempt] : server.load.in_flight) attempt.sent = std::min(now, attempt.sent + stall);
        server.position.ExcludeStall(now.time_since_epoch(), stall);
      });
    }
    last_event_ = now;
  }

  DecisionContext context_;
  ServerTable servers_;
  ReplicationState replication_{context_, servers_};
  LatencyModel latencies_{context_, servers_};
  SlowStartAdmission slow_start_{context_, servers_, latencies_};
  RetryPolicy retry_policy_{context_};
  HealthChecks health_checks_{context_, servers_, replication_};
  OutlierEjection outlier_ejection_{context_, servers_, health_checks_, slow_start_};
  LoadShedding load_shedding_{context_, servers_, latencies_};
  EndpointListUpdater endpoint_list_{context_, servers_, replication_, slow_start_};
  Eligibility eligibility_{context_, servers_, replication_, retry_policy_, slow_start_};
  CandidateSelection candidate_selection_{context_, servers_, replication_, latencies_, slow_start_};
  PrimarySelection primary_selection_{context_, servers_, replication_, eligibility_};
  PrimaryOverflow primary_overflow_{context_, replication_, latencies_, eligibility_};
  RequestRouter router_{{context_, servers_, replication_, latencies_, slow_start_, retry_policy_,
                         health_checks_, load_shedding_, eligibility_, candidate_selection_,
                         primary_selection_, primary_overflow_}};
  TimePoint last_event_{};
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::Handle(TimePoint now, const Event& event, Actions& actions) {
  impl_->Handle(now, event, actions);
}

TimePoint Balancer::SendDeadline(RequestId id, AttemptNumber attempt, ServerId server) {
  return impl_->SendDeadline(id, attempt, server);
}

bool Balancer::MayServe(const AttemptEndedEvent& event) const { return impl_->MayServe(event); }

}  // namespace lynxgrade
