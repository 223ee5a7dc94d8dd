// The program's own settings, with which an installation enables optional features, from a TOML file.
// docs/operators/sessions.md describes the keys, and program_settings.cpp maps them to the names used here.
// The platform's configuration is in platform_config.h.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "consistency/session_consistency_guard.h"
#include "net/connection.h"
#include "settings/settings_error.h"
#include "start_error.h"

namespace lynxgrade {

// What the response to a write waits for.
enum class CommitMode {
  kKernel,  // its log record is written to the kernel: survives a crash of the process, not of the machine
  kDisk,    // its log record is synced to the disk
};

// The durable state of this instance.
struct DurabilitySettings {
  std::string folder;  // empty: durability is off
  CommitMode commit = CommitMode::kKernel;
  std::size_t snapshot_bytes = 4u << 20;  // a log that grows beyond this is replaced by a snapshot
  Duration wait_timeout{250000};          // max. time that a response waits for a disk that hangs
};

// How instances learn of each other's writes.
enum class ReplicationMode {
  kBroadcast,  // each instance sends every write to all others
  kLeases,     // one instance at a time holds the lease of a session (docs/design/session-directory.md)
  // Leases that are not revoked, and writes that do not wait for their lease: reads may miss writes. For
  // comparison in the testbed only.
  kLeasesWithoutRevocation,
};

// How an instance decides that it is part of the quorum.
enum class QuorumEvidence {
  kViewAcknowledgements,  // a majority has acknowledged the instance's view, for a limited time
  // SWIM reports a majority as alive: two partitions may have a quorum at once. For comparison in the testbed
  // only.
  kMembershipAlone,
};

// Replication of write watermarks among the instances.
struct ReplicationSettings {
  std::optional<net::Address> listen_address;      // absent: replication is off
  std::optional<net::Address> advertised_address;  // default: the listen address
  std::string instance_name;                       // default: that of the platform's configuration
  std::vector<net::Address> seeds;                 // all other instances
  std::string key_file;
  Duration flush_interval{10000};
  Duration probe_interval{200000};  // a SWIM protocol period
  Duration join_timeout{3000000};   // max. time that a start waits for the other instances to accept this one
  ReplicationMode mode = ReplicationMode::kBroadcast;
  QuorumEvidence quorum_evidence = QuorumEvidence::kViewAcknowledgements;
  // The members from here on are for kLeases. Max. reads per second that request a lease; the others use the
  // conservative position.
  double read_acquires_per_s = 20;
  // Max. bytes sent and received per second, including UDP and IPv4 headers; zero: no limit. It limits the
  // lease requests of reads only: all other messages count, but are always sent.
  double bytes_per_s = 0;
  // While that limit is reached: max. time that a lease message waits to be batched with others for one
  // dedicated lease manager; zero: it never waits. Moving a lease may take up to four times this time longer.
  Duration batching_delay{5000};
  // This instance manages the leases of all sessions; clients are to connect to other instances.
  bool dedicated_lease_manager = false;
};

struct ProgramSettings {
  consistency::Options sessions;
  DurabilitySettings durability;
  ReplicationSettings replication;
  std::optional<net::Address> admin_address;  // on loopback; absent: no admin queries
};

// Parses a TOML document. Unknown keys, values of the wrong type or out of range, and contradictory
// combinations are errors; the first one is returned.
tl::expected<ProgramSettings, SettingsError> ParseProgramSettings(std::string_view text);
// Reads and parses a file.
tl::expected<ProgramSettings, StartError> LoadProgramSettings(const std::string& path);

}  // namespace lynxgrade
