#include "replication/traffic_counter.h"

#include <cstdint>

namespace lynxgrade::replication {
namespace {

// Bytes of the tag and length of one element of a repeated field, for elements below 128 bytes.
constexpr std::size_t kElementOverhead = 2;

template <typename Messages>
std::size_t EncodedBytes(const Messages& messages) {
  std::size_t bytes = 0;
  for (const auto& message : messages) bytes += message.ByteSizeLong() + kElementOverhead;
  return bytes;
}

TrafficKind KindOf(const proto::Packet& packet) {
  if (packet.has_delta() || packet.has_lease_batch()) return TrafficKind::kWatermarks;
  if (packet.has_snapshot_chunk() || packet.has_snapshot_chunk_ack()) return TrafficKind::kSnapshots;
  return TrafficKind::kMembership;
}

}  // namespace

void CountPacket(const proto::Packet& packet, std::size_t datagram_bytes, Traffic::Counts& counts) {
  const auto count_of = [&counts](TrafficKind kind) -> Traffic::Count& {
    return counts[static_cast<std::size_t>(kind)];
  };
  const std::size_t timeline_bytes = EncodedBytes(packet.timelines());
  const std::size_t gossip_bytes = EncodedBytes(packet.gossip());
  Traffic::Count& count = count_of(KindOf(packet));
  ++count.packets;
  count.bytes += datagram_bytes + Traffic::kHeaderBytes - timeline_bytes - gossip_bytes;
  count_of(TrafficKind::kTimelines).bytes += timeline_bytes;
  count_of(TrafficKind::kMembership).bytes += gossip_bytes;
}

}  // namespace lynxgrade::replication
