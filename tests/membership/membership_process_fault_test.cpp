// Processes of a simulated fleet that are paused, short of CPU, restarted with a wrong clock, or share a
// name.
#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>

#include "membership/quorum_state.h"
#include "membership/simulated_network.h"
#include "membership/swim.h"

namespace lynxgrade::membership {
namespace {

TEST_CASE("a paused process claims no majority when it resumes, and declares nobody dead") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    for (const Duration pause : {kSecond, kSecond * 10}) {
      CAPTURE(seed);
      SimulatedNetwork network(8, seed);
      network.Advance(kSecond * 20);
      network.paused_until[3] = network.now + pause;
      network.Advance(pause);
      // Before its first tick, by its clock alone: what was proven has expired.
      CHECK(IsMajority(network.QuorumStateOf(3)) == (pause < kValidityOfEight));
      network.Advance(kTick);
      CHECK(network.QuorumStateOf(3) == QuorumState::kUnknown);
      for (int i = 0; i < 300; ++i) {
        network.Advance(kTick);
        for (const auto& [name, peer] : network.nodes[3]->peers()) {
          CHECK(peer.member.state() == proto::Member::ALIVE);
        }
      }
      CHECK(network.nodes[3]->stalls() == 1);
      network.Advance(kSecond * 25);
      CHECK(network.AllInState(Range(0, 8), QuorumState::kComplete));
      CHECK(network.statistics.conflicting_majorities == 0);
      CHECK(network.statistics.false_deaths == 0);
    }
  }
}

// One of eight processes runs for a part of the time only, and 10 % of the packets are lost. Returns the
// number of false deaths.
int FalseDeathsWithStarvedProcess(std::uint64_t seed, Extensions extensions) {
  SimulatedNetwork network(8, seed, extensions);
  network.settle_time = Duration{0};
  network.loss_percent = 10;
  network.Advance(kSecond * 10);
  for (int i = 0; i < 60; ++i) {
    network.paused_until[2] = network.now + Duration(150000 + 20000 * (i % 5));
    network.Advance(Duration(300000));
  }
  return network.statistics.false_deaths;
}

TEST_CASE("a process short of CPU declares few members dead, unlike one without Lifeguard's extensions") {
  int with = 0;
  int without = 0;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    with += FalseDeathsWithStarvedProcess(seed, Extensions::kOn);
    without += FalseDeathsWithStarvedProcess(seed, Extensions::kOff);
  }
  MESSAGE("false deaths in 8 times 18 s: ", with, "; without: ", without);
  CHECK(with * 4 <= without);
  CHECK(without > 0);
}

TEST_CASE("a process that restarts with a clock an hour behind joins again") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    SimulatedNetwork network(5, seed);
    network.Advance(kSecond * 15);
    REQUIRE(network.AllInState(Range(0, 5), QuorumState::kComplete));
    network.StartNode(2, -kSecond * 3600);  // while the others still hold its former process to be alive
    network.Advance(kSecond * 30);
    CHECK(network.AllInState(Range(0, 5), QuorumState::kComplete));
    for (const std::size_t i : {0, 1, 3, 4}) {
      CHECK(network.nodes[i]->peers().at("n2").member.incarnation_id() ==
            network.nodes[2]->self().incarnation_id());
    }
  }
}

TEST_CASE("of two running processes of one name the earlier is superseded, and the duplicate is counted") {
  SimulatedNetwork network(6, 3);
  network.Advance(kSecond * 2);
  network.StartNode(5, {}, 1);  // a second n1, later
  network.Advance(kSecond * 20);
  for (const std::size_t i : {0, 2, 3, 4}) {
    CHECK(network.nodes[i]->peers().at("n1").member.incarnation_id() ==
          network.nodes[5]->self().incarnation_id());
    CHECK(network.nodes[i]->duplicate_name_reports() > 0);
  }
  CHECK(network.nodes[1]->duplicate_name_reports() > 0);
  CHECK(network.QuorumStateOf(1) == QuorumState::kUnknown);
  CHECK(network.QuorumStateOf(0) == QuorumState::kNearlyComplete);  // five of the fleet of six
  CHECK(network.statistics.conflicting_majorities == 0);
}

}  // namespace
}  // namespace lynxgrade::membership
