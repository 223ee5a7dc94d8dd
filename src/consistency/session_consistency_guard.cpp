#include "consistency/session_consistency_guard.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace lynxgrade::consistency {
namespace {

// A peer that was last heard longer ago than this many read delays will hardly be heard within one. A peer
// without writes is heard at intervals of up to two of its own pauses.
constexpr int kMaxPeerSilenceInReadDelays = 8;
constexpr Duration kPositionUnit{1000};  // data servers report positions in whole milliseconds, rounded down

std::int64_t Milliseconds(LogPosition position) { return position.time_since_epoch().count() / 1000; }

// Raises a required position, where there is one already, to at least `position`.
void RaiseTo(std::optional<LogPosition>& required, LogPosition position) {
  required = std::max(required.value_or(position), position);
}

}  // namespace

const char* NameOf(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::kLostWrite:
      return "its write may have been lost with a primary";
    case RejectionReason::kUnknownWrite:
      return "writes that are not known here may have been lost with a primary";
  }
  return "";
}

SessionConsistencyGuard::SessionConsistencyGuard(const Settings& settings, Options options)
    : classes_(settings.classes),
      sessions_carry_positions_(settings.clients_carry_watermarks),
      options_(options),
      watermark_table_(options.session_capacity),
      unknown_writes_(options.write_retention) {}

void SessionConsistencyGuard::PrepareEvent(TimePoint now, Event& event) {
  now_ = now;
  if (const auto* list = std::get_if<EndpointListEvent>(&event)) {
    if (CoversAllInstances()) Handle(*list);
  } else if (auto* request = std::get_if<RequestEvent>(&event)) {
    Handle(now, *request);
  } else if (auto* outcome = std::get_if<AttemptEndedEvent>(&event)) {
    Handle(now, *outcome);
  } else if (auto* health_check = std::get_if<HealthCheckEvent>(&event)) {
    if (CoversAllInstances()) Handle(now, *health_check);
  } else if (const auto* disconnected = std::get_if<ClientDisconnectedEvent>(&event)) {
    FinishRequest(disconnected->id);
  }
}

void SessionConsistencyGuard::HandleActions(const Actions& actions) {
  for (const Action& action : actions) {
    if (const auto* reject = std::get_if<Reject>(&action)) FinishRequest(reject->id);
    if (const auto* fail = std::get_if<Fail>(&action)) FinishRequest(fail->id);
  }
}

// ---- Data servers -------------------------------------------------------------------------------------

void SessionConsistencyGuard::Handle(const EndpointListEvent& event) {
  if (event.kind == EndpointListKind::kError) return;
  std::unordered_map<ServerId, GroupId> listed;
  for (const EndpointListEntry& entry : event.entries) {
    if (entry.lifecycle == Lifecycle::kDeleted) {
      RemoveServer(entry.server);
    } else {
      listed[entry.server] = entry.group;
    }
  }
  if (event.kind != EndpointListKind::kPartial) {
    std::vector<ServerId> missing;
    for (const auto& [server, group] : groups_) {
      if (!listed.contains(server)) missing.push_back(server);
    }
    for (const ServerId server : missing) RemoveServer(server);
  }
  groups_.merge(listed);
}

void SessionConsistencyGuard::RemoveServer(ServerId server) {
  const auto group = groups_.find(server);
  if (group == groups_.end()) return;
  const auto timeline = timelines_.find(group->second);
  if (timeline != timelines_.end()) timeline->second.RemoveServer(server);
  groups_.erase(group);
}

void SessionConsistencyGuard::Handle(TimePoint now, HealthCheckEvent& event) {
  const auto group = groups_.find(event.server);
  if (group == groups_.end() || !event.report) return;
  event.report->position =
      HandleRole(now, group->second, event.server, event.report->primary, event.report->position);
}

PrimaryTimeline& SessionConsistencyGuard::TimelineOf(GroupId group) {
  return timelines_.try_emplace(group, options_.min_failover_time).first->second;
}

std::optional<LogPosition> SessionConsistencyGuard::HandleRole(TimePoint now, GroupId group, ServerId server,
                                                               std::optional<bool> primary,
                                                               std::optional<LogPosition> position) {
  PrimaryTimeline& timeline = TimelineOf(group);
  // Positions are commit times: no log can have reached one so far in the future.
  if (!position || *position > now + options_.write_retention) return std::nullopt;
  if (!primary) return std::nullopt;
  if (*primary) {
    if (timeline.HandlePrimaryPosition(server, *position)) HandleNewPrimary(group, now);
    return position;
  }
  timeline.HandleReplicaPosition(server, *position);
  const auto trusted = timeline.TrustedThrough();
  if (!trusted || *position > *trusted) return std::nullopt;
  return position;
}

void SessionConsistencyGuard::HandleNewPrimary(GroupId group, TimePoint now) {
  PrimaryTimeline& timeline = TimelineOf(group);
  timeline.ForgetLossesBefore(now - options_.write_retention);
  ++counts_.possible_losses;
  if (on_timeline_change_) on_timeline_change_();
  LogNewPrimary(group, timeline);
  for (auto it = pending_requests_.begin(); it != pending_requests_.end();) {
    const PendingRequest& request = it->second;
    std::optional<RejectionReason> reason;
    if (!request.write && request.group == group) reason = FindRejectionReason(request, now);
    if (!reason) {
      ++it;
      continue;
    }
    RejectRead(it->first, *reason);
    it = pending_requests_.erase(it);
  }
}

void SessionConsistencyGuard::LogNewPrimary(GroupId group, const PrimaryTimeline& timeline) const {
  if (!log_sink_ || !timeline.primary() || !options_.reject_uncertain_reads) return;
  log_sink_("group " + std::to_string(static_cast<std::int64_t>(group)) + ": data server " +
            std::to_string(static_cast<std::uint32_t>(*timeline.primary())) + " is primary since " +
            std::to_string(Milliseconds(timeline.since())) +
            " at the latest and had replayed the log up to " +
            std::to_string(Milliseconds(timeline.replicated_through())) +
            " before; read-your-writes reads of sessions that wrote in between are rejected until they write "
            "again");
}

// ---- Reads and writes ---------------------------------------------------------------------------------

void SessionConsistencyGuard::Handle(TimePoint now, RequestEvent& event) {
  if (event.request_class >= classes_.size()) return;
  const AccessKind kind = classes_[event.request_class].kind;
  if (kind == AccessKind::kWrite) HandleWrite(now, event);
  if (kind == AccessKind::kSessionRead) HandleSessionRead(now, event);
}

void SessionConsistencyGuard::HandleWrite(TimePoint now, const RequestEvent& event) {
  PendingRequest write;
  write.group = event.group;
  write.key = SessionKeyOf(event.group, event.session);
  write.arrived = event.arrived.value_or(now);
  write.write = true;
  pending_requests_[event.id] = write;
  if (UsesLeases()) leases_->AcquireLease(write.group, write.key, LeaseUse::kWrite);
}

void SessionConsistencyGuard::HandleSessionRead(TimePoint now, RequestEvent& event) {
  ++counts_.reads;
  ApplyCarriedPosition(now, event);
  if (sessions_carry_positions_ && !CoversAllInstances()) return;
  PendingRequest read;
  read.group = event.group;
  read.key = SessionKeyOf(event.group, event.session);
  read.arrived = event.arrived.value_or(now);
  const SessionWatermarkTable::Known known = watermark_table_.Find(read.key);
  const LogPosition oldest = now - options_.write_retention;
  std::optional<LogPosition> conservative_position;
  if (known.watermark && known.watermark->position >= oldest) {
    read.watermark = known.watermark;
    ++counts_.with_watermark;
    RaiseTo(event.required_position, known.watermark->position);
  } else if (!known.watermark && known.conservative_position && *known.conservative_position >= oldest) {
    conservative_position = known.conservative_position;
    RaiseTo(event.required_position, *known.conservative_position);
  }
  if (!CoversAllInstances()) return;
  if (UsesLeases()) read.complete_through = leases_->CompleteThrough(read.key);
  if (read.complete_through) ++counts_.complete;
  for (const WriteInterval& unknown : UnknownIntervalsOf(read))
    RaiseTo(conservative_position, unknown.through);
  if (conservative_position) {
    ++counts_.conservative;
    RaiseTo(event.required_position, *conservative_position);
  }
  event.require_proven_position = true;
  read.required_position = event.required_position;
  if (const auto reason = FindRejectionReason(read, now)) return RejectRead(event.id, *reason);
  pending_requests_[event.id] = read;
}

void SessionConsistencyGuard::ApplyCarriedPosition(TimePoint now, RequestEvent& event) const {
  if (sessions_carry_positions_) {
    if (!event.time_since_write) return;
    event.required_position =
        std::max(event.required_position.value_or(TimePoint{}), now - *event.time_since_write);
  } else if (!CoversAllInstances()) {
    event.required_position.reset();  // no session of this platform carries a position, so it means nothing
  }
}

void SessionConsistencyGuard::RejectRead(RequestId id, RejectionReason reason) {
  rejected_reads_.push_back({id, reason});
  ++(reason == RejectionReason::kLostWrite ? counts_.rejected_lost_write : counts_.rejected_unknown_write);
}

// A read may not be served if a write of its session may have been lost, whether it is known here or not:
// serving it would present the loss as the session's own state.
std::optional<RejectionReason> SessionConsistencyGuard::FindRejectionReason(const PendingRequest& read,
                                                                            TimePoint now) const {
  if (!options_.reject_uncertain_reads) return std::nullopt;
  const auto it = timelines_.find(read.group);
  if (it == timelines_.end()) return std::nullopt;
  const PrimaryTimeline& timeline = it->second;
  if (read.watermark && timeline.MayBeLost(*read.watermark)) return RejectionReason::kLostWrite;
  const LogPosition oldest = now - options_.write_retention;
  for (const WriteInterval& unknown : UnknownIntervalsOf(read)) {
    const WriteInterval retained{std::max(unknown.after, oldest), unknown.through};
    if (timeline.MayBeLost(retained)) return RejectionReason::kUnknownWrite;
  }
  // Evicted watermarks may be of any write up to the conservative position.
  const auto evicted = read.watermark ? std::nullopt : watermark_table_.Find(read.key).conservative_position;
  if (evicted && timeline.MayBeLost(WriteInterval{oldest, *evicted})) return RejectionReason::kUnknownWrite;
  return std::nullopt;
}

void SessionConsistencyGuard::HandleReportedRoles(TimePoint now, AttemptEndedEvent& event) {
  const auto request = pending_requests_.find(event.id);
  const bool pending = request != pending_requests_.end();
  const auto listed = groups_.find(event.server);
  if (pending || listed != groups_.end()) {
    // The response to a write reports its commit position, which only the primary has.
    const GroupId group = pending ? request->second.group : listed->second;
    event.metadata.position =
        HandleRole(now, group, event.server, event.metadata.primary, event.metadata.position);
  }
  if (event.report && listed != groups_.end()) {
    event.report->position =
        HandleRole(now, listed->second, event.server, event.report->primary, event.report->position);
  }
}

void SessionConsistencyGuard::Handle(TimePoint now, AttemptEndedEvent& event) {
  if (CoversAllInstances()) HandleReportedRoles(now, event);
  // If the role has shown that this very response cannot be trusted, its read was rejected just now.
  const auto it = pending_requests_.find(event.id);
  if (it == pending_requests_.end()) return;
  const PendingRequest& request = it->second;
  const bool served = event.outcome == Outcome::kOk;
  if (served && request.write && event.metadata.position && !sessions_carry_positions_) {
    const WriteWatermark watermark{*event.metadata.position, event.server};
    watermark_table_.Record(request.key, watermark);
    if (on_write_) on_write_(request.group, request.key, watermark);
  }
  // A primary's data is the newest there is, and its position is rounded down: only one that reports an older
  // position than the rounding explains has been replaced.
  const Duration rounding = event.metadata.primary.value_or(false) ? kPositionUnit : Duration{0};
  if (served && !request.write && CoversAllInstances() && request.required_position &&
      event.metadata.position && *event.metadata.position + rounding < *request.required_position) {
    // The server was chosen for having the required position, so it has lost part of its log.
    ++counts_.stale_answers;
    event.outcome = Outcome::kMisrouted;
  }
  if (event.request_done || event.outcome == Outcome::kOk) pending_requests_.erase(it);
}

// ---- Unknown writes -----------------------------------------------------------------------------------

std::vector<WriteInterval> SessionConsistencyGuard::UnknownIntervalsOf(const PendingRequest& read) const {
  // Writes before the session's newest known one do not matter to it.
  const LogPosition oldest = std::max(read.arrived - options_.write_retention,
                                      read.watermark ? read.watermark->position : LogPosition{});
  if (!UsesLeases()) return unknown_writes_.Intervals(oldest, read.arrived);
  // With leases, peers answer writes without replicating them here.
  const LogPosition through = std::min(read.complete_through.value_or(read.arrived), read.arrived);
  if (oldest < through) return {{oldest, through}};
  return {};
}

bool SessionConsistencyGuard::ShouldDelayRead(const RequestEvent& event, TimePoint arrived) {
  if (!CoversAllInstances() || event.request_class >= classes_.size()) return false;
  if (classes_[event.request_class].kind != AccessKind::kSessionRead) return false;
  if (UsesLeases()) {
    const SessionKey key = SessionKeyOf(event.group, event.session);
    // Also renews a lease that is held already.
    const bool expected = leases_->AcquireLease(event.group, key, LeaseUse::kRead);
    return expected && !leases_->CompleteThrough(key);
  }
  const auto replicated = ReplicatedThrough();
  return replicated && *replicated < arrived &&
         arrived - *replicated < options_.max_read_delay * kMaxPeerSilenceInReadDelays;
}

bool SessionConsistencyGuard::IsDelayOver(const RequestEvent& event) const {
  if (UsesLeases()) return leases_->CompleteThrough(SessionKeyOf(event.group, event.session)).has_value();
  const auto replicated = ReplicatedThrough();
  return !replicated || *replicated >= *event.arrived;
}

// ---- What other instances report ----------------------------------------------------------------------

void SessionConsistencyGuard::LearnWatermark(std::optional<GroupId> group, SessionKey key,
                                             const WriteWatermark& watermark) {
  watermark_table_.Record(key, watermark);
  // The server that answered the write did so as primary.
  if (!CoversAllInstances() || !group || !watermark.server) return;
  if (TimelineOf(*group).HandlePrimaryPosition(*watermark.server, watermark.position)) {
    HandleNewPrimary(*group, now_);
  }
}

void SessionConsistencyGuard::LearnTimeline(GroupId group, ServerId primary, LogPosition since,
                                            LogPosition replicated_through, LogPosition confirmed) {
  if (TimelineOf(group).Merge(primary, since, replicated_through, confirmed)) HandleNewPrimary(group, now_);
}

}  // namespace lynxgrade::consistency
