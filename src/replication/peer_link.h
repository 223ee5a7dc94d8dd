// The state of replication with one peer. Plain data: PeerLinks owns one PeerLink for each peer, and each
// class that replicates something updates its own part.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "lease/rendezvous_hash.h"
#include "replication/watermark_log.h"

namespace lynxgrade::replication {

// Deltas of watermarks exchanged with one peer (WatermarkReplicator).
struct WatermarkProgress {
  // From this instance to the peer.
  SequenceNumber acknowledged_sequence = 0;
  SequenceNumber sent_sequence = 0;
  TimePoint last_progress{};  // when acknowledged_sequence rose, or unacknowledged ones were first sent
  TimePoint last_flush{};     // when this instance last sent a delta
  bool ack_pending = false;   // received watermarks have not been acknowledged yet
  bool tracks_this_incarnation = false;  // the peer knows this incarnation and waits for its watermarks

  // From the peer to this instance.
  SequenceNumber received_sequence = 0;        // received without gaps
  std::uint64_t newest_peer_timestamp_us = 0;  // of the peer's clock; echoed to the peer
  TimePoint replicated_through{};              // the peer's writes answered before this time are known
  bool was_replicated = false;                 // whether `replicated_through` has ever been set
};

// Snapshot transfers to and from one peer (SnapshotTransfer). An id of zero: no transfer.
struct SnapshotProgress {
  std::uint64_t outgoing_id = 0;
  std::uint64_t next_outgoing_bucket = 0;
  SequenceNumber outgoing_sequence = 0;  // deltas continue after this one
  std::uint64_t incoming_id = 0;
  std::uint64_t next_incoming_bucket = 0;
};

// Primary timelines sent to one peer (TimelineGossip).
struct TimelineProgress {
  std::uint64_t sent_loss_count = 0;          // number of changes of primary when timelines were last sent
  std::map<GroupId, LogPosition> sent_since;  // by group: `since` of the timeline that was last sent
  // A round repeats all timelines, spread over many packets.
  std::size_t remaining_in_round = 0;
  TimePoint round_started{};
  GroupId last_group_in_round{};
};

struct PeerLink {
  lease::IncarnationId incarnation_id = 0;
  // Since when this incarnation is tracked. Moves forward when a packet of an older incarnation arrives,
  // which shows that both are running.
  TimePoint tracked_since{};
  bool dead = false;  // the state that was last logged
  WatermarkProgress watermarks;
  SnapshotProgress snapshot;
  TimelineProgress timelines;
};

}  // namespace lynxgrade::replication
