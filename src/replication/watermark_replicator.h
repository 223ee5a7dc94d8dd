// Replicates the watermarks of the writes that this instance answered to the peers, and learns theirs: deltas
// in sequence, acknowledgements, and a snapshot transfer for a peer that misses more than is retained.
//
// Owns the log of this instance's watermarks; the progress with each peer stands in its link. Free of sockets
// and clocks. A delta echoes the newest timestamp of the receiver's own clock, so that "replicated through"
// is a time of the receiver's clock: a clock that steps elsewhere cannot extend it. A packet that is lost,
// duplicated, late or out of order delays replication and never loses a watermark.
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
  // What this instance knows of the writes that its earlier incarnations answered.
  enum class Recovery { kIncomplete, kComplete };
  struct Options {
    Duration flush_interval{};  // to a peer that has to hear something
    Duration idle_interval{};   // to a peer for which there is nothing new and that waits for nothing
    Duration dead_peer_interval{};
    std::size_t retained_watermarks = 0;
    double packets_per_s = 0;  // with many peers the interval is stretched to stay below this
    Recovery recovery = Recovery::kIncomplete;
  };
  // The least time between two polls of the peers.
  static constexpr Duration kMinPollInterval{1000};

  // All references must outlive the replicator.
  WatermarkReplicator(const Options& options, const membership::Swim& swim, PeerLinks& links,
                      PacketSender& sender, consistency::SessionConsistencyGuard& consistency_guard,
                      ReplicationCounts& counts);

  // A write that this instance is about to answer; retained for the peers.
  void Record(const WatermarkLog::Entry& write) { log_.Append(write); }
  // The same where no peer takes deltas: a peer that comes later starts with a snapshot.
  void RecordUnretained() { log_.AppendUnretained(); }

  // Sends deltas to the peers for which they are due. To be called every few milliseconds.
  void Tick(TimePoint now, Outbox& outbox);
  // Asks all live peers for an immediate delta. False: the last poll was too recent, and nobody was asked.
  bool PollPeers(TimePoint now, Outbox& outbox);
  // The parts of a packet from the peer `name` that concern watermarks.
  void HandlePacket(TimePoint now, const std::string& sender_address, const proto::Packet& packet,
                    PeerLink& link, Outbox& outbox);

  void OnLog(std::function<void(std::string)> log) { snapshots_.OnLog(std::move(log)); }

 private:
  enum class DeltaPurpose { kUpdate, kPoll };  // kPoll: the peer is to answer at once

  Duration FlushInterval(const PeerLink& link, proto::Member::State state) const;
  bool HasNews(const PeerLink& link) const;
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
