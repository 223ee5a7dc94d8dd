#include "replication/watermark_replicator.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "replication/packet_codec.h"
#include "replication/packet_limits.h"

namespace lynxgrade::replication {
namespace {

constexpr int kDeltasPerFlush = 16;  // to one peer
// Watermarks that are not acknowledged within this time are sent again.
constexpr Duration kRetransmitTimeout{30000};

}  // namespace

WatermarkReplicator::WatermarkReplicator(const Options& options, const membership::Swim& swim,
                                         PeerLinks& links, PacketSender& sender,
                                         consistency::SessionConsistencyGuard& consistency_guard,
                                         ReplicationCounts& counts)
    : options_(options),
      swim_(swim),
      links_(links),
      sender_(sender),
      consistency_guard_(consistency_guard),
      counts_(counts),
      log_(options.retained_watermarks, consistency_guard.watermark_table().size() > 0
                                            ? WatermarkLog::History::kRecovered
                                            : WatermarkLog::History::kEmpty),
      snapshots_(sender, consistency_guard, counts),
      timelines_(consistency_guard) {}

bool WatermarkReplicator::HasUnsentUpdates(const PeerLink& link) const {
  const WatermarkProgress& progress = link.watermarks;
  return progress.acknowledged_sequence < log_.last_sequence() || progress.ack_pending ||
         !progress.tracks_this_incarnation || !progress.was_replicated ||
         timelines_.HasUnsentUpdates(link.timelines);
}

Duration WatermarkReplicator::FlushInterval(const PeerLink& link, proto::Member::State state) const {
  // A dead peer may only be partitioned from this instance and still needs the watermarks.
  if (state == proto::Member::DEAD) return options_.dead_peer_interval;
  const double spread_s = static_cast<double>(links_.links().size()) / options_.packets_per_s;
  const Duration interval =
      std::max(options_.flush_interval, Duration(static_cast<std::int64_t>(spread_s * 1e6)));
  return HasUnsentUpdates(link) ? interval : std::max(interval, options_.idle_interval);
}

void WatermarkReplicator::Tick(TimePoint now, Outbox& outbox) {
  PeerLinks::Links& links = links_.links();
  if (links.empty()) return;
  // Membership gossip is carried by the first packets of a flush. Each tick starts at another peer, so that
  // the gossip reaches all of them.
  auto next = links.begin();
  std::advance(next, static_cast<std::ptrdiff_t>(links_.NextInRotation(links.size())));
  for (std::size_t visited = 0; visited < links.size(); ++visited, ++next) {
    if (next == links.end()) next = links.begin();
    auto& [name, link] = *next;
    const proto::Member* receiver = links_.WatermarkReceiver(name);
    if (receiver == nullptr) continue;
    if (now - link.watermarks.last_flush < FlushInterval(link, receiver->state())) continue;
    Flush(now, name, DeltaPurpose::kUpdate, link, outbox);
  }
}

bool WatermarkReplicator::PollPeers(TimePoint now, Outbox& outbox) {
  if (now - last_poll_ < kMinPollInterval) return false;
  last_poll_ = now;
  for (auto& [name, link] : links_.links()) {
    const proto::Member* receiver = links_.WatermarkReceiver(name);
    if (receiver == nullptr || receiver->state() > proto::Member::SUSPECT) continue;
    Flush(now, name, DeltaPurpose::kPoll, link, outbox);
  }
  return true;
}

void WatermarkReplicator::Flush(TimePoint now, const std::string& name, DeltaPurpose purpose, PeerLink& link,
                                Outbox& outbox) {
  const std::string& address = swim_.peers().at(name).member.address();
  WatermarkProgress& progress = link.watermarks;
  progress.last_flush = now;
  progress.ack_pending = false;
  if (progress.acknowledged_sequence + 1 < log_.first_sequence()) {
    snapshots_.SendChunks(name, address, log_.last_sequence(), link.snapshot, outbox);
  } else {
    SnapshotTransfer::Cancel(link.snapshot);
  }
  const bool timed_out = progress.sent_sequence > progress.acknowledged_sequence &&
                         now - progress.last_progress >= kRetransmitTimeout;
  if (timed_out) progress.sent_sequence = progress.acknowledged_sequence;
  progress.sent_sequence = std::max(progress.sent_sequence, progress.acknowledged_sequence);
  if (progress.sent_sequence == progress.acknowledged_sequence) progress.last_progress = now;
  SendDeltas(now, address, purpose, link, outbox);
}

void WatermarkReplicator::SendDeltas(TimePoint now, const std::string& address, DeltaPurpose purpose,
                                     PeerLink& link, Outbox& outbox) {
  WatermarkProgress& progress = link.watermarks;
  const SequenceNumber last_sequence = log_.last_sequence();
  SequenceNumber next = std::max(progress.sent_sequence + 1, log_.first_sequence());
  for (int sent = 0; sent < kDeltasPerFlush; ++sent) {
    proto::Packet packet;
    proto::Delta& delta = *packet.mutable_delta();
    delta.set_first_sequence(next);
    while (next <= last_sequence &&
           static_cast<std::size_t>(delta.watermarks_size()) < kWatermarksPerPacket) {
      const WatermarkLog::Entry& entry = log_.At(next);
      proto::WriteWatermark& watermark = *delta.add_watermarks();
      EncodeWatermark(entry.key, entry.watermark, watermark);
      watermark.set_group(static_cast<std::int64_t>(entry.group));
      ++next;
      ++counts_.watermarks_sent;
    }
    delta.set_last_sequence(last_sequence);
    delta.set_timestamp_us(static_cast<std::uint64_t>(MicrosecondsOf(now)));
    delta.set_echo_incarnation_id(link.incarnation_id);
    delta.set_echo_timestamp_us(progress.newest_peer_timestamp_us);
    delta.set_received_incarnation_id(link.incarnation_id);
    delta.set_received_sequence(progress.received_sequence);
    delta.set_poll(purpose == DeltaPurpose::kPoll);
    delta.set_recovered(options_.recovery == Recovery::kComplete);
    if (sent == 0) timelines_.AppendTo(now, link.timelines, packet);
    sender_.Send(address, std::move(packet), outbox);
    if (next > last_sequence) break;
  }
  progress.sent_sequence = std::max(progress.sent_sequence, next - 1);
}

void WatermarkReplicator::HandlePacket(TimePoint now, const std::string& sender_address,
                                       const proto::Packet& packet, PeerLink& link, Outbox& outbox) {
  const std::string& name = packet.sender().name();
  WatermarkProgress& progress = link.watermarks;
  if (packet.has_snapshot_chunk()) {
    const auto received =
        snapshots_.HandleChunk(sender_address, packet.snapshot_chunk(), link.snapshot, outbox);
    if (received) progress.received_sequence = std::max(progress.received_sequence, *received);
  }
  if (packet.has_snapshot_chunk_ack()) {
    if (const auto acknowledged = snapshots_.HandleAck(packet.snapshot_chunk_ack(), link.snapshot)) {
      progress.acknowledged_sequence = std::max(progress.acknowledged_sequence, *acknowledged);
      progress.sent_sequence = std::max(progress.sent_sequence, progress.acknowledged_sequence);
    }
  }
  if (!packet.has_delta()) return;
  HandleDelta(now, name, packet.delta(), link);
  if (packet.delta().poll()) Flush(now, name, DeltaPurpose::kUpdate, link, outbox);
}

void WatermarkReplicator::HandleAcknowledgement(TimePoint now, const proto::Delta& delta,
                                                WatermarkProgress& progress) {
  if (delta.received_incarnation_id() != swim_.self().incarnation_id()) return;
  progress.tracks_this_incarnation = true;
  const SequenceNumber acknowledged = std::min(delta.received_sequence(), log_.last_sequence());
  if (acknowledged <= progress.acknowledged_sequence) return;
  progress.acknowledged_sequence = acknowledged;
  progress.last_progress = now;
}

// Accepts watermarks only in sequence: after a gap, the sender sends the missing ones again.
void WatermarkReplicator::LearnWatermarks(const proto::Delta& delta, WatermarkProgress& progress) {
  if (delta.first_sequence() > progress.received_sequence + 1) return;
  SequenceNumber sequence = delta.first_sequence();
  for (const proto::WriteWatermark& watermark : delta.watermarks()) {
    if (sequence++ <= progress.received_sequence) continue;
    ++progress.received_sequence;
    progress.ack_pending = true;
    ++counts_.watermarks_received;
    consistency_guard_.LearnWatermark(GroupId(watermark.group()), consistency::SessionKey(watermark.key()),
                                      WatermarkFrom(watermark));
  }
}

void WatermarkReplicator::HandleDelta(TimePoint now, const std::string& name, const proto::Delta& delta,
                                      PeerLink& link) {
  WatermarkProgress& progress = link.watermarks;
  progress.newest_peer_timestamp_us = std::max(progress.newest_peer_timestamp_us, delta.timestamp_us());
  HandleAcknowledgement(now, delta, progress);
  LearnWatermarks(delta, progress);
  const bool echoes_this_incarnation =
      delta.echo_incarnation_id() == swim_.self().incarnation_id() && delta.echo_timestamp_us() != 0;
  if (!echoes_this_incarnation || progress.received_sequence < delta.last_sequence()) return;
  const TimePoint echoed = PositionFromMicroseconds(static_cast<std::int64_t>(delta.echo_timestamp_us()));
  progress.replicated_through = std::max(progress.replicated_through, std::min(now, echoed));
  progress.was_replicated = true;
  links_.MarkReplicated(name, link);
  if (delta.recovered()) links_.MarkRecovered(name);
}

}  // namespace lynxgrade::replication
