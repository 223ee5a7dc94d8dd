#include "scale_databases.h"

#include <algorithm>

namespace lynxgrade::testbed {
namespace {

constexpr Duration kMs{1000};
constexpr Duration kShip{8000};  // as the stand-ins' groups

LogPosition RoundDown(TimePoint time) { return LogPosition(time.time_since_epoch() / kMs * kMs); }
LogPosition RoundUp(TimePoint time) { return RoundDown(time + kMs - Duration{1}); }

}  // namespace

Databases::Databases(const std::vector<int>& groups) {
  for (const int members : groups) {
    Group group;
    group.down.resize(static_cast<std::size_t>(members));
    group.timelines.emplace_back();
    for (std::size_t i = 0; i < group.down.size(); ++i) where_.push_back({groups_.size(), i});
    groups_.push_back(std::move(group));
  }
}

Duration Databases::DelayOf(const Group& group, std::size_t member) const {
  return kShip + kShip * static_cast<std::int64_t>(member) / static_cast<std::int64_t>(group.down.size());
}

std::size_t Databases::ReignAt(const Group& group, TimePoint now) const {
  std::size_t at = group.timelines.size() - 1;
  while (at > 0 && group.timelines[at].since > now) --at;
  return at;
}

void Databases::Die(std::size_t group, std::size_t member, TimePoint at) {
  groups_[group].down[member].push_back({at, TimePoint::max()});
  Reigning& last = groups_[group].timelines.back();
  if (last.member == member) last.until = std::min(last.until, at);
}

void Databases::Return(std::size_t group, std::size_t member, TimePoint at) {
  if (!groups_[group].down[member].empty()) groups_[group].down[member].back().to = at;
}

void Databases::Promote(std::size_t group, std::size_t member, TimePoint at) {
  Group& of = groups_[group];
  Reigning& last = of.timelines.back();
  last.until = std::min(last.until, at);
  of.timelines.push_back({member, at, TimePoint::max(), RoundDown(last.until - DelayOf(of, member))});
}

bool Databases::Up(Where where, TimePoint now) const {
  return std::ranges::none_of(groups_[where.group].down[where.member],
                              [&](const Outage& down) { return now >= down.from && now < down.to; });
}

bool Databases::IsPrimary(Where where, TimePoint now) const {
  const Group& group = groups_[where.group];
  const Reigning& reign = group.timelines[ReignAt(group, now)];
  return reign.member == where.member && now < reign.until && Up(where, now);
}

// A replica has what was shipped by now, and nothing that was shipped after its primary died.
Held Databases::Holds(Where where, TimePoint now) const {
  const Group& group = groups_[where.group];
  const std::size_t at = ReignAt(group, now);
  if (IsPrimary(where, now)) return {RoundUp(now), at};
  return {RoundDown(std::min(now, group.timelines[at].until) - DelayOf(group, where.member)), at};
}

LogPosition Databases::Tells(Where where, TimePoint now) const {
  return IsPrimary(where, now) ? RoundDown(now) : Holds(where, now).position;
}

std::optional<Held> Databases::Commit(Where where, TimePoint now) const {
  if (!IsPrimary(where, now)) return std::nullopt;
  return Holds(where, now);
}

bool Databases::Has(std::size_t group, const Held& held, const Held& wrote) const {
  if (wrote.position > held.position) return false;
  const std::vector<Reigning>& timelines = groups_[group].timelines;
  for (std::size_t at = wrote.reign + 1; at <= held.reign; ++at) {
    if (wrote.position > timelines[at].had) return false;
  }
  return true;
}

}  // namespace lynxgrade::testbed
