#include "consistency/unknown_writes.h"

#include <algorithm>

namespace lynxgrade::consistency {

void UnknownWrites::SetStart(TimePoint now, std::optional<TimePoint> recovered_through) {
  started_ = now;
  recovered_through_ = recovered_through;
}

void UnknownWrites::SetReplicatedThrough(std::uint64_t peer, TimePoint through) {
  TimePoint& replicated = replicated_through_.try_emplace(peer, through).first->second;
  replicated = std::max(replicated, through);
}

std::optional<TimePoint> UnknownWrites::ReplicatedThrough() const {
  std::optional<TimePoint> earliest;
  for (const auto& [peer, through] : replicated_through_) {
    earliest = std::min(earliest.value_or(through), through);
  }
  return earliest;
}

void UnknownWrites::AddInterval(std::uint64_t peer, const WriteInterval& interval) {
  std::erase_if(intervals_, [&](const PeerInterval& known) {
    return known.interval.through + write_retention_ < interval.through;
  });
  for (auto& [known, owner] : intervals_) {
    if (owner != peer || interval.after > known.through || interval.through < known.after) continue;
    known.after = std::min(known.after, interval.after);
    known.through = std::max(known.through, interval.through);
    return;
  }
  if (interval.after < interval.through) intervals_.push_back({interval, peer});
}

void UnknownWrites::RemoveIntervals(std::uint64_t peer) {
  std::erase_if(intervals_, [peer](const PeerInterval& known) { return known.peer == peer; });
}

std::vector<WriteInterval> UnknownWrites::Intervals(TimePoint oldest, TimePoint arrived) const {
  std::vector<WriteInterval> intervals;
  const auto add = [&](TimePoint after, TimePoint through) {
    after = std::max(after, oldest);
    if (after < through) intervals.push_back({after, through});
  };
  if (started_) add(recovered_through_.value_or(TimePoint{}), *started_);
  for (const auto& [peer, through] : replicated_through_) add(through, arrived);
  for (const auto& [interval, peer] : intervals_) add(interval.after, interval.through);
  return intervals;
}

}  // namespace lynxgrade::consistency
