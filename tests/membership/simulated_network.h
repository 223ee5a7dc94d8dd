// A fleet of membership instances on a simulated network, in virtual time: links are cut, slow or lossy and
// processes pause under a script, and what the instances hold is compared with what is true at each moment.
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
// How long an acknowledgement is valid in a fleet of eight: three times as long as they take to reach all.
constexpr Duration kValidityOfEight = Duration(200000) * 3 * (3 + 2);

// The numbers from `first` up to, not including, `end`.
std::vector<std::size_t> Range(std::size_t first, std::size_t end);

// Lifeguard's extensions and the like, which a test compares with plain SWIM.
enum class Extensions { kOn, kOff };
// Whether members count in a quorum by acknowledgement, or as they are seen alive.
enum class QuorumBasis { kAcknowledgements, kSeenAlive };

struct Statistics {
  int false_deaths = 0;            // a running process in reach, declared dead by a running one in its reach
  int conflicting_majorities = 0;  // moments at which two views had a majority
  Duration
      longest_false_majority{};  // for which one that reached half of the fleet or less claimed a majority
  std::uint64_t bytes = 0;
  std::uint64_t gossip_bytes = 0;  // of these; with tag and length
  int answers_with_ages = 0;       // of each member
  int answers_with_block_ages = 0;
};

class SimulatedNetwork {
 public:
  using Group = std::vector<std::size_t>;  // node numbers

  SimulatedNetwork(std::size_t count, std::uint64_t seed, Extensions extensions = Extensions::kOn,
                   QuorumBasis basis = QuorumBasis::kAcknowledgements);

  // Starts a node, or restarts it. `clock_offset`: of its clock; `named_as`: another node, by
  // misconfiguration.
  void StartNode(std::size_t node, Duration clock_offset = {}, std::optional<std::size_t> named_as = {});
  // Cuts every link between two of these groups, both ways, beside the links that are cut already.
  void Partition(const std::vector<Group>& groups);
  // Restores all links.
  void Heal();
  // Lets time pass, and measures after each tick, or as `measure_every` says.
  void Advance(Duration time);
  // Lets time pass until the condition holds; returns the seconds, `kNever` at most.
  double SecondsUntil(const std::function<bool()>& condition);
  static constexpr double kNever = 40;

  QuorumState QuorumStateOf(std::size_t node) { return nodes[node]->QuorumStateAt(now).state; }
  bool AllInState(const Group& group, QuorumState state);
  // How many other nodes hold this one to be in the state.
  std::size_t CountHolding(std::size_t node, proto::Member::State state) const;

  Swim::Options options;  // of nodes that are started
  std::vector<std::unique_ptr<Swim>> nodes;
  TimePoint now{Duration(1'700'000'000'000'000)};
  std::vector<TimePoint> paused_until;                      // by node
  std::set<std::pair<std::size_t, std::size_t>> cut_links;  // from one node to another
  std::set<std::size_t> former_version;                     // nodes that neither send nor read ages by block
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> last_pings;  // from one node to another
  int loss_percent = 0;
  Duration max_jitter{0};              // beside a delay of 0.3 to 2.3 ms
  Duration settle_time = kSecond * 8;  // after a change of links, before false deaths count
  std::uint64_t measure_every = 1;     // ticks
  bool measure_false_deaths = true;    // takes time with the square of the number of nodes
  Statistics statistics;

 private:
  struct Datagram {
    TimePoint arrives{};
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
  // The view of which this node claims a majority.
  std::optional<std::uint64_t> MajorityViewOf(std::size_t node);
  void Measure();
  void MeasureFalseDeath(std::size_t observer, std::size_t node);

  std::mt19937_64 random_;
  QuorumBasis basis_;
  TimePoint links_changed_ = now;
  std::uint64_t ticks_ = 0;
  std::vector<TimePoint> majority_justified_at_;  // by node: when it last reached a majority, or claimed none
  std::set<std::pair<std::size_t, std::size_t>> false_deaths_;  // observer and node, at present
  std::priority_queue<Datagram, std::vector<Datagram>, std::greater<>> in_flight_;
  std::uint64_t next_order_ = 0;
};

}  // namespace lynxgrade::membership
