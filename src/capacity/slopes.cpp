#include "capacity/slopes.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "capacity/as_it_stands.h"

namespace lynxgrade::capacity {
namespace {

// Relative tolerance of a fit's range: runs reach the requested rates within 5 %.
constexpr double kRangeTolerance = 0.05;
// With changes in fewer than one second of 100, an ordinary second has none.
constexpr double kNegligibleChangesPerS = 0.01;
// A slope below two standard errors cannot be distinguished from zero.
constexpr double kMinSlopeToErrorRatio = 2;

}  // namespace

const char* TermName(Term term) {
  switch (term) {
    case Term::kConstant:
      return "1";
    case Term::kPoolers:
      return "poolers";
    case Term::kDatabases:
      return "databases";
    case Term::kClients:
      return "own clients";
    case Term::kStatements:
      return "own statements";
    case Term::kWrites:
      return "own writes";
    case Term::kFleetWrites:
      return "poolers x own writes";
    case Term::kSessionStatements:
      return "own session statements";
    case Term::kFirstContacts:
      return "own first meets";
    case Term::kRoamingStatements:
      return "own roaming statements";
    case Term::kLeaseMessages:
      return "own messages of sessions";
    case Term::kManagerMessages:
      return "messages of sessions at one machine";
    case Term::kPackets:
      return "own packets";
    case Term::kTimelineReports:
      return "reigns told";
    case Term::kListChanges:
      return "changes";
  }
  return "";
}

double TermValue(Term term, const FleetSize& size) {
  const double own = size.poolers > 0 ? 1 / size.poolers : 0;
  switch (term) {
    case Term::kConstant:
      return 1;
    case Term::kPoolers:
      return size.poolers;
    case Term::kDatabases:
      return size.databases;
    case Term::kClients:
      return size.clients * own;
    case Term::kStatements:
      return size.statements_per_s * own;
    case Term::kWrites:
      return size.statements_per_s * size.writes_share * own;
    case Term::kFleetWrites:
      return size.statements_per_s * size.writes_share;
    case Term::kSessionStatements:
      return size.statements_per_s * (size.writes_share + size.own_reads_share) * own;
    case Term::kFirstContacts:
      return size.session_statements > 0 ? TermValue(Term::kSessionStatements, size) / size.session_statements
                                         : 0;
    case Term::kRoamingStatements:
      return TermValue(Term::kSessionStatements, size) * size.roaming_share;
    case Term::kLeaseMessages:
      return kMessagesPerLeaseAcquire * TermValue(Term::kFirstContacts, size) +
             kMessagesPerLeaseTransfer * TermValue(Term::kRoamingStatements, size);
    case Term::kManagerMessages:
      return size.lease_managers > 0
                 ? TermValue(Term::kLeaseMessages, size) * size.poolers / size.lease_managers
                 : 0;
    case Term::kPackets:
      return size.packets_per_s;
    case Term::kTimelineReports:
      // The timelines of all groups to all peers, limited by the room in packets.
      return std::min((size.poolers - 1) * size.groups / (kTimelineRoundIntervalMs / 1000),
                      kTimelinesPerPacket * size.packets_per_s);
    case Term::kListChanges:
      return size.changes_per_s;
  }
  return 0;
}

namespace {

bool IsConstant(const std::vector<const Record*>& with_figure, const std::string& figure) {
  const double first = with_figure[0]->figures.at(figure);
  return std::all_of(with_figure.begin(), with_figure.end(),
                     [&](const Record* record) { return record->figures.at(figure) == first; });
}

}  // namespace

Slopes::Slopes(const std::vector<Term>& terms, const std::string& figure,
               const std::vector<const Record*>& records) {
  std::vector<const Record*> with_figure;
  for (const Record* record : records) {
    if (record->figures.contains(figure)) with_figure.push_back(record);
  }
  if (with_figure.empty()) {
    fit_error_ = "no record tells `" + figure + "`";
    return;
  }
  for (const Term term : terms) {
    if (term == Term::kConstant) continue;
    Range range{term, TermValue(term, with_figure[0]->size), TermValue(term, with_figure[0]->size)};
    for (const Record* record : with_figure) {
      range.min = std::min(range.min, TermValue(term, record->size));
      range.max = std::max(range.max, TermValue(term, record->size));
    }
    (range.min == range.max ? constant_ : varied_).push_back(range);
  }
  while (true) {
    std::vector<std::string> names = {"the constant"};
    for (const Range& range : varied_) names.push_back(TermName(range.term));
    std::vector<Sample> samples;
    for (const Record* record : with_figure)
      samples.push_back({Point(record->size), record->figures.at(figure)});
    auto fit = LeastSquares(names, samples);
    if (auto* wrong = std::get_if<std::string>(&fit)) {
      fit_error_ = std::move(*wrong);
      return;
    }
    fit_ = std::get<Fit>(std::move(fit));
    // A figure that is the same in all records is known to have zero slopes.
    if (IsConstant(with_figure, figure)) {
      std::fill(fit_->slopes.begin() + 1, fit_->slopes.end(), 0);
      std::fill(fit_->errors.begin(), fit_->errors.end(), 0);
      for (auto& line : fit_->covariance) std::fill(line.begin(), line.end(), 0);
      fit_->slopes[0] = with_figure[0]->figures.at(figure);
      fit_->residual = 0;
      return;
    }
    // Drops the slope with the lowest ratio to its error. Negative slopes go first: nothing in the program
    // gets cheaper with more load, so they only compensate for another slope that was estimated too high.
    std::size_t weakest = 0;
    double ratio = kMinSlopeToErrorRatio;
    for (std::size_t i = 0; i < varied_.size(); ++i) {
      const double slope = fit_->slopes[i + 1], error = fit_->errors[i + 1];
      if (slope >= ratio * error) continue;
      ratio = slope / error;
      weakest = i + 1;
    }
    if (weakest == 0) return;
    insignificant_.push_back(varied_[weakest - 1]);
    varied_.erase(varied_.begin() + static_cast<std::ptrdiff_t>(weakest - 1));
  }
}

std::vector<double> Slopes::Point(const FleetSize& size) const {
  std::vector<double> point = {1};
  for (const Range& range : varied_) point.push_back(TermValue(range.term, size));
  return point;
}

Cell Slopes::At(const FleetSize& size) const {
  if (!fit_) return {};
  const std::vector<double> point = Point(size);
  Cell cell{Provenance::kMeasured, fit_->At(point), fit_->ErrorAt(point), false};
  // No figure can be negative: the fit was extrapolated too far.
  if (cell.value < 0) return {};
  for (const std::vector<Range>& ranges : {varied_, constant_, insignificant_}) {
    for (const Range& range : ranges) {
      const double value = TermValue(range.term, size);
      if (range.term == Term::kListChanges && value < kNegligibleChangesPerS && range.min == 0) continue;
      if (value > range.max * (1 + kRangeTolerance) || value < range.min * (1 - kRangeTolerance))
        cell.provenance = Provenance::kComputed;
    }
  }
  for (const std::vector<Range>& ranges : {constant_, insignificant_}) {
    for (const Range& range : ranges) {
      if (range.term == Term::kListChanges && TermValue(range.term, size) < kNegligibleChangesPerS) continue;
      if (TermValue(range.term, size) > range.max * (1 + kRangeTolerance)) cell.is_lower_bound = true;
    }
  }
  return cell;
}

std::optional<double> Slopes::SlopeOf(Term term) const {
  if (!fit_) return std::nullopt;
  for (std::size_t i = 0; i < varied_.size(); ++i) {
    if (varied_[i].term == term) return fit_->slopes[i + 1];
  }
  return std::nullopt;
}

EventSurplus::EventSurplus(const Slopes& slopes, const std::string& figure,
                           const std::vector<const Record*>& records,
                           const std::vector<std::string>& scripts) {
  // The peak of the figure, or of the sum that includes it.
  const std::string peak = figure == "cpu_share" ? "control_cpu_share_peak" : figure + "_peak";
  std::vector<Sample> samples;
  for (const Record* record : records) {
    if (!HasScript(*record, scripts) || !slopes.fit()) continue;
    auto found = record->figures.find(peak);
    if (found == record->figures.end()) found = record->figures.find(figure);
    if (found == record->figures.end()) continue;
    const double poolers = record->size.poolers;
    samples.push_back({{1, poolers}, std::max(0.0, found->second - slopes.At(record->size).value)});
    largest_ = std::max(largest_, samples.back().y);
    min_poolers_ = samples.size() == 1 ? poolers : std::min(min_poolers_, poolers);
    max_poolers_ = std::max(max_poolers_, poolers);
  }
  records_ = samples.size();
  auto fit = LeastSquares({"the constant", TermName(Term::kPoolers)}, samples);
  if (auto* found = std::get_if<Fit>(&fit)) fit_ = std::move(*found);
}

Cell EventSurplus::At(double poolers) const {
  // Without a fit nothing is known of fleets smaller than those of the runs.
  if (records_ == 0 || (!fit_ && poolers < min_poolers_ * (1 - kRangeTolerance))) return {};
  Cell cell{Provenance::kComputed, largest_, 0, poolers > max_poolers_ * (1 + kRangeTolerance)};
  if (fit_) {
    cell.value = std::max(0.0, fit_->At({1, poolers}));
    cell.error = fit_->ErrorAt({1, poolers});
  }
  return cell;
}

}  // namespace lynxgrade::capacity
