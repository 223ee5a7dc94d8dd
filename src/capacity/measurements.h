// Records of runs: what size was played and what each pooler did there. Read from JSON; free of I/O and
// clocks.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lynxgrade::capacity {

// The size of a fleet, played or to be reckoned with, whole fleet throughout. The same for both, so that a
// slope is used on what it was taken from.
struct Size {
  double poolers = 0, databases = 0, clients = 0, statements_per_s = 0;
  double writes_share = 0, own_reads_share = 0;  // of statements, 0 to 1
  // Of session statements, which are writes and own-reads: those that come to another pooler than the one
  // before them of the same session.
  double roaming_share = 0;
  double session_statements = 0;  // of a session until it ends or rests for a lease; zero: it does not end
  double owners = 0;              // machines set aside that own the sessions; zero: the poolers do
  double groups = 0;              // of databases that hold the same data
  double packets_per_s = 0;       // that one pooler sends to the others; zero: not told
  double changes_per_s = 0;       // of the list of data servers, or of what else poolers are told
};

struct Record {
  // Where a run counted statements and writes (figures `statements`, `writes`, `measured_s`), what it counted
  // stands here in place of what it was asked to play; else both are the whole fleet's, as `run` tells them.
  Size size;
  // What poolers say to each other differs from one to the next, so no line goes through both: 1 before a run
  // told of `owners`, then 2, or as the run says.
  double generation = 1;
  // Reads' asks were held back, by a cap on them or a budget of bytes: what is sent then is the bound's, and
  // no slope's.
  bool held_back = false;
  double bytes_budget = 0;  // of messages of sessions, a second, as the run set it; zero: it set none
  double real = 0;          // how many of the poolers were processes of their own
  double seconds = 0;
  double seed = 0;
  std::string script;  // what was played
  std::string marks;   // the way in which marks were exchanged; empty: it does not matter there
  std::string commit;
  std::map<std::string, double> figures;  // of one pooler, the mean over all; names end in their unit
};

// The records in `text`, a JSON list or one record alone, or one plain sentence. Keys that are not known are
// passed over, so that a run may tell more than the page shows.
std::variant<std::vector<Record>, std::string> ReadMeasurements(std::string_view text);

}  // namespace lynxgrade::capacity
