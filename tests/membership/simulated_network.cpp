#include "membership/simulated_network.h"

#include <algorithm>
#include <cstdlib>
#include <tuple>

namespace lynxgrade::membership {
namespace {

constexpr Duration kLinkDelay{300};
constexpr std::uint64_t kMaxExtraDelayUs = 2000;
constexpr std::uint64_t kDuplicateOneIn = 20;  // one in 20 datagrams is delivered twice

}  // namespace

std::vector<std::size_t> Range(std::size_t first, std::size_t end) {
  std::vector<std::size_t> numbers;
  for (std::size_t i = first; i < end; ++i) numbers.push_back(i);
  return numbers;
}

bool SimulatedNetwork::Datagram::operator>(const Datagram& other) const {
  return std::tie(arrives_at, order) > std::tie(other.arrives_at, other.order);
}

SimulatedNetwork::SimulatedNetwork(std::size_t count, std::uint64_t seed, Extensions extensions,
                                   QuorumBasis basis)
    : random_(seed), basis_(basis) {
  options.fleet_size = count;
  if (extensions == Extensions::kOff) {
    options.max_local_health_multiplier = 0;
    options.suspicion.max_timeout_factor = 1;
    options.suspicion.recently_heard_periods = 0;
    options.probe.repeat_pings = false;
  }
  nodes.resize(count);
  paused_until.resize(count);
  majority_justified_at_.resize(count);
  for (std::size_t i = 0; i < count; ++i) StartNode(i);
}

void SimulatedNetwork::StartNode(std::size_t node, Duration clock_offset,
                                 std::optional<std::size_t> named_as) {
  proto::Member self;
  self.set_name("n" + std::to_string(named_as.value_or(node)));
  self.set_incarnation_id(random_() | 1);
  self.set_started_us(static_cast<std::uint64_t>((now + clock_offset).time_since_epoch().count()));
  self.set_address(AddressOf(node));
  std::vector<std::string> seeds;
  for (std::size_t i = 0; i < nodes.size(); ++i) seeds.push_back(AddressOf(i));
  nodes[node] = std::make_unique<Swim>(options, self, seeds, random_());
}

void SimulatedNetwork::Partition(const std::vector<Group>& groups) {
  for (std::size_t p = 0; p < groups.size(); ++p) {
    for (std::size_t q = 0; q < groups.size(); ++q) {
      if (p == q) continue;
      for (const std::size_t a : groups[p]) {
        for (const std::size_t b : groups[q]) cut_links.insert({a, b});
      }
    }
  }
  links_changed_ = now;
}

void SimulatedNetwork::Heal() {
  cut_links.clear();
  links_changed_ = now;
}

void SimulatedNetwork::Transmit(std::size_t from, Outbox& outbox) {
  for (OutgoingPacket& out : outbox) {
    const auto to = static_cast<std::size_t>(std::atoi(out.address.c_str() + 1));
    if (former_version.contains(from) || former_version.contains(to)) {
      out.packet.clear_block_acknowledgement_ages();
    }
    statistics.bytes += out.packet.ByteSizeLong();
    for (const proto::Member& member : out.packet.gossip()) {
      statistics.gossip_bytes += member.ByteSizeLong() + 2;
    }
    statistics.answers_with_ages += out.packet.acknowledgement_ages().empty() ? 0 : 1;
    const bool has_block_ages = out.packet.has_ack() && !out.packet.block_acknowledgement_ages().empty();
    statistics.answers_with_block_ages += has_block_ages ? 1 : 0;
    if (out.packet.has_ping()) last_pings[{from, to}] = now;
    if (to >= nodes.size() || cut_links.contains({from, to})) continue;
    for (int copies = random_() % kDuplicateOneIn == 0 ? 2 : 1; copies > 0; --copies) {
      if (static_cast<int>(random_() % 100) < loss_percent) continue;
      const Duration delay = kLinkDelay + Duration(static_cast<std::int64_t>(random_() % kMaxExtraDelayUs)) +
                             max_jitter * static_cast<std::int64_t>(random_() % 100) / 100;
      in_flight_.push({now + delay, next_order_++, to, AddressOf(from), out.packet});
    }
  }
  outbox.clear();
}

void SimulatedNetwork::DeliverDue(Outbox& outbox) {
  std::vector<Datagram> unread;  // datagrams in the sockets of paused processes
  while (!in_flight_.empty() && in_flight_.top().arrives_at <= now) {
    const Datagram datagram = in_flight_.top();
    in_flight_.pop();
    if (nodes[datagram.to] == nullptr) continue;
    if (now < paused_until[datagram.to]) {
      unread.push_back(datagram);
      continue;
    }
    nodes[datagram.to]->HandlePacket(now, datagram.sender_address, datagram.packet, outbox);
    Transmit(datagram.to, outbox);
  }
  for (const Datagram& datagram : unread) in_flight_.push(datagram);
}

void SimulatedNetwork::Advance(Duration time) {
  const TimePoint end = now + time;
  Outbox outbox;
  for (; now < end; now += kTick) {
    DeliverDue(outbox);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (!IsRunning(i)) continue;
      nodes[i]->Tick(now, outbox);
      Transmit(i, outbox);
    }
    if (ticks_++ % measure_every == 0) Measure();
  }
}

double SimulatedNetwork::SecondsUntil(const std::function<bool()>& condition) {
  const TimePoint start = now;
  while (!condition()) {
    Advance(kTick * 5);
    if (now - start > kSecond * static_cast<int>(kNever)) return kNever;
  }
  return 1e-6 * static_cast<double>((now - start).count());
}

std::optional<std::uint64_t> SimulatedNetwork::MajorityViewOf(std::size_t node) {
  if (basis_ == QuorumBasis::kAcknowledgements) {
    const QuorumTracker::Assessment assessment = nodes[node]->QuorumStateAt(now);
    return IsMajority(assessment.state) ? std::optional(assessment.view) : std::nullopt;
  }
  std::size_t alive = 1;
  std::uint64_t view = nodes[node]->self().incarnation_id();
  for (const auto& [name, peer] : nodes[node]->peers()) {
    if (peer.member.state() != proto::Member::ALIVE) continue;
    ++alive;
    view += peer.member.incarnation_id();
  }
  return alive > nodes.size() / 2 ? std::optional(view) : std::nullopt;
}

void SimulatedNetwork::Measure() {
  std::set<std::uint64_t> majorities;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    if (!IsRunning(i)) continue;
    const std::optional<std::uint64_t> majority = MajorityViewOf(i);
    if (majority) majorities.insert(*majority);
    std::size_t reached = 1;
    for (std::size_t j = 0; j < nodes.size(); ++j) {
      if (j == i || nodes[j] == nullptr) continue;
      if (IsRunning(j) && IsConnected(i, j)) ++reached;
      if (measure_false_deaths) MeasureFalseDeath(i, j);
    }
    if (!majority || reached > nodes.size() / 2) majority_justified_at_[i] = now;
    statistics.longest_false_majority =
        std::max(statistics.longest_false_majority, now - majority_justified_at_[i]);
  }
  statistics.conflicting_majorities += majorities.size() > 1 ? 1 : 0;
}

void SimulatedNetwork::MeasureFalseDeath(std::size_t observer, std::size_t node) {
  const auto peer = nodes[observer]->peers().find("n" + std::to_string(node));
  const bool is_dead = peer != nodes[observer]->peers().end() &&
                       peer->second.member.state() == proto::Member::DEAD &&
                       peer->second.member.incarnation_id() == nodes[node]->self().incarnation_id();
  const bool is_healthy =
      IsRunning(node) && IsConnected(observer, node) && now - paused_until[node] > kSecond * 3;
  if (!is_dead || !is_healthy || now - links_changed_ < settle_time) {
    false_deaths_.erase({observer, node});
  } else if (false_deaths_.insert({observer, node}).second) {
    ++statistics.false_deaths;
  }
}

bool SimulatedNetwork::AllInState(const Group& group, QuorumState state) {
  return std::ranges::all_of(group, [&](std::size_t node) { return QuorumStateOf(node) == state; });
}

std::size_t SimulatedNetwork::CountHolding(std::size_t node, proto::Member::State state) const {
  std::size_t count = 0;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    if (i == node || nodes[i] == nullptr) continue;
    const auto peer = nodes[i]->peers().find("n" + std::to_string(node));
    if (peer != nodes[i]->peers().end() && peer->second.member.state() == state) ++count;
  }
  return count;
}

}  // namespace lynxgrade::membership
