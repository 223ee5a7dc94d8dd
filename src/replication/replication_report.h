// The status report on replication for operators, in JSON. src/admin/admin_client.cpp reads it; the keys are
// part of the operators' interface.
#pragma once

#include <cstdint>
#include <string>

#include "replication/replication_engine.h"
#include "replication/traffic.h"
#include "settings/program_settings.h"

namespace lynxgrade::replication {

struct ReplicationReportInput {
  TimePoint now{};
  const std::string& name;  // of this instance
  const ReplicationSettings& settings;
  const ReplicationEngine& engine;
  const Traffic& traffic;
  std::uint64_t rejected_datagrams = 0;
  Duration processor_time{};
};

// Returns one JSON object on one line.
std::string FormatReplicationReport(const ReplicationReportInput& input);

}  // namespace lynxgrade::replication
