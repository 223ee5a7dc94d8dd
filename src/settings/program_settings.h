// The program's own settings: what an installation switches on, from a TOML file. docs/operators/sessions.md
// describes the keys; program_settings.cpp maps them to the terms used here. The platform's configuration is
// in platform_config.h.
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

// What the answer of a write waits for.
enum class CommitMode {
  kKernel,  // its record has been given to the kernel: survives the process, not the machine
  kDisk,    // its record has been synced to the disk
};

// The durable state of this instance.
struct DurabilitySettings {
  std::string folder;  // durability is off if empty
  CommitMode commit = CommitMode::kKernel;
  std::size_t snapshot_bytes = 4u << 20;  // a log longer than this is rewritten as a snapshot
  Duration wait_timeout{250000};          // an answer waits no longer than this for a disk that hangs
};

// How the instances learn of each other's writes.
enum class ReplicationMode {
  kBroadcast,  // each instance sends every write to all others
  kLeases,     // one instance at a time holds the lease of a session (docs/design/session-directory.md)
  // The same, but leases are not revoked and writes do not wait for the lease, so that reads may miss them.
  // For comparison in the testbed alone.
  kLeasesWithoutRevocation,
};

// What makes an instance count as part of the majority.
enum class QuorumEvidence {
  kViewAcknowledgements,  // a majority has acknowledged the instance's view, for a limited time
  // A majority is alive by SWIM: two partitions may both count. For comparison in the testbed alone.
  kMembershipAlone,
};

// Replication among the instances.
struct ReplicationSettings {
  std::optional<net::Address> listen_address;      // replication is off if absent
  std::optional<net::Address> advertised_address;  // by default the address that it listens on
  std::string instance_name;                       // by default that of the platform's configuration
  std::vector<net::Address> seeds;                 // all other instances
  std::string key_file;
  Duration flush_interval{10000};
  Duration probe_interval{200000};  // a SWIM protocol period
  Duration join_timeout{3000000};   // a start waits no longer than this for the others to count this instance
  ReplicationMode mode = ReplicationMode::kBroadcast;
  QuorumEvidence quorum_evidence = QuorumEvidence::kViewAcknowledgements;
  // kLeases, from here on. Reads that ask for a lease, per second at most; others use the conservative
  // position.
  double read_acquires_per_s = 20;
  // Bytes sent and received per second, with the headers of UDP and IPv4; zero: no limit. Reads ask for
  // leases only within it, all other messages are sent in any case.
  double bytes_per_s = 0;
  // While that limit is reached, how long a lease message may wait to be batched with others through one
  // dedicated lease manager; zero: it never waits. A lease that moves takes up to four times as long more.
  Duration batching_delay{5000};
  // This instance manages the leases of all sessions; clients are to be sent to others.
  bool dedicated_lease_manager = false;
};

struct ProgramSettings {
  consistency::Options sessions;
  DurabilitySettings durability;
  ReplicationSettings replication;
  std::optional<net::Address> admin_address;  // on loopback; operators' queries are off if absent
};

// Reads the settings in `text`, a TOML document. Unknown keys, values of the wrong type or out of bounds, and
// combinations that cannot work are errors; the first one is returned.
tl::expected<ProgramSettings, SettingsError> ParseProgramSettings(std::string_view text);
// The same for a file.
tl::expected<ProgramSettings, StartError> LoadProgramSettings(const std::string& path);

}  // namespace lynxgrade
