#include "scale_databases.h"

#include <algorithm>

namespace lynxgrade::testbed {
namespace {

constexpr Duration kMs{1000};
constexpr Duration kReplicationDelay{8000};  // the same as in the simulated data servers' groups

LogPosition RoundDown(TimePoint time) { return LogPosition(time.time_since_epoch() / kMs * kMs); }
LogPosition RoundUp(TimePoint time) { return RoundDown(time + kMs - Duration{1}); }

}  // namespace

SimulatedDatabases::SimulatedDatabases(const std::vector<int>& groups) {
  for (const int members : groups) {
    Group group;
    group.down.resize(static_cast<std::size_t>(members));
    group.timelines.emplace_back();
    for (std::size_t i = 0; i < group.down.size(); ++i) members_.push_back({groups_.size(), i});
    groups_.push_back(std::move(group));
  }
}

Duration SimulatedDatabases::ReplicationDelay(const Group& group, std::size_t member) const {
  return kReplicationDelay +
         kReplicationDelay * static_cast<std::int64_t>(member) / static_cast<std::int64_t>(group.down.size());
}

std::size_t SimulatedDatabases::TimelineAt(const Group& group, TimePoint now) const {
  std::size_t at = group.timelines.size() - 1;
  while (at > 0 && group.timelines[at].since > now) --at;
  return at;
}

void SimulatedDatabases::Fail(std::size_t group, std::size_t member, TimePoint at) {
  groups_[group].down[member].push_back({at, TimePoint::max()});
  Timeline& last = groups_[group].timelines.back();
  if (last.member == member) last.until = std::min(last.until, at);
}

void SimulatedDatabases::Recover(std::size_t group, std::size_t member, TimePoint at) {
  if (!groups_[group].down[member].empty()) groups_[group].down[member].back().to = at;
}

void SimulatedDatabases::Promote(std::size_t group, std::size_t member, TimePoint at) {
  Group& state = groups_[group];
  Timeline& last = state.timelines.back();
  last.until = std::min(last.until, at);
  state.timelines.push_back(
      {member, at, TimePoint::max(), RoundDown(last.until - ReplicationDelay(state, member))});
}

bool SimulatedDatabases::IsUp(Member member, TimePoint now) const {
  return std::ranges::none_of(groups_[member.group].down[member.member],
                              [&](const Outage& down) { return now >= down.from && now < down.to; });
}

bool SimulatedDatabases::IsPrimary(Member member, TimePoint now) const {
  const Group& group = groups_[member.group];
  const Timeline& timeline = group.timelines[TimelineAt(group, now)];
  return timeline.member == member.member && now < timeline.until && IsUp(member, now);
}

// A replica has the commits older than its replication delay, and none of the last ones before the primary
// failed.
DataState SimulatedDatabases::StateOf(Member member, TimePoint now) const {
  const Group& group = groups_[member.group];
  const std::size_t at = TimelineAt(group, now);
  if (IsPrimary(member, now)) return {RoundUp(now), at};
  return {RoundDown(std::min(now, group.timelines[at].until) - ReplicationDelay(group, member.member)), at};
}

LogPosition SimulatedDatabases::ReportedPosition(Member member, TimePoint now) const {
  return IsPrimary(member, now) ? RoundDown(now) : StateOf(member, now).position;
}

std::optional<DataState> SimulatedDatabases::Commit(Member member, TimePoint now) const {
  if (!IsPrimary(member, now)) return std::nullopt;
  return StateOf(member, now);
}

bool SimulatedDatabases::Contains(std::size_t group, const DataState& state, const DataState& write) const {
  if (write.position > state.position) return false;
  const std::vector<Timeline>& timelines = groups_[group].timelines;
  for (std::size_t at = write.timeline + 1; at <= state.timeline; ++at) {
    if (write.position > timelines[at].inherited_up_to) return false;
  }
  return true;
}

}  // namespace lynxgrade::testbed
