#include "consistency/session_consistency_guard.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace lynxgrade::consistency {
namespace {

// A read is not delayed for a peer that has been silent for longer than this many read delays, as it is
// unlikely to report within one. The limit must exceed the silence of an idle peer, which is up to twice
// ReplicationEngine::Options::idle_interval.
constexpr int kMaxPeerSilenceInReadDelays = 8;
constexpr Duration kPositionUnit{1000};  // data servers report positions in whole milliseconds, rounded down

// Sets a required position, or raises an existing one, to at least `position`.
void RaiseTo(std::optional<LogPosition>& required, LogPosition position) {
  required = std::max(required.value_or(position), position);
}

PrimaryConfirmation::Options ConfirmationOptions(const Settings& settings, const Options& options) {
  return {.min_failover_time = options.min_failover_time,
          .write_retention = options.write_retention,
          .fleet_size = settings.fleet_size,
          .may_check = options.scope == Scope::kEverywhere && options.reject_uncertain_reads &&
                       settings.may_health_check && settings.load_reporting != LoadReporting::kNone};
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
      confirmation_(ConfirmationOptions(settings, options)),
      unknown_writes_(options.write_retention) {}

void SessionConsistencyGuard::PrepareEvent(TimePoint now, TimePoint received, Event& event) {
  now_ = now;
  if (const auto* list = std::get_if<EndpointListEvent>(&event)) {
    if (CoversAllInstances()) HandleEndpointList(*list);
  } else if (auto* request = std::get_if<RequestEvent>(&event)) {
    HandleRequest(now, *request);
  } else if (auto* attempt_end = std::get_if<AttemptEndedEvent>(&event)) {
    HandleAttemptEnd({now - attempt_end->elapsed, received}, *attempt_end);
  } else if (auto* health_check = std::get_if<HealthCheckEvent>(&event)) {
    if (CoversAllInstances()) HandleHealthCheck({now - health_check->elapsed, received}, *health_check);
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

void SessionConsistencyGuard::HandleEndpointList(const EndpointListEvent& event) {
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

void SessionConsistencyGuard::HandleHealthCheck(const ResponseTimes& times, HealthCheckEvent& event) {
  const auto group = groups_.find(event.server);
  if (group == groups_.end() || !event.report) return;
  event.report->position =
      HandleRole(times, group->second, event.server, event.report->primary, event.report->position);
}

PrimaryTimeline& SessionConsistencyGuard::TimelineOf(GroupId group) {
  return timelines_.try_emplace(group, options_.min_failover_time).first->second;
}

std::optional<LogPosition> SessionConsistencyGuard::HandleRole(const ResponseTimes& times, GroupId group,
                                                               ServerId server, std::optional<bool> primary,
                                                               std::optional<LogPosition> position) {
  PrimaryTimeline& timeline = TimelineOf(group);
  if (!position || !IsPossible(times.received, *position)) return std::nullopt;
  if (!primary) return std::nullopt;
  if (*primary) {
    const FormerPrimary former = FormerPrimary::Of(timeline);
    if (timeline.HandlePrimaryPosition(server, *position, times.received)) {
      HandleNewTerm(group, now_, former, TimelineSource::kServer);
    }
    return timeline.IsReplacedAt(server, *position) ? std::nullopt : position;
  }
  const bool proven = timeline.HandleReplicaPosition(server, *position, times.requested, times.received);
  return proven ? position : std::nullopt;
}

void SessionConsistencyGuard::HandleNewTerm(GroupId group, TimePoint now, const FormerPrimary& former,
                                            TimelineSource source) {
  PrimaryTimeline& timeline = TimelineOf(group);
  timeline.ForgetTermsBefore(now - options_.write_retention);
  ++counts_.possible_losses;
  if (former.server == timeline.primary()) unheard_groups_.insert(group);
  if (on_timeline_change_) on_timeline_change_(group);
  if (options_.reject_uncertain_reads) change_log_.Write(now, group, timeline, former, source);
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

// ---- Reads and writes ---------------------------------------------------------------------------------

void SessionConsistencyGuard::HandleRequest(TimePoint now, RequestEvent& event) {
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
  const SessionWatermarkTable::LookupResult known = watermark_table_.Find(read.key);
  const LogPosition oldest = now - options_.write_retention;
  std::optional<LogPosition> conservative_position;
  if (known.watermark && known.watermark->position >= oldest) {
    read.watermark = known.watermark;
    ++counts_.reads_with_watermark;
    confirmation_.RecordGuardedWrite(read.group, known.watermark->position);
    RaiseTo(event.required_position, known.watermark->position);
  } else if (!known.watermark && known.conservative_position && *known.conservative_position >= oldest) {
    conservative_position = known.conservative_position;
    RaiseTo(event.required_position, *known.conservative_position);
  }
  if (!CoversAllInstances()) return;
  const auto timeline = timelines_.find(event.group);
  if (timeline != timelines_.end() && timeline->second.IsUnheardAt(read.arrived)) {
    unheard_groups_.insert(event.group);
  }
  if (UsesLeases()) read.all_writes_known_after = leases_->AllWritesKnownAfter(read.key);
  if (read.all_writes_known_after) ++counts_.complete_reads;
  for (const WriteInterval& unknown : UnknownIntervalsOf(read))
    RaiseTo(conservative_position, unknown.through);
  if (conservative_position) {
    ++counts_.conservative_reads;
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
    event.required_position.reset();  // clients of this platform are not configured to carry positions
  }
}

void SessionConsistencyGuard::RejectRead(RequestId id, RejectionReason reason) {
  rejected_reads_.push_back({id, reason});
  ++(reason == RejectionReason::kLostWrite ? counts_.rejected_lost_write : counts_.rejected_unknown_write);
}

// A read must not be served if a write of its session may have been lost, whether the write is known to this
// instance or not: the client would read a state that lacks its own write.
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
  // An evicted watermark may belong to any write up to the conservative position.
  const auto evicted = read.watermark ? std::nullopt : watermark_table_.Find(read.key).conservative_position;
  if (evicted && timeline.MayBeLost(WriteInterval{oldest, *evicted})) return RejectionReason::kUnknownWrite;
  return std::nullopt;
}

SessionConsistencyGuard::PositionTrust SessionConsistencyGuard::HandleReportedRoles(
    const ResponseTimes& times, AttemptEndedEvent& event) {
  const auto request = pending_requests_.find(event.id);
  const bool pending = request != pending_requests_.end();
  const auto listed = groups_.find(event.server);
  auto trust = PositionTrust::kTrusted;
  const auto handle = [&](GroupId group, std::optional<bool> primary, std::optional<LogPosition>& position) {
    const bool reported = position.has_value();
    position = HandleRole(times, group, event.server, primary, position);
    if (reported && primary && !position) trust = PositionTrust::kUntrusted;
  };
  if (pending || listed != groups_.end()) {
    // The response to a write reports the write's commit position, which only the primary has.
    const GroupId group = pending ? request->second.group : listed->second;
    handle(group, event.metadata.primary, event.metadata.position);
  }
  if (event.report && listed != groups_.end()) {
    handle(listed->second, event.report->primary, event.report->position);
  }
  return trust;
}

void SessionConsistencyGuard::HandleAttemptEnd(const ResponseTimes& times, AttemptEndedEvent& event) {
  // A write is recorded also where its position proves nothing of other writes.
  std::optional<LogPosition> answered_at = event.metadata.position;
  auto trust = PositionTrust::kTrusted;
  if (CoversAllInstances()) {
    if (answered_at && !IsPossible(times.received, *answered_at)) answered_at.reset();
    trust = HandleReportedRoles(times, event);
  }
  // If the reported role revealed a new primary, HandleReportedRoles may have rejected this read.
  const auto it = pending_requests_.find(event.id);
  if (it == pending_requests_.end()) return;
  const PendingRequest& request = it->second;
  const bool served = event.outcome == Outcome::kOk;
  if (served && request.write && answered_at && !sessions_carry_positions_) {
    const WriteWatermark watermark{*answered_at, event.server};
    watermark_table_.Record(request.key, watermark);
    confirmation_.RecordGuardedWrite(request.group, watermark.position);
    if (on_write_) on_write_(request.group, request.key, watermark);
  }
  if (served && !request.write && CoversAllInstances() && IsStale(request, event, trust)) {
    // The server was selected because it had reported the required position: it has lost part of its log.
    ++counts_.stale_answers;
    event.outcome = Outcome::kMisrouted;
  }
  if (event.request_done || event.outcome == Outcome::kOk) pending_requests_.erase(it);
}

bool SessionConsistencyGuard::IsStale(const PendingRequest& read, const AttemptEndedEvent& event,
                                      PositionTrust trust) {
  if (!read.required_position) return false;
  // The server may follow a primary that is not known here, and have discarded what it held before.
  if (trust == PositionTrust::kUntrusted) return true;
  if (!event.metadata.position) return false;
  // A primary has the newest data, but its position is rounded down. Only a difference larger than the
  // rounding shows that the primary has been replaced.
  const Duration rounding = event.metadata.primary.value_or(false) ? kPositionUnit : Duration{0};
  return *event.metadata.position + rounding < *read.required_position;
}

// ---- Unknown writes -----------------------------------------------------------------------------------

std::vector<WriteInterval> SessionConsistencyGuard::UnknownIntervalsOf(const PendingRequest& read) const {
  // Unknown writes before the session's newest known write are irrelevant.
  const LogPosition oldest = std::max(read.arrived - options_.write_retention,
                                      read.watermark ? read.watermark->position : LogPosition{});
  if (!UsesLeases()) return unknown_writes_.Intervals(oldest, read.arrived);
  // With leases, peers answer writes without replicating them here.
  const LogPosition through = std::min(read.all_writes_known_after.value_or(read.arrived), read.arrived);
  if (oldest < through) return {{oldest, through}};
  return {};
}

bool SessionConsistencyGuard::ShouldDelayRead(const RequestEvent& event, TimePoint arrived) {
  if (!CoversAllInstances() || event.request_class >= classes_.size()) return false;
  if (classes_[event.request_class].kind != AccessKind::kSessionRead) return false;
  if (UsesLeases()) {
    const SessionKey key = SessionKeyOf(event.group, event.session);
    // Also renews a lease that is already held.
    const bool expected = leases_->AcquireLease(event.group, key, LeaseUse::kRead);
    return expected && !leases_->AllWritesKnownAfter(key);
  }
  const auto replicated = ReplicatedThrough();
  return replicated && *replicated < arrived &&
         arrived - *replicated < options_.max_read_delay * kMaxPeerSilenceInReadDelays;
}

bool SessionConsistencyGuard::IsDelayOver(const RequestEvent& event) const {
  if (UsesLeases()) return leases_->AllWritesKnownAfter(SessionKeyOf(event.group, event.session)).has_value();
  const auto replicated = ReplicatedThrough();
  return !replicated || *replicated >= *event.arrived;
}

// ---- What other instances report ----------------------------------------------------------------------

void SessionConsistencyGuard::LearnWatermark(std::optional<GroupId> group, SessionKey key,
                                             const WriteWatermark& watermark) {
  watermark_table_.Record(key, watermark);
  // The server that answered the write was primary at that position.
  if (!CoversAllInstances() || !group || !watermark.server) return;
  PrimaryTimeline& timeline = TimelineOf(*group);
  const FormerPrimary former = FormerPrimary::Of(timeline);
  if (timeline.HandlePrimaryPosition(*watermark.server, watermark.position, now_)) {
    HandleNewTerm(*group, now_, former, TimelineSource::kPeer);
  }
}

void SessionConsistencyGuard::LearnTerm(GroupId group, const PrimaryTermReport& report,
                                        TimelineSource source) {
  // Recovered watermarks do not tell their group.
  if (source == TimelineSource::kDisk) confirmation_.RecordGuardedWrite(group, report.term.confirmed);
  PrimaryTimeline& timeline = TimelineOf(group);
  const FormerPrimary former = FormerPrimary::Of(timeline);
  if (timeline.Merge(report, now_)) HandleNewTerm(group, now_, former, source);
}

}  // namespace lynxgrade::consistency
