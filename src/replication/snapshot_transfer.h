// Transfers the whole watermark table to peers that missed more than the watermark log retains, in chunks of
// a few buckets, each of which fits into one datagram.
//
// Owns the ids of the transfers; the progress with each peer stands in its link. The receiver acknowledges
// the next bucket that it expects; chunks that are lost or out of order are sent again from there.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "consistency/session_consistency_guard.h"
#include "replication/outbox.h"
#include "replication/packet_sender.h"
#include "replication/peer_link.h"
#include "replication/replication_counts.h"

namespace lynxgrade::replication {

class SnapshotTransfer {
 public:
  // All must outlive the transfers.
  SnapshotTransfer(PacketSender& sender, consistency::SessionConsistencyGuard& consistency_guard,
                   ReplicationCounts& counts)
      : sender_(sender), consistency_guard_(consistency_guard), counts_(counts) {}

  // Begins a transfer to the peer unless one is under way, and sends its next chunks. `last_sequence`: of the
  // watermarks that the table holds at the beginning.
  void SendChunks(const std::string& name, const std::string& address, SequenceNumber last_sequence,
                  SnapshotProgress& progress, Outbox& outbox);
  static void Cancel(SnapshotProgress& progress) { progress.outgoing_id = 0; }

  // Learns the watermarks of a chunk that comes in order and acknowledges it. Returns the sequence number
  // after which the peer's deltas go on, once the last chunk has come.
  std::optional<SequenceNumber> HandleChunk(const std::string& sender_address,
                                            const proto::SnapshotChunk& chunk, SnapshotProgress& progress,
                                            Outbox& outbox);
  // Returns the sequence number up to which the peer has all watermarks, once it has acknowledged the last
  // chunk.
  std::optional<SequenceNumber> HandleAck(const proto::SnapshotChunkAck& ack,
                                          SnapshotProgress& progress) const;

  void OnLog(std::function<void(std::string)> log) { log_ = std::move(log); }

 private:
  PacketSender& sender_;
  consistency::SessionConsistencyGuard& consistency_guard_;
  ReplicationCounts& counts_;
  std::uint64_t last_id_ = 0;
  std::function<void(std::string)> log_;
};

}  // namespace lynxgrade::replication
