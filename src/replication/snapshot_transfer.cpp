#include "replication/snapshot_transfer.h"

#include <algorithm>
#include <utility>

#include "replication/packet_codec.h"
#include "replication/packet_limits.h"

namespace lynxgrade::replication {
namespace {

constexpr int kChunksPerFlush = 8;

}  // namespace

void SnapshotTransfer::SendChunks(const std::string& name, const std::string& address,
                                  SequenceNumber last_sequence, SnapshotProgress& progress, Outbox& outbox) {
  const consistency::SessionWatermarkTable& table = consistency_guard_.watermark_table();
  if (progress.outgoing_id == 0) {
    progress.outgoing_id = ++last_id_;
    progress.next_outgoing_bucket = 0;
    progress.outgoing_sequence = last_sequence;
    ++counts_.snapshots_started;
    if (log_)
      log_("snapshot transfer started: the peer misses watermarks that are no longer retained, peer=" + name);
  }
  std::uint64_t bucket = progress.next_outgoing_bucket;
  for (int sent = 0; sent < kChunksPerFlush && bucket < table.bucket_count(); ++sent) {
    proto::Packet packet;
    proto::SnapshotChunk& chunk = *packet.mutable_snapshot_chunk();
    chunk.set_transfer_id(progress.outgoing_id);
    chunk.set_first_bucket(bucket);
    while (bucket < table.bucket_count() &&
           static_cast<std::size_t>(chunk.watermarks_size()) < kWatermarksPerPacket) {
      table.ForEachInBucket(
          bucket++, [&chunk](consistency::SessionKey key, const consistency::WriteWatermark& watermark) {
            EncodeWatermark(key, watermark, *chunk.add_watermarks());
          });
    }
    chunk.set_end_bucket(bucket);
    chunk.set_bucket_count(table.bucket_count());
    chunk.set_last_sequence(progress.outgoing_sequence);
    if (table.newest_evicted()) chunk.set_evicted_through_us(MicrosecondsOf(*table.newest_evicted()));
    sender_.Send(address, std::move(packet), outbox);
  }
}

std::optional<SequenceNumber> SnapshotTransfer::HandleChunk(const std::string& sender_address,
                                                            const proto::SnapshotChunk& chunk,
                                                            SnapshotProgress& progress, Outbox& outbox) {
  if (chunk.transfer_id() != progress.incoming_id) {
    if (chunk.transfer_id() < progress.incoming_id || chunk.first_bucket() != 0) return std::nullopt;
    progress.incoming_id = chunk.transfer_id();
    progress.next_incoming_bucket = 0;
  }
  std::optional<SequenceNumber> received_through;
  if (chunk.first_bucket() == progress.next_incoming_bucket && chunk.end_bucket() > chunk.first_bucket()) {
    for (const proto::WriteWatermark& watermark : chunk.watermarks()) {
      ++counts_.watermarks_received;
      consistency_guard_.LearnWatermark(std::nullopt, consistency::SessionKey(watermark.key()),
                                        WatermarkFrom(watermark));
    }
    progress.next_incoming_bucket = chunk.end_bucket();
    if (chunk.end_bucket() >= chunk.bucket_count()) {
      received_through = chunk.last_sequence();
      if (chunk.evicted_through_us() > 0) {
        consistency_guard_.LearnEviction(PositionFromMicroseconds(chunk.evicted_through_us()));
      }
    }
  }
  proto::Packet ack;
  ack.mutable_snapshot_chunk_ack()->set_transfer_id(chunk.transfer_id());
  ack.mutable_snapshot_chunk_ack()->set_next_bucket(progress.next_incoming_bucket);
  sender_.Send(sender_address, std::move(ack), outbox);
  return received_through;
}

std::optional<SequenceNumber> SnapshotTransfer::HandleAck(const proto::SnapshotChunkAck& ack,
                                                          SnapshotProgress& progress) const {
  if (ack.transfer_id() != progress.outgoing_id) return std::nullopt;
  progress.next_outgoing_bucket = std::max(progress.next_outgoing_bucket, ack.next_bucket());
  if (progress.next_outgoing_bucket < consistency_guard_.watermark_table().bucket_count())
    return std::nullopt;
  return progress.outgoing_sequence;
}

}  // namespace lynxgrade::replication
