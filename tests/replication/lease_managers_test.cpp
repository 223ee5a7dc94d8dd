// Dedicated lease managers: instances that manage the leases of all others.
#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "replication/lease_fleet.h"

namespace lynxgrade::replication {
namespace {

TEST_CASE("leases: dedicated managers alone manage leases, and all instances do once none is left") {
  Fleet fleet(6, {.dedicated_managers = 2});
  REQUIRE(fleet.RunUntilComplete(kSecond * 20));
  fleet.RunFor(kSecond);
  fleet.RunLoad(kSecond * 5, 20, 30);
  fleet.RunFor(kSecond);
  CHECK(fleet.stale_reads == 0);
  CHECK(fleet.failed_writes == 0);
  CHECK(fleet.finished_reads > 200);
  CHECK(fleet.conservative_reads * 50 < fleet.finished_reads);
  const auto grants = [&](std::size_t at) {
    return fleet.nodes[at]->engine->lease_client()->manager().counts().grants;
  };
  for (std::size_t at = 0; at < fleet.size; ++at) {
    CAPTURE(at);
    CHECK((grants(at) > 50) == fleet.IsDedicatedManager(at));
  }
  // One manager dies: in the view without it, the other one manages all leases.
  const std::uint64_t grants_before = grants(5);
  fleet.suspended_until[4] = fleet.now + kSecond * 3600;
  fleet.RunFor(kSecond * 10);
  fleet.RunLoad(kSecond * 3, 20, 30);
  fleet.RunFor(kSecond);
  CHECK(grants(5) > grants_before + 50);
  for (std::size_t at = 0; at < 4; ++at) CHECK(grants(at) == 0);
  // The other manager dies too.
  fleet.suspended_until[5] = fleet.now + kSecond * 3600;
  fleet.RunFor(kSecond * 10);
  fleet.RunLoad(kSecond * 3, 20, 30);
  fleet.RunFor(kSecond);
  for (std::size_t at = 0; at < 4; ++at) CHECK(grants(at) > 0);
  // Their new incarnations again manage all leases alone, and few reads are conservative.
  fleet.StartInstance(4, Mode::kLeases);
  fleet.StartInstance(5, Mode::kLeases);
  REQUIRE(fleet.RunUntilComplete(kSecond * 20));
  fleet.RunFor(kSecond);
  const std::uint64_t pooler_grants_before = grants(0);
  fleet.conservative_reads = fleet.finished_reads = 0;
  fleet.RunLoad(kSecond * 3, 20, 30);
  fleet.RunFor(kSecond);
  CHECK(grants(0) == pooler_grants_before);
  CHECK(grants(4) > 30);
  CHECK(fleet.conservative_reads * 20 < fleet.finished_reads);
  CHECK(fleet.stale_reads == 0);
}

TEST_CASE("leases: dedicated managers that die, restart and are cut off leave no read stale") {
  int reads = 0, conservative_reads = 0, answered_writes = 0, failed_writes = 0;
  for (std::uint64_t seed = 1; seed <= 9; ++seed) {
    CAPTURE(seed);
    const std::size_t managers = 1 + seed % 3;
    Fleet fleet(managers + 2 + seed % 2,
                {.loss_percent = static_cast<int>(seed % 3) * 8,
                 .dedicated_managers = managers,
                 .mixed_versions = seed > 6},
                seed);
    fleet.RunUntilComplete(kSecond * 20);
    RunRandomFaults(fleet, 900);
    CHECK(fleet.stale_reads == 0);
    reads += fleet.finished_reads;
    conservative_reads += fleet.conservative_reads;
    answered_writes += static_cast<int>(fleet.answer_waits_ms.size());
    failed_writes += fleet.failed_writes;
  }
  MESSAGE(reads, " reads, ", conservative_reads, " conservative; ", answered_writes, " writes answered, ",
          failed_writes, " not in time");
  CHECK(conservative_reads < reads * 9 / 10);
  CHECK(failed_writes * 10 < answered_writes);
}

TEST_CASE(
    "leases: beside incarnations that do not know dedicated managers all manage, and views stay complete") {
  Fleet fleet(5, {.dedicated_managers = 2, .mixed_versions = true});
  // Instances 0 and 2 are of the old version.
  for (std::size_t at = 0; at < fleet.size; ++at) {
    while (fleet.drawn_old_version[at] != (at != 1 && at < 3)) fleet.StartInstance(at, Mode::kLeases);
  }
  REQUIRE(fleet.RunUntilComplete(kSecond * 20));
  fleet.RunFor(kSecond);
  fleet.RunLoad(kSecond * 5, 20, 30);
  fleet.RunFor(kSecond);
  CHECK(fleet.stale_reads == 0);
  CHECK(fleet.failed_writes == 0);
  CHECK(fleet.conservative_reads * 20 < fleet.finished_reads);
  const auto grants = [&](std::size_t at) {
    return fleet.nodes[at]->engine->lease_client()->manager().counts().grants;
  };
  for (std::size_t at = 0; at < fleet.size; ++at) CHECK(grants(at) > 20);
  // Once the last old incarnation is replaced, the dedicated managers are the only ones.
  for (const std::size_t at : {0u, 2u}) {
    do fleet.StartInstance(at, Mode::kLeases);
    while (fleet.drawn_old_version[at]);
  }
  REQUIRE(fleet.RunUntilComplete(kSecond * 20));
  fleet.RunFor(kSecond);
  const std::uint64_t grants_before = grants(1);
  fleet.conservative_reads = fleet.finished_reads = 0;
  fleet.RunLoad(kSecond * 5, 20, 30);
  fleet.RunFor(kSecond);
  CHECK(grants(0) + grants(2) == 0);
  CHECK(grants(1) == grants_before);
  CHECK(fleet.stale_reads == 0);
  CHECK(fleet.conservative_reads * 20 < fleet.finished_reads);
}

TEST_CASE("leases: dedicated managers selected beside incarnations that do not know them make reads stale") {
  int stale_reads = 0;
  for (std::uint64_t seed = 1; seed <= 8 && stale_reads == 0; ++seed) {
    Fleet fleet(5,
                {.dedicated_managers = 1 + seed % 2, .mixed_versions = true, .require_support_by_all = false},
                seed);
    fleet.RunUntilComplete(kSecond * 20);
    RunRandomFaults(fleet, 600);
    stale_reads += fleet.stale_reads;
  }
  CHECK(stale_reads > 0);
}

// An older version has to forward fields that it does not know. If they were lost on the way, instances of
// one view would select different managers, instead of having different views.
TEST_CASE(
    "membership: unknown fields of a later version are forwarded, and a view names its dedicated managers") {
  const std::string unknown_field("\xa0\x06\x2a", 3);  // field 100, a number, of a later version
  proto::Member received;
  received.set_name("x");
  received.set_incarnation_id(77);
  received.set_started_us(5);
  received.set_address("a9");
  std::string bytes = received.SerializeAsString();
  bytes += unknown_field;
  proto::Member parsed;
  REQUIRE(parsed.ParseFromString(bytes));
  proto::Member self;
  self.set_name("n0");
  self.set_incarnation_id(7);
  self.set_address("a0");
  // The view of an instance that knows `member`, and its dedicated managers.
  const auto view_with = [&](const proto::Member& member) {
    membership::Swim::Options options;
    options.fleet_size = 2;
    membership::Swim swim(options, self, {}, 1);
    proto::Packet packet;
    packet.set_version(1);
    *packet.mutable_sender() = member;
    Outbox outbox;
    swim.HandlePacket(TimePoint{kSecond}, "a9", packet, outbox);
    swim.Tick(TimePoint{kSecond * 2}, outbox);
    proto::Packet forwarded;
    swim.AddSenderAndGossip(forwarded);
    REQUIRE(forwarded.gossip_size() == 1);
    CHECK(forwarded.gossip(0).SerializeAsString() == member.SerializeAsString());
    return std::pair(swim.quorum_tracker().view(), swim.dedicated_lease_managers());
  };
  CHECK(parsed.SerializeAsString().ends_with(unknown_field));
  const auto [plain_view, no_managers] = view_with(parsed);
  CHECK(no_managers.empty());
  parsed.set_capabilities(membership::capability::kSupportsDedicatedLeaseManagers);
  CHECK(view_with(parsed) == std::pair(plain_view, no_managers));
  parsed.set_dedicated_lease_manager(true);
  const auto [view_naming_manager, managers] = view_with(parsed);
  CHECK(view_naming_manager != plain_view);
  CHECK(managers == std::vector<std::uint64_t>{77});
  parsed.set_capabilities(1);
  CHECK(view_with(parsed) == std::pair(plain_view, no_managers));
}

}  // namespace
}  // namespace lynxgrade::replication
