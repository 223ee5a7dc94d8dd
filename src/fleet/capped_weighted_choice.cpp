#include "fleet/capped_weighted_choice.h"

#include <algorithm>
#include <vector>

namespace lynxgrade::fleet {
namespace {

constexpr double kNotCapped = -1;

// Caps the first candidate whose share of the remaining probability exceeds its cap. Returns false if there
// is none.
bool CapOne(std::span<const WeightedCandidate> candidates, double share_per_weight, double& remaining,
            std::vector<double>& probabilities) {
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const WeightedCandidate& candidate = candidates[i];
    if (probabilities[i] >= 0 || candidate.weight * share_per_weight <= candidate.max_probability) continue;
    probabilities[i] = std::clamp(candidate.max_probability, 0.0, remaining);
    remaining -= probabilities[i];
    return true;
  }
  return false;
}

std::vector<double> CappedProbabilities(std::span<const WeightedCandidate> candidates) {
  std::vector<double> probabilities(candidates.size(), kNotCapped);
  double remaining = 1;
  while (true) {
    double weight = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i)
      weight += probabilities[i] < 0 ? candidates[i].weight : 0;
    if (weight <= 0) return probabilities;
    // Each cap frees probability for the other candidates, which may then exceed their caps in turn.
    const double share_per_weight = remaining / weight;
    if (CapOne(candidates, share_per_weight, remaining, probabilities)) continue;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      if (probabilities[i] < 0) probabilities[i] = candidates[i].weight * share_per_weight;
    }
    return probabilities;
  }
}

}  // namespace

std::optional<std::size_t> ChooseCapped(std::span<const WeightedCandidate> candidates, double uniform) {
  const std::vector<double> probabilities = CappedProbabilities(candidates);
  std::optional<std::size_t> last_uncapped;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (probabilities[i] <= 0) continue;
    if (uniform < probabilities[i]) return i;
    uniform -= probabilities[i];
    if (candidates[i].max_probability >= 1) last_uncapped = i;
  }
  // Without caps the probabilities may still sum to slightly less than 1 due to rounding.
  return last_uncapped;
}

}  // namespace lynxgrade::fleet
