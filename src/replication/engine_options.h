// The options of the replication engine that follow from the program's settings.
#pragma once

#include "consistency/session_consistency_guard.h"
#include "replication/replication_engine.h"
#include "settings/program_settings.h"

namespace lynxgrade::replication {

// Which subjects an engine replicates; kMembershipOnly serves measurements.
enum class ReplicationScope { kAll, kMembershipOnly };

ReplicationEngine::Options EngineOptionsFrom(const ReplicationSettings& settings,
                                             const consistency::SessionConsistencyGuard& consistency_guard,
                                             ReplicationScope scope);
// The number of instances of the fleet by the settings, which name all others.
inline std::size_t FleetSize(const ReplicationSettings& settings) { return 1 + settings.seeds.size(); }
// Warns of settings that give up a guarantee.
void WarnOfUnsafeSettings(const ReplicationSettings& settings);

}  // namespace lynxgrade::replication
