#include "estimation/client_patience_estimator.h"

#include <algorithm>

namespace lynxgrade::estimation {
namespace {

constexpr double kKept = 0.998;  // of all counts with each client: about the last five hundred tell
constexpr double kPrior = 5;     // clients taken to have stayed throughout: the first to leave is no proof
constexpr double kEnough = 0.5;  // of the clients: an answer is more likely of use than not

}  // namespace

void ClientPatienceEstimator::Seen(double aims, bool left) {
  const auto last = static_cast<std::size_t>(std::max(0.0, aims) * kBins);
  for (std::size_t i = 0; i < kBins; ++i) {
    there_[i] = there_[i] * kKept + (i <= last ? 1 : 0);
    left_[i] = left_[i] * kKept + (left && i == last ? 1 : 0);
  }
}

double ClientPatienceEstimator::Part() const {
  double still = 1;
  for (std::size_t i = 0; i < kBins; ++i) {
    still *= 1 - left_[i] / (there_[i] + kPrior);
    if (still < kEnough) return static_cast<double>(i + 1) / kBins;
  }
  return 1;
}

}  // namespace lynxgrade::estimation
