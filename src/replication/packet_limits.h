// How much goes into one packet, so that it fits into one datagram of some 1,000 bytes on any path.
#pragma once

#include <cstddef>

namespace lynxgrade::replication {

inline constexpr std::size_t kWatermarksPerPacket = 30;
inline constexpr std::size_t kLeaseMessagesPerPacket = 30;
inline constexpr std::size_t kTimelinesPerDelta = 8;  // beside watermarks
inline constexpr std::size_t kTimelinesPerPacket = 25;

}  // namespace lynxgrade::replication
