#include "routing/eligibility.h"

#include <algorithm>

namespace lynxgrade {

bool Eligibility::MaySend(const Request& request, Server& server) {
  if (server.group != request.event.group || server.draining) return false;
  if (!retry_policy_.MayAttempt(request, server.zone)) return false;
  if (std::max(context_.now(), request.last_expired) > SendDeadline(request, server)) return false;
  return slow_start_.HasCapacity(request, server);
}

TimePoint Eligibility::SendDeadline(const Request& request, const Server& server) const {
  if (!MustProvePosition(request) || replication_.IsPrimaryOfGroup(server)) return TimePoint::max();
  return replication_.ProvenUntil(request, server);
}

bool Eligibility::ReliesOnPrimaryRole(const Request& request, const Server& server) const {
  if (!MustProvePosition(request) || !replication_.IsPrimaryOfGroup(server)) return false;
  const AccessKind kind = context_.ClassOf(request).kind;
  if (kind == AccessKind::kBoundedRead || kind == AccessKind::kStrongRead) return true;
  return kind == AccessKind::kSessionRead &&
         !ReplicationState::IsProven(server, replication_.RequiredPosition(request));
}

bool Eligibility::MustProvePosition(const Request& request) const {
  return context_.settings().position_check == PositionCheck::kNone || request.event.require_proven_position;
}

std::vector<Server*> Eligibility::ReadCandidates(const Request& request) {
  const std::optional<LogPosition> required = replication_.RequiredPosition(request);
  std::vector<Server*> at_position;
  std::vector<Server*> others;
  std::vector<Server*> ejected;
  bool any_usable = false;
  Server* primary = replication_.PrimaryOf(request.event.group);
  for (ServerId id : servers_.GroupOf(request.event.group).servers) {
    Server& server = servers_.At(id);
    if (&server == primary) continue;
    const bool usable = server.IsUsable(context_.now());
    any_usable = any_usable || (usable && slow_start_.HasCapacity(request, server));
    if (!MaySend(request, server)) continue;
    if (!usable) {
      ejected.push_back(&server);
    } else if (replication_.HasReached(server, required)) {
      at_position.push_back(&server);
    } else {
      others.push_back(&server);
    }
  }
  if (!at_position.empty()) return at_position;
  if (!others.empty()) return others;
  if (any_usable) return {};
  if (primary != nullptr && primary->IsUsable(context_.now()) && MaySend(request, *primary)) return {primary};
  return ejected;
}

bool Eligibility::HasReplicaAtPosition(const Request& request) const {
  const std::optional<LogPosition> required = replication_.RequiredPosition(request);
  if (!required) return false;
  for (ServerId id : servers_.GroupOf(request.event.group).servers) {
    const Server& server = servers_.At(id);
    const bool usable_replica = server.IsUsable(context_.now()) && !server.IsPrimary();
    if (usable_replica && replication_.HasReached(server, required)) return true;
  }
  return false;
}

bool Eligibility::MayReplicaCatchUpWhileHolding(const Request& request) const {
  const std::optional<LogPosition> required = replication_.RequiredPosition(request);
  for (ServerId id : servers_.GroupOf(request.event.group).servers) {
    const Server& server = servers_.At(id);
    if (!server.IsUsable(context_.now()) || server.IsPrimary()) continue;
    if (!required || !context_.settings().may_health_check) return true;
    if (replication_.IsKnown(server, required)) {
      const Duration hold = context_.settings().replica_wait_limit;
      if (replication_.ExpectedPosition(server) + hold >= *required) return true;
    } else if (!request.misrouted_to.contains(id)) {
      // Without a recent report, a rejection of this read is the only evidence. A server that rejected it is
      // not tried again.
      return true;
    }
  }
  return false;
}

bool Eligibility::MayReplicaCatchUp(const Request& request, Duration within) const {
  const std::optional<LogPosition> required = replication_.RequiredPosition(request);
  const auto motion = context_.ClassOf(request).kind == AccessKind::kBoundedRead
                          ? estimation::TargetMotion::kWithClock
                          : estimation::TargetMotion::kFixed;
  bool has_replica = false;
  for (ServerId id : servers_.GroupOf(request.event.group).servers) {
    const Server& server = servers_.At(id);
    if (server.draining || server.IsPrimary()) continue;
    if (!required) return true;
    if (server.position.MayReach(context_.now_since_epoch(), within, required->time_since_epoch(), motion)) {
      return true;
    }
    has_replica = true;
  }
  return !has_replica;
}

}  // namespace lynxgrade
