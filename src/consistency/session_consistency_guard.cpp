#include "consistency/session_consistency_guard.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace lynxgrade::consistency {
namespace {

constexpr int kHeardLately = 8;      // times what a read is held for word from the others
constexpr Duration kRounding{1000};  // positions come in whole milliseconds

std::int64_t Milliseconds(LogPosition position) { return position.time_since_epoch().count() / 1000; }

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
      sessions_carry_positions_(settings.sessions_carried),
      options_(options),
      watermark_table_(options.session_capacity) {}

void SessionConsistencyGuard::PrepareEvent(TimePoint now, Event& event) {
  now_ = now;
  if (auto* list = std::get_if<ListEvent>(&event)) {
    if (Everywhere()) Handle(now, *list);
  } else if (auto* request = std::get_if<RequestEvent>(&event)) {
    Handle(now, *request);
  } else if (auto* outcome = std::get_if<OutcomeEvent>(&event)) {
    Handle(now, *outcome);
  } else if (auto* probe = std::get_if<HealthCheckEvent>(&event)) {
    if (Everywhere()) Handle(now, *probe);
  } else if (const auto* gone = std::get_if<ClientDisconnectedEvent>(&event)) {
    pending_requests_.erase(gone->id);
  }
}

void SessionConsistencyGuard::HandleActions(const Actions& actions) {
  for (const Action& action : actions) {
    if (const auto* refuse = std::get_if<Reject>(&action)) pending_requests_.erase(refuse->id);
    if (const auto* fail = std::get_if<Fail>(&action)) pending_requests_.erase(fail->id);
  }
}

PrimaryTimeline& SessionConsistencyGuard::TimelineOf(GroupId group) {
  return timelines_.try_emplace(group, options_.min_failover_time).first->second;
}

// Data servers are replaced all day long: what is said of those that are gone is forgotten with them.
void SessionConsistencyGuard::Handle(TimePoint, ListEvent& event) {
  if (event.kind == ListKind::kError) return;
  std::unordered_map<ServerId, GroupId> named;
  for (const ListEntry& entry : event.entries) {
    if (entry.lifecycle != Lifecycle::kDeleted) named[entry.server] = entry.group;
    if (entry.lifecycle == Lifecycle::kDeleted) Drop(entry.server);
  }
  if (event.kind != ListKind::kPartial) {
    std::vector<ServerId> missing;
    for (const auto& [server, group] : groups_) {
      if (!named.contains(server)) missing.push_back(server);
    }
    for (const ServerId server : missing) Drop(server);
  }
  groups_.merge(named);
}

void SessionConsistencyGuard::Drop(ServerId server) {
  const auto group = groups_.find(server);
  if (group == groups_.end()) return;
  const auto timelines = timelines_.find(group->second);
  if (timelines != timelines_.end()) timelines->second.Drop(server);
  groups_.erase(group);
}

// ---- Reads and writes ---------------------------------------------------------------------------------

void SessionConsistencyGuard::Handle(TimePoint now, RequestEvent& event) {
  if (event.cls >= classes_.size()) return;
  const ReadKind kind = classes_[event.cls].kind;
  if (kind != ReadKind::kWrite && kind != ReadKind::kSession) return;
  PendingRequest open;
  open.group = event.group;
  open.key = SessionKeyOf(event.group, event.session);
  open.arrived = event.arrived.value_or(now);
  open.write = kind == ReadKind::kWrite;
  if (open.write) {
    pending_requests_[event.id] = open;
    if (leases_ != nullptr && !sessions_carry_positions_) leases_->Want(open.group, open.key, true);
    return;
  }
  ++counts_.reads;
  if (!sessions_carry_positions_ && !Everywhere())
    event.target.reset();  // where sessions carry nothing, it is noise
  if (sessions_carry_positions_) {
    if (event.since_write)
      event.target = std::max(event.target.value_or(TimePoint{}), now - *event.since_write);
    if (!Everywhere()) return;
  }
  const SessionWatermarkTable::Known known = watermark_table_.Find(open.key);
  const LogPosition oldest = now - options_.write_retention;
  std::optional<LogPosition> floor;
  if (known.watermark && known.watermark->position >= oldest) {
    open.watermark = known.watermark;
    ++counts_.with_watermark;
  } else if (!known.watermark && known.floor && *known.floor >= oldest) {
    floor = known.floor;
  }
  if (open.watermark)
    event.target = std::max(event.target.value_or(open.watermark->position), open.watermark->position);
  if (floor) event.target = std::max(event.target.value_or(*floor), *floor);
  if (!Everywhere()) return;
  if (leases_ != nullptr && !sessions_carry_positions_) open.exact = leases_->Exact(open.key);
  counts_.exact += open.exact.has_value();
  for (const WriteInterval& gap : UnknownIntervalsOf(open)) floor = std::max(floor.value_or(gap.to), gap.to);
  if (floor) {
    ++counts_.conservative;
    event.target = std::max(event.target.value_or(*floor), *floor);
  }
  event.proven_only = true;
  open.target = event.target;
  if (const auto reason = FindRejectionReason(open, now)) {
    return RejectRead(event.id, *reason);
  }
  pending_requests_[event.id] = open;
}

void SessionConsistencyGuard::RejectRead(RequestId id, RejectionReason reason) {
  rejected_reads_.push_back({id, reason});
  ++(reason == RejectionReason::kLostWrite ? counts_.rejected_lost_write : counts_.rejected_unknown_write);
}

// A read may not be served if a write of its session may have been lost, be it known or not. Serving it would
// pass off the loss as the session's own state.
std::optional<RejectionReason> SessionConsistencyGuard::FindRejectionReason(const PendingRequest& read,
                                                                            TimePoint now) const {
  if (!options_.reject_uncertain_reads) return std::nullopt;
  const auto it = timelines_.find(read.group);
  if (it == timelines_.end()) return std::nullopt;
  const PrimaryTimeline& timelines = it->second;
  if (read.watermark && timelines.MayBeLost(*read.watermark)) return RejectionReason::kLostWrite;
  const LogPosition oldest = now - options_.write_retention;
  for (const WriteInterval& gap : UnknownIntervalsOf(read)) {
    if (timelines.MayBeLost(std::max(gap.from, oldest), gap.to)) return RejectionReason::kUnknownWrite;
  }
  // What was forgotten may have been answered at any time up to the floor.
  const auto forgotten = read.watermark ? std::nullopt : watermark_table_.Find(read.key).floor;
  if (forgotten && timelines.MayBeLost(oldest, *forgotten)) return RejectionReason::kUnknownWrite;
  return std::nullopt;
}

void SessionConsistencyGuard::Handle(TimePoint now, OutcomeEvent& event) {
  const auto it = pending_requests_.find(event.id);
  const bool known = it != pending_requests_.end();
  const bool write = known && it->second.write;
  if (Everywhere()) {
    const auto group = groups_.find(event.server);
    if (known || group != groups_.end()) {
      // A write's answer gives its commit, which only its primary has.
      HandleRole(known ? it->second.group : group->second, event.server, event.note.primary,
                 event.note.position, now);
    }
    if (event.report && group != groups_.end()) {
      HandleRole(group->second, event.server, event.report->primary, event.report->position, now);
    }
  }
  if (!known) return;
  // The role may have shown that this very answer cannot be trusted: the read is in `turned` then, and over.
  const auto open = pending_requests_.find(event.id);
  if (open == pending_requests_.end()) return;
  const bool served = event.outcome == Outcome::kOk;
  if (served && write && event.note.position && !sessions_carry_positions_) {
    const WriteWatermark watermark{*event.note.position, event.server};
    watermark_table_.Note(open->second.key, watermark);
    if (on_write_) on_write_(open->second.group, open->second.key, watermark);
  }
  // A primary stands at the present, and its position is rounded down: only one that speaks of the past has
  // been replaced.
  const Duration rounding = event.note.primary.value_or(false) ? kRounding : Duration{0};
  if (served && !write && Everywhere() && open->second.target && event.note.position &&
      *event.note.position + rounding < *open->second.target) {
    // No data server that goes by the rules answers like this; whoever does has lost part of its log.
    ++counts_.stale_answers;
    event.outcome = Outcome::kMiss;
  }
  if (event.request_done || event.outcome == Outcome::kOk) pending_requests_.erase(open);
}

void SessionConsistencyGuard::Handle(TimePoint now, HealthCheckEvent& event) {
  const auto group = groups_.find(event.server);
  if (group == groups_.end() || !event.report) return;
  HandleRole(group->second, event.server, event.report->primary, event.report->position, now);
}

// Learns from what a member says of itself, and keeps a position from the module that proves nothing.
void SessionConsistencyGuard::HandleRole(GroupId group, ServerId server, std::optional<bool> primary,
                                         std::optional<LogPosition>& position, TimePoint now) {
  PrimaryTimeline& timelines = TimelineOf(group);
  if (!position || *position > now + options_.write_retention) {
    position.reset();  // not a time that a log could have reached
    return;
  }
  if (!primary) return position.reset();
  if (*primary) {
    if (timelines.HandlePrimaryPosition(server, *position)) HandleNewPrimary(group, now);
    return;
  }
  timelines.HandleReplicaPosition(server, *position);
  const auto believed = timelines.TrustedThrough();
  if (!believed || *position > *believed) position.reset();
}

void SessionConsistencyGuard::HandleNewPrimary(GroupId group, TimePoint now) {
  PrimaryTimeline& timelines = TimelineOf(group);
  timelines.ForgetLossesBefore(now - options_.write_retention);
  ++counts_.losses;
  if (on_timeline_change_) on_timeline_change_();
  if (log_sink_ && timelines.primary() && options_.reject_uncertain_reads) {
    log_sink_("group " + std::to_string(static_cast<std::int64_t>(group)) + ": data server " +
              std::to_string(static_cast<std::uint32_t>(*timelines.primary())) + " is primary since " +
              std::to_string(Milliseconds(timelines.since())) +
              " at the latest, known to have held the log up to " +
              std::to_string(Milliseconds(timelines.held())) +
              "; own-reads of sessions that wrote in between are refused until they write again");
  }
  for (auto it = pending_requests_.begin(); it != pending_requests_.end();) {
    const PendingRequest& open = it->second;
    std::optional<RejectionReason> reason;
    if (!open.write && open.group == group) reason = FindRejectionReason(open, now);
    if (!reason) {
      ++it;
      continue;
    }
    RejectRead(it->first, *reason);
    it = pending_requests_.erase(it);
  }
}

// ---- What is not known --------------------------------------------------------------------------------

void SessionConsistencyGuard::HandleStart(TimePoint now, std::optional<TimePoint> recovered_to) {
  started_ = now;
  recovered_to_ = recovered_to;
}

void SessionConsistencyGuard::Covered(std::uint64_t peer, TimePoint upto) {
  TimePoint& covered = replicated_through_.try_emplace(peer, upto).first->second;
  covered = std::max(covered, upto);
}

std::optional<TimePoint> SessionConsistencyGuard::CoveredUpTo() const {
  std::optional<TimePoint> least;
  for (const auto& [peer, upto] : replicated_through_) least = std::min(least.value_or(upto), upto);
  return least;
}

std::vector<SessionConsistencyGuard::WriteInterval> SessionConsistencyGuard::UnknownIntervals(
    TimePoint at, const std::optional<WriteWatermark>& watermark) const {
  std::vector<WriteInterval> gaps;
  const TimePoint oldest =
      std::max(at - options_.write_retention, watermark ? watermark->position : TimePoint{});
  const auto add = [&](TimePoint from, TimePoint to) {
    from = std::max(from, oldest);
    if (from < to) gaps.push_back({from, to, 0});
  };
  if (started_) add(recovered_to_.value_or(TimePoint{}), *started_);
  for (const auto& [peer, upto] : replicated_through_) add(upto, at);
  for (const WriteInterval& gap : unknown_intervals_) add(gap.from, gap.to);
  return gaps;
}

std::vector<SessionConsistencyGuard::WriteInterval> SessionConsistencyGuard::UnknownIntervalsOf(
    const PendingRequest& read) const {
  if (leases_ == nullptr || sessions_carry_positions_) return UnknownIntervals(read.arrived, read.watermark);
  // Where sessions are held by one instance coverage says nothing: others answer without telling.
  const LogPosition from = std::max(read.arrived - options_.write_retention,
                                    read.watermark ? read.watermark->position : TimePoint{});
  const LogPosition to = std::min(read.exact.value_or(read.arrived), read.arrived);
  if (from < to) return {{from, to, 0}};
  return {};
}

bool SessionConsistencyGuard::IsDelayOver(const RequestEvent& event) const {
  if (leases_ != nullptr && !sessions_carry_positions_)
    return leases_->Exact(SessionKeyOf(event.group, event.session)).has_value();
  const auto covered = CoveredUpTo();
  return !covered || *covered >= *event.arrived;
}

bool SessionConsistencyGuard::ShouldDelayRead(const RequestEvent& event, TimePoint arrived) {
  if (!Everywhere() || event.cls >= classes_.size()) return false;
  if (classes_[event.cls].kind != ReadKind::kSession) return false;
  if (leases_ != nullptr && !sessions_carry_positions_) {
    const SessionKey key = SessionKeyOf(event.group, event.session);
    // A read of a session that is held is also what keeps its lease.
    const bool expected = leases_->Want(event.group, key, false);
    return expected && !leases_->Exact(key);
  }
  const auto covered = CoveredUpTo();
  // An instance that has not been heard for longer than this will hardly be heard in time. What is heard of
  // a quiet one is up to two of its pauses old.
  return covered && *covered < arrived && arrived - *covered < options_.max_read_delay * kHeardLately;
}

void SessionConsistencyGuard::Learn(std::optional<GroupId> group, SessionKey key,
                                    const WriteWatermark& watermark) {
  watermark_table_.Note(key, watermark);
  // Its answer was also the word of a primary.
  if (Everywhere() && group && watermark.by &&
      TimelineOf(*group).HandlePrimaryPosition(*watermark.by, watermark.position)) {
    HandleNewPrimary(*group, now_);
  }
}

void SessionConsistencyGuard::AddGap(std::uint64_t peer, TimePoint from, TimePoint to) {
  std::erase_if(unknown_intervals_,
                [&](const WriteInterval& gap) { return gap.to + options_.write_retention < to; });
  for (WriteInterval& gap : unknown_intervals_) {
    if (gap.peer != peer || from > gap.to || to < gap.from) continue;
    gap.from = std::min(gap.from, from);
    gap.to = std::max(gap.to, to);
    return;
  }
  if (from < to) unknown_intervals_.push_back({from, to, peer});
}

void SessionConsistencyGuard::CloseGaps(std::uint64_t peer) {
  std::erase_if(unknown_intervals_, [peer](const WriteInterval& gap) { return gap.peer == peer; });
}

void SessionConsistencyGuard::LearnReign(GroupId group, ServerId primary, LogPosition since, LogPosition held,
                                         LogPosition confirmed) {
  // Heard from another, a new reign ends the reads under way as well as one that was seen here.
  if (TimelineOf(group).Learn(primary, since, held, confirmed)) HandleNewPrimary(group, now_);
}

}  // namespace lynxgrade::consistency
