// How many instances a fleet is taken to have where the settings do not say.
#pragma once

#include <cstdint>

namespace lynxgrade::fleet {

// The operators' full fleet. Too high an assumption makes instances poll later than they need to and use
// warming servers less; too low a one lets all instances together overload them.
constexpr std::uint32_t kAssumedFleetSize = 300;

// `configured`: from the settings; 0: unknown.
constexpr std::uint32_t EffectiveFleetSize(std::uint32_t configured) {
  return configured > 0 ? configured : kAssumedFleetSize;
}

}  // namespace lynxgrade::fleet
