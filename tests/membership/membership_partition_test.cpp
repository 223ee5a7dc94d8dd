// Network partitions of a simulated fleet: quorum states, conflicting majorities and false deaths.
#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "membership/quorum_state.h"
#include "membership/simulated_network.h"
#include "membership/swim.h"

namespace lynxgrade::membership {
namespace {

using Group = SimulatedNetwork::Group;

TEST_CASE("a partitioned fleet has at most one majority, and is complete after it heals") {
  const Group all = Range(0, 8);
  const Group five = Range(0, 5);
  const Group three = Range(5, 8);
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    SimulatedNetwork network(8, seed);
    network.Advance(kSecond * 20);
    REQUIRE(network.AllInState(all, QuorumState::kComplete));
    network.Partition({five, three});
    network.Advance(kSecond * 20);
    CHECK(network.AllInState(five, QuorumState::kMajority));
    CHECK(network.AllInState(three, QuorumState::kMinority));
    network.Heal();
    network.Advance(kSecond * 25);
    CHECK(network.AllInState(all, QuorumState::kComplete));
    network.Partition({{0, 1, 2, 3}, {4, 5, 6, 7}});
    network.Advance(kSecond * 20);
    CHECK(network.AllInState(all, QuorumState::kMinority));
    network.Heal();
    network.Partition({{0, 1, 2}, {3, 4, 5}, {6, 7}});
    network.Advance(kSecond * 20);
    CHECK(network.AllInState(all, QuorumState::kMinority));
    network.Heal();
    network.Partition({{0}, {1, 2, 3, 4, 5, 6, 7}});
    network.Advance(kSecond * 25);
    CHECK(network.QuorumStateOf(0) == QuorumState::kIsolated);
    CHECK(network.AllInState({1, 2, 3, 4, 5, 6, 7}, QuorumState::kNearlyComplete));
    CHECK(network.statistics.conflicting_majorities == 0);
    CHECK(network.statistics.longest_false_majority <= kValidityOfEight);
    CHECK(network.statistics.false_deaths == 0);
  }
}

TEST_CASE("nodes with different views list the members that differ, until the views are the same") {
  SimulatedNetwork network(7, 1);
  network.Advance(kSecond * 20);
  for (const auto& node : network.nodes) CHECK(node->differences().empty());
  network.Partition({{0, 1, 2, 3}, {4, 5, 6}});
  network.Advance(kSecond * 15);
  network.Heal();
  std::set<std::string> differing;  // names of the members that nodes of the first side list
  for (int i = 0; i < 500; ++i) {
    network.Advance(kTick);
    for (const std::size_t node : {0, 1, 2, 3}) {
      for (const auto& [name, members] : network.nodes[node]->differences()) {
        differing.insert(members.begin(), members.end());
      }
    }
  }
  CHECK(differing.contains("n5"));
  network.Advance(kSecond * 20);
  for (const auto& node : network.nodes) CHECK(node->differences().empty());
}

enum class DeathVerification { kOn, kOff };

// Nodes 2 and 3 alternate in reaching both sides of a partition. Returns the number of false deaths.
int FalseDeathsBetweenSides(std::uint64_t seed, DeathVerification verification) {
  SimulatedNetwork network(7, seed);
  if (verification == DeathVerification::kOff) network.options.suspicion.recently_heard_periods = 0;
  for (std::size_t i = 0; i < 7; ++i) network.StartNode(i);
  network.Advance(kSecond * 20);
  network.settle_time = kSecond * 5;  // time for a node that changes sides to find the other side again
  for (int turn = 0; turn < 6; ++turn) {
    network.Heal();
    network.Partition(turn % 2 == 0 ? std::vector<Group>{{0, 1, 2}, {4, 5, 6}}
                                    : std::vector<Group>{{0, 1}, {3, 4, 5, 6}});
    network.Advance(kSecond * 12);
  }
  return network.statistics.false_deaths;
}

TEST_CASE("with death verification few reachable members are declared dead by gossip of the other side") {
  int with_verification = 0;
  int without_verification = 0;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    with_verification += FalseDeathsBetweenSides(seed, DeathVerification::kOn);
    without_verification += FalseDeathsBetweenSides(seed, DeathVerification::kOff);
  }
  MESSAGE("false deaths in 8 runs of 72 s: ", with_verification,
          "; without verification: ", without_verification);
  CHECK(with_verification * 4 <= without_verification);
  CHECK(without_verification > 0);
}

// Two sides that do not reach each other, and nodes that reach both, so that each side sees more than half of
// the fleet alive. Returns the number of measurements at which two views had a majority.
int ConflictingMajoritiesOfBridgedSides(std::uint64_t seed, QuorumBasis basis) {
  SimulatedNetwork network(7, seed, Extensions::kOn, basis);
  network.Advance(kSecond * 20);
  network.Partition({{0, 1}, {2, 3}});
  network.Advance(kSecond * 30);
  network.Heal();
  network.Partition({{0, 1, 2}, {4, 5, 6}});
  network.Advance(kSecond * 30);
  // The node that reaches both sides changes.
  for (int i = 0; i < 6; ++i) {
    network.Heal();
    network.Partition(i % 2 == 0 ? std::vector<Group>{{0, 1, 2, 3}, {4, 5, 6}}
                                 : std::vector<Group>{{0, 1, 2}, {3, 4, 5, 6}});
    network.Advance(kSecond * 7);
  }
  return network.statistics.conflicting_majorities;
}

TEST_CASE("at most one view has a majority when nodes reach both sides of a partition or change sides") {
  int seen_alive = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    CHECK(ConflictingMajoritiesOfBridgedSides(seed, QuorumBasis::kAcknowledgements) == 0);
    seen_alive += ConflictingMajoritiesOfBridgedSides(seed, QuorumBasis::kSeenAlive);
  }
  // Without acknowledgements the scenario does produce conflicting majorities.
  CHECK(seen_alive > 0);
}

TEST_CASE("at most one view has a majority with flapping and one-way links") {
  const Group three = Range(5, 8);
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    SimulatedNetwork network(8, seed);
    network.loss_percent = 5;
    network.Advance(kSecond * 20);
    for (int i = 0; i < 30; ++i) {
      if (i % 2 == 0) {
        network.Partition({Range(0, 5), three});
      } else {
        network.Heal();
      }
      network.Advance(Duration(700000 + 137000 * (i % 7)));
    }
    network.Heal();
    for (const std::size_t node : three) network.cut_links.insert({0, node});
    network.Advance(kSecond * 20);
    CHECK(network.statistics.conflicting_majorities == 0);
  }
}

}  // namespace
}  // namespace lynxgrade::membership
