// The assumed number of instances of a fleet if the settings do not state it.
#pragma once

#include <cstdint>

namespace lynxgrade::fleet {

// Size of the operators' full fleet. If the real fleet is smaller, instances poll later than necessary and
// underuse warming servers; if it is larger, all instances together overload them.
constexpr std::uint32_t kAssumedFleetSize = 300;

// `configured` is the size from the settings; 0: unknown.
constexpr std::uint32_t EffectiveFleetSize(std::uint32_t configured) {
  return configured > 0 ? configured : kAssumedFleetSize;
}

}  // namespace lynxgrade::fleet
