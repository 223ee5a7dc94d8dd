// Session leases under a bandwidth budget: requests that are capped, batching, and relays.
#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "replication/lease_fleet.h"

namespace lynxgrade::replication {
namespace {

TEST_CASE("leases: with little bandwidth left messages are batched through a relay, and cost less") {
  double alone = 0;
  int held_back = 0;
  for (const Duration coalesce : {Duration{0}, kMs * 5}) {
    Fleet fleet(15, {.owners = 3, .bytes_per_s = 9000, .coalesce = coalesce});
    Crowd(fleet);
    double sum = 0;
    std::uint64_t waited = 0, passed_on = 0;
    for (std::size_t at = 0; at < fleet.size; ++at) {
      const lease::LeaseMessageRelay& courier = *fleet.nodes[at]->engine->lease_relay();
      waited += courier.counts().batched;
      passed_on += courier.counts().relayed;
      CHECK((courier.counts().relayed > 0) == (fleet.Aside(at) && coalesce > Duration{0}));
      if (fleet.Aside(at)) continue;
      sum += static_cast<double>(fleet.bytes_out[at] + fleet.bytes_in[at]) / 10;
    }
    sum /= static_cast<double>(fleet.Poolers());
    const int conservative = fleet.conservative;
    std::ranges::sort(fleet.waited_ms);
    const double p99 = fleet.waited_ms[fleet.waited_ms.size() * 99 / 100];
    MESSAGE("coalesced over ", coalesce.count() / 1000, " ms: ", sum, " bytes a second, ", waited,
            " messages waited, ", passed_on, " passed on; ", conservative, " of ", fleet.reads_done,
            " reads conservative; answers wait p99 ", p99, " ms");
    fleet.Pass(kSecond * 6);
    CHECK(fleet.stale == 0);
    CHECK(fleet.writes_failed == 0);
    if (coalesce == Duration{0}) {
      alone = sum;
      held_back = conservative;
      CHECK(waited == 0);
      continue;
    }
    CHECK(sum < alone * 0.9);
    CHECK(conservative <= held_back);
    CHECK(p99 < 120);  // four legs that wait, and no wait for a second ask
  }
}

TEST_CASE("leases: nothing is batched while bandwidth suffices, or while a manager does not relay") {
  for (const bool short_of_bytes : {false, true}) {
    Fleet fleet(8, {.owners = 2, .bytes_per_s = short_of_bytes ? 4000.0 : 1e6, .coalesce = kMs * 5});
    if (short_of_bytes) {
      fleet.old_owner = 7;
      fleet.Begin(7, Way::kLeases);
    }
    Crowd(fleet);
    fleet.Pass(kSecond * 6);
    for (const auto& node : fleet.nodes) CHECK(node->engine->lease_relay()->counts().batched == 0);
    CHECK(fleet.stale == 0);
    CHECK(fleet.writes_failed == 0);
    if (!short_of_bytes) continue;
    // It is replaced, and what is said goes by way of an owner.
    fleet.old_owner.reset();
    fleet.Begin(7, Way::kLeases);
    fleet.writes_failed = 0;
    Crowd(fleet);
    fleet.Pass(kSecond * 6);
    for (std::size_t at = 0; at < 6; ++at) {
      CHECK(fleet.nodes[at]->engine->lease_relay()->counts().batched > 100);
    }
    CHECK(fleet.stale == 0);
    CHECK(fleet.writes_failed == 0);
  }
}

TEST_CASE("leases: requests go directly to managers after one retry when the relay is suspended") {
  Fleet fleet(9, {.owners = 3, .bytes_per_s = 4000, .coalesce = kMs * 5});
  Crowd(fleet);
  fleet.Pass(kSecond);
  const auto passed_on = [&](std::size_t at) {
    return fleet.nodes[at]->engine->lease_relay()->counts().relayed;
  };
  const std::size_t most = std::ranges::max(std::vector<std::size_t>{6, 7, 8}, {}, passed_on);
  MESSAGE("passed on: ", passed_on(6), ", ", passed_on(7), ", ", passed_on(8));
  // It is silent for less than members take to find it dead; what it owns itself waits for it.
  fleet.stopped[most] = fleet.now + kMs * 1000;
  const auto answered = fleet.waited_ms.size();
  for (int session = 1; session <= 120; ++session) {
    fleet.Write_(static_cast<std::size_t>(session) % 6, 100000 + session);
    fleet.Pass(kTick);
  }
  fleet.Pass(kMs * 300);
  // Two thirds are of the two others; of these a third would wait for it if no ask went straight.
  const std::size_t meanwhile = fleet.waited_ms.size() - answered;
  MESSAGE("of 120 answered meanwhile: ", meanwhile);
  CHECK(meanwhile > 70);
  CHECK(meanwhile < 120);
  fleet.Pass(kSecond * 6);
  CHECK(fleet.writes_failed == 0);
  CHECK(fleet.stale == 0);
}

TEST_CASE("leases: faults with little bandwidth left and managers that die leave no read stale") {
  int done = 0, conservative = 0, answered = 0, failed = 0;
  std::uint64_t waited = 0;
  for (std::uint64_t seed = 1; seed <= 9; ++seed) {
    CAPTURE(seed);
    const std::size_t owners = 1 + seed % 3;
    Fleet fleet(owners + 2 + seed % 3,
                {.loss = static_cast<int>(seed % 3) * 8,
                 .owners = owners,
                 .bytes_per_s = seed % 2 == 0 ? 9000.0 : 6000.0,
                 .coalesce = kMs * 5},
                seed);
    fleet.UntilWhole(kSecond * 20);
    Storm(fleet, 900);
    CHECK(fleet.stale == 0);
    done += fleet.reads_done;
    conservative += fleet.conservative;
    answered += static_cast<int>(fleet.waited_ms.size());
    failed += fleet.writes_failed;
    for (const auto& node : fleet.nodes) waited += node->engine->lease_relay()->counts().batched;
  }
  MESSAGE(done, " reads, ", conservative, " on a conservative target; ", answered, " writes answered, ",
          failed, " not in time; ", waited, " messages waited");
  CHECK(waited > 500);
  CHECK(conservative < done * 9 / 10);
  CHECK(failed * 10 < answered);
}

TEST_CASE("leases: requests for reads are capped, and reads without one wait for a conservative position") {
  Fleet fleet(4, {Way::kLeases, 0, 1});
  REQUIRE(fleet.UntilWhole(kSecond * 20));
  fleet.Pass(kSecond);
  for (int i = 0; i < 100; ++i) {
    fleet.Read_(0, 1000 + i);
    fleet.Pass(kTick);
  }
  fleet.Pass(kSecond);
  const auto& counts = fleet.nodes[0]->engine->lease_client()->counts();
  CHECK(counts.suppressed_reads > 50);
  CHECK(fleet.conservative >= static_cast<int>(counts.suppressed_reads));
  CHECK(fleet.stale == 0);
}

TEST_CASE(
    "leases: a bandwidth budget holds back requests for reads, never for writes, and no read is stale") {
  double without = 0;
  int held_back = 0;
  // What cannot wait is some 8,000 here: half of the writes move as well.
  for (const double budget : {0.0, 11000.0, 9500.0, 1.0}) {
    CAPTURE(budget);
    Fleet fleet(10, {.owners = 2, .bytes_per_s = budget});
    REQUIRE(fleet.UntilWhole(kSecond * 20));
    fleet.Pass(kSecond * 5);
    // Half of all move: far beyond what reads may ask under any of them.
    fleet.Load(kSecond * 5, 20, 50, true);
    std::ranges::fill(fleet.bytes_out, 0);
    std::ranges::fill(fleet.bytes_in, 0);
    fleet.conservative = fleet.reads_done = 0;
    fleet.Load(kSecond * 10, 20, 50);
    double most = 0, sum = 0;
    std::uint64_t over = 0;
    for (std::size_t at = 0; at < fleet.Poolers(); ++at) {
      const double rate = static_cast<double>(fleet.bytes_out[at] + fleet.bytes_in[at]) / 10;
      most = std::max(most, rate);
      sum += rate / static_cast<double>(fleet.Poolers());
      over += fleet.nodes[at]->engine->lease_client()->counts().over_budget;
    }
    fleet.Pass(kSecond * 6);
    MESSAGE("budget ", budget, ": ", sum, " bytes a second, at most ", most, "; ", fleet.conservative, " of ",
            fleet.reads_done, " reads conservative");
    CHECK(fleet.stale == 0);
    CHECK(fleet.writes_failed == 0);
    CHECK((over > 0) == (budget > 0));
    if (budget == 0) {
      without = sum;
      CHECK(fleet.conservative * 20 < fleet.reads_done);
      continue;
    }
    CHECK(sum < without);
    CHECK(fleet.conservative >= held_back);  // the less there is the more wait
    held_back = fleet.conservative;
    if (budget > 1) CHECK(most <= budget * 1.05);
  }
}

}  // namespace
}  // namespace lynxgrade::replication
