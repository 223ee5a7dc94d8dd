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
  leases.lease_capacity = std::max(kMinLeases, consistency_guard.watermark_table().bucket_count() * 4);
  leases.read_requests_per_s = settings.read_acquires_per_s;
  leases.bytes_per_s = settings.bytes_per_s;
  leases.batching_delay = settings.batching_delay;
  leases.writes_require_lease = settings.mode == ReplicationMode::kLeases;
  leases.manager.write_retention = consistency_guard.write_retention();
  leases.manager.entry_capacity = leases.lease_capacity;
  if (settings.dedicated_lease_manager)
    leases.manager.entry_capacity = std::max(leases.manager.entry_capacity, kMinLeasesOfDedicatedManager);
  leases.manager.revoke_before_grant = leases.writes_require_lease;
  return leases;
}

}  // namespace

ReplicationEngine::Options EngineOptionsFrom(const ReplicationSettings& settings,
                                             const consistency::SessionConsistencyGuard& consistency_guard,
                                             ReplicationScope scope) {
  ReplicationEngine::Options options;
  options.flush_interval = settings.flush_interval;
  options.membership_only = scope == ReplicationScope::kMembershipOnly;
  options.swim.period = settings.probe_interval;
  options.swim.fleet_size = FleetSize(settings);
  if (settings.mode != ReplicationMode::kBroadcast) {
    options.leases = LeaseOptionsFrom(settings, consistency_guard);
    options.swim.lease_manager.dedicated = settings.dedicated_lease_manager;
  }
  if (settings.quorum_evidence == QuorumEvidence::kMembershipAlone) {
    options.swim.max_local_health_multiplier = 0;
    options.swim.suspicion.max_timeout_factor = 1;
    options.swim.suspicion.recently_heard_periods = 0;
    options.swim.probe.repeat_pings = false;
    options.swim.acknowledgements.required = false;
  }
  return options;
}

void WarnOfUnsafeSettings(const ReplicationSettings& settings) {
  const bool uses_leases = settings.mode != ReplicationMode::kBroadcast;
  if (uses_leases && settings.mode != ReplicationMode::kLeases) {
    spdlog::warn("peers: writes do not wait for session leases: reads may miss writes");
  }
  if (settings.quorum_evidence == QuorumEvidence::kMembershipAlone) {
    spdlog::warn("peers: quorum is not proven: two parts of the fleet may both claim the majority");
  }
}

}  // namespace lynxgrade::replication
