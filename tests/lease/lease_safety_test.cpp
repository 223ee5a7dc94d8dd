// Simulated fleets under faults: no read with a position from AllWritesKnownAfter misses an answered write.
// With any rule of the design switched off, the check finds reads that do.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "lease/simulated_lease_fleet.h"

namespace lynxgrade::lease {
namespace {

// The summed results of several runs.
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

// Runs a random script on the fleet that `make_fleet(number, seed)` returns for each number and drawn seed.
template <typename MakeFleet>
Totals RunRandomScripts(std::initializer_list<std::size_t> numbers, MakeFleet make_fleet) {
  Totals totals;
  CHECK(rc::check("random scripts", [&](std::uint64_t seed) {
    for (const std::size_t number : numbers) {
      SimulatedLeaseFleet fleet = make_fleet(number, seed);
      fleet.RunScript(120);
      totals.Add(fleet);
      RC_ASSERT(fleet.results.stale_reads == 0);
    }
  }));
  totals.Print();
  return totals;
}

// Random requests of all sessions at all of four instances.
void RequestAtRandom(SimulatedLeaseFleet& fleet, int rounds) {
  for (int i = 0; i < rounds; ++i) {
    fleet.StartWrite(fleet.Draw(4), static_cast<int>(fleet.Draw(kSessions)));
    fleet.StartRead(fleet.Draw(4), static_cast<int>(fleet.Draw(kSessions)));
    fleet.RunFor(kMs * 20);
  }
}

TEST_CASE(
    "leases: with losses, delays, cuts, pauses and restarts no complete read misses an answered write") {
  const Totals totals = RunRandomScripts(
      {1, 2, 3, 5}, [](std::size_t size, std::uint64_t seed) { return SimulatedLeaseFleet(size, seed, {}); });
  // Guards against runs with too few complete reads, which would prove little.
  CHECK(totals.sums.complete_reads > totals.sums.conservative_reads / 4);
  CHECK(totals.sums.early_reads > totals.sums.complete_reads / 2);
  CHECK(totals.sums.answered_writes > totals.sums.failed_writes);
}

TEST_CASE(
    "leases: with dedicated managers that fail, restart and are cut off, no complete read misses a write") {
  const Totals totals = RunRandomScripts({1, 2, 3}, [](std::size_t managers, std::uint64_t seed) {
    return SimulatedLeaseFleet(managers + 1 + seed % 2, seed, {}, managers);
  });
  // As above. With fewer managers each one matters more, so fewer reads are complete.
  CHECK(totals.sums.complete_reads > totals.sums.conservative_reads / 6);
  CHECK(totals.sums.early_reads > totals.sums.complete_reads / 2);
  CHECK(totals.sums.answered_writes > totals.sums.failed_writes);
}

TEST_CASE(
    "leases: while bandwidth is low and messages are batched and relayed, no complete read misses a write") {
  Variant variant;
  variant.low_bandwidth = true;
  const Totals totals = RunRandomScripts({1, 2, 3}, [&](std::size_t managers, std::uint64_t seed) {
    return SimulatedLeaseFleet(managers + 2 + seed % 2, seed, variant, managers);
  });
  // Guards against runs with too little batching and relaying, which would prove little.
  CHECK(totals.sums.batched > 10000);
  CHECK(totals.relayed > 1000);
  CHECK(totals.dropped > 0);
  // Four batched messages take longer than a read is delayed, so fewer reads are complete.
  CHECK(totals.sums.complete_reads > totals.sums.conservative_reads / 10);
  CHECK(totals.sums.answered_writes > totals.sums.failed_writes);
}

TEST_CASE(
    "leases: when the only dedicated manager leaves and returns, all manage meanwhile and no read is stale") {
  constexpr std::size_t kManager = 3;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    SimulatedLeaseFleet fleet(4, seed, {}, 1);
    fleet.RunFor(kMs * 600);
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

TEST_CASE("leases: a script that RapidCheck draws and shrinks step by step leaves no read stale") {
  using Step = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;
  for (const std::size_t managers : {0u, 1u, 2u}) {
    CAPTURE(managers);
    CHECK(rc::check("drawn scripts", [managers](const std::vector<Step>& steps) {
      SimulatedLeaseFleet fleet(3, steps.size(), {}, managers);
      fleet.RunFor(kMs * 600);
      for (const auto& [kind, a, b] : steps) fleet.RunStep(kind, a, b);
      fleet.RepairLinks();
      fleet.RunFor(kMs * 1000);
      for (std::size_t at = 0; at < 3; ++at) fleet.StartRead(at, static_cast<int>(at));
      fleet.RunFor(kMs * 100);
      RC_ASSERT(fleet.results.stale_reads == 0);
    }));
  }
}

// Variants with one rule switched off each.
std::vector<std::pair<std::string, Variant>> VariantsWithoutOneRule() {
  std::vector<std::pair<std::string, Variant>> variants;
  const auto add = [&](std::string name) -> Variant& {
    return variants.emplace_back(std::move(name), Variant{}).second;
  };
  add("writes need no lease").rules.writes_require_lease = false;
  add("a new incarnation answers writes immediately").rules.wait_after_start = false;
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
  for (const auto& named_variant : VariantsWithoutOneRule()) {
    const std::string& name = named_variant.first;
    const Variant& variant = named_variant.second;
    for (std::size_t round = 0; round <= kLowBandwidthRound; ++round) {
      const std::size_t managers = round == kLowBandwidthRound ? 2 : round;
      if (variant.managers_not_agreed && managers == 0) continue;  // switches no rule off
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
      MESSAGE(name, ", ", managers, " dedicated managers", bandwidth, ": ", stale_reads,
              " stale reads, found in run ", runs);
      CHECK(stale_reads > 0);
    }
  }
}

}  // namespace
}  // namespace lynxgrade::lease
