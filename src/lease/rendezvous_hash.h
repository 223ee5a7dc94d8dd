// Rendezvous hashing, which selects the instance of a view that manages the lease of a session key.
// Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
#pragma once

#include <cstdint>
#include <span>

#include "consistency/write_watermark.h"

namespace lynxgrade::lease {

// Identifies one run of an instance's process: a random number, never zero.
using IncarnationId = std::uint64_t;

// Returns the candidate with the highest weight for `key`, or zero if there are no candidates. The order of
// the candidates does not matter; when one is removed, only its own keys move. Linear in the candidates.
IncarnationId SelectLeaseManager(consistency::SessionKey key, std::span<const IncarnationId> candidates);

}  // namespace lynxgrade::lease
