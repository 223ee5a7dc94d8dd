#include "fleet/backoff.h"

#include <algorithm>

namespace lynxgrade::fleet {
namespace {

// Eight windows at most: a lone instance finds what has come back within about a second, a hundred spread
// over some 17 s, in which discovery's word is still fresher than the time by which it counts as told.
constexpr int kMostDoublings = 3;

Duration Part(Duration window, double chance) {
  return Duration(static_cast<std::int64_t>(chance * static_cast<double>(window.count())));
}

}  // namespace

Backoff::Backoff(std::uint32_t instances, Duration least, Duration spacing, Duration most)
    : window_(least + spacing * static_cast<std::int64_t>(std::max(1u, instances) - 1)), most_(most) {}

Duration Backoff::Window(int failures) const {
  return std::min(most_, window_ * (1 << std::min(failures, kMostDoublings)));
}

Duration Backoff::Next(double chance) { return Part(Window(failures_++), chance); }

Duration Backoff::Spread(double chance, Duration most) const { return Part(std::min(window_, most), chance); }

}  // namespace lynxgrade::fleet
