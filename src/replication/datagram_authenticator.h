// Authenticates the datagrams between instances with a message authentication code over each packet, and
// rejects replayed packets.
//
// Owns the keys and a replay window for each sender; no sockets, no clock. The code is HMAC-SHA-256 (RFC
// 2104) truncated to 128 bits. The replay window follows RFC 4303, section 3.4.3, with the packets' counters
// as sequence numbers.
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
  kUnknownKey,          // signed with a key that this instance does not have
  kInvalidSignature,    // the authentication code does not match the packet
  kInvalidPacket,       // the packet cannot be parsed, or lacks a required field
  kUnsupportedVersion,  // protocol version not supported
  kReplayed,            // received before, or older than the replay window
};

// A short description for the log.
const char* Describe(DatagramError error);

class DatagramAuthenticator {
 public:
  // `keys` must not be empty; the first one is used to sign.
  explicit DatagramAuthenticator(std::vector<SharedKey> keys) : keys_(std::move(keys)) {}
  void ReplaceKeys(std::vector<SharedKey> keys) { keys_ = std::move(keys); }

  // Sets the packet's counter and returns the signed datagram.
  std::string Sign(proto::Packet& packet);
  // Returns the packet of an authentic datagram. Each packet is accepted only once.
  tl::expected<proto::Packet, DatagramError> Verify(std::string_view datagram);

 private:
  // Number of counters below the highest received one that are still accepted.
  static constexpr std::uint64_t kWindowSize = 4096;
  static constexpr std::size_t kMaxSenders = 4096;
  struct ReplayWindow {
    std::uint64_t highest = 0;
    std::bitset<kWindowSize> accepted;  // by counter modulo the size
  };

  const SharedKey* FindKey(std::uint8_t number) const;
  // Records the packet's counter. Returns false if the packet must be rejected as replayed.
  bool AcceptCounter(const proto::Packet& packet);

  std::vector<SharedKey> keys_;
  std::uint64_t counter_ = 0;                      // of the last signed packet
  std::map<std::uint64_t, ReplayWindow> windows_;  // by incarnation of the sender
};

}  // namespace lynxgrade::replication
