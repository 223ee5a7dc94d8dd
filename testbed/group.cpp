#include "group.h"

#include <algorithm>

namespace lynxgrade::testbed {
namespace {

constexpr Duration kMs{1000};

LogPosition RoundDown(TimePoint time) { return LogPosition(time.time_since_epoch() / kMs * kMs); }

}  // namespace

Group::Group(Options options, TimePoint now) : options_(options), members_(options.members), primary_(0) {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    members_[i].ship =
        options.ship + options.ship * static_cast<std::int64_t>(i) /
                           static_cast<std::int64_t>(std::max<std::size_t>(1, members_.size()));
    members_[i].reached = now;
  }
}

void Group::Take(Member& member, const Entry& entry) {
  std::int64_t& version = member.objects[entry.object];
  version = std::max(version, entry.version);
}

std::optional<LogPosition> Group::Write(std::size_t member, const std::string& object, std::int64_t version,
                                        TimePoint now) {
  if (primary_ != member || !members_[member].up) return std::nullopt;
  const LogPosition at = RoundDown(now) + (RoundDown(now) == now ? Duration{0} : kMs);
  log_.push_back({at, object, version});
  Take(members_[member], log_.back());
  members_[member].applied = log_.size();
  return at;
}

// A replica has what was shipped by now, and nothing that was shipped after its primary died.
void Group::Apply(Member& member, TimePoint now) {
  const TimePoint upto = (died_ ? std::min(now, *died_) : now) - member.ship;
  while (member.applied < log_.size() && log_[member.applied].at <= upto)
    Take(member, log_[member.applied++]);
  member.reached = std::max(member.reached, upto);
}

std::int64_t Group::Read(std::size_t member, const std::string& object, TimePoint now) {
  Member& m = members_[member];
  if (primary_ != member) Apply(m, now);
  const auto it = m.objects.find(object);
  return it == m.objects.end() ? 0 : it->second;
}

LogPosition Group::At(std::size_t member, TimePoint now) {
  Member& m = members_[member];
  if (primary_ == member) return RoundDown(now);
  Apply(m, now);
  return RoundDown(m.reached);
}

void Group::Die(std::size_t member, TimePoint now) {
  if (!members_[member].up) return;
  for (Member& m : members_) {
    if (&m != &members_[member] && m.up && !died_) Apply(m, now);
  }
  members_[member].up = false;
  if (primary_ != member) return;
  primary_.reset();
  died_ = now;
}

bool Group::Advance(TimePoint now) {
  if (!died_ || now < *died_ + options_.failover) return false;
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (!members_[i].up) continue;
    Apply(members_[i], now);
    if (!best || members_[i].applied > members_[*best].applied) best = i;
  }
  if (!best) return false;
  lost_ += log_.size() - members_[*best].applied;
  log_.resize(members_[*best].applied);
  primary_ = best;
  died_.reset();
  return true;
}

void Group::Return(std::size_t member, TimePoint now) {
  Member& m = members_[member];
  if (m.up) return;
  m.up = true;
  m.objects.clear();
  m.applied = 0;
  Apply(m, now);
}

}  // namespace lynxgrade::testbed
