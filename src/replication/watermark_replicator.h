// Replicates the watermarks of the writes that this instance answered to the peers, and receives theirs:
// deltas in sequence, acknowledgements, and a snapshot transfer for a peer that misses more than is retained.
//
// Owns the log of this instance's watermarks; the progress with each peer is kept in its link. Free of
// sockets and clocks. A delta echoes the newest timestamp that its sender has received from the receiver, so
// that `replicated_through` is a time of the receiver's own clock, which a step of another clock cannot
// extend. A packet that is lost, duplicated, delayed or reordered delays replication but never loses a
// watermark.
#pragma once

#include <cstddef>
#include <string>

#include "consistency/session_consistency_guard.h"
#include "membership/swim.h"
#include "replication/outbox.h"
#include "replication/packet_sender.h"
#include "replication/peer_links.h"
#include "replication/replication_counts.h"
#include "replication/snapshot_transfer.h"
#include "replication/timeline_gossip.h"
#include "replication/watermark_log.h"

namespace lynxgrade::replication {

class WatermarkReplicator {
 public:
  // Whether this instance has recovered all writes that its earlier incarnations answered.
  enum class Recovery { kIncomplete, kComplete };
  struct Options {
    Duration flush_interval{};      // between deltas to a peer for which there are updates
    Duration idle_interval{};       // between deltas to a peer for which there are none
    Duration dead_peer_interval{};  // between deltas to a dead peer
    std::size_t retained_watermarks = 0;
    double packets_per_s = 0;  // with many peers, the interval is stretched to stay below this rate
    Recovery recovery = Recovery::kIncomplete;
  };
  // Minimum time between two polls of the peers.
  static constexpr Duration kMinPollInterval{1000};

  // All references must outlive the replicator.
  WatermarkReplicator(const Options& options, const membership::Swim& swim, PeerLinks& links,
                      PacketSender& sender, consistency::SessionConsistencyGuard& consistency_guard,
                      ReplicationCounts& counts);

  // Records a write that this instance is about to answer, and retains it for the peers.
  void Record(const WatermarkLog::Entry& write) { log_.Append(write); }
  // The same while no peer receives deltas: a peer that joins later needs a snapshot.
  void RecordUnretained() { log_.AppendUnretained(); }

  // Sends the deltas that are due. Call every few milliseconds.
  void Tick(TimePoint now, Outbox& outbox);
  // Requests an immediate delta from all live peers. Returns false without polling if the last poll was too
  // recent.
  bool PollPeers(TimePoint now, Outbox& outbox);
  // Handles the parts of a peer's packet that concern watermarks.
  void HandlePacket(TimePoint now, const std::string& sender_address, const proto::Packet& packet,
                    PeerLink& link, Outbox& outbox);

  void OnLog(std::function<void(std::string)> log) { snapshots_.OnLog(std::move(log)); }

 private:
  enum class DeltaPurpose { kUpdate, kPoll };  // kPoll: the peer is to respond immediately

  Duration FlushInterval(const PeerLink& link, proto::Member::State state) const;
  bool HasUnsentUpdates(const PeerLink& link) const;
  void Flush(TimePoint now, const std::string& name, DeltaPurpose purpose, PeerLink& link, Outbox& outbox);
  void SendDeltas(TimePoint now, const std::string& address, DeltaPurpose purpose, PeerLink& link,
                  Outbox& outbox);
  void HandleAcknowledgement(TimePoint now, const proto::Delta& delta, WatermarkProgress& progress);
  void LearnWatermarks(const proto::Delta& delta, WatermarkProgress& progress);
  void HandleDelta(TimePoint now, const std::string& name, const proto::Delta& delta, PeerLink& link);

  Options options_;
  const membership::Swim& swim_;
  PeerLinks& links_;
  PacketSender& sender_;
  consistency::SessionConsistencyGuard& consistency_guard_;
  ReplicationCounts& counts_;
  WatermarkLog log_;
  SnapshotTransfer snapshots_;
  TimelineGossip timelines_;
  TimePoint last_poll_{};
};

}  // namespace lynxgrade::replication
