#include "replication/engine_options.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace lynxgrade::replication {
namespace {

// Leases that an instance manages and holds at least, whatever the capacity of the watermark table: 15 MB
// when full, 150 bytes a managed lease and 72 a held one.
constexpr std::size_t kMinLeases = 65536;
// A dedicated manager's: of 410 poolers that each meet 17 sessions a second for the first time, leases being
// kept for some 63 s, seven managers have 63,000 each, half as many more in the busiest second, and each of
// three that are left 146,000. 39 MB when full.
constexpr std::size_t kMinLeasesOfDedicatedManager = 262144;

lease::SessionLeaseClient::Options LeaseOptionsFrom(
    const ReplicationSettings& settings, const consistency::SessionConsistencyGuard& consistency_guard) {
  lease::SessionLeaseClient::Options leases;
  leases.holds = std::max(kMinLeases, consistency_guard.watermark_table().bucket_count() * 4);
  leases.reads_per_s = settings.asks_per_s;
  leases.bytes_per_s = settings.bytes_per_s;
  leases.coalesce = settings.coalesce;
  leases.writes_wait = settings.watermarks == ReplicationMode::kLeases;
  leases.owner.recall = consistency_guard.write_retention();
  leases.owner.entries = leases.holds;
  if (settings.owner) leases.owner.entries = std::max(leases.owner.entries, kMinLeasesOfDedicatedManager);
  leases.owner.recalls = leases.writes_wait;
  return leases;
}

}  // namespace

ReplicationEngine::Options EngineOptionsFrom(const ReplicationSettings& settings,
                                             const consistency::SessionConsistencyGuard& consistency_guard,
                                             ReplicationScope scope) {
  ReplicationEngine::Options options;
  options.flush_interval = settings.flush;
  options.membership_only = scope == ReplicationScope::kMembershipOnly;
  options.swim.period = settings.probe;
  options.swim.size = FleetSize(settings);
  if (settings.watermarks != ReplicationMode::kBroadcast) {
    options.leases = LeaseOptionsFrom(settings, consistency_guard);
    options.swim.owns = settings.owner;
  }
  if (settings.plain_members) {
    options.swim.most_doubt = 0;
    options.swim.unconfirmed = 1;
    options.swim.ask_lately = 0;
    options.swim.repeat = false;
    options.swim.proven = false;
  }
  return options;
}

void WarnOfUnsafeSettings(const ReplicationSettings& settings) {
  const bool uses_leases = settings.watermarks != ReplicationMode::kBroadcast;
  if (uses_leases && settings.watermarks != ReplicationMode::kLeases) {
    spdlog::warn("peers: writes do not wait for session leases: reads may miss writes");
  }
  if (settings.plain_members) {
    spdlog::warn("peers: quorum is not proven: two parts of the fleet may both claim the majority");
  }
}

}  // namespace lynxgrade::replication
