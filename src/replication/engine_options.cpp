#include "replication/engine_options.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace lynxgrade::replication {
namespace {

// Minimum capacity for managed and for held leases, whatever the capacity of the watermark table: 15 MB when
// full, at 150 bytes per managed and 72 bytes per held lease.
constexpr std::size_t kMinLeases = 65536;
// The same for a dedicated manager: 39 MB when full. Sized for 410 poolers that each see 17 new sessions per
// second, with leases kept for about 63 s: each of seven managers then has 63,000 leases, 1.5 times as many
// in the busiest second, and 146,000 if only three managers remain.
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

void WarnAboutUnsafeSettings(const ReplicationSettings& settings) {
  const bool uses_leases = settings.mode != ReplicationMode::kBroadcast;
  if (uses_leases && settings.mode != ReplicationMode::kLeases) {
    spdlog::warn("peers: writes do not wait for session leases; read-your-writes reads may miss writes");
  }
  if (settings.quorum_evidence == QuorumEvidence::kMembershipAlone) {
    spdlog::warn(
        "peers: quorum is not proven by acknowledgements; two partitions of the fleet may both assume a "
        "majority");
  }
}

}  // namespace lynxgrade::replication
