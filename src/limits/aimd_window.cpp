#include "limits/aimd_window.h"

#include <algorithm>

namespace lynxgrade::limits {
namespace {

constexpr double kIncrease = 0.5;  // requests
constexpr double kDecreaseFactor = 0.7;
// The length of several responses: those in flight at a decrease still reflect the larger window.
constexpr Duration kDecreaseInterval{200000};

}  // namespace

void AimdWindow::Release(WindowGrowth growth) {
  --in_flight_;
  if (growth == WindowGrowth::kIncrease) size_ += kIncrease;
}

void AimdWindow::Decrease(Duration now) {
  if (now - decreased_at_ <= kDecreaseInterval) return;
  size_ = std::max(1.0, size_ * kDecreaseFactor);
  decreased_at_ = now;
}

}  // namespace lynxgrade::limits
