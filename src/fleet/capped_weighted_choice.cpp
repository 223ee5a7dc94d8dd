#include "fleet/capped_weighted_choice.h"

#include <algorithm>
#include <vector>

namespace lynxgrade::fleet {

std::optional<std::size_t> ChooseCapped(std::span<const WeightedCandidate> lots, double chance) {
  std::vector<double> part(lots.size(), -1);  // of all draws; below zero: not at its cap
  double free = 1;
  for (bool again = true; again;) {
    again = false;
    double odds = 0;
    for (std::size_t i = 0; i < lots.size(); ++i) odds += part[i] < 0 ? lots[i].odds : 0;
    if (odds <= 0) break;
    // A cap that is met frees odds for the others, which may take them over theirs.
    const double share = free / odds;
    for (std::size_t i = 0; i < lots.size(); ++i) {
      if (part[i] >= 0 || lots[i].odds * share <= lots[i].most) continue;
      part[i] = std::clamp(lots[i].most, 0.0, free);
      free -= part[i];
      again = true;
      break;
    }
    if (again) continue;
    for (std::size_t i = 0; i < lots.size(); ++i) {
      if (part[i] < 0) part[i] = lots[i].odds * share;
    }
  }
  std::optional<std::size_t> last;
  for (std::size_t i = 0; i < lots.size(); ++i) {
    if (part[i] <= 0) continue;
    if (chance < part[i]) return i;
    chance -= part[i];
    if (lots[i].most >= 1) last = i;
  }
  return last;  // where sums of odds fall short of one by rounding alone, the last without a cap
}

}  // namespace lynxgrade::fleet
