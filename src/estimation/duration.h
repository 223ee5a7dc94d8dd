// Durations in whole microseconds, and their conversions. Shared by all folders.
#pragma once

#include <chrono>
#include <cstdint>

namespace lynxgrade {

using Duration = std::chrono::duration<std::int64_t, std::micro>;

inline double ToSeconds(Duration duration) { return static_cast<double>(duration.count()) * 1e-6; }

// `duration` times `factor`, rounded towards zero.
inline Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(factor * static_cast<double>(duration.count())));
}

}  // namespace lynxgrade
