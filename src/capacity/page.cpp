#include "capacity/page.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iterator>
#include <limits>
#include <set>
#include <tuple>

namespace lynxgrade::capacity {
namespace {

constexpr double kMaxCurveGrowth = 8;        // times the target's poolers
constexpr double kRoundingTolerance = 1e-9;  // relative; smaller errors come from arithmetic, not measurement
constexpr double kMinShownChange = 0.01;     // relative change by an assumption from which a row is shown
// Distinct from each other and from the black line of the budget. Curves of `directory` are also thicker.
constexpr std::array kPlotColours = {"#1f77b4", "#ff7f0e", "#2ca02c", "#d62728", "#9467bd", "#8c564b",
                                     "#e377c2", "#7f7f7f", "#bcbd22", "#17becf", "#aec7e8", "#ffbb78",
                                     "#98df8a", "#ff9896", "#c5b0d5", "#c49c94"};
constexpr double kCurveStep = 1.25;  // ratio of one point to the previous; smooth on a logarithmic scale

std::string GroupThousands(const std::string& digits) {
  std::string text;
  for (std::size_t i = 0; i < digits.size(); ++i) {
    if (i > 0 && (digits.size() - i) % 3 == 0) text += ',';
    text += digits[i];
  }
  return text;
}

std::string FormatCell(const Cell& cell) {
  if (cell.provenance == Provenance::kNotMeasured) return "*not measured*";
  std::string text = cell.is_lower_bound ? "≥ " : "";
  text += FormatFigure(cell.value);
  if (cell.error > kRoundingTolerance * std::abs(cell.value)) text += " ± " + FormatFigure(cell.error);
  return text + (cell.provenance == Provenance::kMeasured ? " **m**" : " **w**");
}

std::string FormatTarget(const Target& target) {
  return FormatFigure(target.poolers) + " poolers, " + FormatFigure(target.databases) + " databases, " +
         FormatFigure(target.clients) + " clients, " + FormatFigure(target.statements_per_s) +
         " statements a second, " + FormatFigure(target.regions) + " regions with " +
         FormatFigure(target.zones) + " zones. For control a pooler may spend " +
         FormatFigure(target.cpu_percent) + " % of a core, " + FormatFigure(target.memory_mb) + " MB and " +
         FormatFigure(target.bytes_per_s) + " bytes a second; " + FormatFigure(target.control_machines) +
         " machines are set aside for it.";
}

struct RenderError {
  std::string message;
};

// Replaces each placeholder by its part; every part must be used exactly once.
std::variant<std::string, RenderError> FillTemplate(const std::string& page_template,
                                                    const std::map<std::string, std::string>& parts) {
  std::string text;
  std::set<std::string> used;
  std::size_t at = 0;
  for (;;) {
    const std::size_t open = page_template.find("{{", at);
    text += page_template.substr(at, open == std::string::npos ? open : open - at);
    if (open == std::string::npos) break;
    const std::size_t close = page_template.find("}}", open);
    if (close == std::string::npos)
      return RenderError{"unterminated placeholder: " + page_template.substr(open, 20)};
    const std::string name = page_template.substr(open + 2, close - open - 2);
    const auto part = parts.find(name);
    if (part == parts.end()) return RenderError{"'{{" + name + "}}' is not known"};
    if (!used.insert(name).second) return RenderError{"'{{" + name + "}}' occurs twice"};
    text += part->second.substr(0, part->second.find_last_not_of('\n') + 1);
    at = close + 2;
  }
  for (const auto& [name, part] : parts) {
    if (!used.contains(name)) return RenderError{"'{{" + name + "}}' is missing"};
  }
  return text;
}

const char* RoleName(Role role) {
  switch (role) {
    case Role::kPooler:
      return "pooler";
    case Role::kControlMachines:
      return "control machines";
    case Role::kDiscovery:
      return "discovery";
    case Role::kDatabase:
      return "database";
    case Role::kCommand:
      return "operator's command";
  }
  return "";
}

std::string FullName(const Row& row) {
  return std::string(RoleName(row.role)) + ", " + row.group + ": " + row.name;
}

std::string StripMarkup(std::string text) {
  std::erase_if(text, [](char c) { return c == '*' || c == '`' || c == '"'; });
  return text;
}

std::string Verdict(const Cell& cell, double budget) {
  if (cell.provenance == Provenance::kNotMeasured) return "open";
  if (cell.value > budget) return "**over**, " + FormatFigure(cell.value / budget) + " times";
  if (cell.is_lower_bound)
    return "open, " + FormatFigure(cell.value) + " at least of " + FormatFigure(budget);
  return "within, " + FormatFigure(std::floor(100 * (1 - cell.value / budget))) + " % left";
}

// The higher one of the ordinary and the worst ordinary second.
Cell HigherOrdinaryCell(const Row& row, const Target& target) {
  const Cell one = row.at(target, Scenario::kOrdinary), other = row.at(target, Scenario::kWorstOrdinary);
  if (other.provenance == Provenance::kNotMeasured ||
      (one.provenance != Provenance::kNotMeasured && one.value > other.value))
    return one;
  return other;
}

// "a + b x poolers + ...", each slope with its standard error and the constant first.
std::string FormatLinearForm(const std::vector<double>& slopes, const std::vector<double>& errors,
                             const std::vector<Term>& terms, double scale) {
  std::string text;
  for (std::size_t i = 0; i < slopes.size(); ++i) {
    const double value = slopes[i] * scale, error = errors[i] * scale;
    const std::string off =
        error > kRoundingTolerance * std::abs(value) ? " (± " + FormatFigure(error) + ")" : "";
    if (i == 0) {
      text = FormatFigure(value) + off;
    } else {
      text +=
          (value < 0 ? " - " : " + ") + FormatFigure(std::abs(value)) + off + " x " + TermName(terms[i - 1]);
    }
  }
  return text;
}

std::string FormatSlopes(const Row& row, const Slopes& slopes) {
  if (!slopes.fit()) return "none: " + slopes.fit_error();
  std::vector<Term> terms;
  for (const Slopes::Range& range : slopes.varied()) terms.push_back(range.term);
  return FormatLinearForm(slopes.fit()->slopes, slopes.fit()->errors, terms, row.scale);
}

std::string FormatRanges(const Slopes& slopes) {
  std::string text;
  for (const Slopes::Range& range : slopes.varied()) {
    text += (text.empty() ? "" : "; ") + std::string(TermName(range.term)) + " " + FormatFigure(range.min) +
            " to " + FormatFigure(range.max);
  }
  for (const Slopes::Range& range : slopes.constant()) {
    text += (text.empty() ? "" : "; ") + std::string(TermName(range.term)) + " " + FormatFigure(range.max) +
            " throughout";
  }
  for (const Slopes::Range& range : slopes.insignificant()) {
    text += (text.empty() ? "" : "; ") + std::string(TermName(range.term)) + " " + FormatFigure(range.min) +
            " to " + FormatFigure(range.max) + ", which show no slope";
  }
  return text.empty() ? "-" : text;
}

// How far the target in the worst ordinary second is beyond the range of the records.
std::string FormatExtrapolation(const Row& row, const Slopes& slopes, const Target& target) {
  if (!slopes.fit()) return "-";
  const FleetSize size =
      row.size ? row.size(target, Scenario::kWorstOrdinary) : SizeAt(target, Scenario::kWorstOrdinary);
  std::string text;
  for (const auto& ranges : {slopes.varied(), slopes.constant(), slopes.insignificant()}) {
    for (const Slopes::Range& range : ranges) {
      const double value = TermValue(range.term, size);
      if (value <= range.max * 1.05) continue;
      text += (text.empty() ? "" : "; ") + std::string(TermName(range.term)) + " " +
              (range.max > 0 ? FormatFigure(value / range.max) + " times" : "never played");
    }
  }
  return text.empty() ? "within" : text;
}

std::string RoleTables(const Target& target, const Model& model, Role role) {
  std::string loads =
      "| part | what | ordinary second | worst ordinary second | zone gone | regions cut | budget or limit | "
      "verdict on the first two | carried by |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  std::string slopes;
  std::string added, sums;
  std::vector<Row> rows;
  for (const char* group : {"state", "messages", "processor", "memory", "descriptors"}) {
    std::copy_if(model.rows().begin(), model.rows().end(), std::back_inserter(rows),
                 [&](const Row& row) { return row.role == role && row.group == group; });
  }
  for (const Row& row : rows) {
    loads += "| " + row.group + " | " + row.name;
    for (const Scenario scenario : kScenarios) loads += " | " + FormatCell(row.at(target, scenario));
    const bool bounded = static_cast<bool>(row.budget);
    loads += " | " + (bounded ? FormatFigure(row.budget(target)) : "-") + " | " +
             (bounded ? Verdict(HigherOrdinaryCell(row, target), row.budget(target)) : "-") + " | " +
             row.mechanism + " |\n";
    if (row.slopes) {
      slopes += "| " + row.name + " | " + FormatSlopes(row, *row.slopes) + " | " +
                (row.slopes->fit() ? FormatFigure(row.slopes->fit()->residual * row.scale) : "-") + " | " +
                FormatRanges(*row.slopes) + " | " + FormatExtrapolation(row, *row.slopes, target) + " |\n";
    }
    const auto tell = [&](const char* when, const std::optional<EventSurplus>& of) {
      if (!of || of->records() == 0) return;
      std::string text = "the largest of all, " + FormatFigure(of->largest() * row.scale);
      if (of->fit())
        text = FormatLinearForm(of->fit()->slopes, of->fit()->errors, {Term::kPoolers}, row.scale);
      added += "| " + row.name + " | " + when + " | " + text + " | " + std::to_string(of->records()) +
               " | poolers up to " + FormatFigure(of->max_poolers()) + " |\n";
    };
    tell("worst ordinary second", row.events);
    tell("zone gone", row.zone);
    tell("regions cut", row.regions);
    if (!row.note.empty()) sums += "- " + row.name + ": " + row.note + ".\n";
  }
  std::string text = loads;
  if (!slopes.empty()) {
    text +=
        "\nSlopes, each with its standard error:\n\n| what | slope | scatter left | records' range | the "
        "worst "
        "ordinary second lies beyond it by |\n| --- | --- | --- | --- | --- |\n" +
        slopes;
  }
  if (!added.empty()) {
    text +=
        "\nWhat events add in their worst second:\n\n| what | column | added | records | range |\n"
        "| --- | --- | --- | --- | --- |\n" +
        added;
  }
  if (!sums.empty()) text += "\nArithmetic:\n\n" + sums;
  return text;
}

std::string LoadTable(const Target& target) {
  std::string text =
      "| | ordinary second | worst ordinary second | zone gone | regions cut |\n"
      "| --- | --- | --- | --- | --- |\n";
  const auto line = [&](const char* name, auto value) {
    text += std::string("| ") + name;
    for (const Scenario scenario : kScenarios) text += " | " + FormatFigure(value(SizeAt(target, scenario)));
    text += " |\n";
  };
  line("poolers in reach", [](const FleetSize& size) { return size.poolers; });
  line("databases in reach", [](const FleetSize& size) { return size.databases; });
  line("clients", [](const FleetSize& size) { return size.clients; });
  line("clients of one pooler", [](const FleetSize& size) { return TermValue(Term::kClients, size); });
  line("statements a second", [](const FleetSize& size) { return size.statements_per_s; });
  line("statements a second of one pooler",
       [](const FleetSize& size) { return TermValue(Term::kStatements, size); });
  line("writes a second", [](const FleetSize& size) { return TermValue(Term::kFleetWrites, size); });
  line("writes a second of one pooler", [](const FleetSize& size) { return TermValue(Term::kWrites, size); });
  line("session statements (writes and own-reads) a second of one pooler",
       [](const FleetSize& size) { return TermValue(Term::kSessionStatements, size); });
  line("first meets of a session and a pooler a second of one pooler",
       [](const FleetSize& size) { return TermValue(Term::kFirstContacts, size); });
  line("roaming statements a second of one pooler",
       [](const FleetSize& size) { return TermValue(Term::kRoamingStatements, size); });
  line("changes of the list a second", [](const FleetSize& size) { return size.changes_per_s; });
  return text;
}

std::string FormatFirstSizeOverBudget(const std::optional<double>& at, const Target& target) {
  if (!at) return "*not measured*";
  if (*at == 0) return "not up to " + FormatFigure(ScaledTo(target, target.poolers * 8).poolers);
  if (*at <= 2) return "any size";
  return FormatFigure(*at);
}

// The smallest number of poolers at which the row exceeds its budget in the ordinary or worst ordinary
// second.
double FirstOrdinarySizeOverBudget(const Row& row, const Target& target) {
  double first = INFINITY;
  for (const Scenario scenario : {Scenario::kOrdinary, Scenario::kWorstOrdinary}) {
    const auto at = FirstSizeOverBudget(row, target, scenario);
    if (at && *at > 0) first = std::min(first, *at);
  }
  return first;
}

std::string FailureTable(const Target& target, const Model& model) {
  struct Line {
    bool any_size;  // exceeds its budget by an assumption, at any number of poolers
    bool open;      // a part of it is not measured
    double first;
    std::string text;
  };
  std::vector<Line> lines;
  std::string open;
  for (const Row& row : model.rows()) {
    if (!row.budget || row.comparison_only) continue;
    std::array<std::optional<double>, 4> at;
    for (std::size_t i = 0; i < kScenarios.size(); ++i)
      at[i] = FirstSizeOverBudget(row, target, kScenarios[i]);
    if (!at[0] && !at[1]) {
      open += "- " + FullName(row) +
              (row.slopes && !row.slopes->fit() ? ": " + row.slopes->fit_error() : "") + "\n";
      continue;
    }
    std::string text = " | " + FullName(row);
    for (const auto& one : at) text += " | " + FormatFirstSizeOverBudget(one, target);
    text += " | " + row.mechanism + " | " + row.issue + " |\n";
    const double first = FirstOrdinarySizeOverBudget(row, target);
    const double at_two = row.at(ScaledTo(target, 2), Scenario::kOrdinary).value;
    const double at_target = row.at(target, Scenario::kOrdinary).value;
    const bool any_size =
        first <= 2 && std::abs(at_two - at_target) <= kRoundingTolerance * std::abs(at_target);
    lines.push_back({any_size, HigherOrdinaryCell(row, target).is_lower_bound, first, text});
  }
  std::stable_sort(lines.begin(), lines.end(), [](const Line& a, const Line& b) {
    const double last =
        std::numeric_limits<double>::max();  // after rows that fail by size, before those that hold
    return (a.any_size ? last : a.first) < (b.any_size ? last : b.first);
  });
  std::string text =
      "| at the target | what | ordinary second | worst ordinary second | zone gone | regions cut | "
      "carried by | issue |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const Line& line : lines)
    text += (line.any_size                  ? "| **fails** by an assumption"
             : line.first <= target.poolers ? "| **fails**"
             : line.open                    ? "| open: a part is not measured"
                                            : "| holds") +
            line.text;
  if (!open.empty())
    text += "\nBudgeted, but not measured, so their place in this order is not known:\n\n" + open;
  return text;
}

std::string AssumptionTable(const Target& target) {
  std::string text =
      "| assumed | unit | low | assumed | high | why |\n| --- | --- | --- | --- | --- | --- |\n";
  for (const AssumptionField& field : AssumptionFields()) {
    const Assumption& all = target.*field.value;
    text += std::string("| ") + field.key + " | " + field.unit + " | " + FormatFigure(all.low) + " | " +
            FormatFigure(all.assumed) + " | " + FormatFigure(all.high) + " | " + all.why + " |\n";
  }
  return text;
}

std::string SensitivityTable(const Target& target, const Model& model) {
  std::string text =
      "| assumed | row | low | assumed | high | budget or limit |\n| --- | --- | --- | --- | --- | --- |\n";
  for (const AssumptionField& field : AssumptionFields()) {
    const Assumption& all = target.*field.value;
    Target low = target, high = target;
    (low.*field.value).assumed = all.low;
    (high.*field.value).assumed = all.high;
    std::string bounded, others;
    for (const Row& row : model.rows()) {
      const auto cells = Sensitivity(row, target, field);
      if (cells[1].provenance == Provenance::kNotMeasured) continue;
      const bool budget_moves = row.budget && row.budget(low) != row.budget(high);
      const double span = std::abs(cells[2].value - cells[0].value);
      if (!budget_moves && span <= kMinShownChange * std::abs(cells[1].value)) continue;
      std::string line = std::string("| ") + field.key + " | " + FullName(row);
      for (const Cell& cell : cells) {
        line += " | " + std::string(cell.is_lower_bound ? "≥ " : "") + FormatFigure(cell.value);
      }
      std::string budget = row.budget ? FormatFigure(row.budget(target)) : "-";
      if (budget_moves)
        budget = FormatFigure(row.budget(low)) + ", " + budget + ", " + FormatFigure(row.budget(high));
      (row.budget ? bounded : others) += line + " | " + budget + " |\n";
    }
    if (bounded.empty() && others.empty()) {
      others = std::string("| ") + field.key + " | none that is measured | - | - | - | - |\n";
    }
    text += bounded.empty() ? others : bounded;
  }
  return text;
}

std::string RunsTable(const Model& model) {
  struct RunSummary {
    std::size_t records = 0;
    std::array<double, 2> poolers{INFINITY, 0}, databases{INFINITY, 0}, statements{INFINITY, 0};
    double seconds = 0;
    std::set<std::string> commits;
  };
  std::map<std::pair<std::string, std::string>, RunSummary> all;
  const auto widen = [](std::array<double, 2>& range, double value) {
    range = {std::min(range[0], value), std::max(range[1], value)};
  };
  for (const Record& record : model.records()) {
    RunSummary& summary = all[{record.script, record.marks}];
    ++summary.records;
    widen(summary.poolers, record.size.poolers);
    widen(summary.databases, record.size.databases);
    widen(summary.statements, record.size.statements_per_s);
    summary.seconds += record.seconds;
    summary.commits.insert(record.commit.substr(0, 10));
  }
  if (all.empty()) return "Nothing yet.\n";
  std::string text =
      "| script | marks | records | poolers | databases | statements a second | seconds | commits |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
  const auto format_range = [](const std::array<double, 2>& range) {
    return range[0] == range[1] ? FormatFigure(range[0])
                                : FormatFigure(range[0]) + " to " + FormatFigure(range[1]);
  };
  for (const auto& [key, summary] : all) {
    std::string commits;
    for (const std::string& commit : summary.commits) commits += (commits.empty() ? "" : ", ") + commit;
    text += "| " + key.first + " | " + (key.second.empty() ? "-" : key.second) + " | " +
            std::to_string(summary.records) + " | " + format_range(summary.poolers) + " | " +
            format_range(summary.databases) + " | " + format_range(summary.statements) + " | " +
            FormatFigure(summary.seconds) + " | " + commits + " |\n";
  }
  return text;
}

// Compares simulated ("hollow") poolers with real ones in the runs that had both.
std::string HollowComparisonTable(const Model& model) {
  std::string text;
  for (const Record& record : model.records()) {
    const auto bytes = record.figures.find("hollow_vs_real_bytes_ratio");
    const auto cpu = record.figures.find("hollow_vs_real_cpu_ratio");
    if (bytes == record.figures.end()) continue;
    // Real poolers that serve clients use CPU time for them, so these runs compare only bytes.
    const bool has_cpu = cpu != record.figures.end();
    const auto is_within_tolerance = [](double ratio) { return ratio >= 0.8 && ratio <= 1.25; };
    const bool holds = is_within_tolerance(bytes->second) && (!has_cpu || is_within_tolerance(cpu->second));
    text += "| " + record.script + " | " + record.marks + " | " + FormatFigure(record.size.poolers) + " | " +
            FormatFigure(record.real_poolers) + " | " + FormatFigure(record.seed) + " | " +
            FormatFigure(bytes->second) + " | " + (has_cpu ? FormatFigure(cpu->second) : "-") + " | " +
            (!holds    ? "**no**"
             : has_cpu ? "yes"
                       : "yes, bytes alone") +
            " |\n";
  }
  if (text.empty()) return "No run had both yet.\n";
  return "| script | marks | poolers | of them real | seed | bytes, hollow to real | processor time, hollow "
         "to real | "
         "within 0.8 to 1.25 |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n" +
         text;
}

// What runs measured of the guarantees and their cost: the worst of all records of each script and size.
std::string GuaranteeTable(const Model& model) {
  struct FigureColumn {
    const char* figure;
    const char* name;
    bool shows_minimum;
  };
  static constexpr std::array<FigureColumn, 9> kFigureColumns = {{
      {"stale", "stale reads", false},
      {"refused", "refused", false},
      {"turned_away", "own-reads turned away", false},
      {"conservative_share", "own-reads on the conservative target, part", false},
      {"crashed", "crashed", false},
      {"stalls", "loops that stood still", false},
      {"in_reach_least", "poolers in reach, least", true},
      {"configuration_in_force_s", "discovery's new address in force, s", false},
      {"control_bytes_per_s", "control, bytes a second", false},
  }};
  struct WorstFigures {
    std::map<std::string, double> figures;
    double statements = 0;  // session statements of one pooler, maximum
  };
  // Keys: script, marks, generation, poolers, dedicated lease managers, and the budget of bytes set.
  std::map<std::tuple<std::string, std::string, double, double, double, double>, WorstFigures> all;
  for (const Record& record : model.records()) {
    for (const FigureColumn& column : kFigureColumns) {
      const auto figure = record.figures.find(column.figure);
      if (figure == record.figures.end()) continue;
      const FleetSize& size = record.size;
      auto& row = all[{record.script, record.marks, record.generation, size.poolers, size.lease_managers,
                       record.bytes_budget}];
      row.statements = std::max(row.statements, TermValue(Term::kSessionStatements, size));
      const auto [entry, inserted] = row.figures.emplace(column.figure, figure->second);
      if (!inserted) {
        entry->second = column.shows_minimum ? std::min(entry->second, figure->second)
                                             : std::max(entry->second, figure->second);
      }
    }
  }
  if (all.empty()) return "Nothing yet.\n";
  std::string head =
      "| script | marks | generation | poolers | owners set aside | budget of bytes set | session statements "
      "of one, "
      "a second";
  std::string rule = "| --- | --- | --- | --- | --- | --- | ---", text;
  for (const FigureColumn& column : kFigureColumns) {
    head += std::string(" | ") + column.name;
    rule += " | ---";
  }
  for (const auto& [key, worst] : all) {
    const auto& [script, marks, generation, poolers, lease_managers, budget] = key;
    text += "| " + script + " | " + marks + " | " + FormatFigure(generation) + " | " + FormatFigure(poolers) +
            " | " + FormatFigure(lease_managers) + " | " + (budget > 0 ? FormatFigure(budget) : "-") + " | " +
            FormatFigure(worst.statements);
    for (const FigureColumn& column : kFigureColumns) {
      const auto figure = worst.figures.find(column.figure);
      text += " | " + (figure == worst.figures.end() ? std::string("-") : FormatFigure(figure->second));
    }
    text += " |\n";
  }
  return head + " |\n" + rule + " |\n" + text;
}

std::string Summary(const Target& target, const Model& model) {
  std::string over, open, within, comparison_only, superseded;
  for (const Row& row : model.rows()) {
    if (!row.budget) continue;
    const Cell cell = HigherOrdinaryCell(row, target);
    std::string line = "- " + FullName(row) + ": " + Verdict(cell, row.budget(target));
    const double first = FirstOrdinarySizeOverBudget(row, target);
    if (first > 2 && first <= target.poolers) line += ", from " + FormatFigure(first) + " poolers on";
    line += "\n";
    if (row.comparison_only) {
      if (cell.provenance != Provenance::kNotMeasured)
        (row.superseded ? superseded : comparison_only) += line;
    } else if (cell.provenance != Provenance::kNotMeasured && cell.value > row.budget(target)) {
      over += line;
    } else if (cell.provenance == Provenance::kNotMeasured || cell.is_lower_bound) {
      open += line;
    } else {
      within += line;
    }
  }
  const auto part = [](const char* head, const std::string& lines) {
    return lines.empty() ? std::string() : std::string(head) + "\n\n" + lines + "\n";
  };
  return part("Over a budget or a limit at the target, in the ordinary or the worst ordinary second:", over) +
         part("Not decided, as something is not measured:", open) + part("Within:", within) +
         part(
             "For comparison, poolers that exchange no marks; no way of exchanging them costs less than "
             "this:",
             comparison_only) +
         part("For comparison, by records of before poolers said something else to each other:", superseded);
}

}  // namespace

std::string FormatFigure(double value) {
  if (value < 0) return "-" + FormatFigure(-value);
  if (!std::isfinite(value)) return "beyond all bounds";
  if (value == 0) return "0";
  const int digits = static_cast<int>(std::floor(std::log10(value))) + 1;
  if (digits >= 4) {
    const double unit = std::pow(10, digits - 4);
    char text[64];
    std::snprintf(text, sizeof text, "%.0f", std::round(value / unit) * unit);
    return GroupThousands(text);
  }
  char text[64];
  std::snprintf(text, sizeof text, value >= 0.001 ? "%.3g" : "%.2g", value);
  return text;
}

std::variant<Page, std::string> RenderPage(const Target& target, const Model& model,
                                           const std::string& page_template, const PagePaths& paths) {
  Page page;
  const std::map<std::string, std::string> parts = {
      {"target file", paths.target},
      {"target", FormatTarget(target)},
      {"short", Summary(target, model)},
      {"day", "A day has " + FormatFigure(target.machine_failures_per_day) + " machines that fail, " +
                  FormatFigure(target.restarts_per_day) + " restarts or replacements, " +
                  FormatFigure(target.configuration_changes_per_day) + " changes of configuration and " +
                  FormatFigure(target.primary_changes_per_day) + " of primary."},
      {"cut", FormatFigure(target.region_cut_s)},
      {"loads", LoadTable(target)},
      {"pooler", RoleTables(target, model, Role::kPooler)},
      {"control machines", RoleTables(target, model, Role::kControlMachines)},
      {"discovery", RoleTables(target, model, Role::kDiscovery)},
      {"database", RoleTables(target, model, Role::kDatabase)},
      {"command", RoleTables(target, model, Role::kCommand)},
      {"failures", FailureTable(target, model)},
      {"plot", "![parts of their budgets over the number of poolers](" + paths.plot_link + "/curves.svg)"},
      {"assumptions", AssumptionTable(target)},
      {"sensitivities", SensitivityTable(target, model)},
      {"played", RunsTable(model)},
      {"proof", HollowComparisonTable(model)},
      {"shown", GuaranteeTable(model)},
  };
  auto text = FillTemplate(page_template, parts);
  if (auto* wrong = std::get_if<RenderError>(&text)) return std::move(wrong->message);
  page.text = std::get<std::string>(std::move(text));

  page.data =
      "# written by lynxgrade-testbed capacity; blocks in the order of curves.gp\n"
      "# poolers, then parts of the budget: ordinary second, worst ordinary second\n";
  const std::string target_at = std::to_string(std::lround(target.poolers));
  const double max_poolers = target.poolers * kMaxCurveGrowth;
  page.plot = "# gnuplot " + paths.plot +
              "/curves.gp, from the project's root; written by lynxgrade-testbed capacity.\n" +
              "set terminal svg size 1000,900 font \"sans,11\" background \"white\" noenhanced\n" +
              "set output \"" + paths.plot + "/curves.svg\"\n" + "set logscale xy\n" +
              "set xlabel \"poolers; databases, clients and statements grow in step\"\n" +
              "set ylabel \"parts of the budget, worst ordinary second\"\n" +
              "set key outside bottom center\n" + "set grid\n" +
              "set xrange [5:" + std::to_string(std::lround(max_poolers)) + "]\n" +
              "set yrange [0.001:1000]\n" + "set arrow from " + target_at + ",0.001 to " + target_at +
              ",1000 nohead dashtype 3\n" +
              "plot 1 with lines linewidth 2 linecolor \"black\" title \"the budget; dotted: the target\"";
  int block = 0;
  for (const Row& row : model.rows()) {
    if (!row.budget || row.comparison_only) continue;
    if (row.at(target, Scenario::kWorstOrdinary).provenance == Provenance::kNotMeasured) continue;
    if (block > 0) page.data += "\n\n";
    page.data += "# " + StripMarkup(row.name) + "\n";
    for (double poolers = 5; poolers < max_poolers * kCurveStep; poolers *= kCurveStep) {
      const Target scaled = ScaledTo(target, std::round(std::min(poolers, max_poolers)));
      char line[96];
      std::snprintf(line, sizeof line, "%.0f %.4g %.4g\n", scaled.poolers,
                    row.at(scaled, Scenario::kOrdinary).value / row.budget(scaled),
                    row.at(scaled, Scenario::kWorstOrdinary).value / row.budget(scaled));
      page.data += line;
    }
    page.plot += ", \\\n  \"" + paths.plot + "/curves.dat\" index " + std::to_string(block) +
                 " using 1:3 with lines linecolor \"" +
                 kPlotColours[static_cast<std::size_t>(block) % kPlotColours.size()] + "\" linewidth " +
                 (row.name.find("directory") != std::string::npos ? "3" : "1") + " title \"" +
                 StripMarkup(row.name) + "\"";
    ++block;
  }
  page.plot += "\n";
  return page;
}

}  // namespace lynxgrade::capacity
