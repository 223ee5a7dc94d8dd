// Membership run: real pooler processes exchange datagrams through a relay that drops, delays and blocks them
// by a script. What each process logs about its view is checked against which processes ran and which links
// worked.
#pragma once

#include <cstdint>
#include <string>

namespace lynxgrade::testbed {

struct MembershipOptions {
  std::string pooler;
  std::uint64_t seed = 1;
  int instances = 8;
  int probe_ms = 100;
  std::string only;  // name of the one script to run; empty: all
  std::string json;
  bool keep_logs = false;
  bool compare = false;  // run two scripts again with the plain protocol, where faults must show
  bool plain = false;    // run with the plain protocol
};

// Prints one figure per line. Returns 0 if no two views claimed a majority at once, no reachable process was
// declared dead (other than by a one-way partition), no process crashed, each script ended as expected and,
// with `compare`, the plain protocol showed faults; else 1.
int RunMembership(const MembershipOptions& options);

}  // namespace lynxgrade::testbed
