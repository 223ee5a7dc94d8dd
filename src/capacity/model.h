// What each part of the fleet carries at a size: rows with four columns of load, from slopes of measurements,
// from arithmetic on them, or not at all. Where a budget is left, and what each assumption does to it. Owns
// no files and no clock: a target and records in, figures out.
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
enum class Column { kOrdinary, kWorstOrdinary, kZoneGone, kRegionsCut };
inline constexpr std::array kColumns = {Column::kOrdinary, Column::kWorstOrdinary, Column::kZoneGone,
                                        Column::kRegionsCut};

// Measured: by a fit whose range holds the size. Worked out: by a fit beyond its range, or by arithmetic.
enum class How { kMeasured, kWorkedOut, kNotMeasured };
struct Cell {
  How how = How::kNotMeasured;
  double value = 0;
  double error = 0;       // one standard error; zero where there is none to tell
  bool at_least = false;  // a part of it is not measured
};

// What a slope is taken over. "Own" is of one pooler, the mean; the others are of the fleet.
enum class Term {
  kOne,
  kPoolers,
  kDatabases,
  kClients,
  kStatements,
  kWrites,
  kFleetWrites,
  kSessionStatements,  // writes and own-reads: only these need marks
  kFirstMeets,         // of a session and a pooler
  kRoaming,
  kDirectoryMessages,  // of first meets and roaming statements, where sessions have owners
  kOwnerMessages,      // the same at one of the machines that own them
  kPackets,
  kReignsTold,
  kChanges
};
const char* NameOf(Term term);
double ValueOf(Term term, const Size& size);

// A figure's slopes over the records that hold it.
class Slopes {
 public:
  struct Range {
    Term term;
    double least = 0, most = 0;
  };
  // `terms`: what the mechanism says the figure depends on. One that no record varies is left out, and said.
  Slopes(const std::vector<Term>& terms, const std::string& figure,
         const std::vector<const Record*>& records);

  Cell At(const Size& size) const;
  const std::vector<Range>& varied() const { return varied_; }      // without the constant
  const std::vector<Range>& unvaried() const { return unvaried_; }  // least and most are equal
  // Varied, but with a slope that is not twice its error: it is left out rather than carried beyond its
  // range.
  const std::vector<Range>& untold() const { return untold_; }
  const std::optional<Fit>& fit() const { return fit_; }   // the constant first
  const std::string& refused() const { return refused_; }  // why there is none
  std::optional<double> SlopeOf(Term term) const;

 private:
  std::vector<double> Point(const Size& size) const;

  std::vector<Range> varied_, unvaried_, untold_;
  std::optional<Fit> fit_;
  std::string refused_;
};

// What runs with events show above the slopes of quiet and loaded ones, over the number of poolers.
class Surplus {
 public:
  // `scripts`: those that count, by the beginning of their names. The figure's peak where a run tells one.
  Surplus(const Slopes& slopes, const std::string& figure, const std::vector<const Record*>& records,
          const std::vector<std::string>& scripts);

  // Not measured where no run tells it; at least, where so many poolers were never played.
  Cell At(double poolers) const;
  std::size_t records() const { return records_; }
  const std::optional<Fit>& fit() const { return fit_; }  // the constant, and one pooler's part
  double most_poolers() const { return most_poolers_; }
  double largest() const { return largest_; }

 private:
  std::size_t records_ = 0;
  std::optional<Fit> fit_;
  double largest_ = 0, least_poolers_ = 0, most_poolers_ = 0;
};

struct Row {
  Role role = Role::kPooler;
  std::string group;      // state, messages, ...
  std::string name;       // with its unit
  std::string mechanism;  // the folder that carries it, or "none"
  std::string note;       // the arithmetic, or what the figure leaves out
  std::string issue;      // that would carry it, where it leaves its budget
  std::function<Cell(const Target&, Column)> at;
  std::function<Size(const Target&, Column)> size;  // at which its slopes are used; none: SizeIn
  std::function<double(const Target&)> budget;      // none: nothing bounds it
  std::optional<Slopes> slopes;
  // What events add in their worst second to what the slopes say: in the worst ordinary second, with a zone
  // gone, with regions cut.
  std::optional<Surplus> events, zone, regions;
  bool aside = false;   // played for comparison alone: no part of what is held against the budgets
  bool former = false;  // of those: as it was before poolers said something else to each other
  double scale = 1;     // from the figure's unit to the row's
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

// The fleet's size in a column of load.
Size SizeIn(const Target& target, Column column);
// The target with so many poolers, all that it counts grown in step; times, shares and budgets as they are.
Target Grown(const Target& target, double poolers);

// The least number of poolers at which the row is over its budget in this column, the fleet grown in step;
// zero where it is not up to eight times the target. None where nothing is measured or nothing bounds it.
std::optional<double> LeavesAt(const Row& row, const Target& target, Column column);

// The row's largest cell over the four columns with one assumption low, as assumed and high.
std::array<Cell, 3> Sensitivity(const Row& row, const Target& target, const AssumptionField& field);

}  // namespace lynxgrade::capacity
