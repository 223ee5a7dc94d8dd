#include "capacity/measurements.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

#include "capacity/as_it_stands.h"

namespace lynxgrade::capacity {
namespace {

using Json = nlohmann::json;

// Where fewer own-reads than this took the conservative target, no cap on asks and no budget of bytes bound:
// starts and losses make a few of them in any run.
constexpr double kHardlyAnyHeldBack = 0.01;

[[noreturn]] void Wrong(std::size_t at, const std::string& what) {
  throw std::runtime_error("record " + std::to_string(at + 1) + ": " + what);
}

double NumberIn(const Json& run, std::size_t at, const char* key, double least, double most,
                std::optional<double> unless_told = std::nullopt) {
  const std::string named = std::string("'run.") + key + "'";
  if (!run.contains(key) && unless_told) return *unless_told;
  if (!run.contains(key)) Wrong(at, named + " is missing");
  if (!run[key].is_number()) Wrong(at, named + " is not a number");
  const double value = run[key].get<double>();
  if (!(value >= least && value <= most)) Wrong(at, named + " is out of its bounds");
  return value;
}

std::string TextIn(const Json& run, std::size_t at, const char* key, bool needed) {
  if (!run.contains(key)) {
    if (!needed) return {};
    Wrong(at, std::string("'run.") + key + "' is missing");
  }
  if (!run[key].is_string()) Wrong(at, std::string("'run.") + key + "' is not a text");
  return run[key].get<std::string>();
}

// Runs say which part of statements went to a home drawn at random, each by itself, and not to its session's
// own. Of two statements of a session, one after the other, that makes so many come to different poolers:
// away and back again are two. Machines set aside have homes as well, whose sessions are at no pooler for
// long.
double RoamingShare(double roam_share, double poolers, double owners) {
  if (poolers < 2) return 0;
  const double homes = poolers + owners, homeless = roam_share * owners / homes, others = 1 - homeless;
  const double away = others > 0 ? (poolers - 1) * roam_share / homes / others : 0, home = 1 - away;
  return others * (1 - home * home - away * away / (poolers - 1)) + homeless * (1 - 1 / poolers);
}

bool NeverNought(const std::string& figure) {
  static const std::set<std::string> figures = {"memory_mb", "real_memory_mb", "cpu_share", "real_cpu_share",
                                                "module_cpu_us_per_statement"};
  return figures.contains(figure);
}

Record RecordIn(const Json& json, std::size_t at) {
  if (!json.is_object() || !json.contains("run") || !json["run"].is_object()) Wrong(at, "has no 'run'");
  if (!json.contains("figures") || !json["figures"].is_object()) Wrong(at, "has no 'figures'");
  const Json& run = json["run"];
  constexpr double kMost = 1e12;
  Record record;
  record.size.poolers = NumberIn(run, at, "poolers", 0, kMost);
  record.size.databases = NumberIn(run, at, "databases", 0, kMost);
  record.size.groups = record.size.databases / kPlayedMembersAGroup;
  record.size.clients = NumberIn(run, at, "clients", 0, kMost);
  record.size.statements_per_s = NumberIn(run, at, "statements_per_s", 0, kMost);
  record.size.writes_share = NumberIn(run, at, "writes_share", 0, 1);
  const double own_reads = (1 - record.size.writes_share) * kPlayedOwnReads;
  record.size.own_reads_share = NumberIn(run, at, "own_reads_share", 0, 1, own_reads);
  const double roam_share = NumberIn(run, at, "roam_share", 0, 1);
  record.size.session_statements = NumberIn(run, at, "session_statements", 0, kMost, 0);
  // Those set aside are among the run's poolers, and are counted apart.
  record.size.owners = NumberIn(run, at, "owners", 0, kMost, 0);
  if (record.size.owners > 0 && record.size.owners >= record.size.poolers) {
    Wrong(at, "'run.owners' is out of its bounds");
  }
  record.size.poolers -= record.size.owners;
  record.size.roaming_share = RoamingShare(roam_share, record.size.poolers, record.size.owners);
  record.generation = NumberIn(run, at, "generation", 1, kMost, run.contains("owners") ? 2 : 1);
  record.size.changes_per_s = NumberIn(run, at, "changes_per_s", 0, kMost);
  record.bytes_budget = NumberIn(run, at, "bytes_per_s", 0, kMost, 0);
  record.real = NumberIn(run, at, "real", 0, kMost);
  record.seconds = NumberIn(run, at, "seconds", 0, kMost);
  record.seed = NumberIn(run, at, "seed", 0, 2e19);
  record.script = TextIn(run, at, "script", true);
  record.marks = TextIn(run, at, "marks", false);
  record.commit = TextIn(run, at, "commit", true);
  for (const auto& [key, value] : json["figures"].items()) {
    if (value.is_null()) continue;  // the run could not tell it
    if (!value.is_number()) Wrong(at, "'figures." + key + "' is not a number");
    // No process lives on nothing: the run could not tell it, as one that hosts a single instance cannot.
    if (value.get<double>() == 0 && NeverNought(key)) continue;
    record.figures[key] = value.get<double>();
  }
  const auto figure = [&](const char* key) {
    const auto found = record.figures.find(key);
    return found == record.figures.end() ? -1 : found->second;
  };
  record.held_back = figure("conservative_share") > kHardlyAnyHeldBack;
  record.size.packets_per_s = std::max(0.0, figure("packets_out_per_s"));
  if (const double statements = figure("statements"), over = figure("measured_s");
      statements >= 0 && over > 0) {
    record.size.statements_per_s = statements / over;
    if (const double writes = figure("writes"); statements > 0 && writes >= 0 && writes <= statements) {
      record.size.writes_share = writes / statements;
    }
  }
  return record;
}

}  // namespace

std::variant<std::vector<Record>, std::string> ReadMeasurements(std::string_view text) {
  try {
    Json json = Json::parse(text);
    if (json.is_object() && json.contains("run")) json = Json::array({json});  // as a single run writes it
    if (!json.is_array()) return "the measurements are not a list of records";
    std::vector<Record> records;
    for (std::size_t i = 0; i < json.size(); ++i) records.push_back(RecordIn(json[i], i));
    return records;
  } catch (const Json::parse_error& error) {
    const std::string_view before = text.substr(0, std::min(error.byte, text.size()));
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    return "line " + std::to_string(line) + ": no JSON";
  } catch (const std::runtime_error& error) {
    return std::string(error.what());
  }
}

}  // namespace lynxgrade::capacity
