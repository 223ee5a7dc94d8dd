#include "lease/rendezvous_hash.h"

namespace lynxgrade::lease {
namespace {

std::uint64_t Mixed(std::uint64_t x) {  // the finalizer of splitmix64 (Steele, Lea, Flood, 2014)
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ull;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBull;
  return x ^ (x >> 31);
}

}  // namespace

IncarnationId OwnerOf(consistency::SessionKey key, const std::vector<IncarnationId>& incarnation_ids) {
  IncarnationId owner = 0;
  std::uint64_t highest = 0;
  for (const IncarnationId incarnation_id : incarnation_ids) {
    const std::uint64_t weight = Mixed(static_cast<std::uint64_t>(key) + Mixed(incarnation_id));
    if (owner != 0 && (weight < highest || (weight == highest && incarnation_id < owner))) continue;
    owner = incarnation_id;
    highest = weight;
  }
  return owner;
}

}  // namespace lynxgrade::lease
