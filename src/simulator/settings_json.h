// Decoding of routing settings and load reports from JSON, shared by the simulator's adapter and the pooler.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade::simulator {

// Throws WireError if a value is missing or has the wrong type.
Settings DecodeSettings(const nlohmann::json& facts);
std::vector<std::string> DecodeReportColumns(const nlohmann::json& facts);

// Stores the value of a named column in the report; unknown columns are ignored. Positions are relative to
// `zero`.
void StoreReportValue(LoadReport& report, const std::string& column, double value, Duration zero);

}  // namespace lynxgrade::simulator
