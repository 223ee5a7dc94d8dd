// Faulty processes in a simulated fleet: paused, starved of CPU, restarted with a wrong clock, or sharing a
// name.
#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>

#include "membership/quorum_state.h"
#include "membership/simulated_network.h"
#include "membership/swim.h"

namespace lynxgrade::membership {
namespace {

TEST_CASE("a process that resumes after a pause claims no majority and declares no member dead") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    for (const Duration pause : {kSecond, kSecond * 10}) {
      CAPTURE(seed);
      SimulatedNetwork network(8, seed);
      network.Advance(kSecond * 20);
      network.paused_until[3] = network.now + pause;
      network.Advance(pause);
      // Before the first tick the pause is not detected yet, but acknowledgements have expired after a long
      // one.
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

// One of eight processes gets CPU for a part of the time only, and 10 % of the packets are lost. Returns the
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

TEST_CASE("with Lifeguard's extensions a process starved of CPU causes few false deaths") {
  int with_extensions = 0;
  int without_extensions = 0;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    with_extensions += FalseDeathsWithStarvedProcess(seed, Extensions::kOn);
    without_extensions += FalseDeathsWithStarvedProcess(seed, Extensions::kOff);
  }
  MESSAGE("false deaths in 8 runs of 18 s: ", with_extensions, "; without extensions: ", without_extensions);
  CHECK(with_extensions * 4 <= without_extensions);
  CHECK(without_extensions > 0);
}

TEST_CASE("a process that restarts with its clock an hour behind rejoins the fleet") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    SimulatedNetwork network(5, seed);
    network.Advance(kSecond * 15);
    REQUIRE(network.AllInState(Range(0, 5), QuorumState::kComplete));
    network.StartNode(2, -kSecond * 3600);  // the others still consider its former process alive
    network.Advance(kSecond * 30);
    CHECK(network.AllInState(Range(0, 5), QuorumState::kComplete));
    for (const std::size_t i : {0, 1, 3, 4}) {
      CHECK(network.nodes[i]->peers().at("n2").member.incarnation_id() ==
            network.nodes[2]->self().incarnation_id());
    }
  }
}

TEST_CASE("of two running processes with one name the earlier is superseded, and duplicates are counted") {
  SimulatedNetwork network(6, 3);
  network.Advance(kSecond * 2);
  network.StartNode(5, {}, 1);  // a second process named n1, started later
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
