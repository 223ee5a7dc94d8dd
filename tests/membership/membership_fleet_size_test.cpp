// Convergence times and traffic of simulated fleets of different sizes, with and without packet loss.
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

// The result of one run, or the mean of several ones. Times are in seconds.
struct Convergence {
  double complete = 0;     // from the start until all nodes have a complete view
  double death_known = 0;  // from a death until all other nodes have declared it
  double partitioned = 0;  // from a partition until both sides have the right quorum states
  double healed = 0;       // from the end of the partition until all nodes have a complete view
  double bytes_per_s = 0;  // sent by each node, without faults
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
  network.Advance(kSecond * (count > 64 ? 150 : 10));  // until the gossip about the start has ended
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

TEST_CASE("fleets of 3 to 64 nodes reach their quorum states and detect a death within seconds") {
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
  int with_extensions = 0;
  int without_extensions = 0;
  for (const std::size_t count : {8, 16}) {
    with_extensions += MeanOfRuns(count, 30, 2).false_deaths;
    without_extensions += MeanOfRuns(count, 30, 2, Extensions::kOff).false_deaths;
  }
  CHECK(with_extensions * 4 <= without_extensions);
}

// Run manually: the table and the curves of docs/design/members.md.
TEST_CASE("curves" * doctest::skip()) {
  for (const std::size_t count : {3, 8, 16, 64}) {
    for (const int loss_percent : {0, 30}) MeanOfRuns(count, loss_percent, 3);
  }
}
TEST_CASE("curve at 300" * doctest::skip()) { MeanOfRuns(300, 0, 1); }

int NumberFromEnvironment(const char* name, int default_value) {
  const char* text = std::getenv(name);
  return text != nullptr ? std::atoi(text) : default_value;
}

std::vector<std::size_t> SizesFromEnvironment() {
  const char* sizes = std::getenv("SIZES");
  std::vector<std::size_t> counts;
  for (std::string text = sizes != nullptr ? sizes : "16 64"; !text.empty();) {
    std::size_t parsed = 0;
    counts.push_back(std::stoul(text, &parsed));
    text.erase(0, parsed);
  }
  return counts;
}

// Measurements of a complete fleet without deaths.
struct CompleteFleetMeasurement {
  // Remaining validity of the acknowledgements of all members, ascending; -1 if not all members acknowledge.
  std::vector<double> seconds_left;
  int lapses = 0;        // number of times that the view of a node ceased to be complete
  int incomplete = 0;    // number of measurements of a node without a complete view
  double cpu_share = 0;  // share of a core that a node uses
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

// Run manually. Measures the time until a large fleet is complete after its start and after the restart of
// one node; then the number of nodes without a complete view, the remaining validity of acknowledgements, and
// traffic. Environment variables: SIZES (numbers of nodes), LOSS (percent), SEED, SETTLE_S (seconds before
// the measurement), MEASURE_S (seconds of the measurement).
TEST_CASE("curves of whole fleets" * doctest::skip()) {
  for (const std::size_t count : SizesFromEnvironment()) {
    SimulatedNetwork network(count, static_cast<std::uint64_t>(NumberFromEnvironment("SEED", 1)));
    network.loss_percent = NumberFromEnvironment("LOSS", 0);
    network.measure_false_deaths = false;
    network.measure_every = 20;
    const double start = SecondsUntilComplete(network);
    network.Advance(kSecond * 10);
    network.StartNode(1);
    network.Advance(kSecond * 2);  // until another node has detected the restart
    const double restart = 2 + SecondsUntilComplete(network);
    network.Advance(kSecond * NumberFromEnvironment("SETTLE_S", 60));
    network.statistics = {};
    const int seconds = NumberFromEnvironment("MEASURE_S", 30);
    const CompleteFleetMeasurement measured = MeasureCompleteFleet(network, seconds);
    const std::vector<double>& left = measured.seconds_left;
    std::printf(
        "%zu nodes, %d %% loss: complete after a start %.2f s, a restart %.2f s; incomplete %d times, %.4f "
        "%% of the "
        "time; remaining validity (of %.2f s): min %.2f, 1st percentile %.2f, 50th %.2f s; %.0f bytes/s; "
        "answers with ages per member %d, by block %d; cpu %.5f\n",
        count, network.loss_percent, start, restart, measured.lapses,
        100.0 * measured.incomplete / static_cast<double>(left.size()),
        1e-6 * static_cast<double>(network.nodes[0]->acknowledgement_validity().count()), left[0],
        left[left.size() / 100], left[left.size() / 2],
        static_cast<double>(network.statistics.bytes) / seconds / static_cast<double>(count),
        network.statistics.answers_with_ages, network.statistics.answers_with_block_ages, measured.cpu_share);
    std::fflush(stdout);
  }
}

TEST_CASE("a large fleet stays complete with ages by block, and each node still pings all others") {
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
    // Every second probe goes to the own block, so each pair is certain to be included within two rounds.
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

TEST_CASE("a complete fleet of 300 sends at most twice the bytes per member of one of 16") {
  // Gossip is not counted: that about the start lasts for two minutes with 300 nodes.
  const auto bytes_per_member = [](std::size_t count) {
    SimulatedNetwork network(count, 1);
    network.measure_false_deaths = false;
    network.measure_every = 20;
    REQUIRE(SecondsUntilComplete(network) < kNever);
    network.Advance(kSecond * 3);  // until ages by block have their usual values
    network.statistics = {};
    network.Advance(kSecond);
    CHECK(network.AllInState(Range(0, count), QuorumState::kComplete));
    return static_cast<double>(network.statistics.bytes - network.statistics.gossip_bytes) /
           static_cast<double>(count);
  };
  const double with_16_nodes = bytes_per_member(16);
  const double with_300_nodes = bytes_per_member(300);
  MESSAGE("bytes per second and member: ", with_16_nodes, " at 16, ", with_300_nodes, " at 300");
  CHECK(with_300_nodes <= with_16_nodes * 2);
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
    // Nodes of the former version get and send ages per member, never by block.
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
