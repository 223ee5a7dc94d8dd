#include "lease/rendezvous_hash.h"

namespace lynxgrade::lease {
namespace {

// The finalizer of splitmix64 (Steele, Lea, Flood: "Fast Splittable Pseudorandom Number Generators", 2014).
std::uint64_t MixBits(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ull;
  value = (value ^ (value >> 27)) * 0x94D049BB133111EBull;
  return value ^ (value >> 31);
}

}  // namespace

IncarnationId SelectLeaseManager(consistency::SessionKey key, std::span<const IncarnationId> candidates) {
  IncarnationId selected = 0;
  std::uint64_t highest = 0;
  for (const IncarnationId candidate : candidates) {
    const std::uint64_t weight = MixBits(static_cast<std::uint64_t>(key) + MixBits(candidate));
    if (selected != 0 && (weight < highest || (weight == highest && candidate < selected))) continue;
    selected = candidate;
    highest = weight;
  }
  return selected;
}

}  // namespace lynxgrade::lease
