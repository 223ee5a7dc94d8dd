// Bounds of the program as it stands, for rows that are worked out. Each belongs to the file that is named
// with it; the test compares those that can be seen from outside, so that a change there cannot leave the
// page behind.
#pragma once

namespace lynxgrade::capacity {

constexpr double kPacketsPerS = 2'000;      // replication::ReplicationEngine::Options
constexpr double kIdleFlushMs = 100;        // the same
constexpr double kMarksKept = 65'536;       // the same
constexpr double kReignsAPacket = 8;        // src/replication/timeline_gossip
constexpr double kReignsEveryMs = 500;      // src/replication/timeline_gossip
constexpr double kPlayedMembersAGroup = 3;  // testbed: the scale run's databases stand in groups of so many
constexpr double kPlayedOwnReads = 0.5;     // testbed: of the scale run's reads, unless a record tells more
constexpr double kMessagesAFirstMeet = 2;   // src/lease: acquire and grant
constexpr double kMessagesAMove = 4;        // src/lease: acquire, revoke, release, grant
constexpr double kLeaseS = 30;              // src/lease/session_lease_manager
constexpr double kOwnedForS =
    63;  // src/lease/session_lease_manager: a lease, a tenth longer, and the write retention
constexpr double kSessionsOwned = 262'144;  // src/replication/engine_options: of a dedicated lease manager
constexpr double kSessionsHeld = 65'536;    // lease::SessionLeaseClient::Options::lease_capacity
constexpr double kAsksPerS = 20;            // peers.asks_per_s: of reads
constexpr double kHoldMs = 30;              // sessions.hold_ms
constexpr double kHeardLately =
    8;  // src/consistency/session_consistency_guard: holds; an older word is not waited for
constexpr double kRecallS = 30;            // sessions.recall_s
constexpr double kLedgerSessions = 8'192;  // sessions.capacity
constexpr double kProbeMs = 200;           // peers.probe_ms
// A probe is `SHOW pressure` and its row with a report of two fields, as the testbed's data servers answer
// it. Each way of a TCP connection adds heads of IPv4 and TCP with its timestamps; the answer is acknowledged
// by itself.
constexpr double kProbeQueryBytes = 19, kProbeAnswerBytes = 83, kTcpHeads = 52;
constexpr double kPooledS =
    10;  // src/upstream/connection_pool: a connection to a database asked that lately stays
constexpr double kAnswerBytes = 1'048'576;  // src/admin/admin_server: the longest answer
constexpr double kIdlePart = 8;   // src/frontend: clients over one in so many descriptors leave early
constexpr double kReserved = 40;  // net::DescriptorBudget: descriptors kept back
constexpr double kBlankLineS = 2,
                 kBlankLineBytes = 6;  // discovery: an empty line, chunked, while all is well
constexpr double kDrainGraceS = 2;     // rules.drain_grace_us of the platform's configuration

}  // namespace lynxgrade::capacity
