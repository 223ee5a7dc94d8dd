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

// A few session reads require the conservative position in any run, after starts and failures. A larger share
// means that the limit on lease acquires or the budget of bytes took effect.
constexpr double kMaxConservativeShare = 0.01;

[[noreturn]] void ThrowRecordError(std::size_t index, const std::string& message) {
  throw std::runtime_error("record " + std::to_string(index + 1) + ": " + message);
}

double ReadNumber(const Json& run, std::size_t index, const char* key, double min, double max,
                  std::optional<double> default_value = std::nullopt) {
  const std::string quoted_key = std::string("'run.") + key + "'";
  if (!run.contains(key) && default_value) return *default_value;
  if (!run.contains(key)) ThrowRecordError(index, quoted_key + " is missing");
  if (!run[key].is_number()) ThrowRecordError(index, quoted_key + " is not a number");
  const double value = run[key].get<double>();
  if (!(value >= min && value <= max)) ThrowRecordError(index, quoted_key + " is out of range");
  return value;
}

std::string ReadText(const Json& run, std::size_t index, const char* key, bool required) {
  if (!run.contains(key)) {
    if (!required) return {};
    ThrowRecordError(index, std::string("'run.") + key + "' is missing");
  }
  if (!run[key].is_string()) ThrowRecordError(index, std::string("'run.") + key + "' is not a string");
  return run[key].get<std::string>();
}

// Converts the `roam_share` of a run, the share of statements that used a randomly drawn home instead of the
// pooler's own, to the share of statements that reach another pooler than the session's previous one: roaming
// and returning count as two. Dedicated lease managers have homes too, whose sessions have no usual pooler.
double RoamingShare(double roam_share, double poolers, double lease_managers) {
  if (poolers < 2) return 0;
  const double homes = poolers + lease_managers, unassigned = roam_share * lease_managers / homes,
               assigned = 1 - unassigned;
  const double away = assigned > 0 ? (poolers - 1) * roam_share / homes / assigned : 0, home = 1 - away;
  return assigned * (1 - home * home - away * away / (poolers - 1)) + unassigned * (1 - 1 / poolers);
}

bool IsNeverZero(const std::string& figure) {
  static const std::set<std::string> figures = {"memory_mb", "real_memory_mb", "cpu_share", "real_cpu_share",
                                                "module_cpu_us_per_statement"};
  return figures.contains(figure);
}

Record ParseRecord(const Json& json, std::size_t index) {
  if (!json.is_object() || !json.contains("run") || !json["run"].is_object())
    ThrowRecordError(index, "has no 'run'");
  if (!json.contains("figures") || !json["figures"].is_object()) ThrowRecordError(index, "has no 'figures'");
  const Json& run = json["run"];
  constexpr double kMaxValue = 1e12;
  Record record;
  record.size.poolers = ReadNumber(run, index, "poolers", 0, kMaxValue);
  record.size.databases = ReadNumber(run, index, "databases", 0, kMaxValue);
  record.size.groups = record.size.databases / kTestbedMembersPerGroup;
  record.size.clients = ReadNumber(run, index, "clients", 0, kMaxValue);
  record.size.statements_per_s = ReadNumber(run, index, "statements_per_s", 0, kMaxValue);
  record.size.writes_share = ReadNumber(run, index, "writes_share", 0, 1);
  const double own_reads = (1 - record.size.writes_share) * kTestbedOwnReadsShare;
  record.size.own_reads_share = ReadNumber(run, index, "own_reads_share", 0, 1, own_reads);
  const double roam_share = ReadNumber(run, index, "roam_share", 0, 1);
  record.size.session_statements = ReadNumber(run, index, "session_statements", 0, kMaxValue, 0);
  // The run's count of poolers includes dedicated lease managers.
  record.size.lease_managers = ReadNumber(run, index, "owners", 0, kMaxValue, 0);
  if (record.size.lease_managers > 0 && record.size.lease_managers >= record.size.poolers) {
    ThrowRecordError(index, "'run.owners' is out of range");
  }
  record.size.poolers -= record.size.lease_managers;
  record.size.roaming_share = RoamingShare(roam_share, record.size.poolers, record.size.lease_managers);
  record.generation = ReadNumber(run, index, "generation", 1, kMaxValue, run.contains("owners") ? 2 : 1);
  record.size.changes_per_s = ReadNumber(run, index, "changes_per_s", 0, kMaxValue);
  record.bytes_budget = ReadNumber(run, index, "bytes_per_s", 0, kMaxValue, 0);
  record.real_poolers = ReadNumber(run, index, "real", 0, kMaxValue);
  record.seconds = ReadNumber(run, index, "seconds", 0, kMaxValue);
  record.seed = ReadNumber(run, index, "seed", 0, 2e19);
  record.script = ReadText(run, index, "script", true);
  record.marks = ReadText(run, index, "marks", false);
  record.commit = ReadText(run, index, "commit", true);
  for (const auto& [key, value] : json["figures"].items()) {
    if (value.is_null()) continue;  // the run could not measure it
    if (!value.is_number()) ThrowRecordError(index, "'figures." + key + "' is not a number");
    // Zero means that the run could not measure it, as with a process that hosts a single instance.
    if (value.get<double>() == 0 && IsNeverZero(key)) continue;
    record.figures[key] = value.get<double>();
  }
  const auto figure = [&](const char* key) {
    const auto found = record.figures.find(key);
    return found == record.figures.end() ? -1 : found->second;
  };
  record.reads_limited = figure("conservative_share") > kMaxConservativeShare;
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

std::variant<std::vector<Record>, std::string> ParseMeasurements(std::string_view text) {
  try {
    Json json = Json::parse(text);
    if (json.is_object() && json.contains("run"))
      json = Json::array({json});  // a single run writes one record
    if (!json.is_array()) return "the measurements are not a list of records";
    std::vector<Record> records;
    for (std::size_t i = 0; i < json.size(); ++i) records.push_back(ParseRecord(json[i], i));
    return records;
  } catch (const Json::parse_error& error) {
    const std::string_view before = text.substr(0, std::min(error.byte, text.size()));
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    return "line " + std::to_string(line) + ": invalid JSON";
  } catch (const std::runtime_error& error) {
    return std::string(error.what());
  }
}

bool HasScript(const Record& record, const std::vector<std::string>& scripts) {
  return std::any_of(scripts.begin(), scripts.end(),
                     [&](const std::string& script) { return record.script.starts_with(script); });
}

}  // namespace lynxgrade::capacity
