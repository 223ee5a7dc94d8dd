#include "routing/replication_state.h"

#include <algorithm>

namespace lynxgrade {
namespace {

// The response to a write has the time of its commit, rounded up to this unit. All other positions are
// rounded down.
constexpr Duration kCommitTimeUnit{1000};

}  // namespace

void ReplicationState::RecordRole(Server& server, ServerRole role, TimePoint when) {
  const bool was_primary = server.IsPrimary();
  std::optional<TimePoint>& evidence =
      role == ServerRole::kPrimary ? server.role.as_primary : server.role.as_replica;
  if (!evidence || when > *evidence) evidence = when;
  if (was_primary == server.IsPrimary()) return;
  Group& group = servers_.GroupOf(server.group);
  if (!was_primary) ++group.role_changes;
  group.searching_primary = was_primary;
  context_.RequestRetryOfWaiting();
}

void ReplicationState::RecordPosition(Server& server, LogPosition position,
                                      std::optional<TimePoint> received) {
  const Duration read_at = std::max(received.value_or(context_.now()), context_.now()).time_since_epoch();
  estimation::ClockLead& lead = servers_.GroupOf(server.group).clock_lead;
  // Only a primary's position is the present time of its clock: a replica's would show too small a lead.
  if (server.IsPrimary()) lead.Record(read_at, position.time_since_epoch());
  if (server.position.RecordPosition(context_.now_since_epoch(), position.time_since_epoch(),
                                     {read_at, lead.At(read_at)})) {
    context_.RequestRetryOfWaiting();
  }
}

void ReplicationState::RecordResponse(Server& server, const RequestClass& request_class,
                                      const ResponseMetadata& metadata, std::optional<TimePoint> received) {
  if (metadata.primary) {
    RecordRole(server, *metadata.primary ? ServerRole::kPrimary : ServerRole::kReplica, context_.now());
  }
  if (!metadata.position) return;
  const bool is_write = request_class.kind == AccessKind::kWrite;
  if (!is_write && !context_.settings().responses_report_position) return;
  if (!is_write) return RecordPosition(server, *metadata.position, received);
  if (metadata.primary.value_or(true)) {
    RecordPosition(server, *metadata.position - kCommitTimeUnit, received);
  }
}

void ReplicationState::RecordReport(Server& server, const LoadReport& report,
                                    std::optional<TimePoint> received) {
  if (report.queued) server.load.queued = *report.queued;
  if (report.primary && report.position) {
    // The position dates the reported role: a primary's position is the current time, and a replica's is not
    // later.
    RecordRole(server, *report.primary ? ServerRole::kPrimary : ServerRole::kReplica, *report.position);
  }
  if (report.position) RecordPosition(server, *report.position, received);
}

Server* ReplicationState::PrimaryOf(GroupId group) const {
  Server* newest = nullptr;
  for (ServerId id : servers_.GroupOf(group).servers) {
    Server& server = servers_.At(id);
    if (!server.IsPrimary()) continue;
    if (newest == nullptr || *server.role.as_primary > *newest->role.as_primary) newest = &server;
  }
  return newest;
}

std::optional<LogPosition> ReplicationState::RequiredPosition(const Request& request) const {
  const RequestClass& request_class = context_.ClassOf(request);
  if (request_class.kind == AccessKind::kBoundedRead) {
    const Duration lead = servers_.GroupOf(request.event.group).clock_lead.At(context_.now_since_epoch());
    return std::max(context_.now(), request.last_expired) + lead - request_class.staleness_bound;
  }
  if (request_class.kind == AccessKind::kSessionRead) return request.event.required_position;
  return std::nullopt;
}

TimePoint ReplicationState::ProvenUntil(const Request& request, const Server& server) const {
  const RequestClass& request_class = context_.ClassOf(request);
  if (request_class.kind == AccessKind::kStrongRead) return TimePoint::min();
  if (request_class.kind != AccessKind::kBoundedRead) {
    return IsProven(server, RequiredPosition(request)) ? TimePoint::max() : TimePoint::min();
  }
  const Duration lead = servers_.GroupOf(server.group).clock_lead.At(context_.now_since_epoch());
  const auto proven = server.position.ProvenTime(lead);
  return proven ? TimePoint(*proven) + request_class.staleness_bound : TimePoint::min();
}

bool ReplicationState::IsProven(const Server& server, const std::optional<LogPosition>& required) {
  return !required || server.position.IsProven(required->time_since_epoch());
}

bool ReplicationState::IsKnown(const Server& server, const std::optional<LogPosition>& required) const {
  return !required || server.position.IsKnown(context_.now_since_epoch(), required->time_since_epoch());
}

bool ReplicationState::HasReached(const Server& server, const std::optional<LogPosition>& required) const {
  if (IsProven(server, required)) return true;
  if (context_.settings().position_check == PositionCheck::kNone) return false;
  return IsKnown(server, required) && ExpectedPosition(server) >= *required;
}

LogPosition ReplicationState::ExpectedPosition(const Server& server) const {
  return LogPosition(server.position.ExpectedPosition(context_.now_since_epoch()));
}

}  // namespace lynxgrade
