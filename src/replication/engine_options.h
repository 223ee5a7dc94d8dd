// Derives the options of the replication engine from the program's settings.
#pragma once

#include "consistency/session_consistency_guard.h"
#include "replication/replication_engine.h"
#include "settings/program_settings.h"

namespace lynxgrade::replication {

// What an engine replicates. kMembershipOnly is for measurements.
enum class ReplicationScope { kAll, kMembershipOnly };

ReplicationEngine::Options EngineOptionsFrom(const ReplicationSettings& settings,
                                             const consistency::SessionConsistencyGuard& consistency_guard,
                                             ReplicationScope scope);
// The number of instances in the fleet: the settings list all others as seeds.
inline std::size_t FleetSize(const ReplicationSettings& settings) { return 1 + settings.seeds.size(); }
// Logs a warning for each setting that gives up a guarantee.
void WarnAboutUnsafeSettings(const ReplicationSettings& settings);

}  // namespace lynxgrade::replication
