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
      log_("snapshot transfer started: peer lacks watermarks that are no longer retained, peer=" + name);
  }
  std::uint64_t bucket = progress.next_outgoing_bucket;
  for (int sent = 0; sent < kChunksPerFlush && bucket < table.bucket_count(); ++sent) {
    proto::Packet packet;
    proto::Chunk& chunk = *packet.mutable_chunk();
    chunk.set_sync(progress.outgoing_id);
    chunk.set_from(bucket);
    while (bucket < table.bucket_count() &&
           static_cast<std::size_t>(chunk.watermarks_size()) < kWatermarksPerPacket) {
      table.ForEachInBucket(
          bucket++, [&chunk](consistency::SessionKey key, const consistency::WriteWatermark& watermark) {
            EncodeWatermark(key, watermark, *chunk.add_watermarks());
          });
    }
    chunk.set_to(bucket);
    chunk.set_whole(table.bucket_count());
    chunk.set_upto(progress.outgoing_sequence);
    if (table.newest_evicted()) chunk.set_forgotten_us(MicrosecondsOf(*table.newest_evicted()));
    sender_.Send(address, std::move(packet), outbox);
  }
}

std::optional<SequenceNumber> SnapshotTransfer::HandleChunk(const std::string& sender_address,
                                                            const proto::Chunk& chunk,
                                                            SnapshotProgress& progress, Outbox& outbox) {
  if (chunk.sync() != progress.incoming_id) {
    if (chunk.sync() < progress.incoming_id || chunk.from() != 0) return std::nullopt;
    progress.incoming_id = chunk.sync();
    progress.next_incoming_bucket = 0;
  }
  std::optional<SequenceNumber> received_through;
  if (chunk.from() == progress.next_incoming_bucket && chunk.to() > chunk.from()) {
    for (const proto::WriteWatermark& watermark : chunk.watermarks()) {
      ++counts_.watermarks_received;
      consistency_guard_.LearnWatermark(std::nullopt, consistency::SessionKey(watermark.key()),
                                        WatermarkFrom(watermark));
    }
    progress.next_incoming_bucket = chunk.to();
    if (chunk.to() >= chunk.whole()) {
      received_through = chunk.upto();
      if (chunk.forgotten_us() > 0) {
        consistency_guard_.LearnEviction(PositionFromMicroseconds(chunk.forgotten_us()));
      }
    }
  }
  proto::Packet ack;
  ack.mutable_chunk_ack()->set_sync(chunk.sync());
  ack.mutable_chunk_ack()->set_next(progress.next_incoming_bucket);
  sender_.Send(sender_address, std::move(ack), outbox);
  return received_through;
}

std::optional<SequenceNumber> SnapshotTransfer::HandleAck(const proto::ChunkAck& ack,
                                                          SnapshotProgress& progress) const {
  if (ack.sync() != progress.outgoing_id) return std::nullopt;
  progress.next_outgoing_bucket = std::max(progress.next_outgoing_bucket, ack.next());
  if (progress.next_outgoing_bucket < consistency_guard_.watermark_table().bucket_count())
    return std::nullopt;
  return progress.outgoing_sequence;
}

}  // namespace lynxgrade::replication
