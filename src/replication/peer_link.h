// What is known of the traffic with one peer, by the subject of the traffic. Plain data: PeerLinks owns one
// of these for each peer, and each subject's class keeps its own part of it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "lease/rendezvous_hash.h"
#include "replication/watermark_log.h"

namespace lynxgrade::replication {

// Deltas of watermarks with one peer (WatermarkReplicator).
struct WatermarkProgress {
  // From here to the peer.
  SequenceNumber acknowledged = 0;
  SequenceNumber sent = 0;
  TimePoint progressed{};             // when `acknowledged` rose, or when what it lacks was first sent
  TimePoint flushed{};                // when this instance last sent a delta
  bool owes_ack = false;              // watermarks came that have not been acknowledged yet
  bool counts_this_instance = false;  // the peer knows this incarnation, and waits for its watermarks

  // From the peer.
  SequenceNumber received = 0;         // without gaps
  std::uint64_t newest_timestamp = 0;  // of the peer's clock, as last received; echoed to it
  TimePoint replicated_through{};      // its writes answered before this are known here
  bool was_replicated = false;         // whether `replicated_through` has ever been set
};

// Snapshots of the watermark table to and from one peer (SnapshotTransfer). An id of zero: no transfer.
struct SnapshotProgress {
  std::uint64_t outgoing_id = 0;
  std::uint64_t next_outgoing_bucket = 0;
  SequenceNumber outgoing_sequence = 0;  // the deltas go on after this one
  std::uint64_t incoming_id = 0;
  std::uint64_t next_incoming_bucket = 0;
};

// Timelines of primaries as last sent to one peer (TimelineGossip).
struct TimelineProgress {
  std::uint64_t reported_losses = 0;               // changes of primary when timelines were last sent
  std::map<GroupId, LogPosition> sent_beginnings;  // by group, of the timeline that was last sent
  // A round repeats all timelines, one after the other over many packets.
  std::size_t left_in_round = 0;
  TimePoint round_started{};
  GroupId last_in_round{};
};

struct PeerLink {
  lease::IncarnationId incarnation_id = 0;
  // Since when this incarnation is followed; an older incarnation that is heard beside it moves this forward.
  TimePoint followed_since{};
  bool dead = false;  // as last logged
  WatermarkProgress watermarks;
  SnapshotProgress snapshot;
  TimelineProgress timelines;
};

}  // namespace lynxgrade::replication
