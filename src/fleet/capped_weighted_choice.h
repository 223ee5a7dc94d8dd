// A draw in which some may be picked only so often. Free of chance of its own.
#pragma once

#include <cstddef>
#include <optional>
#include <span>

namespace lynxgrade::fleet {

// One that may be drawn: its odds against the others', and the most of all draws that may fall on it (1: no
// cap).
struct WeightedCandidate {
  double odds = 0;
  double most = 1;
};

// Picks one with `chance`, even in [0, 1). Nobody is picked more often than its cap; what a cap cuts off goes
// to those that are under theirs, in proportion to their odds, and to nobody once all are at theirs.
std::optional<std::size_t> ChooseCapped(std::span<const WeightedCandidate> lots, double chance);

}  // namespace lynxgrade::fleet
