#include "settings/program_settings.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>

#include "settings/toml_section.h"

namespace lynxgrade {
namespace {

constexpr Duration kMillisecond{1000};
constexpr Duration kSecond{1000000};
constexpr std::size_t kMegabyte = 1u << 20;
constexpr std::int64_t kMaxAcquiresPerS = 100'000;
constexpr std::int64_t kMaxBytesPerS = 1'000'000'000;  // 8 Gbit/s; a higher value is taken for a mistake
constexpr Duration kDefaultWriteRetention = kSecond * 30;
constexpr std::array kSectionNames = {"sessions", "state", "peers", "control"};

void ReadSessions(const toml::table& root, FirstError& errors, consistency::Options& sessions) {
  TomlSection section(root, "sessions", errors);
  section.ReadChoice<consistency::Scope>(
      "scope", sessions.scope,
      {{"instance", consistency::Scope::kInstance}, {"everywhere", consistency::Scope::kEverywhere}});
  section.ReadSize("capacity", sessions.session_capacity, 64, 100'000'000);
  section.ReadDuration("recall_s", sessions.write_retention, 1, 86'400, kSecond);
  section.ReadDuration("least_failover_ms", sessions.min_failover_time, 0, 60'000, kMillisecond);
  section.ReadFlag("refuse_doubt", sessions.reject_uncertain_reads);
  section.ReadDuration("hold_ms", sessions.max_read_delay, 0, 1'000, kMillisecond);
  section.RejectUnknownKeys();
}

void ReadDurability(const toml::table& root, FirstError& errors, const consistency::Options& sessions,
                    DurabilitySettings& durability) {
  TomlSection section(root, "state", errors);
  section.ReadString("folder", durability.folder);
  section.ReadChoice<CommitMode>("commit", durability.commit,
                                 {{"kernel", CommitMode::kKernel}, {"disk", CommitMode::kDisk}});
  section.ReadSize("snapshot_mb", durability.snapshot_bytes, 1, 4'096, kMegabyte);
  section.ReadDuration("stall_ms", durability.wait_timeout, 10, 5'000, kMillisecond);
  section.RejectUnknownKeys();
  if (!durability.folder.empty() && sessions.scope != consistency::Scope::kEverywhere) {
    section.Reject("folder", "requires sessions.scope = \"everywhere\"");
  }
}

void ReadReplicationKeys(TomlSection& section, ReplicationSettings& replication) {
  replication.listen_address = section.ReadAddress("listen");
  replication.advertised_address = section.ReadAddress("advertise");
  section.ReadString("name", replication.instance_name);
  section.ReadAddresses("seeds", replication.seeds);
  section.ReadString("key_file", replication.key_file);
  section.ReadDuration("flush_ms", replication.flush_interval, 1, 1'000, kMillisecond);
  section.ReadDuration("probe_ms", replication.probe_interval, 20, 60'000, kMillisecond);
  section.ReadDuration("join_within_s", replication.join_timeout, 0, 600, kSecond);
  section.ReadChoice<ReplicationMode>("marks", replication.mode,
                                      {{"each", ReplicationMode::kBroadcast},
                                       {"directory", ReplicationMode::kLeases},
                                       {"directory-plain", ReplicationMode::kLeasesWithoutRevocation}});
  section.ReadRate("asks_per_s", replication.read_acquires_per_s, kMaxAcquiresPerS);
  section.ReadRate("bytes_per_s", replication.bytes_per_s, kMaxBytesPerS);
  section.ReadDuration("coalesce_ms", replication.batching_delay, 0, 100, kMillisecond);
  section.ReadFlag("owner", replication.dedicated_lease_manager);
  section.ReadChoice<QuorumEvidence>(
      "members", replication.quorum_evidence,
      {{"proven", QuorumEvidence::kViewAcknowledgements}, {"plain", QuorumEvidence::kMembershipAlone}});
  section.RejectUnknownKeys();
}

// Leases are safe only if no two partitions have a quorum at once. The keys of leases have no effect in other
// modes.
void ValidateLeases(TomlSection& section, const ReplicationSettings& replication) {
  if (replication.mode != ReplicationMode::kBroadcast) {
    if (replication.quorum_evidence == QuorumEvidence::kMembershipAlone) {
      section.Reject(
          "marks", "requires peers.members = \"proven\": otherwise two partitions may grant the same lease");
    }
    return;
  }
  if (replication.dedicated_lease_manager) {
    section.Reject("owner", "requires peers.marks = \"directory\"");
  }
  if (replication.bytes_per_s > 0) {
    section.Reject("bytes_per_s", "requires peers.marks = \"directory\": it limits lease requests");
  }
}

void ValidateListening(TomlSection& section, const consistency::Options& sessions,
                       const ReplicationSettings& replication) {
  if (replication.listen_address) {
    if (sessions.scope != consistency::Scope::kEverywhere) {
      section.Reject("listen", "requires sessions.scope = \"everywhere\"");
    }
    if (replication.key_file.empty()) {
      section.Reject("key_file", "is missing: packets between instances are authenticated with a shared key");
    }
    return;
  }
  if (replication.mode != ReplicationMode::kBroadcast) {
    section.Reject("marks", "requires 'peers.listen', which is missing");
  }
  if (!replication.seeds.empty()) {
    section.Reject("seeds", "requires 'peers.listen', which is missing");
  }
  if (replication.advertised_address) {
    section.Reject("advertise", "requires 'peers.listen', which is missing");
  }
}

void ReadReplication(const toml::table& root, FirstError& errors, const consistency::Options& sessions,
                     ReplicationSettings& replication) {
  TomlSection section(root, "peers", errors);
  ReadReplicationKeys(section, replication);
  ValidateLeases(section, replication);
  ValidateListening(section, sessions, replication);
}

void ReadAdmin(const toml::table& root, FirstError& errors, std::optional<net::Address>& admin_address) {
  TomlSection section(root, "control", errors);
  admin_address = section.ReadAddress("listen");
  section.RejectUnknownKeys();
  if (admin_address && !admin_address->host.starts_with("127.") && admin_address->host != "::1") {
    section.Reject("listen", "must be a loopback address");
  }
}

void RejectUnknownSections(const toml::table& root, FirstError& errors) {
  for (const auto& [key, node] : root) {
    const std::string name(key.str());
    if (std::ranges::find(kSectionNames, name) != kSectionNames.end()) continue;
    const toml::source_position& position = key.source().begin;
    errors.Record({position.line, position.column, "'" + name + "' is an unknown section"});
  }
}

tl::expected<ProgramSettings, SettingsError> ReadSettings(const toml::table& root) {
  FirstError errors;
  ProgramSettings settings;
  settings.sessions.write_retention = kDefaultWriteRetention;
  RejectUnknownSections(root, errors);
  ReadSessions(root, errors, settings.sessions);
  ReadDurability(root, errors, settings.sessions, settings.durability);
  ReadReplication(root, errors, settings.sessions, settings.replication);
  ReadAdmin(root, errors, settings.admin_address);
  if (errors.error()) return tl::unexpected(*errors.error());
  return settings;
}

}  // namespace

std::string Describe(const SettingsError& error) {
  std::string position = "line " + std::to_string(error.line);
  if (error.column) position += ", column " + std::to_string(*error.column);
  return position + ": " + error.problem;
}

tl::expected<ProgramSettings, SettingsError> ParseProgramSettings(std::string_view text) {
  try {
    return ReadSettings(toml::parse(text));
  } catch (const toml::parse_error& error) {
    const toml::source_position& position = error.source().begin;
    return tl::unexpected(SettingsError{position.line, position.column, std::string(error.description())});
  }
}

tl::expected<ProgramSettings, StartError> LoadProgramSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return tl::unexpected(StartError{StartErrorCode::kSettingsMissing, path, {}});
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  if (file.bad()) return tl::unexpected(StartError{StartErrorCode::kSettingsUnreadable, path, {}});
  return ParseProgramSettings(text).map_error([&path](const SettingsError& error) {
    return StartError{StartErrorCode::kSettingsInvalid, path, Describe(error)};
  });
}

}  // namespace lynxgrade
