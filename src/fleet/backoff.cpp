#include "fleet/backoff.h"

#include <algorithm>

namespace lynxgrade::fleet {
namespace {

// Limits the window to eight times the first one. A single instance then notices a recovered service within
// about 1 s. 100 instances spread their calls over about 17 s, within which the endpoint list is still fresh
// enough to be used.
constexpr int kMaxDoublings = 3;

}  // namespace

Backoff::Backoff(std::uint32_t instances, Duration min_window, Duration spacing, Duration max_window)
    : window_(min_window + spacing * static_cast<std::int64_t>(std::max(1U, instances) - 1)),
      max_window_(max_window) {}

Duration Backoff::WindowAfter(int failures) const {
  return std::min(max_window_, window_ * (1 << std::min(failures, kMaxDoublings)));
}

Duration Backoff::NextWait(double uniform) { return Scale(WindowAfter(failures_++), uniform); }

Duration Backoff::InitialWait(double uniform, Duration max_wait) const {
  return Scale(std::min(window_, max_wait), uniform);
}

}  // namespace lynxgrade::fleet
