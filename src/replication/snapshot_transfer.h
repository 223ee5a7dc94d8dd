// Transfers the whole watermark table to peers that missed more watermarks than the log retains, in chunks of
// a few buckets that each fit into one datagram.
//
// Owns the ids of the transfers; the progress with each peer is kept in its link. The receiver acknowledges
// the next bucket that it expects; after a lost or reordered chunk, sending resumes from that bucket.
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
  // All references must outlive the transfers.
  SnapshotTransfer(PacketSender& sender, consistency::SessionConsistencyGuard& consistency_guard,
                   ReplicationCounts& counts)
      : sender_(sender), consistency_guard_(consistency_guard), counts_(counts) {}

  // Starts a transfer to the peer unless one is in progress, and sends its next chunks. `last_sequence`: the
  // newest watermark that the table contains when the transfer starts.
  void SendChunks(const std::string& name, const std::string& address, SequenceNumber last_sequence,
                  SnapshotProgress& progress, Outbox& outbox);
  static void Cancel(SnapshotProgress& progress) { progress.outgoing_id = 0; }

  // Learns the watermarks of a chunk that arrives in order, and acknowledges it. For the last chunk, returns
  // the sequence number after which the peer's deltas continue.
  std::optional<SequenceNumber> HandleChunk(const std::string& sender_address,
                                            const proto::SnapshotChunk& chunk, SnapshotProgress& progress,
                                            Outbox& outbox);
  // Once the peer has acknowledged the last chunk, returns the sequence number up to which it has all
  // watermarks.
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
