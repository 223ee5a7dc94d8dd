// A fleet of membership instances on a simulated network, in virtual time. Tests cut links, delay and drop
// packets and pause processes; the states that the instances report are compared with the true ones after
// each tick.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/quorum_tracker.h"
#include "membership/swim.h"

namespace lynxgrade::membership {

constexpr Duration kTick{10000};
constexpr Duration kSecond{1000000};
// The validity of acknowledgements in a fleet of eight: three times as long as they take to reach all
// members.
constexpr Duration kValidityOfEight = Duration(200000) * 3 * (3 + 2);

// The numbers from `first` up to, not including, `end`.
std::vector<std::size_t> Range(std::size_t first, std::size_t end);

// Whether the extensions to plain SWIM are on: those of Lifeguard, repeated pings and death verification.
enum class Extensions { kOn, kOff };
// Whether a member counts for a quorum by its acknowledgement of the view, or if it is seen alive.
enum class QuorumBasis { kAcknowledgements, kSeenAlive };

struct Statistics {
  int false_deaths = 0;            // running nodes declared dead by a running node that they reach
  int conflicting_majorities = 0;  // measurements at which two views had a majority
  // The longest time for which a node claimed a majority while it reached at most half of the fleet.
  Duration longest_false_majority{};
  std::uint64_t bytes = 0;         // sent by all nodes
  std::uint64_t gossip_bytes = 0;  // part of `bytes`: the gossip, with tags and lengths
  int answers_with_ages = 0;       // answers with ages per member
  int answers_with_block_ages = 0;
};

// Owns the nodes and the packets in flight.

class SimulatedNetwork {
 public:
  using Group = std::vector<std::size_t>;  // node numbers

  SimulatedNetwork(std::size_t count, std::uint64_t seed, Extensions extensions = Extensions::kOn,
                   QuorumBasis basis = QuorumBasis::kAcknowledgements);

  // Starts or restarts a node. `clock_offset` is that of its clock; `named_as`: the node whose name it is
  // given by misconfiguration.
  void StartNode(std::size_t node, Duration clock_offset = {}, std::optional<std::size_t> named_as = {});
  // Cuts the links between these groups in both directions. Links that are cut already stay cut.
  void Partition(const std::vector<Group>& groups);
  // Restores all links.
  void Heal();
  // Advances the time, and measures every `measure_every` ticks.
  void Advance(Duration time);
  // Advances the time until the condition holds. Returns the seconds that this took, `kNever` if it took
  // longer.
  double SecondsUntil(const std::function<bool()>& condition);
  static constexpr double kNever = 40;

  QuorumState QuorumStateOf(std::size_t node) { return nodes[node]->QuorumStateAt(now).state; }
  bool AllInState(const Group& group, QuorumState state);
  // The number of other nodes in whose member tables this one has the state.
  std::size_t CountHolding(std::size_t node, proto::Member::State state) const;

  Swim::Options options;  // of the nodes that are started from now on
  std::vector<std::unique_ptr<Swim>> nodes;
  TimePoint now{Duration(1'700'000'000'000'000)};
  std::vector<TimePoint> paused_until;                      // by node
  std::set<std::pair<std::size_t, std::size_t>> cut_links;  // sender and receiver
  std::set<std::size_t> former_version;                     // nodes of a version without ages by block
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> last_pings;  // by sender and receiver
  int loss_percent = 0;
  Duration max_jitter{0};              // in addition to a delay of 0.3 to 2.3 ms
  Duration settle_time = kSecond * 8;  // false deaths count from this time after a change of links
  std::uint64_t measure_every = 1;     // ticks
  bool measure_false_deaths = true;    // the cost is quadratic in the number of nodes
  Statistics statistics;

 private:
  struct Datagram {
    TimePoint arrives_at{};
    std::uint64_t order = 0;
    std::size_t to = 0;
    std::string sender_address;
    proto::Packet packet;
    bool operator>(const Datagram& other) const;
  };

  static std::string AddressOf(std::size_t node) { return "a" + std::to_string(node); }
  bool IsConnected(std::size_t a, std::size_t b) const {
    return !cut_links.contains({a, b}) && !cut_links.contains({b, a});
  }
  bool IsRunning(std::size_t node) const { return nodes[node] != nullptr && now >= paused_until[node]; }
  void Transmit(std::size_t from, Outbox& outbox);
  void DeliverDue(Outbox& outbox);
  // The view for which this node claims a majority; absent if it claims none.
  std::optional<std::uint64_t> MajorityViewOf(std::size_t node);
  void Measure();
  void MeasureFalseDeath(std::size_t observer, std::size_t node);

  std::mt19937_64 random_;
  QuorumBasis basis_;
  TimePoint links_changed_ = now;
  std::uint64_t ticks_ = 0;
  std::vector<TimePoint> majority_justified_at_;  // by node: when it last claimed none or reached a majority
  std::set<std::pair<std::size_t, std::size_t>> false_deaths_;  // current ones, by observer and node
  std::priority_queue<Datagram, std::vector<Datagram>, std::greater<>> in_flight_;
  std::uint64_t next_order_ = 0;
};

}  // namespace lynxgrade::membership
