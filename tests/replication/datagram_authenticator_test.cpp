// Shared keys and the authentication of datagrams: errors, replay protection, rotation of keys.
#include "replication/datagram_authenticator.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace lynxgrade::replication {
namespace {

const std::string kSecretA(64, 'a'), kSecretB(64, 'b');

std::vector<SharedKey> ParseKeys(const std::string& text) {
  const auto keys = ParseSharedKeys(text);
  REQUIRE(keys.has_value());
  return *keys;
}

// The error for which a datagram is rejected.
DatagramError ErrorOf(const tl::expected<proto::Packet, DatagramError>& verified) {
  REQUIRE_FALSE(verified.has_value());
  return verified.error();
}

proto::Packet MakePacket(std::uint64_t incarnation_id = 9) {
  proto::Packet packet;
  packet.set_version(1);
  packet.mutable_sender()->set_name("n1");
  packet.mutable_sender()->set_incarnation_id(incarnation_id);
  packet.mutable_ping()->set_nonce(5);
  return packet;
}

TEST_CASE("keys: the error of a key file names its line") {
  struct Case {
    std::string text, message;
  };
  for (const Case& test :
       {Case{"", "file contains no key"}, Case{"# none\n\n", "file contains no key"},
        Case{"1 abc", "line 1: key is not 64"}, Case{"0 " + kSecretA, "line 1: key number is not"},
        Case{"x " + kSecretA, "line 1: key number is not"},
        Case{"256 " + kSecretA, "line 1: key number is not"},
        Case{std::string("1 ").append(kSecretA).append("\n1 ").append(kSecretB),
             "line 2: duplicate key number"},
        Case{"1 " + kSecretA + " more", "line 1: unexpected text after"},
        Case{"1 " + std::string(63, 'a') + "g", "line 1: key is not 64"}}) {
    CAPTURE(test.text);
    const auto parsed = ParseSharedKeys(test.text);
    REQUIRE_FALSE(parsed.has_value());
    CHECK(Describe(parsed.error()).find(test.message) != std::string::npos);
  }
  CHECK(ParseKeys("# first\n 7 " + kSecretA + " # signs\r\n8\t" + kSecretB).size() == 2);
}

TEST_CASE("datagrams: each error is distinguished, and a changed byte is rejected") {
  DatagramAuthenticator sender(ParseKeys("1 " + kSecretA)), receiver(ParseKeys("1 " + kSecretA)),
      stranger(ParseKeys("1 " + kSecretB)), other(ParseKeys("2 " + kSecretA));
  proto::Packet packet = MakePacket();
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
  proto::Packet future = MakePacket();
  future.set_version(2);
  CHECK(ErrorOf(receiver.Verify(sender.Sign(future))) == DatagramError::kUnsupportedVersion);
}

TEST_CASE(
    "datagrams: late and reordered ones are accepted once each, those outside the replay window are "
    "rejected") {
  DatagramAuthenticator sender(ParseKeys("1 " + kSecretA)), receiver(ParseKeys("1 " + kSecretA));
  std::vector<std::string> sent;
  for (int i = 0; i < 6000; ++i) {
    proto::Packet packet = MakePacket();
    sent.push_back(sender.Sign(packet));
  }
  CHECK(receiver.Verify(sent[5999]).has_value());
  CHECK(receiver.Verify(sent[3000]).has_value());
  CHECK_FALSE(receiver.Verify(sent[3000]).has_value());
  CHECK_FALSE(receiver.Verify(sent[100]).has_value());
  proto::Packet next_incarnation = MakePacket(10);
  next_incarnation.set_counter(1);
  CHECK(
      receiver.Verify(DatagramAuthenticator(ParseKeys("1 " + kSecretA)).Sign(next_incarnation)).has_value());
}

TEST_CASE("datagrams: none is rejected while keys are rotated") {
  DatagramAuthenticator a(ParseKeys("1 " + kSecretA)), b(ParseKeys("1 " + kSecretA));
  int lost = 0;
  const auto both = [&] {
    for (int i = 0; i < 20; ++i) {
      proto::Packet to_b = MakePacket(1), to_a = MakePacket(2);
      lost += !b.Verify(a.Sign(to_b)).has_value();
      lost += !a.Verify(b.Sign(to_a)).has_value();
    }
  };
  const std::string added = "1 " + kSecretA + "\n2 " + kSecretB,
                    swapped = "2 " + kSecretB + "\n1 " + kSecretA, last = "2 " + kSecretB;
  both();
  for (const std::string& step : {added, swapped, last}) {
    a.ReplaceKeys(ParseKeys(step));
    both();
    b.ReplaceKeys(ParseKeys(step));
    both();
  }
  CHECK(lost == 0);
  DatagramAuthenticator old(ParseKeys("1 " + kSecretA));
  proto::Packet packet = MakePacket(3);
  CHECK_FALSE(b.Verify(old.Sign(packet)).has_value());
}

}  // namespace
}  // namespace lynxgrade::replication
