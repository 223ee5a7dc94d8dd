// The size that the fleet is to carry, and what is assumed of it: read from a target file, each value
// checked. Owns no more than these values; free of I/O and clocks.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lynxgrade::capacity {

// What nobody has measured, from the least to the greatest that is thought possible.
struct Assumption {
  double low = 0, assumed = 0, high = 0;
  std::string why;
};

struct Target {
  // The whole fleet.
  double poolers = 0, databases = 0, clients = 0, statements_per_s = 0, regions = 0, zones = 0,
         control_machines = 0;
  // What happens to it.
  double primary_changes_per_day = 0, primary_change_within_s = 0, configuration_changes_per_day = 0,
         configuration_within_s = 0, machine_failures_per_day = 0, restarts_per_day = 0,
         rack_failures_per_year = 0, zone_failures_per_year = 0, region_cuts_per_year = 0, region_cut_s = 0;
  // Of one pooler, for control: part of a core, megabytes of a million bytes, bytes a second both ways
  // together.
  double cpu_percent = 0, memory_mb = 0, bytes_per_s = 0;
  // Shares in percent: writes and own-reads of all statements, roaming ones of these two together. Times and
  // sizes by their names' last word.
  Assumption busiest_second_ratio, writes_percent, own_reads_percent, session_statements, roaming_percent,
      statement_bytes, region_round_trip_ms, restarts_at_once, clients_again_s, catch_up_s,
      configuration_bytes, database_connections, descriptors, members_of_a_group;
};

// A value of the file: where it belongs and what it may be.
struct NumberField {
  const char* table;
  const char* key;
  double Target::*value;
  double least, most;
  bool whole;
};
struct AssumptionField {
  const char* key;
  Assumption Target::*value;
  double least, most;
  const char* unit;  // for the page
};
const std::vector<NumberField>& NumberFields();
const std::vector<AssumptionField>& AssumptionFields();

// The target in `text`, or one plain sentence that names line and column: what is missing, unknown, of
// another kind or out of bounds, and three values that do not ascend.
std::variant<Target, std::string> ReadTarget(std::string_view text);

}  // namespace lynxgrade::capacity
