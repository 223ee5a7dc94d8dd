// The fleet size and load to plan for, with the assumptions about them, parsed from a target file. Each value
// is validated. Free of I/O and clocks.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lynxgrade::capacity {

inline constexpr double kSecondsPerDay = 86'400;

// A quantity that has not been measured: its assumed value and the lowest and highest plausible ones.
struct Assumption {
  double low = 0, assumed = 0, high = 0;
  std::string why;
};

struct Target {
  // The whole fleet.
  double poolers = 0, databases = 0, clients = 0, statements_per_s = 0, regions = 0, zones = 0,
         control_machines = 0;
  // Events, and the time within which changes must be in force.
  double primary_changes_per_day = 0, primary_change_within_s = 0, configuration_changes_per_day = 0,
         configuration_within_s = 0, machine_failures_per_day = 0, restarts_per_day = 0,
         rack_failures_per_year = 0, zone_failures_per_year = 0, region_cuts_per_year = 0, region_cut_s = 0;
  // Budget of one pooler for control: percent of a core, megabytes of 10^6 bytes, and bytes per second sent
  // and received together.
  double cpu_percent = 0, memory_mb = 0, bytes_per_s = 0;
  // Writes and session reads are percentages of all statements, roaming statements a percentage of writes and
  // session reads together. The units of the others are the last word of their names.
  Assumption busiest_second_ratio, writes_percent, own_reads_percent, session_statements, roaming_percent,
      statement_bytes, region_round_trip_ms, restarts_at_once, clients_again_s, catch_up_s,
      configuration_bytes, database_connections, descriptors, members_of_a_group;
};

// Where a value stands in the target file, the member that holds it and the values allowed.
struct NumberField {
  const char* table;
  const char* key;
  double Target::*value;
  double min, max;
  bool must_be_whole;
};
struct AssumptionField {
  const char* key;
  Assumption Target::*value;
  double min, max;
  const char* unit;  // shown on the page
};
const std::vector<NumberField>& NumberFields();
const std::vector<AssumptionField>& AssumptionFields();

// Parses a TOML target. Errors give line and column: a missing or unknown key, a wrong type, a value out of
// range, or an assumption whose low, assumed and high values are not in ascending order.
std::variant<Target, std::string> ParseTarget(std::string_view text);

}  // namespace lynxgrade::capacity
