#include "estimation/client_patience_estimator.h"

#include <algorithm>

namespace lynxgrade::estimation {
namespace {

constexpr double kDecayPerClient = 0.998;  // weights about the last 500 clients
// Assumed clients that never left, so that the first one to leave does not determine the estimate.
constexpr double kPriorClients = 5;
// While at least half of the clients still wait, a response is more likely than not to be useful.
constexpr double kMedian = 0.5;

}  // namespace

void ClientPatienceEstimator::RecordWait(double objectives, WaitEnd end) {
  const auto last_bin = static_cast<std::size_t>(std::max(0.0, objectives) * kBins);
  for (std::size_t i = 0; i < kBins; ++i) {
    const bool abandoned_here = end == WaitEnd::kAbandoned && i == last_bin;
    present_[i] = present_[i] * kDecayPerClient + (i <= last_bin ? 1 : 0);
    abandoned_[i] = abandoned_[i] * kDecayPerClient + (abandoned_here ? 1 : 0);
  }
}

double ClientPatienceEstimator::MedianPatience() const {
  double still_waiting = 1;
  for (std::size_t i = 0; i < kBins; ++i) {
    still_waiting *= 1 - abandoned_[i] / (present_[i] + kPriorClients);
    if (still_waiting < kMedian) return static_cast<double>(i + 1) / kBins;
  }
  return 1;
}

}  // namespace lynxgrade::estimation
