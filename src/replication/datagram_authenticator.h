// Authenticates the datagrams between instances: a message authentication code over each packet, and
// protection against replay.
//
// Owns the keys and a replay window for each sender; no sockets, no clock. The code is HMAC-SHA-256 (RFC
// 2104) truncated to 128 bits. The replay window is that of RFC 4303, section 3.4.3, over the packets'
// counters.
#pragma once

#include <bitset>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "replication/packet.pb.h"
#include "replication/peer_keys.h"

namespace lynxgrade::replication {

// Why a datagram is rejected.
enum class DatagramError {
  kMalformed,           // too short, or of another format
  kUnknownKey,          // signed with a key that is not known here
  kInvalidSignature,    // the code is not that of the packet
  kInvalidPacket,       // the packet cannot be parsed, or lacks what every packet has
  kUnsupportedVersion,  // of the protocol
  kReplayed,            // the packet has come before, or is so old that this is not known
};

// A few words for the log.
const char* Describe(DatagramError error);

class DatagramAuthenticator {
 public:
  // `keys` must not be empty; the first one signs.
  explicit DatagramAuthenticator(std::vector<SharedKey> keys) : keys_(std::move(keys)) {}
  void ReplaceKeys(std::vector<SharedKey> keys) { keys_ = std::move(keys); }

  // Sets the packet's counter, and returns the signed datagram.
  std::string Sign(proto::Packet& packet);
  // The packet of a datagram; each packet is accepted once.
  tl::expected<proto::Packet, DatagramError> Verify(std::string_view datagram);

 private:
  static constexpr std::uint64_t kWindowSize =
      4096;  // counters behind the highest one that are still accepted
  static constexpr std::size_t kMaxSenders = 4096;
  struct ReplayWindow {
    std::uint64_t highest = 0;
    std::bitset<kWindowSize> accepted;  // by counter modulo the size
  };

  const SharedKey* FindKey(std::uint8_t number) const;
  // Marks the packet's counter; false: it must not be accepted.
  bool AcceptCounter(const proto::Packet& packet);

  std::vector<SharedKey> keys_;
  std::uint64_t counter_ = 0;                      // of the last packet that was signed
  std::map<std::uint64_t, ReplayWindow> windows_;  // by incarnation of the sender
};

}  // namespace lynxgrade::replication
