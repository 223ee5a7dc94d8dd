// Limits on the content of one packet. They keep a datagram at about 1,000 bytes, which fits the MTU of any
// path.
#pragma once

#include <cstddef>

namespace lynxgrade::replication {

inline constexpr std::size_t kWatermarksPerPacket = 30;
inline constexpr std::size_t kLeaseMessagesPerPacket = 30;
inline constexpr std::size_t kTimelinesPerDelta = 8;  // in a packet that also carries watermarks
inline constexpr std::size_t kTimelinesPerPacket = 25;
// Encoded size from which a packet takes no further timelines: those with a predecessor are larger.
inline constexpr std::size_t kTimelineBytesPerDelta = 360;
inline constexpr std::size_t kTimelineBytesPerPacket = 1000;
inline constexpr int kUnheardGroupsPerRequest = 8;

}  // namespace lynxgrade::replication
