#include "estimation/client_patience_estimator.h"

#include <algorithm>

namespace lynxgrade::estimation {
namespace {

constexpr double kDecay = 0.998;     // of all counts with each client: about the last five hundred count
constexpr double kPriorClients = 5;  // taken to have stayed throughout: the first to leave is no proof
constexpr double kMedian = 0.5;

}  // namespace

void ClientPatienceEstimator::RecordStay(double objectives, StayEnd end) {
  const auto last_bin = static_cast<std::size_t>(std::max(0.0, objectives) * kBins);
  for (std::size_t i = 0; i < kBins; ++i) {
    const bool left_here = end == StayEnd::kLeft && i == last_bin;
    present_[i] = present_[i] * kDecay + (i <= last_bin ? 1 : 0);
    left_[i] = left_[i] * kDecay + (left_here ? 1 : 0);
  }
}

double ClientPatienceEstimator::MedianStay() const {
  double still_present = 1;
  for (std::size_t i = 0; i < kBins; ++i) {
    still_present *= 1 - left_[i] / (present_[i] + kPriorClients);
    if (still_present < kMedian) return static_cast<double>(i + 1) / kBins;
  }
  return 1;
}

}  // namespace lynxgrade::estimation
