// Real pooler processes that know each other, with a relay between every two of them that drops, delays and
// cuts by a script; what each says of its part of the fleet is judged against what is true.
#pragma once

#include <cstdint>
#include <string>

namespace lynxgrade::lab {

struct MembersOptions {
  std::string pooler;
  std::uint64_t seed = 1;
  int instances = 8;
  int probe_ms = 100;
  std::string only;  // one script
  std::string json;
  bool keep_logs = false;
};

// Prints a figure a line; 0 where no two parts held themselves for the larger, no process crashed, and each
// script ended as it should.
int RunMembers(const MembersOptions& options);

}  // namespace lynxgrade::lab
