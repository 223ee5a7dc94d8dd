#include "group.h"

#include <algorithm>

namespace lynxgrade::testbed {
namespace {

constexpr Duration kMs{1000};

LogPosition RoundDown(TimePoint time) { return LogPosition(time.time_since_epoch() / kMs * kMs); }

}  // namespace

Group::Group(Options options, TimePoint now) : options_(options), members_(options.members), primary_(0) {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    members_[i].replication_delay =
        options.replication_delay + options.replication_delay * static_cast<std::int64_t>(i) /
                                        static_cast<std::int64_t>(std::max<std::size_t>(1, members_.size()));
    members_[i].position = now;
  }
}

void Group::ApplyEntry(Member& member, const Entry& entry) {
  std::int64_t& version = member.objects[entry.object];
  version = std::max(version, entry.version);
}

std::optional<LogPosition> Group::Write(std::size_t member, const std::string& object, std::int64_t version,
                                        TimePoint now) {
  if (primary_ != member || !members_[member].up) return std::nullopt;
  const LogPosition at = RoundDown(now) + (RoundDown(now) == now ? Duration{0} : kMs);
  log_.push_back({at, object, version});
  ApplyEntry(members_[member], log_.back());
  members_[member].applied = log_.size();
  return at;
}

// A replica has the entries replicated so far, and none committed within its delay before the primary failed.
void Group::ApplyReplicated(Member& member, TimePoint now) {
  const TimePoint limit =
      (primary_failed_at_ ? std::min(now, *primary_failed_at_) : now) - member.replication_delay;
  while (member.applied < log_.size() && log_[member.applied].at <= limit)
    ApplyEntry(member, log_[member.applied++]);
  member.position = std::max(member.position, limit);
}

std::int64_t Group::Read(std::size_t member, const std::string& object, TimePoint now) {
  Member& state = members_[member];
  if (primary_ != member) ApplyReplicated(state, now);
  const auto found = state.objects.find(object);
  return found == state.objects.end() ? 0 : found->second;
}

LogPosition Group::PositionOf(std::size_t member, TimePoint now) {
  Member& state = members_[member];
  if (primary_ == member) return RoundDown(now);
  ApplyReplicated(state, now);
  return RoundDown(state.position);
}

void Group::Fail(std::size_t member, TimePoint now) {
  if (!members_[member].up) return;
  for (Member& other : members_) {
    if (&other != &members_[member] && other.up && !primary_failed_at_) ApplyReplicated(other, now);
  }
  members_[member].up = false;
  if (primary_ != member) return;
  primary_.reset();
  primary_failed_at_ = now;
}

bool Group::CompleteFailover(TimePoint now) {
  if (!primary_failed_at_ || now < *primary_failed_at_ + options_.failover_time) return false;
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (!members_[i].up) continue;
    ApplyReplicated(members_[i], now);
    if (!best || members_[i].applied > members_[*best].applied) best = i;
  }
  if (!best) return false;
  lost_commits_ += log_.size() - members_[*best].applied;
  log_.resize(members_[*best].applied);
  primary_ = best;
  primary_failed_at_.reset();
  return true;
}

void Group::Recover(std::size_t member, TimePoint now) {
  Member& state = members_[member];
  if (state.up) return;
  state.up = true;
  state.objects.clear();
  state.applied = 0;
  ApplyReplicated(state, now);
}

}  // namespace lynxgrade::testbed
