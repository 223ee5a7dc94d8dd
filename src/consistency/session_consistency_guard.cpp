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

const char* NameOf(Reason reason) {
  switch (reason) {
    case Reason::kLost:
      return "its write may have been lost with a primary";
    case Reason::kUnknown:
      return "writes that are not known here may have been lost with a primary";
  }
  return "";
}

SessionConsistencyGuard::SessionConsistencyGuard(const Settings& settings, Options options)
    : classes_(settings.classes),
      carried_(settings.clients_carry_watermarks),
      options_(options),
      watermark_table_(options.sessions) {}

void SessionConsistencyGuard::Before(TimePoint now, Event& event) {
  now_ = now;
  if (auto* list = std::get_if<ListEvent>(&event)) {
    if (Everywhere()) Take(now, *list);
  } else if (auto* request = std::get_if<RequestEvent>(&event)) {
    Take(now, *request);
  } else if (auto* outcome = std::get_if<AttemptEndedEvent>(&event)) {
    Take(now, *outcome);
  } else if (auto* probe = std::get_if<HealthCheckEvent>(&event)) {
    if (Everywhere()) Take(now, *probe);
  } else if (const auto* gone = std::get_if<ClientDisconnectedEvent>(&event)) {
    open_.erase(gone->id);
  }
}

void SessionConsistencyGuard::After(const Actions& actions) {
  for (const Action& action : actions) {
    if (const auto* refuse = std::get_if<Reject>(&action)) open_.erase(refuse->id);
    if (const auto* fail = std::get_if<Fail>(&action)) open_.erase(fail->id);
  }
}

PrimaryTimeline& SessionConsistencyGuard::ReignsOf(GroupId group) {
  return timelines_.try_emplace(group, options_.least_failover).first->second;
}

// Data servers are replaced all day long: what is said of those that are gone is forgotten with them.
void SessionConsistencyGuard::Take(TimePoint, ListEvent& event) {
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

void SessionConsistencyGuard::Take(TimePoint now, RequestEvent& event) {
  if (event.request_class >= classes_.size()) return;
  const AccessKind kind = classes_[event.request_class].kind;
  if (kind != AccessKind::kWrite && kind != AccessKind::kSessionRead) return;
  Open open;
  open.group = event.group;
  open.key = SessionKeyOf(event.group, event.session);
  open.arrived = event.arrived.value_or(now);
  open.write = kind == AccessKind::kWrite;
  if (open.write) {
    open_[event.id] = open;
    if (holding_ != nullptr && !carried_) holding_->Want(open.group, open.key, true);
    return;
  }
  ++counts_.reads;
  if (!carried_ && !Everywhere())
    event.required_position.reset();  // where sessions carry nothing, it is noise
  if (carried_) {
    if (event.time_since_write)
      event.required_position =
          std::max(event.required_position.value_or(TimePoint{}), now - *event.time_since_write);
    if (!Everywhere()) return;
  }
  const SessionWatermarkTable::Known known = watermark_table_.Find(open.key);
  const LogPosition oldest = now - options_.recall;
  std::optional<LogPosition> floor;
  if (known.watermark && known.watermark->position >= oldest) {
    open.watermark = known.watermark;
    ++counts_.marked;
  } else if (!known.watermark && known.floor && *known.floor >= oldest) {
    floor = known.floor;
  }
  if (open.watermark)
    event.required_position =
        std::max(event.required_position.value_or(open.watermark->position), open.watermark->position);
  if (floor) event.required_position = std::max(event.required_position.value_or(*floor), *floor);
  if (!Everywhere()) return;
  if (holding_ != nullptr && !carried_) open.exact = holding_->Exact(open.key);
  counts_.exact += open.exact.has_value();
  for (const Gap& gap : GapsOf(open)) floor = std::max(floor.value_or(gap.to), gap.to);
  if (floor) {
    ++counts_.floored;
    event.required_position = std::max(event.required_position.value_or(*floor), *floor);
  }
  event.require_proven_position = true;
  open.target = event.required_position;
  if (const auto reason = Doubt(open, now)) {
    return Turn(event.id, *reason);
  }
  open_[event.id] = open;
}

void SessionConsistencyGuard::Turn(RequestId id, Reason reason) {
  turned_.push_back({id, reason});
  ++(reason == Reason::kLost ? counts_.lost : counts_.unknown);
}

// A read may not be served if a write of its session may have been lost, be it known or not. Serving it would
// pass off the loss as the session's own state.
std::optional<Reason> SessionConsistencyGuard::Doubt(const Open& read, TimePoint now) const {
  if (!options_.refuse_doubt) return std::nullopt;
  const auto it = timelines_.find(read.group);
  if (it == timelines_.end()) return std::nullopt;
  const PrimaryTimeline& timelines = it->second;
  if (read.watermark && timelines.InDoubt(*read.watermark)) return Reason::kLost;
  const LogPosition oldest = now - options_.recall;
  for (const Gap& gap : GapsOf(read)) {
    if (timelines.InDoubt(std::max(gap.from, oldest), gap.to)) return Reason::kUnknown;
  }
  // What was forgotten may have been answered at any time up to the floor.
  const auto forgotten = read.watermark ? std::nullopt : watermark_table_.Find(read.key).floor;
  if (forgotten && timelines.InDoubt(oldest, *forgotten)) return Reason::kUnknown;
  return std::nullopt;
}

void SessionConsistencyGuard::Take(TimePoint now, AttemptEndedEvent& event) {
  const auto it = open_.find(event.id);
  const bool known = it != open_.end();
  const bool write = known && it->second.write;
  if (Everywhere()) {
    const auto group = groups_.find(event.server);
    if (known || group != groups_.end()) {
      // A write's answer gives its commit, which only its primary has.
      TakeRole(known ? it->second.group : group->second, event.server, event.metadata.primary,
               event.metadata.position, now);
    }
    if (event.report && group != groups_.end()) {
      TakeRole(group->second, event.server, event.report->primary, event.report->position, now);
    }
  }
  if (!known) return;
  // The role may have shown that this very answer cannot be trusted: the read is in `turned` then, and over.
  const auto open = open_.find(event.id);
  if (open == open_.end()) return;
  const bool served = event.outcome == Outcome::kOk;
  if (served && write && event.metadata.position && !carried_) {
    const WriteWatermark watermark{*event.metadata.position, event.server};
    watermark_table_.Note(open->second.key, watermark);
    if (wrote_) wrote_(open->second.group, open->second.key, watermark);
  }
  // A primary stands at the present, and its position is rounded down: only one that speaks of the past has
  // been replaced.
  const Duration rounding = event.metadata.primary.value_or(false) ? kRounding : Duration{0};
  if (served && !write && Everywhere() && open->second.target && event.metadata.position &&
      *event.metadata.position + rounding < *open->second.target) {
    // No data server that goes by the rules answers like this; whoever does has lost part of its log.
    ++counts_.too_old;
    event.outcome = Outcome::kMisrouted;
  }
  if (event.request_done || event.outcome == Outcome::kOk) open_.erase(open);
}

void SessionConsistencyGuard::Take(TimePoint now, HealthCheckEvent& event) {
  const auto group = groups_.find(event.server);
  if (group == groups_.end() || !event.report) return;
  TakeRole(group->second, event.server, event.report->primary, event.report->position, now);
}

// Learns from what a member says of itself, and keeps a position from the module that proves nothing.
void SessionConsistencyGuard::TakeRole(GroupId group, ServerId server, std::optional<bool> primary,
                                       std::optional<LogPosition>& position, TimePoint now) {
  PrimaryTimeline& timelines = ReignsOf(group);
  if (!position || *position > now + options_.recall) {
    position.reset();  // not a time that a log could have reached
    return;
  }
  if (!primary) return position.reset();
  if (*primary) {
    if (timelines.Primary(server, *position)) NewReign(group, now);
    return;
  }
  timelines.Standby(server, *position);
  const auto believed = timelines.Believed();
  if (!believed || *position > *believed) position.reset();
}

void SessionConsistencyGuard::NewReign(GroupId group, TimePoint now) {
  PrimaryTimeline& timelines = ReignsOf(group);
  timelines.Forget(now - options_.recall);
  ++counts_.losses;
  if (reign_changed_) reign_changed_();
  if (say_ && timelines.primary() && options_.refuse_doubt) {
    say_("group " + std::to_string(static_cast<std::int64_t>(group)) + ": data server " +
         std::to_string(static_cast<std::uint32_t>(*timelines.primary())) + " is primary since " +
         std::to_string(Milliseconds(timelines.since())) +
         " at the latest, known to have held the log up to " +
         std::to_string(Milliseconds(timelines.held())) +
         "; own-reads of sessions that wrote in between are refused until they write again");
  }
  for (auto it = open_.begin(); it != open_.end();) {
    const Open& open = it->second;
    std::optional<Reason> reason;
    if (!open.write && open.group == group) reason = Doubt(open, now);
    if (!reason) {
      ++it;
      continue;
    }
    Turn(it->first, *reason);
    it = open_.erase(it);
  }
}

// ---- What is not known --------------------------------------------------------------------------------

void SessionConsistencyGuard::Started(TimePoint now, std::optional<TimePoint> recovered_to) {
  started_ = now;
  recovered_to_ = recovered_to;
}

void SessionConsistencyGuard::Covered(std::uint64_t peer, TimePoint upto) {
  TimePoint& covered = covered_.try_emplace(peer, upto).first->second;
  covered = std::max(covered, upto);
}

std::optional<TimePoint> SessionConsistencyGuard::CoveredUpTo() const {
  std::optional<TimePoint> least;
  for (const auto& [peer, upto] : covered_) least = std::min(least.value_or(upto), upto);
  return least;
}

std::vector<SessionConsistencyGuard::Gap> SessionConsistencyGuard::Gaps(
    TimePoint at, const std::optional<WriteWatermark>& watermark) const {
  std::vector<Gap> gaps;
  const TimePoint oldest = std::max(at - options_.recall, watermark ? watermark->position : TimePoint{});
  const auto add = [&](TimePoint from, TimePoint to) {
    from = std::max(from, oldest);
    if (from < to) gaps.push_back({from, to, 0});
  };
  if (started_) add(recovered_to_.value_or(TimePoint{}), *started_);
  for (const auto& [peer, upto] : covered_) add(upto, at);
  for (const Gap& gap : gaps_) add(gap.from, gap.to);
  return gaps;
}

std::vector<SessionConsistencyGuard::Gap> SessionConsistencyGuard::GapsOf(const Open& read) const {
  if (holding_ == nullptr || carried_) return Gaps(read.arrived, read.watermark);
  // Where sessions are held by one instance coverage says nothing: others answer without telling.
  const LogPosition from =
      std::max(read.arrived - options_.recall, read.watermark ? read.watermark->position : TimePoint{});
  const LogPosition to = std::min(read.exact.value_or(read.arrived), read.arrived);
  if (from < to) return {{from, to, 0}};
  return {};
}

bool SessionConsistencyGuard::WordCame(const RequestEvent& event) const {
  if (holding_ != nullptr && !carried_)
    return holding_->Exact(SessionKeyOf(event.group, event.session)).has_value();
  const auto covered = CoveredUpTo();
  return !covered || *covered >= *event.arrived;
}

bool SessionConsistencyGuard::WorthHolding(const RequestEvent& event, TimePoint arrived) {
  if (!Everywhere() || event.request_class >= classes_.size()) return false;
  if (classes_[event.request_class].kind != AccessKind::kSessionRead) return false;
  if (holding_ != nullptr && !carried_) {
    const SessionKey key = SessionKeyOf(event.group, event.session);
    // A read of a session that is held is also what keeps its lease.
    const bool expected = holding_->Want(event.group, key, false);
    return expected && !holding_->Exact(key);
  }
  const auto covered = CoveredUpTo();
  // An instance that has not been heard for longer than this will hardly be heard in time. What is heard of
  // a quiet one is up to two of its pauses old.
  return covered && *covered < arrived && arrived - *covered < options_.hold * kHeardLately;
}

void SessionConsistencyGuard::Learn(std::optional<GroupId> group, SessionKey key,
                                    const WriteWatermark& watermark) {
  watermark_table_.Note(key, watermark);
  // Its answer was also the word of a primary.
  if (Everywhere() && group && watermark.by && ReignsOf(*group).Primary(*watermark.by, watermark.position)) {
    NewReign(*group, now_);
  }
}

void SessionConsistencyGuard::AddGap(std::uint64_t peer, TimePoint from, TimePoint to) {
  std::erase_if(gaps_, [&](const Gap& gap) { return gap.to + options_.recall < to; });
  for (Gap& gap : gaps_) {
    if (gap.peer != peer || from > gap.to || to < gap.from) continue;
    gap.from = std::min(gap.from, from);
    gap.to = std::max(gap.to, to);
    return;
  }
  if (from < to) gaps_.push_back({from, to, peer});
}

void SessionConsistencyGuard::CloseGaps(std::uint64_t peer) {
  std::erase_if(gaps_, [peer](const Gap& gap) { return gap.peer == peer; });
}

void SessionConsistencyGuard::LearnReign(GroupId group, ServerId primary, LogPosition since, LogPosition held,
                                         LogPosition confirmed) {
  // Heard from another, a new reign ends the reads under way as well as one that was seen here.
  if (ReignsOf(group).Learn(primary, since, held, confirmed)) NewReign(group, now_);
}

}  // namespace lynxgrade::consistency
