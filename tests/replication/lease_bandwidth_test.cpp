// Session leases under a bandwidth budget: suppressed requests, batching, and relays.
#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "replication/lease_fleet.h"

namespace lynxgrade::replication {
namespace {

TEST_CASE("leases: while bandwidth is low, messages are batched through a relay, and cost less") {
  double unbatched_bytes_per_s = 0;
  int unbatched_conservative_reads = 0;
  for (const Duration batching_delay : {Duration{0}, kMs * 5}) {
    Fleet fleet(15, {.dedicated_managers = 3, .bytes_per_s = 9000, .batching_delay = batching_delay});
    RunMigratingLoad(fleet);
    double bytes_per_s = 0;
    std::uint64_t batched = 0, relayed = 0;
    for (std::size_t at = 0; at < fleet.size; ++at) {
      const lease::LeaseMessageRelay& relay = *fleet.nodes[at]->engine->lease_relay();
      batched += relay.counts().batched;
      relayed += relay.counts().relayed;
      const bool relays = fleet.IsDedicatedManager(at) && batching_delay > Duration{0};
      CHECK((relay.counts().relayed > 0) == relays);
      if (fleet.IsDedicatedManager(at)) continue;
      bytes_per_s += static_cast<double>(fleet.sent_bytes[at] + fleet.received_bytes[at]) / 10;
    }
    bytes_per_s /= static_cast<double>(fleet.PoolerCount());
    const int conservative_reads = fleet.conservative_reads;
    std::ranges::sort(fleet.answer_waits_ms);
    const double p99_ms = fleet.answer_waits_ms[fleet.answer_waits_ms.size() * 99 / 100];
    MESSAGE("batching delay ", batching_delay.count() / 1000, " ms: ", bytes_per_s, " bytes/s per pooler, ",
            batched, " messages batched, ", relayed, " relayed; ", conservative_reads, " of ",
            fleet.finished_reads, " reads conservative; p99 of answer waits ", p99_ms, " ms");
    fleet.RunFor(kSecond * 6);
    CHECK(fleet.stale_reads == 0);
    CHECK(fleet.failed_writes == 0);
    if (batching_delay == Duration{0}) {
      unbatched_bytes_per_s = bytes_per_s;
      unbatched_conservative_reads = conservative_reads;
      CHECK(batched == 0);
      continue;
    }
    CHECK(bytes_per_s < unbatched_bytes_per_s * 0.9);
    CHECK(conservative_reads <= unbatched_conservative_reads);
    CHECK(p99_ms < 120);  // the time of four batched messages, without a retry
  }
}

TEST_CASE("leases: nothing is batched while bandwidth suffices, or while a manager does not relay") {
  constexpr std::size_t kOldManager = 7;
  for (const bool low_bandwidth : {false, true}) {
    Fleet fleet(
        8, {.dedicated_managers = 2, .bytes_per_s = low_bandwidth ? 4000.0 : 1e6, .batching_delay = kMs * 5});
    if (low_bandwidth) {
      fleet.manager_without_relay = kOldManager;
      fleet.StartInstance(kOldManager, Mode::kLeases);
    }
    RunMigratingLoad(fleet);
    fleet.RunFor(kSecond * 6);
    for (const auto& node : fleet.nodes) CHECK(node->engine->lease_relay()->counts().batched == 0);
    CHECK(fleet.stale_reads == 0);
    CHECK(fleet.failed_writes == 0);
    if (!low_bandwidth) continue;
    // Once the manager is replaced by a version that relays, messages are batched through a relay.
    fleet.manager_without_relay.reset();
    fleet.StartInstance(kOldManager, Mode::kLeases);
    fleet.failed_writes = 0;
    RunMigratingLoad(fleet);
    fleet.RunFor(kSecond * 6);
    for (std::size_t at = 0; at < 6; ++at) {
      CHECK(fleet.nodes[at]->engine->lease_relay()->counts().batched > 100);
    }
    CHECK(fleet.stale_reads == 0);
    CHECK(fleet.failed_writes == 0);
  }
}

TEST_CASE("leases: requests go directly to managers after one retry when the relay is suspended") {
  Fleet fleet(9, {.dedicated_managers = 3, .bytes_per_s = 4000, .batching_delay = kMs * 5});
  RunMigratingLoad(fleet);
  fleet.RunFor(kSecond);
  const auto relayed = [&](std::size_t at) {
    return fleet.nodes[at]->engine->lease_relay()->counts().relayed;
  };
  const std::size_t busiest_relay = std::ranges::max(std::vector<std::size_t>{6, 7, 8}, {}, relayed);
  MESSAGE("relayed: ", relayed(6), ", ", relayed(7), ", ", relayed(8));
  // Suspended for less than the members need to declare it dead. Leases that it manages itself have to wait.
  fleet.suspended_until[busiest_relay] = fleet.now + kMs * 1000;
  const auto answered_before = fleet.answer_waits_ms.size();
  for (int session = 1; session <= 120; ++session) {
    fleet.StartWrite(static_cast<std::size_t>(session) % 6, 100000 + session);
    fleet.RunFor(kTick);
  }
  fleet.RunFor(kMs * 300);
  // Two thirds of the leases belong to the two other managers. Without direct retries, a third of these would
  // wait for the suspended relay.
  const std::size_t answered = fleet.answer_waits_ms.size() - answered_before;
  MESSAGE("answered during the suspension: ", answered, " of 120");
  CHECK(answered > 70);
  CHECK(answered < 120);
  fleet.RunFor(kSecond * 6);
  CHECK(fleet.failed_writes == 0);
  CHECK(fleet.stale_reads == 0);
}

TEST_CASE("leases: faults while bandwidth is low and managers that die leave no read stale") {
  int reads = 0, conservative_reads = 0, answered_writes = 0, failed_writes = 0;
  std::uint64_t batched = 0;
  for (std::uint64_t seed = 1; seed <= 9; ++seed) {
    CAPTURE(seed);
    const std::size_t managers = 1 + seed % 3;
    Fleet fleet(managers + 2 + seed % 3,
                {.loss_percent = static_cast<int>(seed % 3) * 8,
                 .dedicated_managers = managers,
                 .bytes_per_s = seed % 2 == 0 ? 9000.0 : 6000.0,
                 .batching_delay = kMs * 5},
                seed);
    fleet.RunUntilComplete(kSecond * 20);
    RunRandomFaults(fleet, 900);
    CHECK(fleet.stale_reads == 0);
    reads += fleet.finished_reads;
    conservative_reads += fleet.conservative_reads;
    answered_writes += static_cast<int>(fleet.answer_waits_ms.size());
    failed_writes += fleet.failed_writes;
    for (const auto& node : fleet.nodes) batched += node->engine->lease_relay()->counts().batched;
  }
  MESSAGE(reads, " reads, ", conservative_reads, " conservative; ", answered_writes, " writes answered, ",
          failed_writes, " not in time; ", batched, " messages batched");
  CHECK(batched > 500);
  CHECK(conservative_reads < reads * 9 / 10);
  CHECK(failed_writes * 10 < answered_writes);
}

TEST_CASE("leases: requests for reads are limited, and reads without one wait for a conservative position") {
  Fleet fleet(4, {Mode::kLeases, 0, 1});
  REQUIRE(fleet.RunUntilComplete(kSecond * 20));
  fleet.RunFor(kSecond);
  for (int i = 0; i < 100; ++i) {
    fleet.StartRead(0, 1000 + i);
    fleet.RunFor(kTick);
  }
  fleet.RunFor(kSecond);
  const auto& counts = fleet.nodes[0]->engine->lease_client()->counts();
  CHECK(counts.suppressed_reads > 50);
  CHECK(fleet.conservative_reads >= static_cast<int>(counts.suppressed_reads));
  CHECK(fleet.stale_reads == 0);
}

TEST_CASE(
    "leases: a bandwidth budget suppresses requests for reads, never for writes, and no read is stale") {
  double unlimited_bytes_per_s = 0;
  int former_conservative_reads = 0;
  // Traffic that cannot be deferred takes about 8,000 bytes/s here, as half of the writes migrate as well.
  for (const double budget : {0.0, 11000.0, 9500.0, 1.0}) {
    CAPTURE(budget);
    Fleet fleet(10, {.dedicated_managers = 2, .bytes_per_s = budget});
    REQUIRE(fleet.RunUntilComplete(kSecond * 20));
    fleet.RunFor(kSecond * 5);
    // Half of all requests migrate: reads need far more leases than any of the budgets allows.
    fleet.RunLoad(kSecond * 5, 20, 50, true);
    std::ranges::fill(fleet.sent_bytes, 0);
    std::ranges::fill(fleet.received_bytes, 0);
    fleet.conservative_reads = fleet.finished_reads = 0;
    fleet.RunLoad(kSecond * 10, 20, 50);
    double max_bytes_per_s = 0, mean_bytes_per_s = 0;
    std::uint64_t over_budget = 0;
    for (std::size_t at = 0; at < fleet.PoolerCount(); ++at) {
      const double bytes_per_s = static_cast<double>(fleet.sent_bytes[at] + fleet.received_bytes[at]) / 10;
      max_bytes_per_s = std::max(max_bytes_per_s, bytes_per_s);
      mean_bytes_per_s += bytes_per_s / static_cast<double>(fleet.PoolerCount());
      over_budget += fleet.nodes[at]->engine->lease_client()->counts().over_budget;
    }
    fleet.RunFor(kSecond * 6);
    MESSAGE("budget ", budget, ": ", mean_bytes_per_s, " bytes/s, at most ", max_bytes_per_s, "; ",
            fleet.conservative_reads, " of ", fleet.finished_reads, " reads conservative");
    CHECK(fleet.stale_reads == 0);
    CHECK(fleet.failed_writes == 0);
    CHECK((over_budget > 0) == (budget > 0));
    if (budget == 0) {
      unlimited_bytes_per_s = mean_bytes_per_s;
      CHECK(fleet.conservative_reads * 20 < fleet.finished_reads);
      continue;
    }
    CHECK(mean_bytes_per_s < unlimited_bytes_per_s);
    CHECK(fleet.conservative_reads >=
          former_conservative_reads);  // a smaller budget suppresses more requests
    former_conservative_reads = fleet.conservative_reads;
    if (budget > 1) CHECK(max_bytes_per_s <= budget * 1.05);
  }
}

}  // namespace
}  // namespace lynxgrade::replication
