// What an instance sends to its peers and receives from them, by kind of message. Bytes are those of IPv4
// packets: a datagram and its headers.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace lynxgrade::replication {

// What a packet is for; kWatermarks: also lease messages. Timelines and piggybacked membership gossip in it
// count under their own kind.
enum class TrafficKind { kMembership, kWatermarks, kTimelines, kSnapshots };
// As operators see them, in the order of TrafficKind.
constexpr std::array<const char*, 4> kTrafficKindNames = {"membership", "marks", "reigns", "ledger"};

struct Traffic {
  static constexpr std::size_t kHeaderBytes = 28;  // of IPv4 and UDP, without options
  struct Count {
    std::uint64_t packets = 0;
    std::uint64_t bytes = 0;
  };
  using Counts = std::array<Count, kTrafficKindNames.size()>;  // by TrafficKind
  Counts out{};
  Counts in{};
};

}  // namespace lynxgrade::replication
