// Consistency run: sessions move between two real poolers under faults. The run knows every acknowledged
// write and counts the read-your-writes reads that miss one.
#pragma once

#include <cstdint>
#include <string>

namespace lynxgrade::testbed {

struct SessionsOptions {
  std::string pooler;
  std::uint64_t seed = 1;
  std::size_t sessions = 5000;
  double per_s = 250;               // sessions started per second
  bool keep_logs = false;           // keeps the poolers' logs and prints their folder
  std::string watermarks = "each";  // "each" or "directory", as in the poolers' settings
  // With "directory": the second pooler is a dedicated lease manager, and serves clients too.
  bool owner = false;
  std::string only;  // name of the one scenario to run; empty: all
  std::string json;  // file for the figures as JSON; empty: none
};

// Prints one figure per line. Returns 0 if no stale read, unanswered request, crash or dropped datagram was
// seen and stale reads were seen with the replication off (with "directory" also with the plain directory),
// which shows that the check detects them; else 1.
int RunSessions(const SessionsOptions& options);

}  // namespace lynxgrade::testbed
