// The settings as JSON, decoded once for the simulator's adapter and the pooler alike.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade::simulator {

// Throws WireError where a value is missing or not of its kind.
Settings DecodeSettings(const nlohmann::json& facts);
std::vector<std::string> DecodeReportColumns(const nlohmann::json& facts);

// A report from columns of names and values, as far as the module knows them. Positions are counted from
// `zero`.
void TakeReportValue(LoadReport& report, const std::string& column, double value, Duration zero);

}  // namespace lynxgrade::simulator
