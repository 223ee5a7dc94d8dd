#include "replication/timeline_gossip.h"

#include <algorithm>

#include "replication/packet_codec.h"
#include "replication/packet_limits.h"

namespace lynxgrade::replication {
namespace {

// Minimum time between the starts of two rounds that repeat all timelines to a peer.
constexpr Duration kMinRoundInterval{500000};

bool IsFull(const proto::Packet& packet) {
  return static_cast<std::size_t>(packet.timelines_size()) >= kTimelinesPerDelta ||
         TimelineBytes(packet) >= kTimelineBytesPerDelta;
}

}  // namespace

std::size_t TimelineBytes(const proto::Packet& packet) {
  std::size_t bytes = 0;
  for (const proto::TimelineRecord& record : packet.timelines()) bytes += record.ByteSizeLong();
  return bytes;
}

void TimelineGossip::Append(TimePoint now, GroupId group, proto::Packet& packet) const {
  const auto found = consistency_guard_.timelines().find(group);
  if (found == consistency_guard_.timelines().end()) return;
  const LogPosition oldest = now - consistency_guard_.write_retention();
  for (const consistency::PrimaryTermReport& report : found->second.ReportsSince(oldest)) {
    EncodeTerm(group, report, *packet.add_timelines());
  }
}

bool TimelineGossip::HasUnsentUpdates(const TimelineProgress& progress) const {
  return progress.sent_loss_count != consistency_guard_.counts().possible_losses;
}

void TimelineGossip::AppendTo(TimePoint now, TimelineProgress& progress, proto::Packet& packet) const {
  progress.sent_loss_count = consistency_guard_.counts().possible_losses;
  const std::map<GroupId, consistency::PrimaryTimeline>& timelines = consistency_guard_.timelines();
  for (const auto& [group, timeline] : timelines) {
    if (IsFull(packet)) return;
    if (!timeline.primary()) continue;
    const auto sent = progress.sent_since.find(group);
    if (sent == progress.sent_since.end() || sent->second != timeline.since()) {
      progress.sent_since[group] = timeline.since();
      Append(now, group, packet);
    }
  }
  // All timelines are repeated because packets may be lost and because confirmed() of a timeline advances. A
  // round continues where the last packet ended; if each packet started from the first group, the last of
  // many groups would never be sent.
  if (progress.remaining_in_round == 0 && now - progress.round_started >= kMinRoundInterval) {
    progress.remaining_in_round = timelines.size();
    progress.round_started = now;
  }
  for (; progress.remaining_in_round > 0 && !IsFull(packet); --progress.remaining_in_round) {
    auto next = timelines.upper_bound(progress.last_group_in_round);
    if (next == timelines.end()) next = timelines.begin();
    progress.last_group_in_round = next->first;
    progress.sent_since[next->first] = next->second.since();
    Append(now, next->first, packet);
  }
}

void TimelineGossip::AppendIfRecent(TimePoint now, GroupId group, proto::Packet& packet) const {
  const auto found = consistency_guard_.timelines().find(group);
  if (found == consistency_guard_.timelines().end() || !found->second.primary()) return;
  if (found->second.since() + consistency_guard_.write_retention() < now) return;
  const bool contained = std::ranges::any_of(
      packet.timelines(),
      [group](const proto::TimelineRecord& record) { return GroupId(record.group()) == group; });
  if (contained) return;
  Append(now, group, packet);
}

}  // namespace lynxgrade::replication
