// Which member of a view owns a session's key: rendezvous hashing (Thaler and Ravishankar: "Using Name-Based
// Mappings to Increase Hit Rates", 1998). Owns nothing.
#pragma once

#include <cstdint>
#include <vector>

#include "consistency/session_watermark_table.h"

namespace lynxgrade::lease {

// A run of an instance's process; drawn by chance, never zero.
using IncarnationId = std::uint64_t;

// Of `lives` the one with the highest weight for `key`; zero where there are none. Whoever has the same
// lives, in whatever order, finds the same one, and where one goes only its own keys move. Linear in the
// lives.
IncarnationId OwnerOf(consistency::SessionKey key, const std::vector<IncarnationId>& incarnation_ids);

}  // namespace lynxgrade::lease
