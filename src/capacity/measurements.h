// Records of testbed runs: the size and load that a run simulated, and the figures measured per pooler.
// Parsed from JSON. Free of I/O and clocks.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lynxgrade::capacity {

// Size and load of a whole fleet, of a run or of a target. Both use one type, so that slopes are applied to
// the quantities that they were fitted to.
struct FleetSize {
  double poolers = 0, databases = 0, clients = 0, statements_per_s = 0;
  double writes_share = 0, own_reads_share = 0;  // of statements, 0 to 1
  // Share of session statements (writes and session reads) that reach another pooler than the previous
  // statement of the same session did.
  double roaming_share = 0;
  double session_statements = 0;  // per session until it ends or is idle for a lease; 0: never ends
  double lease_managers = 0;      // dedicated lease managers; 0: the poolers manage the leases
  double groups = 0;              // databases with the same data form a group
  double packets_per_s = 0;       // sent by one pooler to its peers; 0: not measured
  double changes_per_s = 0;       // of the endpoint list, or of what else poolers are notified of
};

struct Record {
  // Statements and writes are those that the run counted (figures `statements`, `writes`, `measured_s`), or
  // else those that `run` requested for the whole fleet.
  FleetSize size;
  // Version of the messages between poolers. Records of different generations are never fitted together.
  // Unless the run has `generation`, it is 2 for runs with `owners` and 1 for older ones.
  double generation = 1;
  // Lease acquires by reads were limited, by their rate or by a budget of bytes. Traffic then depends on the
  // limit and not on the load, so the record is not used for slopes.
  bool reads_limited = false;
  double bytes_budget = 0;  // bytes per second allowed for lease messages; 0: no budget set
  double real_poolers = 0;  // poolers that ran as processes of their own
  double seconds = 0;
  double seed = 0;
  std::string script;  // the scenario that the run simulated
  std::string marks;   // how watermarks were replicated; empty: irrelevant to the run
  std::string commit;
  std::map<std::string, double> figures;  // means per pooler; names end in their unit
};

// Parses a JSON list of records or a single record. Unknown keys are ignored, so that runs can record more
// than the page shows. Returns an error message if the text is invalid.
std::variant<std::vector<Record>, std::string> ParseMeasurements(std::string_view text);

// Whether the name of the record's script begins with one of `scripts`.
bool HasScript(const Record& record, const std::vector<std::string>& scripts);

}  // namespace lynxgrade::capacity
