// The capacity model: the load of each part of the fleet in four scenarios, from slopes fitted to
// measurements or computed from them, the size at which a row exceeds its budget, and its sensitivity to each
// assumption. Free of I/O and clocks.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "capacity/fit.h"
#include "capacity/measurements.h"
#include "capacity/target.h"

namespace lynxgrade::capacity {

enum class Role { kPooler, kControlMachines, kDiscovery, kDatabase, kCommand };
enum class Scenario { kOrdinary, kWorstOrdinary, kZoneLost, kRegionsPartitioned };
inline constexpr std::array kScenarios = {Scenario::kOrdinary, Scenario::kWorstOrdinary, Scenario::kZoneLost,
                                          Scenario::kRegionsPartitioned};

// kMeasured: from a fit whose range includes the size. kComputed: from a fit extrapolated beyond its range,
// or from other figures by arithmetic.
enum class Provenance { kMeasured, kComputed, kNotMeasured };
struct Cell {
  Provenance provenance = Provenance::kNotMeasured;
  double value = 0;
  double error = 0;             // one standard error; 0 if unknown
  bool is_lower_bound = false;  // a part of it has not been measured
};

// An explanatory variable of a fit. "Own" on the page means the mean per pooler; others are fleet totals.
enum class Term {
  kConstant,
  kPoolers,
  kDatabases,
  kClients,
  kStatements,
  kWrites,
  kFleetWrites,
  kSessionStatements,  // writes and own-reads: only these need watermarks
  kFirstContacts,      // first session statements of a session at a pooler
  kRoamingStatements,
  kLeaseMessages,    // for first contacts and roaming statements, where sessions have leases
  kManagerMessages,  // the same at one dedicated lease manager
  kPackets,
  kTimelineReports,
  kListChanges
};
const char* TermName(Term term);
double TermValue(Term term, const FleetSize& size);

// The slopes of a figure, fitted to the records that have it.
class Slopes {
 public:
  struct Range {
    Term term;
    double min = 0, max = 0;
  };
  // `terms`: what the figure depends on by design. A term that is the same in all records is left out of the
  // fit and reported by constant().
  Slopes(const std::vector<Term>& terms, const std::string& figure,
         const std::vector<const Record*>& records);

  Cell At(const FleetSize& size) const;
  const std::vector<Range>& varied() const { return varied_; }      // without Term::kConstant
  const std::vector<Range>& constant() const { return constant_; }  // min and max are equal
  // Varied, but with a slope below twice its standard error: left out, as extrapolation would amplify noise.
  const std::vector<Range>& insignificant() const { return insignificant_; }
  const std::optional<Fit>& fit() const { return fit_; }       // starts with the constant
  const std::string& fit_error() const { return fit_error_; }  // why there is no fit
  std::optional<double> SlopeOf(Term term) const;

 private:
  std::vector<double> Point(const FleetSize& size) const;

  std::vector<Range> varied_, constant_, insignificant_;
  std::optional<Fit> fit_;
  std::string fit_error_;
};

// The load that events add to what the slopes of quiet and load runs predict, by number of poolers.
class EventSurplus {
 public:
  // `scripts`: prefixes of the names of the scripts to use. Uses the figure's peak if a run recorded one.
  EventSurplus(const Slopes& slopes, const std::string& figure, const std::vector<const Record*>& records,
               const std::vector<std::string>& scripts);

  // Not measured if no run has the figure; a lower bound beyond the largest fleet that was run.
  Cell At(double poolers) const;
  std::size_t records() const { return records_; }
  const std::optional<Fit>& fit() const { return fit_; }  // the constant and the slope per pooler
  double max_poolers() const { return max_poolers_; }
  double largest() const { return largest_; }

 private:
  std::size_t records_ = 0;
  std::optional<Fit> fit_;
  double largest_ = 0, min_poolers_ = 0, max_poolers_ = 0;
};

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

// The fleet's size and load in a scenario.
FleetSize SizeAt(const Target& target, Scenario scenario);
// The target with this number of poolers and all other counts scaled in proportion. Times, shares and budgets
// stay the same.
Target ScaledTo(const Target& target, double poolers);

// The smallest number of poolers at which the row exceeds its budget in the scenario, with the fleet scaled
// in proportion; 0 if it does not up to eight times the target. Empty if the row is unlimited or not
// measured.
std::optional<double> FirstSizeOverBudget(const Row& row, const Target& target, Scenario scenario);

// The row's largest cell over all scenarios, with one assumption at its low, assumed and high value.
std::array<Cell, 3> Sensitivity(const Row& row, const Target& target, const AssumptionField& field);

}  // namespace lynxgrade::capacity
