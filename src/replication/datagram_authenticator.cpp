#include "replication/datagram_authenticator.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>

namespace lynxgrade::replication {
namespace {

// Layout of a datagram: format (1 byte), key number (1 byte), authentication code, packet.
constexpr char kFormat = 1;
constexpr std::size_t kCodeOffset = 2;
constexpr std::size_t kCodeSize = 16;
constexpr std::size_t kHeaderSize = kCodeOffset + kCodeSize;
constexpr std::uint32_t kProtocolVersion = 1;

// The authentication code covers the format, the key number and the packet.
std::array<char, kCodeSize> AuthenticationCode(const SharedKey& key, std::string_view packet) {
  std::string text{kFormat, static_cast<char>(key.number)};
  text += packet;
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int digest_size = 0;
  HMAC(EVP_sha256(), key.secret.data(), static_cast<int>(key.secret.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &digest_size);
  std::array<char, kCodeSize> code{};
  std::copy_n(digest.begin(), kCodeSize, reinterpret_cast<unsigned char*>(code.data()));
  return code;
}

bool HasRequiredFields(const proto::Packet& packet) {
  if (packet.sender().incarnation_id() == 0 || packet.counter() == 0) return false;
  // A packet that only carries lease messages does not name its sender.
  return !packet.sender().name().empty() || packet.has_lease_batch();
}

}  // namespace

const char* Describe(DatagramError error) {
  switch (error) {
    case DatagramError::kMalformed:
      return "malformed datagram";
    case DatagramError::kUnknownKey:
      return "unknown key";
    case DatagramError::kInvalidSignature:
      return "invalid signature";
    case DatagramError::kInvalidPacket:
      return "invalid packet";
    case DatagramError::kUnsupportedVersion:
      return "unsupported protocol version";
    case DatagramError::kReplayed:
      return "replayed packet";
  }
  return "";
}

const SharedKey* DatagramAuthenticator::FindKey(std::uint8_t number) const {
  const auto found = std::ranges::find(keys_, number, &SharedKey::number);
  return found == keys_.end() ? nullptr : &*found;
}

std::string DatagramAuthenticator::Sign(proto::Packet& packet) {
  packet.set_counter(++counter_);
  const std::string bytes = packet.SerializeAsString();
  const SharedKey& key = keys_.front();
  const auto code = AuthenticationCode(key, bytes);
  std::string datagram{kFormat, static_cast<char>(key.number)};
  datagram.append(code.data(), code.size());
  return datagram + bytes;
}

tl::expected<proto::Packet, DatagramError> DatagramAuthenticator::Verify(std::string_view datagram) {
  if (datagram.size() <= kHeaderSize || datagram[0] != kFormat) {
    return tl::unexpected(DatagramError::kMalformed);
  }
  const SharedKey* key = FindKey(static_cast<std::uint8_t>(datagram[1]));
  if (key == nullptr) return tl::unexpected(DatagramError::kUnknownKey);
  const std::string_view bytes = datagram.substr(kHeaderSize);
  const auto code = AuthenticationCode(*key, bytes);
  if (CRYPTO_memcmp(code.data(), datagram.data() + kCodeOffset, kCodeSize) != 0) {
    return tl::unexpected(DatagramError::kInvalidSignature);
  }
  proto::Packet packet;
  if (!packet.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return tl::unexpected(DatagramError::kInvalidPacket);
  }
  if (packet.version() != kProtocolVersion) return tl::unexpected(DatagramError::kUnsupportedVersion);
  if (!HasRequiredFields(packet)) return tl::unexpected(DatagramError::kInvalidPacket);
  if (!AcceptCounter(packet)) return tl::unexpected(DatagramError::kReplayed);
  return packet;
}

bool DatagramAuthenticator::AcceptCounter(const proto::Packet& packet) {
  const std::uint64_t sender = packet.sender().incarnation_id();
  // Only holders of a key reach this point. The limit bounds memory if an instance restarts continually.
  if (windows_.size() >= kMaxSenders && !windows_.contains(sender)) windows_.clear();
  ReplayWindow& window = windows_[sender];
  const std::uint64_t counter = packet.counter();
  if (counter > window.highest) {
    const std::uint64_t advance = counter - window.highest;
    if (advance >= kWindowSize) {
      window.accepted.reset();
    } else {
      for (std::uint64_t i = 1; i <= advance; ++i) window.accepted.reset((window.highest + i) % kWindowSize);
    }
    window.highest = counter;
  } else if (window.highest - counter >= kWindowSize || window.accepted.test(counter % kWindowSize)) {
    return false;
  }
  window.accepted.set(counter % kWindowSize);
  return true;
}

}  // namespace lynxgrade::replication
