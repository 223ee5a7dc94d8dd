// The capacity model: the load of each part of the fleet in each scenario, from slopes fitted to measurements
// or computed from them, the size at which a row exceeds its budget, and its sensitivity to each assumption.
// Free of I/O and clocks.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "capacity/measurements.h"
#include "capacity/scenario.h"
#include "capacity/slopes.h"
#include "capacity/target.h"

namespace lynxgrade::capacity {

enum class Role { kPooler, kControlMachines, kDiscovery, kDatabase, kCommand };
struct Row {
  Role role = Role::kPooler;
  std::string group;      // state, messages, ...
  std::string name;       // ends in the unit
  std::string mechanism;  // the source folder or file that causes the load, or "none"
  std::string note;       // the formula, or what the figure does not include
  std::string issue;      // the issue that tracks exceeding the budget
  std::function<Cell(const Target&, Scenario)> at;
  std::function<FleetSize(const Target&, Scenario)> size;  // where the slopes are evaluated; empty: SizeAt
  std::function<double(const Target&)> budget;             // empty: unlimited
  std::optional<Slopes> slopes;
  // What events add to the slopes in their worst second: ordinary events, loss of a zone, and a partition
  // between the regions.
  std::optional<EventSurplus> events, zone, regions;
  bool comparison_only = false;  // not checked against the budgets
  bool superseded = false;       // of an earlier generation of messages; implies comparison_only
  double scale = 1;              // converts the figure's unit to the row's
};

class Model {
 public:
  explicit Model(std::vector<Record> records);
  const std::vector<Record>& records() const { return records_; }
  const std::vector<Row>& rows() const { return rows_; }

 private:
  std::vector<Record> records_;
  std::vector<Row> rows_;
};

// The smallest number of poolers at which the row exceeds its budget in the scenario, with the fleet scaled
// in proportion; 0 if it does not up to eight times the target. Empty if the row is unlimited or not
// measured.
std::optional<double> FirstSizeOverBudget(const Row& row, const Target& target, Scenario scenario);

// The row's largest cell over all scenarios, with one assumption at its low, assumed and high value.
std::array<Cell, 3> Sensitivity(const Row& row, const Target& target, const AssumptionField& field);

}  // namespace lynxgrade::capacity
