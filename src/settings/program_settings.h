// The program's own settings: what an installation switches on, from a TOML file. What the platform tells is
// in config.h; nothing of it stands here.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "consistency/session_consistency_guard.h"
#include "net/connection.h"

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

// How the instances know of each other's writes.
enum class ReplicationMode {
  kBroadcast,  // each tells each of every write
  kLeases,     // one instance at a time holds a session (docs/design/session-directory.md)
  // The same, but holders are not recalled and writes do not wait until the session is held: reads may miss
  // them. For comparison in the laboratory.
  kLeasesWithoutRevocation,
};

// The exchange with the other instances; off where no address is named.
struct ReplicationSettings {
  std::optional<net::Address> listen;
  std::optional<net::Address> advertise;  // where others reach it; where it listens if absent
  std::string name;                       // of this instance; as in the platform's configuration where empty
  std::vector<net::Address> seeds;
  std::string key_file;
  Duration flush{10000};
  Duration probe{200000};         // a SWIM protocol period
  Duration join_within{3000000};  // a start waits no longer than this for the others to count this instance
  ReplicationMode watermarks = ReplicationMode::kBroadcast;
  double asks_per_s = 20;  // kDirectory: asks for reads, at most; beyond it they have the conservative target
  // kDirectory: a budget of all that is sent and received, with the heads of UDP and IPv4. Reads ask only
  // while it holds; what cannot wait goes in any case. Zero: none.
  double bytes_per_s = 0;
  // While that budget is short: for how long what is said of sessions may wait for company, by way of one
  // owner set aside. Four times that is added to a move of a session at the most. Zero: it never waits.
  Duration coalesce{5000};
  bool owner = false;  // kDirectory: set aside to own sessions for all; clients are sent elsewhere
  // SWIM alone, and parts claimed by those seen: two parts may both hold themselves for the larger. For
  // comparison in the laboratory.
  bool plain_members = false;
};

struct ProgramSettings {
  consistency::Options sessions;
  DurabilitySettings state;
  ReplicationSettings peers;
  std::optional<net::Address> control;  // where operators' questions are answered, on loopback; off if absent
};

// The settings in `text`, or one plain sentence that names line and column: unknown keys, values that are not
// of their kind or out of bounds, and combinations that cannot work.
std::variant<ProgramSettings, std::string> ParseProgramSettings(std::string_view text);
// The same for a file.
std::variant<ProgramSettings, std::string> LoadProgramSettings(const std::string& path);

}  // namespace lynxgrade
