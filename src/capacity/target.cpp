#include "capacity/target.h"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>
#include <stdexcept>

namespace lynxgrade::capacity {
namespace {

std::string FormatNumber(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.15g", value);
  return text;
}

std::string FormatPosition(const toml::source_region& source) {
  return "line " + std::to_string(source.begin.line) + ", column " + std::to_string(source.begin.column);
}

[[noreturn]] void ThrowError(const toml::source_region& source, const std::string& message) {
  throw std::runtime_error(FormatPosition(source) + ": " + message);
}

const toml::table& RequireTable(const toml::table& parent, const std::string& name, const std::string& key) {
  const toml::node* node = parent.get(key);
  if (node == nullptr) ThrowError(parent.source(), "'" + name + "' is missing");
  if (!node->is_table()) ThrowError(node->source(), "'" + name + "' is not a table");
  return *node->as_table();
}

void RejectUnknownKeys(const toml::table& table, const std::string& name,
                       const std::set<std::string>& known) {
  for (const auto& [key, node] : table) {
    const std::string key_name(key.str());
    if (!known.contains(key_name)) ThrowError(key.source(), "'" + name + key_name + "' is not a known key");
  }
}

double ReadNumber(const toml::table& table, const std::string& name, const char* key, double min, double max,
                  bool must_be_whole) {
  const std::string quoted_key = "'" + name + "." + key + "'";
  const toml::node* node = table.get(key);
  if (node == nullptr) ThrowError(table.source(), quoted_key + " is missing");
  if (must_be_whole ? !node->is_integer() : !node->is_number()) {
    ThrowError(node->source(), quoted_key + (must_be_whole ? " is not a whole number" : " is not a number"));
  }
  const double value = node->value<double>().value();
  // Negated so that NaN is rejected.
  if (!(value >= min && value <= max)) {
    ThrowError(node->source(),
               quoted_key + " lies outside " + FormatNumber(min) + " to " + FormatNumber(max));
  }
  return value;
}

Assumption ReadAssumption(const toml::table& assumed, const AssumptionField& field) {
  const std::string name = std::string("assumed.") + field.key;
  const toml::table& table = RequireTable(assumed, name, field.key);
  RejectUnknownKeys(table, name + ".", {"low", "assumed", "high", "why"});
  Assumption assumption;
  assumption.low = ReadNumber(table, name, "low", field.min, field.max, false);
  assumption.assumed = ReadNumber(table, name, "assumed", field.min, field.max, false);
  assumption.high = ReadNumber(table, name, "high", field.min, field.max, false);
  if (assumption.low > assumption.assumed || assumption.assumed > assumption.high) {
    ThrowError(table.source(), "'" + name + "': low, assumed and high are not in ascending order");
  }
  const toml::node* why = table.get("why");
  if (why == nullptr) ThrowError(table.source(), "'" + name + ".why' is missing: an assumption has a reason");
  if (!why->is_string() || why->as_string()->get().empty()) {
    ThrowError(why->source(), "'" + name + ".why' is not a non-empty string");
  }
  assumption.why = why->as_string()->get();
  return assumption;
}

}  // namespace

const std::vector<NumberField>& NumberFields() {
  // These bounds catch typing errors; they are not limits of the program.
  static const std::vector<NumberField> fields = {
      {"fleet", "poolers", &Target::poolers, 2, 100'000, true},
      {"fleet", "databases", &Target::databases, 1, 100'000, true},
      {"fleet", "clients", &Target::clients, 0, 1e9, true},
      {"fleet", "statements_per_s", &Target::statements_per_s, 0, 1e9, true},
      {"fleet", "regions", &Target::regions, 1, 100, true},
      {"fleet", "zones", &Target::zones, 2, 1'000, true},
      {"fleet", "control_machines", &Target::control_machines, 1, 1'000, true},
      {"events", "primary_changes_per_day", &Target::primary_changes_per_day, 0, 1e6, false},
      {"events", "primary_change_within_s", &Target::primary_change_within_s, 0.001, 86'400, false},
      {"events", "configuration_changes_per_day", &Target::configuration_changes_per_day, 0, 1e6, false},
      {"events", "configuration_within_s", &Target::configuration_within_s, 0.001, 86'400, false},
      {"events", "machine_failures_per_day", &Target::machine_failures_per_day, 0, 1e6, false},
      {"events", "restarts_per_day", &Target::restarts_per_day, 0, 1e6, false},
      {"events", "rack_failures_per_year", &Target::rack_failures_per_year, 0, 1e6, false},
      {"events", "zone_failures_per_year", &Target::zone_failures_per_year, 0, 1e6, false},
      {"events", "region_cuts_per_year", &Target::region_cuts_per_year, 0, 1e6, false},
      {"events", "region_cut_s", &Target::region_cut_s, 0, 86'400, false},
      {"budget", "cpu_percent", &Target::cpu_percent, 0.001, 100'000, false},
      {"budget", "memory_mb", &Target::memory_mb, 0.1, 1e7, false},
      {"budget", "bytes_per_s", &Target::bytes_per_s, 1, 1e12, false},
  };
  return fields;
}

const std::vector<AssumptionField>& AssumptionFields() {
  static const std::vector<AssumptionField> fields = {
      {"busiest_second_ratio", &Target::busiest_second_ratio, 1, 1'000, "times an ordinary second"},
      {"writes_percent", &Target::writes_percent, 0, 100, "% of statements"},
      {"own_reads_percent", &Target::own_reads_percent, 0, 100, "% of statements"},
      {"session_statements", &Target::session_statements, 1, 1e9, "writes and own-reads"},
      {"roaming_percent", &Target::roaming_percent, 0, 100, "% of writes and own-reads"},
      {"statement_bytes", &Target::statement_bytes, 1, 1e9, "bytes"},
      {"region_round_trip_ms", &Target::region_round_trip_ms, 0, 10'000, "ms"},
      {"restarts_at_once", &Target::restarts_at_once, 0, 100'000, "in one second"},
      {"clients_again_s", &Target::clients_again_s, 0.001, 86'400, "s"},
      {"catch_up_s", &Target::catch_up_s, 0.001, 86'400, "s"},
      {"configuration_bytes", &Target::configuration_bytes, 1, 1e9, "bytes"},
      {"database_connections", &Target::database_connections, 1, 1e6, "connections"},
      {"members_of_a_group", &Target::members_of_a_group, 1, 1'000, "databases"},
      {"descriptors", &Target::descriptors, 16, 1e9, "of one pooler"},
  };
  return fields;
}

std::variant<Target, std::string> ParseTarget(std::string_view text) {
  try {
    const toml::table root = toml::parse(text);
    std::set<std::string> tables = {"assumed"};
    for (const NumberField& field : NumberFields()) tables.insert(field.table);
    RejectUnknownKeys(root, "", tables);
    Target target;
    for (const std::string& name : tables) {
      std::set<std::string> known;
      const toml::table& table = RequireTable(root, name, name);
      for (const NumberField& field : NumberFields()) {
        if (name == field.table) known.insert(field.key);
      }
      if (name == "assumed") {
        for (const AssumptionField& field : AssumptionFields()) known.insert(field.key);
      }
      RejectUnknownKeys(table, name + ".", known);
    }
    for (const NumberField& field : NumberFields()) {
      const toml::table& table = RequireTable(root, field.table, field.table);
      target.*field.value =
          ReadNumber(table, field.table, field.key, field.min, field.max, field.must_be_whole);
    }
    const toml::table& assumed = RequireTable(root, "assumed", "assumed");
    for (const AssumptionField& field : AssumptionFields()) {
      target.*field.value = ReadAssumption(assumed, field);
    }
    if (target.zones < target.regions) {
      ThrowError(root.get("fleet")->as_table()->get("zones")->source(),
                 "'fleet.zones' is smaller than 'fleet.regions': each region has a zone at least");
    }
    // Sensitivities vary one assumption at a time, with the other at its assumed value.
    const Assumption &writes = target.writes_percent, &reads = target.own_reads_percent;
    if (std::max(writes.high + reads.assumed, writes.assumed + reads.high) > 100) {
      ThrowError(
          assumed.get("own_reads_percent")->source(),
          "'assumed.own_reads_percent' and 'assumed.writes_percent' exceed 100 % of all statements together");
    }
    return target;
  } catch (const toml::parse_error& error) {
    return FormatPosition(error.source()) + ": " + std::string(error.description());
  } catch (const std::runtime_error& error) {
    return std::string(error.what());
  }
}

}  // namespace lynxgrade::capacity
