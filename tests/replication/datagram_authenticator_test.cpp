// Shared keys and the authentication of datagrams: errors, replay protection, rotation of keys.
#include "replication/datagram_authenticator.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace lynxgrade::replication {
namespace {

const std::string kOne(64, 'a'), kTwo(64, 'b');

std::vector<SharedKey> Keys(const std::string& text) {
  const auto keys = ParseSharedKeys(text);
  REQUIRE(keys.has_value());
  return *keys;
}

// The error for which a datagram is rejected.
DatagramError ErrorOf(const tl::expected<proto::Packet, DatagramError>& verified) {
  REQUIRE_FALSE(verified.has_value());
  return verified.error();
}

proto::Packet APacket(std::uint64_t incarnation_id = 9) {
  proto::Packet packet;
  packet.set_version(1);
  packet.mutable_sender()->set_name("n1");
  packet.mutable_sender()->set_incarnation_id(incarnation_id);
  packet.mutable_ping()->set_nonce(5);
  return packet;
}

TEST_CASE("keys: the error of a key file names its line") {
  struct Case {
    std::string text, says;
  };
  for (const Case& c :
       {Case{"", "holds no key"}, Case{"# none\n\n", "holds no key"},
        Case{"1 abc", "line 1: a key is not 64"}, Case{"0 " + kOne, "line 1: a key's number"},
        Case{"x " + kOne, "line 1: a key's number"}, Case{"256 " + kOne, "line 1: a key's number"},
        Case{std::string("1 ").append(kOne).append("\n1 ").append(kTwo),
             "line 2: a key's number stands twice"},
        Case{"1 " + kOne + " more", "line 1: something stands after"},
        Case{"1 " + std::string(63, 'a') + "g", "line 1: a key is not 64"}}) {
    CAPTURE(c.text);
    const auto read = ParseSharedKeys(c.text);
    REQUIRE_FALSE(read.has_value());
    CHECK(Describe(read.error()).find(c.says) != std::string::npos);
  }
  CHECK(Keys("# first\n 7 " + kOne + " # signs\r\n8\t" + kTwo).size() == 2);
}

TEST_CASE("datagrams: each error is distinguished, and a changed byte is rejected") {
  DatagramAuthenticator sender(Keys("1 " + kOne)), receiver(Keys("1 " + kOne)), stranger(Keys("1 " + kTwo)),
      other(Keys("2 " + kOne));
  proto::Packet packet = APacket();
  const std::string datagram = sender.Sign(packet);
  CHECK(ErrorOf(stranger.Verify(datagram)) == DatagramError::kInvalidSignature);
  CHECK(ErrorOf(other.Verify(datagram)) == DatagramError::kUnknownKey);
  CHECK(ErrorOf(receiver.Verify("")) == DatagramError::kMalformed);
  for (std::size_t i = 0; i < datagram.size(); ++i) {
    std::string changed = datagram;
    changed[i] = static_cast<char>(changed[i] ^ 1);
    CHECK_FALSE(receiver.Verify(changed).has_value());
    CHECK_FALSE(receiver.Verify(datagram.substr(0, i)).has_value());
  }
  CHECK(receiver.Verify(datagram).has_value());
  CHECK(ErrorOf(receiver.Verify(datagram)) == DatagramError::kReplayed);
  proto::Packet future = APacket();
  future.set_version(2);
  CHECK(ErrorOf(receiver.Verify(sender.Sign(future))) == DatagramError::kUnsupportedVersion);
}

TEST_CASE(
    "datagrams: late and reordered ones are accepted once each, those outside the replay window are "
    "rejected") {
  DatagramAuthenticator sender(Keys("1 " + kOne)), receiver(Keys("1 " + kOne));
  std::vector<std::string> sent;
  for (int i = 0; i < 6000; ++i) {
    proto::Packet packet = APacket();
    sent.push_back(sender.Sign(packet));
  }
  CHECK(receiver.Verify(sent[5999]).has_value());
  CHECK(receiver.Verify(sent[3000]).has_value());
  CHECK_FALSE(receiver.Verify(sent[3000]).has_value());
  CHECK_FALSE(receiver.Verify(sent[100]).has_value());
  proto::Packet next_life = APacket(10);
  next_life.set_counter(1);
  CHECK(receiver.Verify(DatagramAuthenticator(Keys("1 " + kOne)).Sign(next_life)).has_value());
}

TEST_CASE("datagrams: none is rejected while keys are rotated") {
  DatagramAuthenticator a(Keys("1 " + kOne)), b(Keys("1 " + kOne));
  int lost = 0;
  const auto both = [&] {
    for (int i = 0; i < 20; ++i) {
      proto::Packet to_b = APacket(1), to_a = APacket(2);
      lost += !b.Verify(a.Sign(to_b)).has_value();
      lost += !a.Verify(b.Sign(to_a)).has_value();
    }
  };
  const std::string added = "1 " + kOne + "\n2 " + kTwo, swapped = "2 " + kTwo + "\n1 " + kOne,
                    last = "2 " + kTwo;
  both();
  for (const std::string& step : {added, swapped, last}) {
    a.ReplaceKeys(Keys(step));
    both();
    b.ReplaceKeys(Keys(step));
    both();
  }
  CHECK(lost == 0);
  DatagramAuthenticator old(Keys("1 " + kOne));
  proto::Packet packet = APacket(3);
  CHECK_FALSE(b.Verify(old.Sign(packet)).has_value());
}

}  // namespace
}  // namespace lynxgrade::replication
