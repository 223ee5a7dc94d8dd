// Limits and defaults of the program that computed rows rely on. Each is defined in the file or setting named
// with it. A test compares those that are visible from outside with the program's own, so that the page
// cannot become outdated unnoticed.
#pragma once

namespace lynxgrade::capacity {

// Replication: replication::ReplicationEngine::Options.
constexpr double kMaxPacketsPerS = 2'000;
constexpr double kIdleFlushIntervalMs = 100;
constexpr double kRetainedWatermarks = 65'536;
constexpr double kReadAcquiresPerS = 20;  // lease acquires by reads; setting peers.asks_per_s

// Timelines: src/replication/timeline_gossip.
constexpr double kTimelinesPerPacket = 8;
constexpr double kTimelineRoundIntervalMs = 500;

// Testbed: members of each group in the scale run, and the share of its reads that are session reads unless
// the record has `own_reads_share`.
constexpr double kTestbedMembersPerGroup = 3;
constexpr double kTestbedOwnReadsShare = 0.5;

// Leases: src/lease.
constexpr double kMessagesPerLeaseAcquire = 2;   // acquire, grant
constexpr double kMessagesPerLeaseTransfer = 4;  // acquire, revoke, release, grant
constexpr double kLeaseDurationS = 30;           // SessionLeaseManager
// SessionLeaseManager keeps an entry for 1.1 lease durations and the write retention.
constexpr double kLeaseManagerRetentionS = 63;
constexpr double kLeaseManagerSessions = 262'144;  // of a dedicated manager; src/replication/engine_options
constexpr double kClientLeaseCapacity = 65'536;    // SessionLeaseClient::Options::lease_capacity

// Consistency: sessions.hold_ms, sessions.recall_s and sessions.capacity.
constexpr double kMaxReadDelayMs = 30;
constexpr double kWriteRetentionS = 30;
constexpr double kSessionCapacity = 8'192;
// src/consistency/session_consistency_guard: reads do not wait for peers that have been silent for longer
// than this many read delays.
constexpr double kMaxPeerSilenceInReadDelays = 8;

constexpr double kProbeIntervalMs = 200;  // peers.probe_ms
// A probe of a data server is `SHOW pressure` and one row with a load report of two fields, as the testbed's
// data servers answer it. Each segment adds IPv4 and TCP headers, and the answer is acknowledged by a segment
// of its own.
constexpr double kProbeQueryBytes = 19, kProbeAnswerBytes = 83;
constexpr double kTcpHeaderBytes = 52;  // IPv4 and TCP with timestamps

constexpr double kPooledIdleTimeoutS = 10;            // src/upstream/connection_pool
constexpr double kMaxAdminResponseBytes = 1'048'576;  // src/admin/admin_server
constexpr double kReservedDescriptors = 40;           // net::DescriptorBudget
// src/frontend: idle clients are closed early when clients hold more than one in this many descriptors.
constexpr double kDescriptorsPerIdleClient = 8;
// src/discovery: as a heartbeat, discovery sends each open watch an empty line, which is a chunk of its own.
constexpr double kWatchHeartbeatIntervalS = 2;
constexpr double kWatchHeartbeatBytes = 6;
constexpr double kDrainGraceS = 2;  // rules.drain_grace_us of the platform's configuration

}  // namespace lynxgrade::capacity
