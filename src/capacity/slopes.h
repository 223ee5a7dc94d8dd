// Slopes fitted to measurements: how a figure grows with the size and load of the fleet, and what events add
// to it. Free of I/O and clocks.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "capacity/fit.h"
#include "capacity/measurements.h"

namespace lynxgrade::capacity {

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
  kSessionStatements,  // writes and session reads: only these need watermarks
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

}  // namespace lynxgrade::capacity
