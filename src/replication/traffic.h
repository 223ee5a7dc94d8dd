// The traffic between an instance and its peers, by kind of message. Bytes are those of whole IPv4 packets:
// the datagram and its headers.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace lynxgrade::replication {

// The kind of a packet. kWatermarks includes lease messages. Timelines and piggybacked membership gossip in a
// packet of another kind count under their own kind.
enum class TrafficKind { kMembership, kWatermarks, kTimelines, kSnapshots };
// The names in the status report, in the order of TrafficKind.
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
