// The scenarios of the capacity model: the size and load of the fleet in each.
#pragma once

#include <array>

#include "capacity/measurements.h"
#include "capacity/target.h"

namespace lynxgrade::capacity {

enum class Scenario { kOrdinary, kWorstOrdinary, kZoneLost, kRegionsPartitioned };
inline constexpr std::array kScenarios = {Scenario::kOrdinary, Scenario::kWorstOrdinary, Scenario::kZoneLost,
                                          Scenario::kRegionsPartitioned};

// The fleet's size and load in a scenario.
FleetSize SizeAt(const Target& target, Scenario scenario);
// The target with this number of poolers and all other counts scaled in proportion. Times, shares and budgets
// stay the same.
Target ScaledTo(const Target& target, double poolers);

// How many of the machines with lease managers a pooler reaches in a scenario.
double ReachableMachines(const Target& target, Scenario scenario);
// Changes of the endpoint list on an ordinary day.
double ListChangesPerS(const Target& target);

}  // namespace lynxgrade::capacity
