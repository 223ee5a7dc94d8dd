// What an instance sends to the others and takes from them, by kind of message. Bytes are those of the IPv4
// packets: a datagram and the 28 bytes of its heads.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace lynxgrade::replication {

// What a packet is for (kMarks: what tells of sessions' writes, by whichever way); its reigns and its rumours
// count under their own kind wherever they travel.
enum class TrafficKind { kMembership, kMarks, kReigns, kLedger };
constexpr std::array<const char*, 4> kTrafficKindNames = {"membership", "marks", "reigns", "ledger"};

struct Traffic {
  static constexpr std::size_t kHeads = 28;  // of IPv4 and UDP, without options
  struct Count {
    std::uint64_t packets = 0, bytes = 0;
  };
  std::array<Count, kTrafficKindNames.size()> out{}, in{};
};

}  // namespace lynxgrade::replication
