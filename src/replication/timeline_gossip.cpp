#include "replication/timeline_gossip.h"

#include "replication/packet_codec.h"
#include "replication/packet_limits.h"

namespace lynxgrade::replication {
namespace {

// Between the beginnings of two rounds that repeat all timelines to a peer.
constexpr Duration kMinRoundInterval{500000};

bool IsFull(const proto::Packet& packet) {
  return static_cast<std::size_t>(packet.timelines_size()) >= kTimelinesPerDelta;
}

void Append(GroupId group, const consistency::PrimaryTimeline& timeline, TimelineProgress& progress,
            proto::Packet& packet) {
  progress.sent_beginnings[group] = timeline.since();
  EncodeTimeline(group, timeline, *packet.add_timelines());
}

}  // namespace

bool TimelineGossip::HasNews(const TimelineProgress& progress) const {
  return progress.reported_losses != consistency_guard_.counts().possible_losses;
}

void TimelineGossip::AppendTo(TimePoint now, TimelineProgress& progress, proto::Packet& packet) const {
  progress.reported_losses = consistency_guard_.counts().possible_losses;
  const std::map<GroupId, consistency::PrimaryTimeline>& timelines = consistency_guard_.timelines();
  for (const auto& [group, timeline] : timelines) {
    if (IsFull(packet)) return;
    if (!timeline.primary()) continue;
    const auto sent = progress.sent_beginnings.find(group);
    if (sent == progress.sent_beginnings.end() || sent->second != timeline.since()) {
      Append(group, timeline, progress, packet);
    }
  }
  // Packets get lost, and timelines are confirmed as they last: all are repeated. A round continues where the
  // last packet ended; started anew in each packet it would never reach the last of many groups.
  if (progress.left_in_round == 0 && now - progress.round_started >= kMinRoundInterval) {
    progress.left_in_round = timelines.size();
    progress.round_started = now;
  }
  for (; progress.left_in_round > 0 && !IsFull(packet); --progress.left_in_round) {
    auto next = timelines.upper_bound(progress.last_in_round);
    if (next == timelines.end()) next = timelines.begin();
    progress.last_in_round = next->first;
    if (next->second.primary()) Append(next->first, next->second, progress, packet);
  }
}

void TimelineGossip::AppendIfRecent(TimePoint now, GroupId group, proto::Packet& packet) const {
  const auto found = consistency_guard_.timelines().find(group);
  if (found == consistency_guard_.timelines().end() || !found->second.primary()) return;
  if (found->second.since() + consistency_guard_.write_retention() < now) return;
  EncodeTimeline(group, found->second, *packet.add_timelines());
}

}  // namespace lynxgrade::replication
