#include "limits/aimd_window.h"

#include <algorithm>

namespace lynxgrade::limits {
namespace {

constexpr double kStep = 0.5;         // growth with each that came back well
constexpr double kCut = 0.7;          // of the window, when there is nothing to spare
constexpr Duration kStretch{200000};  // some answers long: what is out when it is cut tells of the old window

}  // namespace

void AimdWindow::Return(bool grow) {
  --out_;
  if (grow) size_ += kStep;
}

void AimdWindow::Cut(Duration now) {
  if (now - cut_ <= kStretch) return;
  size_ = std::max(1.0, size_ * kCut);
  cut_ = now;
}

}  // namespace lynxgrade::limits
