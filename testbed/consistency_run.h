// Sessions that move between two real poolers, under faults: the laboratory knows every answered write and
// counts the own-reads that miss one.
#pragma once

#include <cstdint>
#include <string>

namespace lynxgrade::testbed {

struct SessionsOptions {
  std::string pooler;
  std::uint64_t seed = 1;
  std::size_t sessions = 5000;
  double per_s = 250;               // sessions begun a second
  bool keep_logs = false;           // prints where the poolers' logs are, and leaves them
  std::string watermarks = "each";  // or "directory", as in the poolers' settings
  bool owner = false;  // directory: the second pooler is set aside to own, though clients go to it too
  std::string only;    // one of the scenarios by name; all where empty
  std::string json;    // the figures, as JSON, to this file
};

// Prints a figure a line; 0 where every rule was kept and the judge saw stale reads with the subsystem off.
int RunSessions(const SessionsOptions& options);

}  // namespace lynxgrade::testbed
