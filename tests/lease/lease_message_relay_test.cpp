// Batching and relaying of lease messages between a requester and three lease managers.
#include "lease/lease_message_relay.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

namespace lynxgrade::lease {
namespace {

constexpr Duration kMs{1000};
constexpr Duration kBatchingDelay = kMs * 5;
constexpr GroupId kGroup{1};
constexpr std::uint64_t kView = 7;
constexpr std::uint64_t kOtherView = 8;
constexpr std::uint64_t kFormerView = 6;
constexpr IncarnationId kRequester = 11;
constexpr IncarnationId kOtherRequester = 12;
constexpr IncarnationId kNear = 21;  // the requester's relay
constexpr IncarnationId kFar = 22;
constexpr IncarnationId kThird = 23;

struct RelayFixture {
  RelayFixture() {
    requester.UpdateView(kView, managers, kNear);
    near_manager.UpdateView(kView, managers, 0);
    far_manager.UpdateView(kView, managers, 0);
  }

  consistency::SessionKey KeyOf(IncarnationId manager) const {
    for (int number = 0;; ++number) {
      const auto key = consistency::SessionKeyOf(kGroup, "s" + std::to_string(number));
      if (SelectLeaseManager(key, managers) == manager) return key;
    }
  }
  LeaseMessage Message(LeaseMessage::Kind kind, IncarnationId manager, std::uint64_t view = kView) const {
    return {kind, view, KeyOf(manager), kGroup};
  }
  // A first request that may be batched.
  OutgoingLeaseMessage Acquire(IncarnationId manager) const {
    return {manager, Message(LeaseMessage::Kind::kAcquire, manager), 1, true};
  }
  // Sends the requester's request to the far manager through the near one.
  void AcquireThroughRelay() {
    requester.Send(now, Acquire(kFar), hops);
    requester.FlushDue(now + kBatchingDelay, hops);
    LeaseMessageRelay::Hops sent = std::exchange(hops, {});
    REQUIRE(sent.size() == 1);
    REQUIRE(near_manager.Receive(now, kRequester, sent[0], hops) == 0);
    sent = std::exchange(hops, {});
    REQUIRE(sent.size() == 1);
    REQUIRE(far_manager.Receive(now, kNear, sent[0], hops) == kRequester);
    REQUIRE(hops.empty());
  }

  std::vector<IncarnationId> managers{kNear, kFar, kThird};
  TimePoint now{Duration(1'700'000'000'000'000)};
  LeaseMessageRelay requester{{kRequester, kBatchingDelay}};
  LeaseMessageRelay near_manager{{kNear, kBatchingDelay}};
  LeaseMessageRelay far_manager{{kFar, kBatchingDelay}};
  LeaseMessageRelay::Hops hops;
};

TEST_CASE("lease relay: while bandwidth is not low, requests and retries go directly and at once") {
  RelayFixture fixture;
  OutgoingLeaseMessage request = fixture.Acquire(kFar);
  request.may_batch = false;
  fixture.requester.Send(fixture.now, request, fixture.hops);
  request.attempts = 2;
  fixture.requester.Send(fixture.now, request, fixture.hops);
  REQUIRE(fixture.hops.size() == 2);
  CHECK(fixture.hops[0].receiver == kFar);
  CHECK_FALSE(fixture.hops[0].via_relay);
}

TEST_CASE(
    "lease relay: requests to two managers are sent to the relay together, after the delay of the first") {
  RelayFixture fixture;
  LeaseMessageRelay::Hops& hops = fixture.hops;
  const TimePoint now = fixture.now;
  fixture.requester.Send(now, fixture.Acquire(kNear), hops);
  fixture.requester.FlushDue(now + kMs * 4, hops);
  fixture.requester.Send(now + kMs * 4, fixture.Acquire(kFar), hops);
  CHECK(hops.empty());
  fixture.requester.FlushDue(now + kBatchingDelay, hops);
  REQUIRE(hops.size() == 2);
  for (const LeaseMessageRelay::Hop& hop : hops) CHECK((hop.receiver == kNear && hop.via_relay));
  // The relay is the receiver of one message and forwards the other one immediately.
  const LeaseMessageRelay::Hops sent = std::exchange(hops, {});
  CHECK(fixture.near_manager.Receive(now, kRequester, sent[0], hops) == kRequester);
  CHECK(hops.empty());
  CHECK(fixture.near_manager.Receive(now, kRequester, sent[1], hops) == 0);
  REQUIRE(hops.size() == 1);
  CHECK(hops[0].receiver == kFar);
  CHECK(hops[0].origin == kRequester);
  const LeaseMessageRelay::Hops forwarded = std::exchange(hops, {});
  CHECK(fixture.far_manager.Receive(now, kNear, forwarded[0], hops) == kRequester);
  CHECK(hops.empty());
}

TEST_CASE("lease relay: grants of two managers come back through the relay, in one batch") {
  RelayFixture fixture;
  LeaseMessageRelay::Hops& hops = fixture.hops;
  const TimePoint now = fixture.now;
  fixture.AcquireThroughRelay();
  fixture.requester.Send(now, fixture.Acquire(kNear), hops);
  fixture.requester.FlushDue(now + kBatchingDelay, hops);
  const LeaseMessageRelay::Hops to_relay = std::exchange(hops, {});
  REQUIRE(fixture.near_manager.Receive(now, kRequester, to_relay[0], hops) == kRequester);
  const LeaseMessage far_grant = fixture.Message(LeaseMessage::Kind::kGrant, kFar);
  fixture.far_manager.Send(now, {kRequester, far_grant}, hops);
  REQUIRE(hops.size() == 1);
  CHECK(hops[0].receiver == kNear);
  CHECK(hops[0].relay_to == kRequester);
  const LeaseMessageRelay::Hops sent = std::exchange(hops, {});
  CHECK(fixture.near_manager.Receive(now, kFar, sent[0], hops) == 0);
  const LeaseMessage near_grant = fixture.Message(LeaseMessage::Kind::kGrant, kNear);
  fixture.near_manager.Send(now, {kRequester, near_grant}, hops);
  CHECK(hops.empty());
  fixture.near_manager.FlushDue(now + kBatchingDelay, hops);
  REQUIRE(hops.size() == 2);
  LeaseMessageRelay::Hops forwarded;
  CHECK(fixture.requester.Receive(now, kNear, hops[0], forwarded) == kFar);
  CHECK(fixture.requester.Receive(now, kNear, hops[1], forwarded) == kNear);
}

TEST_CASE("lease relay: a message of a manager about another manager's key is not relayed") {
  RelayFixture fixture;
  LeaseMessageRelay::Hop forged{kNear, fixture.Message(LeaseMessage::Kind::kGrant, kThird)};
  forged.relay_to = kRequester;
  CHECK(fixture.near_manager.Receive(fixture.now, kFar, forged, fixture.hops) == 0);
  fixture.near_manager.FlushDue(fixture.now + kMs * 50, fixture.hops);
  CHECK(fixture.hops.empty());
  CHECK(fixture.near_manager.counts().dropped == 1);
}

TEST_CASE("lease relay: messages of another view are neither relayed nor received through a relay") {
  RelayFixture fixture;
  LeaseMessageRelay::Hop acquire{kNear, fixture.Message(LeaseMessage::Kind::kAcquire, kFar, kOtherView)};
  acquire.via_relay = true;
  CHECK(fixture.near_manager.Receive(fixture.now, kRequester, acquire, fixture.hops) == 0);
  LeaseMessageRelay::Hop revoke{kRequester, fixture.Message(LeaseMessage::Kind::kRevoke, kFar, kOtherView)};
  revoke.via_relay = true;
  CHECK(fixture.requester.Receive(fixture.now, kNear, revoke, fixture.hops) == 0);
  CHECK(fixture.hops.empty());
}

TEST_CASE(
    "lease relay: a revocation goes directly if retried, of another view, or without a recent relayed "
    "request") {
  RelayFixture fixture;
  LeaseMessageRelay::Hops& hops = fixture.hops;
  const TimePoint now = fixture.now;
  fixture.AcquireThroughRelay();
  const LeaseMessage revoke = fixture.Message(LeaseMessage::Kind::kRevoke, kFar);
  const LeaseMessage former = fixture.Message(LeaseMessage::Kind::kRevoke, kFar, kFormerView);
  fixture.far_manager.Send(now, {kRequester, revoke, 2}, hops);
  fixture.far_manager.Send(now, {kRequester, former}, hops);
  fixture.far_manager.Send(now, {kOtherRequester, revoke}, hops);
  fixture.far_manager.Send(now + kMs * 3000, {kRequester, revoke}, hops);
  REQUIRE(hops.size() == 4);
  for (const LeaseMessageRelay::Hop& hop : hops) {
    CHECK((hop.relay_to == 0 && !hop.via_relay && hop.receiver != kNear));
  }
}

TEST_CASE("lease relay: a direct request ends the route of its sender through the relay") {
  RelayFixture fixture;
  LeaseMessageRelay::Hops& hops = fixture.hops;
  const TimePoint now = fixture.now;
  fixture.AcquireThroughRelay();
  const LeaseMessage revoke = fixture.Message(LeaseMessage::Kind::kRevoke, kFar);
  fixture.far_manager.Send(now, {kRequester, revoke}, hops);
  CHECK(hops[0].relay_to == kRequester);
  const LeaseMessageRelay::Hop direct{kFar, fixture.Message(LeaseMessage::Kind::kAcquire, kFar)};
  CHECK(fixture.far_manager.Receive(now, kRequester, direct, hops) == kRequester);
  fixture.far_manager.Send(now, {kRequester, revoke}, hops);
  CHECK(hops[1].receiver == kRequester);
}

}  // namespace
}  // namespace lynxgrade::lease
