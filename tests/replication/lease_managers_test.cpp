// Instances that are dedicated to manage the leases of all others.
#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "replication/lease_fleet.h"

namespace lynxgrade::replication {
namespace {

TEST_CASE("leases: dedicated managers alone manage leases, and all instances do once none is left") {
  Fleet fleet(6, {.owners = 2});
  REQUIRE(fleet.UntilWhole(kSecond * 20));
  fleet.Pass(kSecond);
  fleet.Load(kSecond * 5, 20, 30);
  fleet.Pass(kSecond);
  CHECK(fleet.stale == 0);
  CHECK(fleet.writes_failed == 0);
  CHECK(fleet.reads_done > 200);
  CHECK(fleet.conservative * 50 < fleet.reads_done);
  const auto grants = [&](std::size_t at) {
    return fleet.nodes[at]->engine->lease_client()->manager().counts().grants;
  };
  for (std::size_t at = 0; at < fleet.size; ++at) {
    CAPTURE(at);
    CHECK((grants(at) > 50) == fleet.Aside(at));
  }
  // One of them dies: in the view without it the other one owns all.
  const std::uint64_t before = grants(5);
  fleet.stopped[4] = fleet.now + kSecond * 3600;
  fleet.Pass(kSecond * 10);
  fleet.Load(kSecond * 3, 20, 30);
  fleet.Pass(kSecond);
  CHECK(grants(5) > before + 50);
  for (std::size_t at = 0; at < 4; ++at) CHECK(grants(at) == 0);
  // The other one too.
  fleet.stopped[5] = fleet.now + kSecond * 3600;
  fleet.Pass(kSecond * 10);
  fleet.Load(kSecond * 3, 20, 30);
  fleet.Pass(kSecond);
  for (std::size_t at = 0; at < 4; ++at) CHECK(grants(at) > 0);
  // Replaced by new lives they own alone again, and reads are precise.
  fleet.Begin(4, Way::kLeases);
  fleet.Begin(5, Way::kLeases);
  REQUIRE(fleet.UntilWhole(kSecond * 20));
  fleet.Pass(kSecond);
  const std::uint64_t first = grants(0);
  fleet.conservative = fleet.reads_done = 0;
  fleet.Load(kSecond * 3, 20, 30);
  fleet.Pass(kSecond);
  CHECK(grants(0) == first);
  CHECK(grants(4) > 30);
  CHECK(fleet.conservative * 20 < fleet.reads_done);
  CHECK(fleet.stale == 0);
}

TEST_CASE("leases: dedicated managers that die, restart and are cut off leave no read stale") {
  int done = 0, conservative = 0, answered = 0, failed = 0;
  for (std::uint64_t seed = 1; seed <= 9; ++seed) {
    CAPTURE(seed);
    const std::size_t owners = 1 + seed % 3;
    Fleet fleet(owners + 2 + seed % 2,
                {.loss = static_cast<int>(seed % 3) * 8, .owners = owners, .mixed = seed > 6}, seed);
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

TEST_CASE(
    "leases: beside incarnations that do not know dedicated managers all manage, and views stay complete") {
  Fleet fleet(5, {.owners = 2, .mixed = true});
  for (std::size_t at = 0; at < fleet.size; ++at) {
    while (fleet.random_old[at] != (at != 1 && at < 3)) fleet.Begin(at, Way::kLeases);
  }
  REQUIRE(fleet.UntilWhole(kSecond * 20));
  fleet.Pass(kSecond);
  fleet.Load(kSecond * 5, 20, 30);
  fleet.Pass(kSecond);
  CHECK(fleet.stale == 0);
  CHECK(fleet.writes_failed == 0);
  CHECK(fleet.conservative * 20 < fleet.reads_done);
  const auto grants = [&](std::size_t at) {
    return fleet.nodes[at]->engine->lease_client()->manager().counts().grants;
  };
  for (std::size_t at = 0; at < fleet.size; ++at) CHECK(grants(at) > 20);
  // With the last one replaced those set aside are the only ones.
  for (const std::size_t at : {0u, 2u}) {
    do fleet.Begin(at, Way::kLeases);
    while (fleet.random_old[at]);
  }
  REQUIRE(fleet.UntilWhole(kSecond * 20));
  fleet.Pass(kSecond);
  const std::uint64_t first = grants(1);
  fleet.conservative = fleet.reads_done = 0;
  fleet.Load(kSecond * 5, 20, 30);
  fleet.Pass(kSecond);
  CHECK(grants(0) + grants(2) == 0);
  CHECK(grants(1) == first);
  CHECK(fleet.stale == 0);
  CHECK(fleet.conservative * 20 < fleet.reads_done);
}

TEST_CASE("leases: dedicated managers selected beside incarnations that do not know them make reads stale") {
  int stale = 0;
  for (std::uint64_t seed = 1; seed <= 8 && stale == 0; ++seed) {
    Fleet fleet(5, {.owners = 1 + seed % 2, .mixed = true, .owners_named = false}, seed);
    fleet.UntilWhole(kSecond * 20);
    Storm(fleet, 600);
    stale += fleet.stale;
  }
  CHECK(stale > 0);
}

// An older version passes on what it does not know; were it lost on the way, views would differ instead of
// owners.
TEST_CASE(
    "membership: unknown fields of a later version are forwarded, and a view names its dedicated managers") {
  proto::Member told;
  told.set_name("x");
  told.set_incarnation_id(77);
  told.set_started_us(5);
  told.set_address("a9");
  std::string bytes = told.SerializeAsString();
  bytes += std::string("\xa0\x06\x2a", 3);  // field 100, a number: of a version to come
  proto::Member known;
  REQUIRE(known.ParseFromString(bytes));
  proto::Member self;
  self.set_name("n0");
  self.set_incarnation_id(7);
  self.set_address("a0");
  const auto view = [&](const proto::Member& of) {
    membership::Swim::Options options;
    options.fleet_size = 2;
    membership::Swim swim(options, self, {}, 1);
    proto::Packet packet;
    packet.set_version(1);
    *packet.mutable_sender() = of;
    Outbox outs;
    swim.HandlePacket(TimePoint{kSecond}, "a9", packet, outs);
    swim.Tick(TimePoint{kSecond * 2}, outs);
    proto::Packet passed;
    swim.AddSenderAndGossip(passed);
    REQUIRE(passed.gossip_size() == 1);
    CHECK(passed.gossip(0).SerializeAsString() == of.SerializeAsString());
    return std::pair(swim.quorum_tracker().view(), swim.dedicated_lease_managers());
  };
  CHECK(known.SerializeAsString().ends_with(std::string("\xa0\x06\x2a", 3)));
  const auto [plain, nobody] = view(known);
  CHECK(nobody.empty());
  known.set_capabilities(membership::capability::kSupportsDedicatedLeaseManagers);
  CHECK(view(known) == std::pair(plain, nobody));
  known.set_dedicated_lease_manager(true);
  const auto [named, owners] = view(known);
  CHECK(named != plain);
  CHECK(owners == std::vector<std::uint64_t>{77});
  known.set_capabilities(1);
  CHECK(view(known) == std::pair(plain, nobody));
}

}  // namespace
}  // namespace lynxgrade::replication
