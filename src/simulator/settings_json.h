// Decoding of routing settings, shared by the simulator's adapter and the pooler, and of load reports from
// JSON.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade::simulator {

// These throw WireError if a required value is missing or a value has the wrong type.
Settings DecodeSettings(const nlohmann::json& settings_json);
std::vector<std::string> DecodeLoadReportColumns(const nlohmann::json& settings_json);

// Stores the value of a named column in the report; unknown columns are ignored. Positions are relative to
// `position_origin`.
void StoreLoadReportValue(LoadReport& report, const std::string& column, double value,
                          Duration position_origin);

}  // namespace lynxgrade::simulator
