#include "replication/datagram_authenticator.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>
#include <fstream>
#include <iterator>

namespace lynxgrade::replication {
namespace {

constexpr char kFormat = 1;
constexpr std::size_t kTag = 16;
constexpr std::size_t kHead = 2 + kTag;  // format, key number, tag
constexpr std::size_t kLeastSecret = 32;

// Over the format, the key's number and the packet.
std::array<char, kTag> TagOf(const SharedKey& key, std::string_view packet) {
  std::string text{kFormat, static_cast<char>(key.number)};
  text += packet;
  std::array<unsigned char, EVP_MAX_MD_SIZE> whole{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.secret.data(), static_cast<int>(key.secret.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), whole.data(), &size);
  std::array<char, kTag> tag{};
  std::copy_n(whole.begin(), kTag, reinterpret_cast<unsigned char*>(tag.data()));
  return tag;
}

std::optional<std::string> FromHex(std::string_view hex) {
  std::string bytes;
  if (hex.size() % 2 != 0) return std::nullopt;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    unsigned value = 0;
    const auto [end, error] = std::from_chars(hex.data() + i, hex.data() + i + 2, value, 16);
    if (error != std::errc() || end != hex.data() + i + 2) return std::nullopt;
    bytes += static_cast<char>(value);
  }
  return bytes;
}

std::string_view TakeWord(std::string_view& line) {
  const std::size_t from = line.find_first_not_of(" \t\r");
  if (from == std::string_view::npos) return line = {};
  const std::size_t to = std::min(line.find_first_of(" \t\r", from), line.size());
  const std::string_view word = line.substr(from, to - from);
  line.remove_prefix(to);
  return word;
}

}  // namespace

std::variant<std::vector<SharedKey>, std::string> ReadKeys(std::string_view text) {
  std::vector<SharedKey> keys;
  for (int number = 1; !text.empty(); ++number) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    line = line.substr(0, line.find('#'));
    const std::string_view name = TakeWord(line);
    if (name.empty()) continue;
    const std::string where = "line " + std::to_string(number) + ": ";
    unsigned id = 0;
    const auto [last, error] = std::from_chars(name.data(), name.data() + name.size(), id);
    if (error != std::errc() || last != name.data() + name.size() || id < 1 || id > 255) {
      return where + "a key's number is not one from 1 to 255";
    }
    const auto secret = FromHex(TakeWord(line));
    if (!secret || secret->size() < kLeastSecret) return where + "a key is not 64 or more hexadecimal digits";
    if (!TakeWord(line).empty()) return where + "something stands after the key";
    for (const SharedKey& key : keys) {
      if (key.number == id) return where + "a key's number stands twice";
    }
    keys.push_back({static_cast<std::uint8_t>(id), *secret});
  }
  if (keys.empty()) return std::string("it holds no key");
  return keys;
}

std::variant<std::vector<SharedKey>, std::string> LoadKeys(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return "the keys " + path + " cannot be opened";
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  auto keys = ReadKeys(text);
  if (auto* wrong = std::get_if<std::string>(&keys)) return "the keys " + path + " are not usable: " + *wrong;
  return keys;
}

const SharedKey* DatagramAuthenticator::SessionKeyOf(std::uint8_t number) const {
  for (const SharedKey& key : keys_) {
    if (key.number == number) return &key;
  }
  return nullptr;
}

std::string DatagramAuthenticator::Seal(proto::Packet& packet) {
  packet.set_counter(++counter_);
  const std::string bytes = packet.SerializeAsString();
  const SharedKey& key = keys_.front();
  const auto tag = TagOf(key, bytes);
  std::string datagram{kFormat, static_cast<char>(key.number)};
  datagram.append(tag.data(), tag.size());
  return datagram + bytes;
}

const char* DatagramAuthenticator::NameOf(Fault fault) {
  switch (fault) {
    case Fault::kNone:
      return "nothing is wrong";
    case Fault::kFormat:
      return "not in the form of a datagram between instances";
    case Fault::kKey:
      return "sealed with a key that is not known here";
    case Fault::kTag:
      return "sealed wrongly";
    case Fault::kPacket:
      return "what it holds cannot be read";
    case Fault::kVersion:
      return "of a version that is not spoken here";
    case Fault::kReplay:
      return "it came before";
  }
  return "";
}

std::variant<proto::Packet, DatagramAuthenticator::Fault> DatagramAuthenticator::Open(
    std::string_view datagram) {
  if (datagram.size() <= kHead || datagram[0] != kFormat) return Fault::kFormat;
  const SharedKey* key = SessionKeyOf(static_cast<std::uint8_t>(datagram[1]));
  if (key == nullptr) return Fault::kKey;
  const std::string_view bytes = datagram.substr(kHead);
  const auto tag = TagOf(*key, bytes);
  if (CRYPTO_memcmp(tag.data(), datagram.data() + 2, kTag) != 0) return Fault::kTag;
  proto::Packet packet;
  if (!packet.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return Fault::kPacket;
  if (packet.version() != 1) return Fault::kVersion;
  if (packet.sender().incarnation_id() == 0 || packet.counter() == 0) return Fault::kPacket;
  if (packet.sender().name().empty() && !packet.has_directory()) return Fault::kPacket;
  if (!Fresh(packet)) return Fault::kReplay;
  return packet;
}

// A sender's counters, by life: those far behind the newest, and those that came, are refused.
bool DatagramAuthenticator::Fresh(const proto::Packet& packet) {
  // Only holders of the key get here; the bound is for one that starts again all day long.
  if (seen_.size() >= kMostSenders && !seen_.contains(packet.sender().incarnation_id())) seen_.clear();
  Seen& seen = seen_[packet.sender().incarnation_id()];
  const std::uint64_t counter = packet.counter();
  if (counter > seen.highest) {
    const std::uint64_t passed = counter - seen.highest;
    if (passed >= kWindow) {
      seen.window.reset();
    } else {
      for (std::uint64_t i = 1; i <= passed; ++i) seen.window.reset((seen.highest + i) % kWindow);
    }
    seen.highest = counter;
  } else if (seen.highest - counter >= kWindow || seen.window.test(counter % kWindow)) {
    return false;
  }
  seen.window.set(counter % kWindow);
  return true;
}

}  // namespace lynxgrade::replication
