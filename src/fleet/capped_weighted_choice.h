// A weighted random choice in which the probability of single candidates can be capped.
#pragma once

#include <cstddef>
#include <optional>
#include <span>

namespace lynxgrade::fleet {

struct WeightedCandidate {
  double weight = 0;           // relative to the others'
  double max_probability = 1;  // 1: no cap
};

// Returns the index of the candidate that `uniform`, drawn from [0, 1), selects. No candidate's probability
// exceeds its cap. The excess goes to the uncapped candidates in proportion to their weights. If all are at
// their caps, it stays unassigned, and the result is empty where `uniform` falls into it.
std::optional<std::size_t> ChooseCapped(std::span<const WeightedCandidate> candidates, double uniform);

}  // namespace lynxgrade::fleet
