// The exchange between instances in virtual time: how soon a death is known and a write is covered, at what
// cost.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lynxgrade::lab {

struct ExchangeOptions {
  std::uint64_t seed = 1;
  std::vector<int> sizes = {3, 16, 64};
  std::vector<int> losses = {0, 5, 30};  // per cent of datagrams
  double seconds = 4;                    // measured, after all have met
  double writes_per_s = 20;              // of each instance
  std::string json;
};

// Prints a figure a line; 0 where every write was covered and every death known in the end, and no instance
// held a read's session for covered without its mark.
int RunExchange(const ExchangeOptions& options);

}  // namespace lynxgrade::lab
