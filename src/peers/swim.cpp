#include "peers/swim.h"

#include <algorithm>
#include <cmath>

namespace lynxgrade::peers {
namespace {

constexpr int kAckPart = 3;              // of a period: an answer after that is asked for through others
constexpr std::uint64_t kDeadEvery = 5;  // periods between pings of somebody who is held dead

}  // namespace

Swim::Swim(Options options, wire::Member self, std::vector<std::string> seeds, std::uint64_t seed)
    : options_(options), self_(std::move(self)), unheard_(std::move(seeds)), random_(seed) {
  std::erase(unheard_, self_.address());
}

std::size_t Swim::Living() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      peers_, [](const auto& item) { return item.second.member.state() <= wire::Member::SUSPECT; }));
}

void Swim::Tell(const std::string& name) { rumours_[name] = 0; }

void Swim::Dress(wire::Packet& packet) {
  packet.set_version(1);
  *packet.mutable_sender() = self_;
  std::vector<std::pair<int, std::string>> order;
  for (const auto& [name, told] : rumours_) order.emplace_back(told, name);
  std::sort(order.begin(), order.end());
  const double most = kTellings * std::log2(static_cast<double>(peers_.size()) + 2);
  for (std::size_t i = 0; i < order.size() && i < kRumoursAPacket; ++i) {
    const auto peer = peers_.find(order[i].second);
    if (peer != peers_.end()) *packet.add_rumours() = peer->second.member;
    if (++rumours_[order[i].second] >= most || peer == peers_.end()) rumours_.erase(order[i].second);
  }
}

void Swim::Ping(const std::string& address, std::uint64_t nonce, std::vector<Out>& out) {
  Out ping{address, {}};
  ping.packet.mutable_ping()->set_nonce(nonce);
  Dress(ping.packet);
  out.push_back(std::move(ping));
}

void Swim::Tick(Time now, std::vector<Out>& out) {
  if (next_ == Time{}) {
    // Instances that start together do not probe together.
    next_ = now +
            Duration(static_cast<std::int64_t>(
                random_() % static_cast<std::uint64_t>(std::max<std::int64_t>(1, options_.period.count()))));
    for (const std::string& seed : unheard_) Ping(seed, random_(), out);
  }
  std::erase_if(relays_, [now](const auto& item) { return item.second.until < now; });
  if (probe_ && !probe_->asked && now - probe_->sent >= options_.period / kAckPart) {
    probe_->asked = true;
    std::vector<const Peer*> others;
    for (const auto& [name, peer] : peers_) {
      if (name != probe_->name && peer.member.state() == wire::Member::ALIVE) others.push_back(&peer);
    }
    std::shuffle(others.begin(), others.end(), random_);
    const std::string target = peers_[probe_->name].member.address();
    for (std::size_t i = 0; i < others.size() && i < static_cast<std::size_t>(options_.indirect); ++i) {
      Out ask{others[i]->member.address(), {}};
      ask.packet.mutable_ping_for()->set_address(target);
      ask.packet.mutable_ping_for()->set_nonce(probe_->nonce);
      Dress(ask.packet);
      out.push_back(std::move(ask));
    }
  }
  if (now < next_) return;
  // A loop that stood still does not make up for what it missed: the answers may lie unread in its socket.
  next_ = std::max(next_ + options_.period, now + options_.period / 2);
  ++periods_;
  EndProbe(now, out);
  const double wait = std::max(1.0, std::log10(static_cast<double>(Living()) + 1)) * options_.suspicion;
  const Duration suspicion(static_cast<std::int64_t>(wait * static_cast<double>(options_.period.count())));
  for (auto& [name, peer] : peers_) {
    if (peer.member.state() == wire::Member::SUSPECT && now - peer.changed >= suspicion) {
      Set(now, peer, wire::Member::DEAD);
    }
  }
  std::erase_if(peers_, [&](const auto& item) {
    return item.second.member.state() >= wire::Member::DEAD && now - item.second.changed >= options_.forget;
  });
  BeginProbe(now, out);
  if (!unheard_.empty()) Ping(unheard_[next_seed_++ % unheard_.size()], random_(), out);
  if (periods_ % kDeadEvery != 0) return;
  std::vector<const Peer*> dead;
  for (const auto& [name, peer] : peers_) {
    if (peer.member.state() == wire::Member::DEAD) dead.push_back(&peer);
  }
  if (!dead.empty()) Ping(dead[random_() % dead.size()]->member.address(), random_(), out);
}

void Swim::EndProbe(Time now, std::vector<Out>&) {
  if (!probe_) return;
  const auto it = peers_.find(probe_->name);
  probe_.reset();
  if (it != peers_.end() && it->second.member.state() == wire::Member::ALIVE) {
    Set(now, it->second, wire::Member::SUSPECT);
  }
}

void Swim::BeginProbe(Time now, std::vector<Out>& out) {
  for (int tries = 0; tries < 2; ++tries) {
    while (!round_.empty()) {
      const std::string name = round_.back();
      round_.pop_back();
      const auto it = peers_.find(name);
      if (it == peers_.end() || it->second.member.state() > wire::Member::SUSPECT) continue;
      probe_ = Probe{name, random_(), now, false};
      return Ping(it->second.member.address(), probe_->nonce, out);
    }
    for (const auto& [name, peer] : peers_) round_.push_back(name);
    std::shuffle(round_.begin(), round_.end(), random_);
  }
}

void Swim::Set(Time now, Peer& peer, wire::Member::State state) {
  peer.member.set_state(state);
  peer.changed = now;
  Tell(peer.member.name());
}

// What is said of a member holds if it is of a later life, or of a later incarnation, or worse news of the
// same. A member itself is always believed to be alive.
void Swim::Heard(Time now, const wire::Member& member, bool directly) {
  if (member.name().empty()) return;
  if (member.name() == self_.name()) {
    if (member.life() != self_.life()) {
      if (directly || member.started_us() > self_.started_us()) ++conflicts_;
      return;
    }
    if (member.state() != wire::Member::ALIVE && self_.state() == wire::Member::ALIVE &&
        member.incarnation() >= self_.incarnation()) {
      self_.set_incarnation(member.incarnation() + 1);
    }
    return;
  }
  std::erase(unheard_, member.address());
  auto [it, fresh] = peers_.try_emplace(member.name());
  Peer& peer = it->second;
  const bool later_life = fresh || member.started_us() > peer.member.started_us();
  if (!later_life && member.life() != peer.member.life()) {
    if (directly) ++conflicts_;
    return;
  }
  const bool newer = member.incarnation() > peer.member.incarnation();
  const bool worse =
      member.incarnation() == peer.member.incarnation() && member.state() > peer.member.state();
  const bool back = directly && peer.member.state() != wire::Member::ALIVE &&
                    peer.member.state() != wire::Member::LEFT && member.state() == wire::Member::ALIVE;
  if (!later_life && !newer && !worse && !back) return;
  const bool moved = fresh || peer.member.state() != member.state() || later_life;
  peer.member = member;
  if (moved) peer.changed = now;
  Tell(member.name());
}

void Swim::Take(Time now, const std::string& from, const wire::Packet& packet, std::vector<Out>& out) {
  Heard(now, packet.sender(), true);
  for (const wire::Member& rumour : packet.rumours()) Heard(now, rumour, false);
  if (packet.has_ack()) {
    if (probe_ && packet.ack().nonce() == probe_->nonce) {
      const auto it = peers_.find(probe_->name);
      if (it != peers_.end() && it->second.member.state() == wire::Member::SUSPECT) {
        Set(now, it->second, wire::Member::ALIVE);
      }
      probe_.reset();
    }
    const auto relay = relays_.find(packet.ack().nonce());
    if (relay != relays_.end()) {
      Out ack{relay->second.address, {}};
      ack.packet.mutable_ack()->set_nonce(relay->second.nonce);
      relays_.erase(relay);
      Dress(ack.packet);
      out.push_back(std::move(ack));
    }
  }
  if (packet.has_ping()) {
    // Who is thought ill of hears it with the answer, and can speak up.
    const auto it = peers_.find(packet.sender().name());
    if (it != peers_.end() && it->second.member.state() != wire::Member::ALIVE) Tell(packet.sender().name());
    Out ack{from, {}};
    ack.packet.mutable_ack()->set_nonce(packet.ping().nonce());
    Dress(ack.packet);
    out.push_back(std::move(ack));
  }
  if (packet.has_ping_for()) {
    const std::uint64_t nonce = random_();
    relays_[nonce] = {from, packet.ping_for().nonce(), now + options_.period};
    Ping(packet.ping_for().address(), nonce, out);
  }
}

void Swim::Leave(Time, std::vector<Out>& out) {
  self_.set_state(wire::Member::LEFT);
  for (const auto& [name, peer] : peers_) {
    if (peer.member.state() <= wire::Member::SUSPECT) Ping(peer.member.address(), random_(), out);
  }
}

}  // namespace lynxgrade::peers
