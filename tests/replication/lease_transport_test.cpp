// Session leases over the network: sessions that roam, while instances stop, restart and are cut off.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "replication/lease_fleet.h"

namespace lynxgrade::replication {
namespace {

TEST_CASE("leases: sessions that migrate read by their own watermark, and no read is stale") {
  for (const std::size_t size : {1u, 2u, 3u, 8u}) {
    CAPTURE(size);
    Fleet fleet(size, {});
    REQUIRE(fleet.UntilWhole(kSecond * 20));
    fleet.Pass(kSecond);
    fleet.Load(kSecond * 10, 20, 20);
    fleet.Pass(kSecond);
    std::ranges::sort(fleet.waited_ms);
    CHECK(fleet.stale == 0);
    CHECK(fleet.writes_failed == 0);
    CHECK(fleet.reads_done == fleet.reads_begun);
    CHECK(fleet.reads_done > 200);
    CHECK(fleet.conservative * 50 < fleet.reads_done);
    MESSAGE(size, " instances: ", fleet.reads_done, " reads, ", fleet.conservative,
            " on a conservative target; a write's answer waits ", fleet.waited_ms[fleet.waited_ms.size() / 2],
            " ms, p99 ", fleet.waited_ms[fleet.waited_ms.size() * 99 / 100]);
  }
}

TEST_CASE(
    "leases: with packet loss, partitions, suspensions and restarts no required position misses an answered "
    "write") {
  int done = 0, conservative = 0, answered = 0, failed = 0;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    CAPTURE(seed);
    Fleet fleet(3 + seed % 3, {Way::kLeases, static_cast<int>(seed % 3) * 8}, seed);
    fleet.UntilWhole(kSecond * 20);
    Storm(fleet, 900);
    CHECK(fleet.stale == 0);
    done += fleet.reads_done;
    conservative += fleet.conservative;
    answered += static_cast<int>(fleet.waited_ms.size());
    failed += fleet.writes_failed;
  }
  MESSAGE(done, " reads, ", conservative, " on a conservative target; ", answered, " writes answered, ",
          failed, " not in time");
  CHECK(conservative < done * 9 / 10);
  CHECK(failed * 10 < answered);
}

TEST_CASE("leases: reads are stale if writes do not wait for leases") {
  int stale = 0;
  for (std::uint64_t seed = 1; seed <= 8 && stale == 0; ++seed) {
    Fleet fleet(3, {Way::kPlain}, seed);
    fleet.UntilWhole(kSecond * 20);
    Storm(fleet, 600);
    stale += fleet.stale;
  }
  CHECK(stale > 0);
}

TEST_CASE("leases: beside instances that broadcast watermarks no read is stale, and theirs stay replicated") {
  Fleet fleet(4, {Way::kBroadcast});
  REQUIRE(fleet.UntilWhole(kSecond * 20));
  fleet.Load(kSecond * 3, 10, 30);
  // One after the other goes over to the directory.
  for (std::size_t at = 0; at < fleet.size; ++at) {
    CAPTURE(at);
    fleet.Begin(at, Way::kLeases);
    fleet.Pass(kSecond * 4);
    fleet.conservative = fleet.reads_done = 0;
    fleet.Load(kSecond * 5, 10, 30);
    CHECK(fleet.stale == 0);
    CHECK(fleet.reads_done > 100);
    if (at + 1 < fleet.size) {
      // The old ones know what the new ones answered, as before.
      const auto covered = fleet.nodes[fleet.size - 1]->consistency_guard.ReplicatedThrough();
      REQUIRE(covered);
      CHECK(fleet.now - *covered < kSecond);
    }
  }
  REQUIRE(fleet.UntilWhole(kSecond * 20));
  fleet.Pass(kSecond);
  fleet.conservative = fleet.reads_done = 0;
  fleet.Load(kSecond * 5, 10, 30);
  fleet.Pass(kSecond);
  CHECK(fleet.stale == 0);
  CHECK(fleet.writes_failed == 0);
  CHECK(fleet.conservative * 20 < fleet.reads_done);
}

TEST_CASE(
    "leases: a partition delays writes no longer than views take to expire, and reads become conservative") {
  Fleet fleet(4, {});
  REQUIRE(fleet.UntilWhole(kSecond * 20));
  fleet.Pass(kSecond);
  for (const std::size_t a : {0u, 1u}) {
    for (const std::size_t b : {2u, 3u}) fleet.cut.insert({{a, b}, {b, a}});
  }
  fleet.Pass(kSecond * 8);
  fleet.conservative = fleet.reads_done = fleet.writes_failed = 0;
  const std::size_t before = fleet.waited_ms.size();
  fleet.Load(kSecond * 4, 20, 30);
  fleet.Pass(kSecond * 5);
  CHECK(fleet.waited_ms.size() > before + 200);
  CHECK(fleet.writes_failed == 0);
  CHECK(fleet.conservative == fleet.reads_done);
  CHECK(fleet.stale == 0);
  fleet.cut.clear();
  REQUIRE(fleet.UntilWhole(kSecond * 40));
  fleet.Pass(kSecond);
  fleet.conservative = fleet.reads_done = 0;
  fleet.Load(kSecond * 4, 20, 30);
  fleet.Pass(kSecond);
  CHECK(fleet.stale == 0);
  CHECK(fleet.conservative * 20 < fleet.reads_done);
}

TEST_CASE("leases: two instances that cannot reach each other acquire, revoke and release through a third") {
  Fleet fleet(4, {});
  REQUIRE(fleet.UntilWhole(kSecond * 20));
  fleet.Pass(kSecond);
  fleet.cut = {{0, 1}, {1, 0}};
  fleet.Pass(kSecond * 2);
  const auto& quorum_tracker = fleet.nodes[0]->engine->swim().quorum_tracker();
  const std::uint64_t view = quorum_tracker.view();
  fleet.Load(kSecond * 10, 10, 30);
  fleet.Pass(kSecond * 5);
  CHECK(quorum_tracker.view() == view);  // both are heard by the others, so nobody leaves the view
  CHECK(fleet.waited_ms.size() > 300);
  CHECK(fleet.writes_failed == 0);
  CHECK(fleet.stale == 0);
  std::ranges::sort(fleet.waited_ms);
  MESSAGE("a write's answer waits ", fleet.waited_ms[fleet.waited_ms.size() / 2], " ms, p99 ",
          fleet.waited_ms[fleet.waited_ms.size() * 99 / 100], ", at most ", fleet.waited_ms.back());
}

TEST_CASE("leases: an instance with a duplicate node name answers no writes while the newer one runs") {
  Fleet fleet(2, {});
  REQUIRE(fleet.UntilWhole(kSecond * 20));
  ReplicationEngine& engine = *fleet.nodes[0]->engine;
  const consistency::SessionKey key = consistency::SessionKeyOf(kGroup, "s1");
  fleet.nodes[0]->AcquireLease(kGroup, key, consistency::LeaseUse::kWrite);
  fleet.Pass(kSecond);
  REQUIRE(engine.MayAnswerWrite(fleet.now, key));
  proto::Packet packet;
  *packet.mutable_sender() = fleet.nodes[1]->engine->swim().self();
  proto::Member& later = *packet.add_gossip();
  later = engine.swim().self();
  later.set_incarnation_id(4711);
  later.set_started_us(later.started_us() + 1);
  Outbox outs;
  engine.HandlePacket(fleet.now, "a1", packet, outs);
  CHECK_FALSE(engine.MayAnswerWrite(fleet.now, key));
  // Also once it is bound to nothing: the other is in the view by which they all read.
  CHECK_FALSE(engine.MayAnswerWrite(fleet.now + kSecond * 3600, key));
  packet.mutable_gossip(0)->set_state(proto::Member::DEAD);
  engine.HandlePacket(fleet.now, "a1", packet, outs);
  CHECK(engine.MayAnswerWrite(fleet.now, key));
}

TEST_CASE("leases: a granted watermark starts no timeline in the group of another session of the same key") {
  constexpr GroupId kOther{2};
  const consistency::SessionKey key = consistency::SessionKeyOf(kGroup, "p10");
  REQUIRE(key == consistency::SessionKeyOf(kOther, "p11"));
  Fleet fleet(2, {});
  REQUIRE(fleet.UntilWhole(kSecond * 20));
  fleet.Pass(kSecond);
  for (const std::size_t at : {0u, 1u}) {
    // Written in one group here, and met in the other there.
    Node& node = *fleet.nodes[at];
    Node& other = *fleet.nodes[1 - at];
    node.consistency_guard.LearnWatermark(kGroup, key, {fleet.now, kPrimary});
    node.AcquireLease(kGroup, key, consistency::LeaseUse::kWrite);
    fleet.Pass(kSecond);
    REQUIRE(node.engine->MayAnswerWrite(fleet.now, key));
    other.AcquireLease(kOther, key, consistency::LeaseUse::kWrite);
    fleet.Pass(kSecond);
    REQUIRE(other.engine->MayAnswerWrite(fleet.now, key));
    CHECK_FALSE(node.engine->MayAnswerWrite(fleet.now, key));
    REQUIRE(other.consistency_guard.watermark_table().Find(key).watermark);
    const auto& timelines = other.consistency_guard.timelines();
    CHECK((!timelines.contains(kOther) || !timelines.at(kOther).primary()));
  }
}

TEST_CASE("leases: an instance that starts without state receives the timelines that its peers know") {
  Fleet fleet(3, {});
  REQUIRE(fleet.UntilWhole(kSecond * 20));
  fleet.Load(kSecond, 20, 0);
  fleet.Pass(kSecond * 40);
  fleet.Begin(2, Way::kLeases);
  fleet.Pass(kSecond * 3);
  const auto& timelines = fleet.nodes[2]->consistency_guard.timelines();
  REQUIRE(timelines.contains(kGroup));
  CHECK(timelines.at(kGroup).primary() == kPrimary);
  CHECK(fleet.now - timelines.at(kGroup).since() > kSecond * 30);
}

TEST_CASE("replication: the timelines of all of 243 groups are sent, and repeated, also after packet loss") {
  Fleet fleet(2, {Way::kBroadcast, 0});
  REQUIRE(fleet.UntilWhole(kSecond * 20));
  fleet.Pass(kSecond);
  const LogPosition since = fleet.now - kSecond * 3600;
  constexpr int kGroups = 243;
  const auto know = [&](LogPosition confirmed) {
    for (int group = 1; group <= kGroups; ++group) {
      fleet.nodes[0]->consistency_guard.LearnTimeline(GroupId(group), kPrimary, since, since, confirmed);
    }
  };
  const auto known = [&](LogPosition confirmed) {
    return std::ranges::count_if(fleet.nodes[1]->consistency_guard.timelines(), [&](const auto& item) {
      return item.second.primary() == kPrimary && item.second.confirmed() >= confirmed;
    });
  };
  know(fleet.now);
  const LogPosition first = fleet.now;
  fleet.cut = {{0, 1}, {1, 0}};  // what is told first is lost
  fleet.Pass(kMs * 300);
  fleet.cut.clear();
  fleet.Pass(kSecond * 5);
  CHECK(known(first) == kGroups);
  // Nothing changes but that they last.
  const LogPosition later = fleet.now;
  know(later);
  fleet.Pass(kSecond * 8);
  CHECK(known(later) == kGroups);
  // A new reign goes before the round.
  fleet.nodes[0]->consistency_guard.LearnTimeline(GroupId(200), ServerId(8), fleet.now, fleet.now, fleet.now);
  fleet.Pass(kMs * 200);
  CHECK(fleet.nodes[1]->consistency_guard.timelines().at(GroupId(200)).primary() == ServerId(8));
}

}  // namespace
}  // namespace lynxgrade::replication
