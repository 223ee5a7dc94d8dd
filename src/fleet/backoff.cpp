#include "fleet/backoff.h"

#include <algorithm>

namespace lynxgrade::fleet {
namespace {

// Eight windows at most: a single instance finds what has come back within about a second, a hundred spread
// over some 17 s, within which the endpoint list is still fresh enough to be followed.
constexpr int kMaxDoublings = 3;

}  // namespace

Backoff::Backoff(std::uint32_t instances, Duration least, Duration spacing, Duration most)
    : window_(least + spacing * static_cast<std::int64_t>(std::max(1U, instances) - 1)), most_(most) {}

Duration Backoff::WindowAfter(int failures) const {
  return std::min(most_, window_ * (1 << std::min(failures, kMaxDoublings)));
}

Duration Backoff::NextWait(double uniform) { return Scale(WindowAfter(failures_++), uniform); }

Duration Backoff::InitialWait(double uniform, Duration most) const {
  return Scale(std::min(window_, most), uniform);
}

}  // namespace lynxgrade::fleet
