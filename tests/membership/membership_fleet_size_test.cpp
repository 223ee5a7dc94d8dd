// How fast fleets of different sizes converge, with and without packet loss, and what they send.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

#include "membership/quorum_state.h"
#include "membership/simulated_network.h"
#include "membership/swim.h"

namespace lynxgrade::membership {
namespace {

using Group = SimulatedNetwork::Group;
constexpr double kNever = SimulatedNetwork::kNever;

// Of one run, or the mean of some; times in seconds.
struct Convergence {
  double complete = 0;     // from the start until the view of all is complete
  double death_known = 0;  // from a death until all know it
  double partitioned = 0;  // from a partition until both sides have their quorum states
  double healed = 0;       // from its end until the view of all is complete
  double bytes_per_s = 0;  // of each member, while nothing happens
  int false_deaths = 0;
  int conflicting_majorities = 0;

  void Add(const Convergence& other, double weight) {
    complete += weight * other.complete;
    death_known += weight * other.death_known;
    partitioned += weight * other.partitioned;
    healed += weight * other.healed;
    bytes_per_s += weight * other.bytes_per_s;
    false_deaths += other.false_deaths;
    conflicting_majorities += other.conflicting_majorities;
  }
};

double SecondsUntilComplete(SimulatedNetwork& network) {
  const Group all = Range(0, network.nodes.size());
  return network.SecondsUntil([&] { return network.AllInState(all, QuorumState::kComplete); });
}

Convergence Run(std::size_t count, int loss_percent, std::uint64_t seed, Extensions extensions) {
  SimulatedNetwork network(count, seed, extensions);
  network.loss_percent = loss_percent;
  network.measure_every = count > 64 ? 10 : 1;
  network.measure_false_deaths = count <= 64;
  Convergence result;
  result.complete = SecondsUntilComplete(network);
  network.Advance(kSecond * (count > 64 ? 150 : 10));  // until gossip of the start has ended
  network.settle_time = Duration{0};
  network.statistics = {};
  network.Advance(kSecond * 10);
  result.bytes_per_s = static_cast<double>(network.statistics.bytes) / 10 / static_cast<double>(count);
  result.false_deaths = network.statistics.false_deaths;
  network.measure_false_deaths = false;
  const std::size_t larger_size = count * 3 / 5 + 1;
  const Group larger = Range(0, larger_size);
  const Group smaller = Range(larger_size, count);
  network.Partition({larger, smaller});
  result.partitioned = network.SecondsUntil([&] {
    const auto has_majority = [&](std::size_t i) { return IsMajority(network.QuorumStateOf(i)); };
    return std::ranges::all_of(larger, has_majority) && std::ranges::none_of(smaller, has_majority);
  });
  network.Heal();
  result.healed = SecondsUntilComplete(network);
  network.nodes[1].reset();
  result.death_known =
      network.SecondsUntil([&] { return network.CountHolding(1, proto::Member::DEAD) + 1 >= count; });
  result.conflicting_majorities = network.statistics.conflicting_majorities;
  return result;
}

Convergence MeanOfRuns(std::size_t count, int loss_percent, int runs,
                       Extensions extensions = Extensions::kOn) {
  Convergence mean;
  for (int seed = 1; seed <= runs; ++seed) {
    mean.Add(Run(count, loss_percent, static_cast<std::uint64_t>(seed), extensions), 1.0 / runs);
  }
  MESSAGE(count, " ", loss_percent, " ", mean.complete, " ", mean.partitioned, " ", mean.healed, " ",
          mean.death_known, " ", mean.bytes_per_s, " ", mean.false_deaths, " ", mean.conflicting_majorities,
          std::string(extensions == Extensions::kOn ? "" : " without extensions"));
  return mean;
}

TEST_CASE("fleets of any size prove their quorum states and detect a death within seconds") {
  for (const std::size_t count : {3, 16, 64}) {
    CAPTURE(count);
    const Convergence mean = MeanOfRuns(count, 0, count > 16 ? 1 : 2);
    CHECK(mean.complete < 15);
    CHECK(mean.partitioned < 15);
    CHECK(mean.healed < 30);
    CHECK(mean.death_known < 8);
    CHECK(mean.false_deaths == 0);
    CHECK(mean.conflicting_majorities == 0);
  }
}

TEST_CASE("at 30 % packet loss few running members are declared dead") {
  int with = 0;
  int without = 0;
  for (const std::size_t count : {8, 16}) {
    with += MeanOfRuns(count, 30, 2).false_deaths;
    without += MeanOfRuns(count, 30, 2, Extensions::kOff).false_deaths;
  }
  CHECK(with * 4 <= without);
}

// By hand: the table and the curves of docs/design/members.md.
TEST_CASE("curves" * doctest::skip()) {
  for (const std::size_t count : {3, 8, 16, 64}) {
    for (const int loss_percent : {0, 30}) MeanOfRuns(count, loss_percent, 3);
  }
}
TEST_CASE("curve at 300" * doctest::skip()) { MeanOfRuns(300, 0, 1); }

int NumberFromEnvironment(const char* name, int otherwise) {
  const char* text = std::getenv(name);
  return text != nullptr ? std::atoi(text) : otherwise;
}

std::vector<std::size_t> SizesFromEnvironment() {
  const char* sizes = std::getenv("SIZES");
  std::vector<std::size_t> counts;
  for (std::string text = sizes != nullptr ? sizes : "16 64"; !text.empty();) {
    std::size_t used = 0;
    counts.push_back(std::stoul(text, &used));
    text.erase(0, used);
  }
  return counts;
}

// What a complete fleet does in some seconds with no death.
struct CompleteFleetMeasurement {
  std::vector<double> seconds_left;  // of the acknowledgements of all, ascending; -1: not all acknowledge
  int lapses = 0;                    // how often a node's view ceased to be complete
  int incomplete = 0;                // measurements of a node at which it was not
  double cpu_share = 0;              // of a node
};

CompleteFleetMeasurement MeasureCompleteFleet(SimulatedNetwork& network, int seconds) {
  const std::size_t count = network.nodes.size();
  CompleteFleetMeasurement result;
  std::vector<bool> was_complete(count, true);
  const std::clock_t start = std::clock();
  for (int i = 0; i < seconds * 20; ++i) {
    network.Advance(kTick * 5);
    for (std::size_t node = 0; node < count; ++node) {
      const auto until = network.nodes[node]->quorum_tracker().AllAcknowledgedUntil(network.now);
      const bool is_complete = network.QuorumStateOf(node) == QuorumState::kComplete;
      result.lapses += was_complete[node] && !is_complete ? 1 : 0;
      result.incomplete += is_complete ? 0 : 1;
      was_complete[node] = is_complete;
      result.seconds_left.push_back(until ? 1e-6 * static_cast<double>((*until - network.now).count()) : -1);
    }
  }
  result.cpu_share =
      static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC / seconds / static_cast<double>(count);
  std::ranges::sort(result.seconds_left);
  return result;
}

// By hand: how long a large fleet takes to be complete after the start and after a restart of one node; then
// how often a node is not, how long the acknowledgements of all are still valid, and bytes. By the
// environment: SIZES, LOSS (percent), SEED, SETTLE_S before the measurement, MEASURE_S of it.
TEST_CASE("curves of whole fleets" * doctest::skip()) {
  for (const std::size_t count : SizesFromEnvironment()) {
    SimulatedNetwork network(count, static_cast<std::uint64_t>(NumberFromEnvironment("SEED", 1)));
    network.loss_percent = NumberFromEnvironment("LOSS", 0);
    network.measure_false_deaths = false;
    network.measure_every = 20;
    const double start = SecondsUntilComplete(network);
    network.Advance(kSecond * 10);
    network.StartNode(1);
    network.Advance(kSecond * 2);  // until another node has noticed
    const double restart = 2 + SecondsUntilComplete(network);
    network.Advance(kSecond * NumberFromEnvironment("SETTLE_S", 60));
    network.statistics = {};
    const int seconds = NumberFromEnvironment("MEASURE_S", 30);
    const CompleteFleetMeasurement measured = MeasureCompleteFleet(network, seconds);
    const std::vector<double>& left = measured.seconds_left;
    std::printf(
        "%zu, %d %%: complete after a start %.2f s, a restart %.2f s; incomplete %d times, %.4f %% of the "
        "time; "
        "left of the validity (%.2f s): least %.2f, 1st %.2f, 50th %.2f s; %.0f bytes/s; answers with the "
        "ages "
        "of all %d, by block %d; cpu %.5f\n",
        count, network.loss_percent, start, restart, measured.lapses,
        100.0 * measured.incomplete / static_cast<double>(left.size()),
        1e-6 * static_cast<double>(network.nodes[0]->acknowledgement_validity().count()), left[0],
        left[left.size() / 100], left[left.size() / 2],
        static_cast<double>(network.statistics.bytes) / seconds / static_cast<double>(count),
        network.statistics.answers_with_ages, network.statistics.answers_with_block_ages, measured.cpu_share);
    std::fflush(stdout);
  }
}

TEST_CASE("a large complete fleet stays complete on ages by block, and each node still pings each other") {
  constexpr std::size_t kCount = 100;
  SimulatedNetwork network(kCount, 1);
  network.measure_false_deaths = false;
  network.measure_every = 10;
  const Group all = Range(0, kCount);
  REQUIRE(SecondsUntilComplete(network) < kNever);
  for (const int loss_percent : {0, 5}) {
    CAPTURE(loss_percent);
    network.loss_percent = loss_percent;
    network.Advance(kSecond * 5);
    network.statistics = {};
    int lapses = 0;
    const TimePoint start = network.now;
    // Every other probe goes to the own block, and two rounds include each pair for certain.
    for (int i = 0; i < 4 * 10 * static_cast<int>(kCount) / 5; ++i) {
      network.Advance(kTick * 10);
      lapses += network.AllInState(all, QuorumState::kComplete) ? 0 : 1;
    }
    CHECK(lapses == 0);
    CHECK(network.statistics.answers_with_block_ages > network.statistics.answers_with_ages * 9);
    std::size_t pairs = 0;
    for (const auto& [pair, time] : network.last_pings) pairs += time >= start ? 1 : 0;
    CHECK(pairs == kCount * (kCount - 1));
  }
}

TEST_CASE("a quiet fleet of 300 sends at most twice the bytes per member of one of 16") {
  // Without gossip: that of the start lasts for two minutes at 300.
  const auto bytes_per_member = [](std::size_t count) {
    SimulatedNetwork network(count, 1);
    network.measure_false_deaths = false;
    network.measure_every = 20;
    REQUIRE(SecondsUntilComplete(network) < kNever);
    network.Advance(kSecond * 3);  // until ages by block are as old as usual
    network.statistics = {};
    network.Advance(kSecond);
    CHECK(network.AllInState(Range(0, count), QuorumState::kComplete));
    return static_cast<double>(network.statistics.bytes - network.statistics.gossip_bytes) /
           static_cast<double>(count);
  };
  const double few = bytes_per_member(16);
  const double many = bytes_per_member(300);
  MESSAGE("bytes a second: ", few, " at 16, ", many, " at 300");
  CHECK(many <= few * 2);
}

TEST_CASE("a fleet of two versions is complete at each step of a rolling update") {
  constexpr std::size_t kCount = 80;
  SimulatedNetwork network(kCount, 2);
  network.measure_false_deaths = false;
  network.measure_every = 10;
  for (std::size_t i = 0; i < kCount; ++i) network.former_version.insert(i);
  const Group all = Range(0, kCount);
  REQUIRE(SecondsUntilComplete(network) < kNever);
  for (const std::size_t updated : {1, 20, 40, 79, 80}) {
    CAPTURE(updated);
    for (std::size_t i = 0; i < updated; ++i) {
      if (network.former_version.erase(i) > 0) network.StartNode(i);
    }
    network.Advance(kSecond * 2);
    REQUIRE(SecondsUntilComplete(network) < kNever);
    network.Advance(kSecond * 5);
    network.statistics = {};
    int lapses = 0;
    for (int i = 0; i < 200; ++i) {
      network.Advance(kTick * 5);
      lapses += network.AllInState(all, QuorumState::kComplete) ? 0 : 1;
    }
    CHECK(lapses == 0);
    const Statistics& statistics = network.statistics;
    // Nodes of the former version get the ages of all from everybody, as does each node that pings one of
    // them.
    if (updated < kCount) {
      CHECK(statistics.answers_with_ages > static_cast<int>(kCount - updated) * 10 * 5 * 9 / 10);
    }
    if (updated == kCount) CHECK(statistics.answers_with_block_ages > statistics.answers_with_ages * 9);
    CHECK((statistics.answers_with_block_ages > 0) == (updated > 1));
    CHECK(statistics.conflicting_majorities == 0);
  }
}

}  // namespace
}  // namespace lynxgrade::membership
