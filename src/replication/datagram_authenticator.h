// The envelope of a datagram between instances: a keyed tag over a packet, and each packet taken once.
//
// Owns the keys and what was seen of each sender's counters; no sockets, no clock. A tag is HMAC-SHA-256 (RFC
// 2104) cut to 128 bits. Two and more keys are valid at a time, the first of the file signs: so a new key is
// added everywhere, then put first everywhere, then the old one is taken away.
#pragma once

#include <bitset>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "replication/packet.pb.h"

namespace lynxgrade::replication {

struct SharedKey {
  std::uint8_t number = 0;
  std::string secret;  // bytes
};

// A key a line: its number from 1 to 255, then 64 or more hexadecimal digits; '#' begins a comment. Or one
// plain sentence that names the line.
std::variant<std::vector<SharedKey>, std::string> ReadKeys(std::string_view text);
std::variant<std::vector<SharedKey>, std::string> LoadKeys(const std::string& path);

class DatagramAuthenticator {
 public:
  explicit DatagramAuthenticator(std::vector<SharedKey> keys) : keys_(std::move(keys)) {}
  void Replace(std::vector<SharedKey> keys) { keys_ = std::move(keys); }

  // Numbers the packet and seals it.
  std::string Seal(proto::Packet& packet);

  enum class Fault { kNone, kFormat, kKey, kTag, kPacket, kVersion, kReplay };
  static const char* NameOf(Fault fault);
  // What the datagram holds, or why it is dropped.
  std::variant<proto::Packet, Fault> Open(std::string_view datagram);

 private:
  static constexpr std::uint64_t kWindow = 4096;  // counters behind the highest that may still come
  static constexpr std::size_t kMostSenders = 4096;
  struct Seen {
    std::uint64_t highest = 0;
    std::bitset<kWindow> window;
  };

  const SharedKey* SessionKeyOf(std::uint8_t number) const;
  bool Fresh(const proto::Packet& packet);

  std::vector<SharedKey> keys_;
  std::uint64_t counter_ = 0;
  std::map<std::uint64_t, Seen> seen_;  // by life
};

}  // namespace lynxgrade::replication
