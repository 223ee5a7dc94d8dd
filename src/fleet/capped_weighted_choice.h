// A weighted random choice in which some candidates may be chosen only so often.
#pragma once

#include <cstddef>
#include <optional>
#include <span>

namespace lynxgrade::fleet {

struct WeightedCandidate {
  double weight = 0;           // against the others'
  double max_probability = 1;  // 1: no cap
};

// Returns the index of the candidate that `uniform`, drawn from [0, 1), falls on. None is chosen more often
// than its cap; what a cap cuts off goes to the candidates below theirs, in proportion to their weights, and
// to none once all are at their caps.
std::optional<std::size_t> ChooseCapped(std::span<const WeightedCandidate> candidates, double uniform);

}  // namespace lynxgrade::fleet
