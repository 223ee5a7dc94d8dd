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

[[noreturn]] void Wrong(std::size_t at, const std::string& what) {
  throw std::runtime_error("record " + std::to_string(at + 1) + ": " + what);
}

double NumberIn(const Json& run, std::size_t at, const char* key, double least, double most) {
  const std::string named = std::string("'run.") + key + "'";
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
  record.size.roam_share = NumberIn(run, at, "roam_share", 0, 1);
  record.size.changes_per_s = NumberIn(run, at, "changes_per_s", 0, kMost);
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
