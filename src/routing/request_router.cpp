#include "routing/request_router.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace lynxgrade {
namespace {

// Another candidate replaces a drawn server that is too slow if its expected latency is at most this fraction
// of the drawn server's.
constexpr double kClearlyFasterFraction = 0.7;
constexpr Duration kOneSecond{1000000};

}  // namespace

Request* RequestRouter::Find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void RequestRouter::HandleRequest(const RequestEvent& event) {
  const Settings& settings = context_.settings();
  if (event.request_class >= settings.classes.size()) {
    throw std::out_of_range("request of an unknown class");
  }
  // A group that no list has named has no servers. No state is kept for it, as clients could otherwise
  // exhaust memory with made-up groups.
  if (!parts_.servers.HasGroup(event.group)) {
    context_.Emit(Reject{event.id, settings.clients_honor_retry_after ? kTickInterval : Duration{0}});
    return;
  }
  Request& request = requests_[event.id];
  request.event = event;
  request.arrived = context_.now() - event.waited;
  request.deadline = context_.now() + event.time_left;
  request.first_client_attempt = parts_.load_shedding.EstimateFirstClientAttempt(request);
  parts_.retry_policy.RecordRequest();
  parts_.health_checks.RecordRequest();
  request.role_changes_seen = parts_.servers.GroupOf(event.group).role_changes;
  // The final answer must be sent before the deadline.
  const Duration time_to_decide = event.time_left - settings.tick * 2;
  if (time_to_decide <= Duration{0} || parts_.load_shedding.IsTooLate(request)) return Finish(request);
  context_.SetRequestDeadline(event.id, time_to_decide);
  RouteRequest(request);
}

void RequestRouter::RouteRequest(Request& request) {
  waiting_.erase(request.event.id);
  if (!parts_.retry_policy.HasAttemptsLeft(request)) return Finish(request);
  Route route = ChooseRoute(request);
  if (route.server == nullptr) return WaitForServer(request);
  route.server = ApplyLoadShedding(request, route);
  if (route.server == nullptr) return Finish(request);
  SendTo(request, route);
}

RequestRouter::Route RequestRouter::ChooseRoute(const Request& request) {
  Route route;
  if (context_.NeedsPrimary(request)) {
    route.server = parts_.slow_start.DrawAdmission(request, parts_.primary_selection.Choose(request));
  } else if (request.misrouted_to.empty() || parts_.eligibility.MayReplicaCatchUpWhileHolding(request)) {
    route.candidates = parts_.eligibility.ReadCandidates(request);
    route.server = parts_.candidate_selection.Draw(request, route.candidates);
  } else {
    Server* primary = parts_.primary_overflow.PrimaryWithSpareCapacity(request);
    route.server = parts_.slow_start.DrawAdmission(request, primary);
    route.overflow = route.server != nullptr;
  }
  return route;
}

// The draw may have selected a server that is slow at the moment. The request is rejected only if no other
// candidate is fast enough either.
Server* RequestRouter::ApplyLoadShedding(const Request& request, const Route& route) {
  if (!parts_.load_shedding.DrawRejection(request, *route.server)) return route.server;
  const auto expected_seconds = [&](const Server* server) {
    return parts_.latencies.ExpectedSeconds(request, *server);
  };
  const auto fastest = std::ranges::min_element(route.candidates, {}, expected_seconds);
  if (fastest == route.candidates.end() || parts_.slow_start.UsesRandomAdmission(**fastest)) return nullptr;
  if (expected_seconds(*fastest) > kClearlyFasterFraction * expected_seconds(route.server)) return nullptr;
  return parts_.load_shedding.DrawRejection(request, **fastest) ? nullptr : *fastest;
}

void RequestRouter::WaitForServer(Request& request) {
  if (!context_.NeedsPrimary(request) && parts_.eligibility.MustProvePosition(request)) {
    // No replica will reach the position in time. A later rejection would leave the client no time to retry.
    if (!MayReplicaCatchUpInTime(request)) return Finish(request);
    parts_.health_checks.CheckReplicasFor(request);
  }
  Wait(request, kTickInterval);
}

void RequestRouter::Wait(Request& request, Duration pause) {
  request.next_attempt = context_.now() + pause;
  waiting_.insert(request.event.id);
}

bool RequestRouter::MayReplicaCatchUpInTime(const Request& request) const {
  const Duration half_of_usual = Scale(kOneSecond, parts_.latencies.BaselineSeconds(request) / 2);
  const Duration within = parts_.load_shedding.UsefulUntil(request) - context_.now() - half_of_usual;
  return parts_.eligibility.MayReplicaCatchUp(request, within);
}

void RequestRouter::SendTo(Request& request, const Route& route) {
  Server& server = *route.server;
  if (!parts_.eligibility.MaySend(request, server)) return Wait(request, kTickInterval);
  parts_.slow_start.Consume(request, server);
  const auto required = parts_.replication.RequiredPosition(request);
  const auto number = static_cast<AttemptNumber>(request.attempts.size());
  InFlightAttempt attempt{.sent = context_.now(),
                          .request_class = request.event.request_class,
                          .overflow = route.overflow,
                          .required_position = required,
                          .position_unknown = !parts_.replication.IsKnown(server, required),
                          .relies_on_primary_role = parts_.eligibility.ReliesOnPrimaryRole(request, server),
                          .in_flight_at_start = server.load.in_flight.size() + 1};
  server.load.in_flight[{request.event.id, number}] = attempt;
  if (route.overflow) parts_.primary_overflow.RecordSent(server);
  context_.Emit(StartAttempt{request.event.id, server.id, request.deadline - context_.now(),
                             parts_.retry_policy.RetryWindow(request)});
  request.attempts.push_back({server.id, server.zone, context_.now()});
}

TimePoint RequestRouter::SendDeadline(RequestId id, AttemptNumber attempt, Server& server) {
  const Request* request = Find(id);
  const auto in_flight = server.load.in_flight.find({id, attempt});
  if (request == nullptr || in_flight == server.load.in_flight.end()) return TimePoint::min();
  in_flight->second.relies_on_primary_role = parts_.eligibility.ReliesOnPrimaryRole(*request, server);
  return parts_.eligibility.SendDeadline(*request, server);
}

void RequestRouter::RetryWaiting() {
  std::vector<std::pair<double, RequestId>> order;
  order.reserve(waiting_.size());
  for (RequestId id : waiting_) {
    order.emplace_back(parts_.load_shedding.SheddingPriority(requests_.at(id)), id);
  }
  std::ranges::sort(order);
  for (const auto& [priority, id] : order) {
    if (!waiting_.contains(id)) continue;
    Request& request = requests_.at(id);
    if (parts_.load_shedding.IsTooLate(request) || parts_.load_shedding.HasWaitedTooLong(request)) {
      Finish(request);
    } else if (context_.now() >= request.next_attempt || MayRouteNow(request)) {
      RouteRequest(request);
    }
  }
}

bool RequestRouter::MayRouteNow(const Request& request) const {
  if (!context_.NeedsPrimary(request)) return parts_.eligibility.HasReplicaAtPosition(request);
  return parts_.servers.GroupOf(request.event.group).role_changes != request.role_changes_seen;
}

std::set<GroupId> RequestRouter::GroupsSearchingPrimary() const {
  std::set<GroupId> groups;
  for (RequestId id : waiting_) {
    const Request& request = requests_.at(id);
    const GroupId group = request.event.group;
    if (context_.NeedsPrimary(request) && parts_.servers.GroupOf(group).searching_primary)
      groups.insert(group);
  }
  return groups;
}

void RequestRouter::HandleAttemptEnd(Server& server, const AttemptEndedEvent& event) {
  Request* request = Find(event.id);
  if (request == nullptr) return;
  if (event.attempt < request->attempts.size()) {
    Attempt& attempt = request->attempts[event.attempt];
    attempt.pending = false;
    attempt.expired = event.outcome == Outcome::kSendExpired;
    attempt.reached_server =
        event.outcome != Outcome::kUnreachable && event.outcome != Outcome::kNotRun && !attempt.expired;
    attempt.may_have_run = attempt.reached_server && event.outcome != Outcome::kOverloaded &&
                           event.outcome != Outcome::kMisrouted;
  }
  if (event.outcome == Outcome::kSendExpired || event.outcome == Outcome::kSentLate) {
    request->last_expired = std::max(request->last_expired, event.received.value_or(context_.now()));
  }
  if (event.outcome == Outcome::kOk) {
    parts_.load_shedding.RecordClientWait(*request, estimation::WaitEnd::kAnswered);
  }
  if (event.request_done) return Forget(event.id);
  ContinueAfterFailure(*request, server, event.outcome);
}

void RequestRouter::ContinueAfterFailure(Request& request, Server& server, Outcome outcome) {
  if (request.HasPendingAttempt()) return;
  if (outcome == Outcome::kMisrouted) return ContinueAfterMisrouting(request, server);
  if (outcome == Outcome::kNotRun || !parts_.retry_policy.MayRetry(request)) return Finish(request);
  if (outcome == Outcome::kSendExpired) return RouteRequest(request);
  // An attempt at an unreachable server caused no load, so its retry needs no budget.
  if (outcome != Outcome::kUnreachable && !parts_.retry_policy.ConsumeBudget()) return Finish(request);
  if (!context_.NeedsPrimary(request)) return RouteRequest(request);
  Wait(request, context_.Jitter(kTickInterval * static_cast<int>(request.attempts.size())));
}

void RequestRouter::ContinueAfterMisrouting(Request& request, Server& server) {
  request.misrouted_to.insert(server.id);
  if (!context_.NeedsPrimary(request)) {
    context_.RequestRetryOfWaiting();
    const bool was_held = context_.settings().position_check == PositionCheck::kWait;
    return Wait(request, was_held ? Duration{0} : kTickInterval);
  }
  const std::uint64_t role_changes = parts_.servers.GroupOf(request.event.group).role_changes;
  request.primary_misses = role_changes == request.role_changes_seen ? request.primary_misses + 1 : 1;
  request.role_changes_seen = role_changes;
  parts_.replication.RecordRole(server, ServerRole::kReplica, context_.now());
  RouteRequest(request);
}

void RequestRouter::HandleResponseStarted(const ResponseStartedEvent& event) { Forget(event.id); }

void RequestRouter::HandleClientDisconnected(const ClientDisconnectedEvent& event) {
  const Request* request = Find(event.id);
  if (request == nullptr) return;
  // A client that disconnects close to its deadline has not abandoned its request early.
  if (context_.now() + context_.settings().tick * 2 < request->deadline) {
    parts_.load_shedding.RecordClientWait(*request, estimation::WaitEnd::kAbandoned);
  }
  CancelPendingAttempts(*request);
  Forget(event.id);
}

void RequestRouter::HandleDeadline(RequestId id) {
  if (Request* request = Find(id)) Finish(*request);
}

void RequestRouter::Finish(Request& request) {
  const RequestId id = request.event.id;
  parts_.load_shedding.RecordUnserved(request);
  parts_.load_shedding.RecordClientWait(request, estimation::WaitEnd::kAnswered);
  CancelPendingAttempts(request);
  if (parts_.retry_policy.MayReject(request)) {
    context_.Emit(Reject{id, parts_.load_shedding.RetryAfter(request)});
  } else {
    context_.Emit(Fail{id});
  }
  Forget(id);
}

void RequestRouter::CancelPendingAttempts(const Request& request) {
  if (!context_.settings().may_cancel) return;
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    if (request.attempts[i].pending) context_.Emit(Cancel{request.event.id, static_cast<AttemptNumber>(i)});
  }
}

void RequestRouter::Forget(RequestId id) {
  waiting_.erase(id);
  requests_.erase(id);
}

}  // namespace lynxgrade
