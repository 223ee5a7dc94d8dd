// Simulated fleets under faults: no read with a complete position misses an answered write; and with any rule
// of the design left out, the check finds reads that do.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "lease/simulated_lease_fleet.h"

namespace lynxgrade::lease {
namespace {

// Sums of several runs.
struct Totals {
  void Add(const SimulatedLeaseFleet& fleet) {
    sums.complete_reads += fleet.results.complete_reads;
    sums.early_reads += fleet.results.early_reads;
    sums.conservative_reads += fleet.results.conservative_reads;
    sums.answered_writes += fleet.results.answered_writes;
    sums.failed_writes += fleet.results.failed_writes;
    sums.batched += fleet.results.batched;
    for (const auto& node : fleet.nodes) {
      relayed += node->relay.counts().relayed;
      dropped += node->relay.counts().dropped;
    }
  }
  void Print() const {
    MESSAGE("complete reads ", sums.complete_reads, ", of these well before the arrival ", sums.early_reads,
            ", conservative ", sums.conservative_reads, "; writes answered ", sums.answered_writes,
            ", not in time ", sums.failed_writes, "; messages batched ", sums.batched, ", relayed ", relayed,
            ", dropped ", dropped);
  }
  SimulatedLeaseFleet::Results sums;
  std::uint64_t relayed = 0;
  std::uint64_t dropped = 0;
};

// Random requests of all sessions at all of four instances.
void RequestAtRandom(SimulatedLeaseFleet& fleet, int rounds) {
  for (int i = 0; i < rounds; ++i) {
    fleet.StartWrite(fleet.Draw(4), static_cast<int>(fleet.Draw(kSessions)));
    fleet.StartRead(fleet.Draw(4), static_cast<int>(fleet.Draw(kSessions)));
    fleet.Pass(kMs * 20);
  }
}

TEST_CASE(
    "leases: with losses, delays, cuts, pauses and restarts no complete read misses an answered write") {
  Totals totals;
  CHECK(rc::check("random scripts", [&](std::uint64_t seed) {
    for (const std::size_t size : {1u, 2u, 3u, 5u}) {
      SimulatedLeaseFleet fleet(size, seed, {});
      fleet.RunScript(120);
      totals.Add(fleet);
      RC_ASSERT(fleet.results.stale_reads == 0);
    }
  }));
  totals.Print();
  // Otherwise the runs prove little.
  CHECK(totals.sums.complete_reads > totals.sums.conservative_reads / 4);
  CHECK(totals.sums.early_reads > totals.sums.complete_reads / 2);
  CHECK(totals.sums.answered_writes > totals.sums.failed_writes);
}

TEST_CASE(
    "leases: with dedicated managers that fail, restart and are cut off, no complete read misses a write") {
  Totals totals;
  CHECK(rc::check("random scripts", [&](std::uint64_t seed) {
    for (const std::size_t managers : {1u, 2u, 3u}) {
      SimulatedLeaseFleet fleet(managers + 1 + seed % 2, seed, {}, managers);
      fleet.RunScript(120);
      totals.Add(fleet);
      RC_ASSERT(fleet.results.stale_reads == 0);
    }
  }));
  totals.Print();
  // Otherwise the runs prove little. With fewer managers more depends on each, and fewer reads are complete.
  CHECK(totals.sums.complete_reads > totals.sums.conservative_reads / 6);
  CHECK(totals.sums.early_reads > totals.sums.complete_reads / 2);
  CHECK(totals.sums.answered_writes > totals.sums.failed_writes);
}

TEST_CASE(
    "leases: while bandwidth is low and messages are batched and relayed, no complete read misses a write") {
  Totals totals;
  CHECK(rc::check("random scripts", [&](std::uint64_t seed) {
    for (const std::size_t managers : {1u, 2u, 3u}) {
      Variant variant;
      variant.low_bandwidth = true;
      SimulatedLeaseFleet fleet(managers + 2 + seed % 2, seed, variant, managers);
      fleet.RunScript(120);
      totals.Add(fleet);
      RC_ASSERT(fleet.results.stale_reads == 0);
    }
  }));
  totals.Print();
  // Otherwise the runs prove little.
  CHECK(totals.sums.batched > 10000);
  CHECK(totals.relayed > 1000);
  CHECK(totals.dropped > 0);
  // Four messages that are batched take longer than a read is delayed, so fewer reads are complete.
  CHECK(totals.sums.complete_reads > totals.sums.conservative_reads / 10);
  CHECK(totals.sums.answered_writes > totals.sums.failed_writes);
}

TEST_CASE(
    "leases: when the only dedicated manager leaves and returns, all manage meanwhile and no read is stale") {
  constexpr std::size_t kManager = 3;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    SimulatedLeaseFleet fleet(4, seed, {}, 1);
    fleet.Pass(kMs * 600);
    for (int round = 0; round < 4; ++round) {
      for (std::size_t at = 0; at < kManager; ++at) fleet.CutBothWays(at, kManager);
      if (round % 2 == 0) fleet.Restart(kManager);
      RequestAtRandom(fleet, 25);
      fleet.RepairLinks();
      RequestAtRandom(fleet, 25);
    }
    REQUIRE(fleet.results.stale_reads == 0);
    CHECK(fleet.results.complete_reads > 0);
  }
}

TEST_CASE("leases: a script that RapidCheck draws and shrinks act by act leaves no read stale") {
  using Act = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;
  for (const std::size_t managers : {0u, 1u, 2u}) {
    CAPTURE(managers);
    CHECK(rc::check("drawn scripts", [managers](const std::vector<Act>& acts) {
      SimulatedLeaseFleet fleet(3, acts.size(), {}, managers);
      fleet.Pass(kMs * 600);
      for (const auto& [kind, a, b] : acts) fleet.Act(kind, a, b);
      fleet.RepairLinks();
      fleet.Pass(kMs * 1000);
      for (std::size_t at = 0; at < 3; ++at) fleet.StartRead(at, static_cast<int>(at));
      fleet.Pass(kMs * 100);
      RC_ASSERT(fleet.results.stale_reads == 0);
    }));
  }
}

// Each variant leaves out one rule.
std::vector<std::pair<std::string, Variant>> VariantsWithoutOneRule() {
  std::vector<std::pair<std::string, Variant>> variants;
  const auto add = [&](std::string name) -> Variant& {
    return variants.emplace_back(std::move(name), Variant{}).second;
  };
  add("writes need no lease").rules.writes_require_lease = false;
  add("a new incarnation answers at once").rules.wait_after_start = false;
  add("a reader's view need not be complete since its request").rules.require_unbroken_view = false;
  add("a manager's view need not be complete without a break").rules.manager_requires_unbroken_view = false;
  add("a revocation leaves the pending request").rules.revocation_cancels_request = false;
  add("leases are not revoked").rules.manager.revoke_before_grant = false;
  add("the end of an expired lease is not conservative").rules.manager.expiry_is_conservative = false;
  add("incomplete grants are not recorded").rules.manager.record_incomplete_grants = false;
  add("a complete view need not have all of the fleet").complete_without_all = true;
  add("not all of a view know of dedicated managers").managers_not_agreed = true;
  return variants;
}

TEST_CASE("leases: with one rule left out, the check finds reads that miss a write") {
  constexpr std::size_t kLowBandwidthRound = 4;  // its messages are batched and relayed
  for (const auto& [name, variant] : VariantsWithoutOneRule()) {
    for (std::size_t round = 0; round <= kLowBandwidthRound; ++round) {
      const std::size_t managers = round == kLowBandwidthRound ? 2 : round;
      if (variant.managers_not_agreed && managers == 0) continue;  // leaves no rule out
      Variant run_variant = variant;
      run_variant.low_bandwidth = round == kLowBandwidthRound;
      CAPTURE(name);
      CAPTURE(round);
      int stale_reads = 0;
      int runs = 0;
      for (std::uint64_t seed = 1; stale_reads == 0 && seed <= 600; ++seed) {
        SimulatedLeaseFleet fleet(std::max<std::size_t>(3, managers + 1) + seed % 2, seed, run_variant,
                                  managers);
        fleet.RunScript(160);
        stale_reads += fleet.results.stale_reads;
        ++runs;
      }
      const std::string bandwidth = run_variant.low_bandwidth ? ", low bandwidth" : "";
      MESSAGE(name, ", ", managers, " dedicated managers", bandwidth, ": found in run ", runs, ", ",
              stale_reads, " reads");
      CHECK(stale_reads > 0);
    }
  }
}

}  // namespace
}  // namespace lynxgrade::lease
