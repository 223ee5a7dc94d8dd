#include "membership/swim.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <span>
#include <tuple>
#include <utility>

namespace lynxgrade::membership {
namespace {

constexpr int kAckPart = 3;  // of a period: an answer after that is asked for through others
// Periods between pings of somebody who is held dead. They are not longer in doubt: after a cut all doubt
// themselves, and it would heal in minutes.
constexpr int kDeadEvery = 5;
constexpr std::uint32_t kSpeaks = 1;  // a helper that has no answer says so
// How long a helper waits before it says that it has none: the word is to be there before the period ends.
constexpr int kNackAfter = 4;  // tenths of a period
// Words double in number of holders with each period, as each asks one other; and two periods for a first
// ping to each and for those that are asked last.
constexpr double kSpreadMore = 2;
constexpr int kAskedPart = 15;  // tenths of a period, in which who lives has answered
// In a ping: claims for blocks are enough for its sender, the ages of all need not be told.
constexpr const char* kClaimsSuffice = "b";
constexpr int kEntriesARoll = 60;  // some 1,000 bytes: one datagram on any path
constexpr int kNewsARoll = 16;     // members told in answer to one

}  // namespace

Swim::Swim(Options options, proto::Member self, std::vector<std::string> seeds, std::uint64_t seed)
    : options_(options),
      self_(std::move(self)),
      unheard_(std::move(seeds)),
      random_(seed),
      quorum_tracker_({self_.incarnation_id(), options.size, acknowledgement_validity(), options.proven},
                      TimePoint{}) {
  std::erase(unheard_, self_.address());
  self_.set_protocol_version(std::max(kSpeaks, options_.speaks));
  self_.set_dedicated_lease_manager(options_.owns);
  self_.set_capabilities(self_.capabilities() | options_.understands);
}

Duration Swim::acknowledgement_validity() const {
  const double periods =
      std::log2(static_cast<double>(std::max<std::size_t>(1, options_.size))) + kSpreadMore;
  return Duration(static_cast<std::int64_t>(options_.proof_spreads * periods *
                                            static_cast<double>(options_.period.count())));
}

void Swim::Doubt(int by) { doubt_ = std::clamp(doubt_ + by, 0, options_.most_doubt); }

std::size_t Swim::Living() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      peers_, [](const auto& item) { return item.second.member.state() <= proto::Member::SUSPECT; }));
}

void Swim::Tell(const std::string& name) { rumours_[name] = 0; }

void Swim::AddSenderAndGossip(proto::Packet& packet) {
  packet.set_version(1);
  *packet.mutable_sender() = self_;
  packet.set_view(quorum_tracker_.view());
  packet.set_view_acknowledged(quorum_tracker_.AcknowledgedView(now_) != 0);
  if (rumours_.empty()) return;
  std::vector<std::map<std::string, int>::iterator> order;
  order.reserve(rumours_.size());
  for (auto rumour = rumours_.begin(); rumour != rumours_.end(); ++rumour) order.push_back(rumour);
  const auto few = std::min<std::size_t>(order.size(), kRumoursAPacket);
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(few), order.end(),
                    [](const auto& a, const auto& b) {
                      return std::tie(a->second, a->first) < std::tie(b->second, b->first);
                    });
  const double most = kTellings * std::log2(static_cast<double>(peers_.size()) + 2);
  for (std::size_t i = 0; i < few; ++i) {
    const auto peer = peers_.find(order[i]->first);
    if (peer != peers_.end()) *packet.add_gossip() = peer->second.member;
    if (++order[i]->second >= most || peer == peers_.end()) rumours_.erase(order[i]);
  }
}

void Swim::Ping(const std::string& address, std::uint64_t nonce, std::vector<OutgoingPacket>& out,
                const Peer* about) {
  OutgoingPacket ping{address, {}};
  ping.packet.mutable_ping()->set_nonce(nonce);
  if (about != nullptr && about->member.state() != proto::Member::ALIVE) {
    *ping.packet.add_gossip() = about->member;
  }
  if (quorum_tracker_.BlockAcknowledgementsSuffice(now_))
    ping.packet.set_block_acknowledgement_ages(kClaimsSuffice);
  AddSenderAndGossip(ping.packet);
  out.push_back(std::move(ping));
}

void Swim::Tick(TimePoint now, std::vector<OutgoingPacket>& out) {
  if (next_ == TimePoint{}) {
    // Instances that start together do not probe together.
    next_ = now +
            Duration(static_cast<std::int64_t>(
                random_() % static_cast<std::uint64_t>(std::max<std::int64_t>(1, options_.period.count()))));
    for (const std::string& seed : unheard_) Ping(seed, random_(), out);
  }
  now_ = now;
  if (ticked_ == TimePoint{}) quorum_tracker_.ResetAfterPause(now);  // it starts
  if (ticked_ != TimePoint{} && now - ticked_ > options_.period) StoodStill(now, now - ticked_);
  ticked_ = now;
  Look(now);
  NackRelays(now, out);
  PressProbe(now, out);
  PingDead(now, out);
  AskAccused(now, out);
  if (now < next_) return;
  // A loop that stood still does not make up for what it missed: the answers may lie unread in its socket.
  EndProbe(now);
  const Duration period = options_.period * (doubt_ + 1);
  next_ = std::max(next_ + period, now + period / 2);
  asked_ = 0;
  if (suspects_ > 0) CondemnSuspects(now);
  if (gone_ > 0) ForgetGone(now);
  BeginProbe(now, out);
  if (!unheard_.empty()) Ping(unheard_[next_seed_++ % unheard_.size()], random_(), out);
}

void Swim::CondemnSuspects(TimePoint now) {
  for (auto& [name, peer] : peers_) {
    if (peer.member.state() != proto::Member::SUSPECT || now - peer.changed < Patience(peer)) continue;
    proto::Member dead = peer.member;
    dead.set_state(proto::Member::DEAD);
    if (!AskFirst(now, peer, dead)) Set(now, peer, proto::Member::DEAD);
  }
}

void Swim::ForgetGone(TimePoint now) {
  std::erase_if(peers_, [&](const auto& item) {
    if (item.second.member.state() < proto::Member::DEAD) return false;
    if (now - item.second.changed < options_.forget) return false;
    differences_.erase(item.first);
    ++changes_;
    changed_.push_back(item.first);
    moved_ = true;
    return true;
  });
}

void Swim::PressProbe(TimePoint now, std::vector<OutgoingPacket>& out) {
  const auto probed = probe_ ? peers_.find(probe_->name) : peers_.end();
  if (probed == peers_.end()) return;
  const Duration part = options_.period / kAckPart * (doubt_ + 1);
  const Duration waited = now - probe_->sent;
  const bool ask = !probe_->asked && waited >= part;
  const bool repeat = options_.repeat && (ask || (!probe_->repeated && waited >= part * 2));
  const Peer& target = probed->second;
  const std::string address = target.member.address();
  if (repeat) {
    // With three in ten packets lost half of all pings fail, and helpers' as well: at 64 instances the news
    // of suspicions alone was more than packets hold.
    probe_->repeated = !ask;
    Ping(address, probe_->nonce, out, &target);
  }
  if (!ask) return;
  probe_->asked = true;
  std::vector<const Peer*> others;
  for (const auto& [name, peer] : peers_) {
    if (name != probe_->name && peer.member.state() == proto::Member::ALIVE) others.push_back(&peer);
  }
  std::shuffle(others.begin(), others.end(), random_);
  for (std::size_t i = 0; i < others.size() && i < static_cast<std::size_t>(options_.indirect); ++i) {
    probe_->helpers += others[i]->member.protocol_version() >= kSpeaks;
    OutgoingPacket request{others[i]->member.address(), {}};
    request.packet.mutable_ping_request()->set_address(address);
    request.packet.mutable_ping_request()->set_nonce(probe_->nonce);
    if (quorum_tracker_.BlockAcknowledgementsSuffice(now))
      request.packet.set_block_acknowledgement_ages(kClaimsSuffice);
    AddSenderAndGossip(request.packet);
    out.push_back(std::move(request));
  }
}

void Swim::PingDead(TimePoint now, std::vector<OutgoingPacket>& out) {
  if (now < next_dead_) return;
  next_dead_ = now + options_.period * kDeadEvery;
  if (gone_ == 0) return;
  std::vector<const Peer*> dead;
  for (const auto& [name, peer] : peers_) {
    if (peer.member.state() == proto::Member::DEAD) dead.push_back(&peer);
  }
  if (dead.empty()) return;
  // It hears that it is held dead: refuted by itself, that it lives is news for all.
  const Peer& one = *dead[random_() % dead.size()];
  Ping(one.member.address(), random_(), out, &one);
}

Duration Swim::Patience(const Peer& peer) const {
  const double living = static_cast<double>(Living());
  const double least = std::max(1.0, std::log10(living + 1)) * options_.suspicion;
  const double most = least * std::max(1.0, options_.unconfirmed);
  // Confirmed by as many as there are beside the two, where those are few.
  const double wanted = std::min(static_cast<double>(options_.confirmations), living - 2);
  const double others = peer.accusers.empty() ? 0 : static_cast<double>(peer.accusers.size()) - 1;
  const double confirmed = wanted < 1 ? 1 : std::log(others + 1) / std::log(wanted + 1);
  const double periods = std::max(least, most - (most - least) * confirmed);
  return Duration(static_cast<std::int64_t>(periods * static_cast<double>(options_.period.count())));
}

// A process that was stopped, or starved, finds the others silent: it was not listening. What it held against
// them while it could not hear is void, and for a while it takes itself for the slow one.
void Swim::StoodStill(TimePoint now, Duration stall) {
  ++stalls_;
  quorum_tracker_.ResetAfterPause(now);
  probe_.reset();
  relays_.clear();
  accused_.clear();
  Doubt(options_.most_doubt);
  for (auto& [name, peer] : peers_) {
    if (peer.member.state() == proto::Member::SUSPECT) peer.changed = std::min(now, peer.changed + stall);
  }
  next_ = now + options_.period / 2;
}

// Who cannot reach it holds it dead; where it was heard not long ago that may be a matter of links. It is
// asked, and refutes it. Taken as it comes, one that hears both sides of a cut condemns both by what the
// other says.
bool Swim::AskFirst(TimePoint now, const Peer& peer, const proto::Member& told) {
  if (peer.heard == TimePoint{} || now - peer.heard >= options_.period * options_.ask_lately) return false;
  accused_.try_emplace(told.name(), Accusation{told, now});
  return true;
}

void Swim::AskAccused(TimePoint now, std::vector<OutgoingPacket>& out) {
  for (auto next = accused_.begin(); next != accused_.end();) {
    const auto accused = next++;
    Accusation& accusation = accused->second;
    const auto it = peers_.find(accused->first);
    const bool same = it != peers_.end() &&
                      it->second.member.incarnation_id() == accusation.told.incarnation_id() &&
                      it->second.member.state() <= proto::Member::SUSPECT;
    if (!same || it->second.heard > accusation.at) {
      accused_.erase(accused);
      continue;
    }
    Peer& peer = it->second;
    if (!std::exchange(accusation.asked, true)) {
      Peer told = peer;
      told.member = accusation.told;
      Ping(peer.member.address(), random_(), out, &told);
    }
    if (now - accusation.at < options_.period * (doubt_ + 1) * kAskedPart / 10) continue;
    if (accusation.told.incarnation() >= peer.member.incarnation()) Set(now, peer, proto::Member::DEAD);
    accused_.erase(accused);
  }
}

void Swim::NackRelays(TimePoint now, std::vector<OutgoingPacket>& out) {
  for (auto& [nonce, relay] : relays_) {
    if (relay.nacked || now < relay.nack_at) continue;
    relay.nacked = true;
    OutgoingPacket nack{relay.address, {}};
    nack.packet.mutable_nack()->set_nonce(relay.nonce);
    AddWords(now, relay.incarnation_id, relay.view, relay.claims_suffice, nack.packet);
    AddSenderAndGossip(nack.packet);
    out.push_back(std::move(nack));
  }
  std::erase_if(relays_, [now](const auto& item) { return item.second.until < now; });
}

void Swim::EndProbe(TimePoint now) {
  if (!probe_) return;
  const Probe probe = *std::exchange(probe_, std::nullopt);
  // Helpers that are silent as well: it may be this instance that nobody reaches.
  Doubt(probe.helpers > 0 ? probe.helpers - probe.nacks : 1);
  const auto it = peers_.find(probe.name);
  if (it == peers_.end() || it->second.member.state() > proto::Member::SUSPECT) return;
  Peer& peer = it->second;
  const bool first = peer.accusers.insert(self_.incarnation_id()).second;
  peer.member.set_suspected_by(self_.incarnation_id());
  if (peer.member.state() == proto::Member::ALIVE) {
    Set(now, peer, proto::Member::SUSPECT);
  } else if (first) {
    Tell(probe.name);
  }
}

bool Swim::ProbeNext(TimePoint now, std::vector<std::string>& round, std::vector<OutgoingPacket>& out) {
  while (!round.empty()) {
    const std::string name = round.back();
    round.pop_back();
    const auto it = peers_.find(name);
    if (it == peers_.end() || it->second.member.state() > proto::Member::SUSPECT) continue;
    probe_ = Probe{name, random_(), now, false};
    Ping(it->second.member.address(), probe_->nonce, out, &it->second);
    return true;
  }
  return false;
}

void Swim::BeginProbe(TimePoint now, std::vector<OutgoingPacket>& out) {
  // Claims are made where the words of a block meet: in those of it who ask each other. Every other ping goes
  // over all as ever, so each member is asked within twice as many periods as there are.
  block_next_ = !block_next_ && quorum_tracker_.BlockAcknowledgementsSuffice(now);
  if (block_next_) {
    if (ProbeNext(now, block_round_, out)) return;
    const std::span<const std::uint64_t> block = quorum_tracker_.OwnBlock();
    for (const auto& [name, peer] : peers_) {
      if (std::ranges::binary_search(block, peer.member.incarnation_id())) block_round_.push_back(name);
    }
    std::shuffle(block_round_.begin(), block_round_.end(), random_);
    if (ProbeNext(now, block_round_, out)) return;
  }
  for (int tries = 0; tries < 2; ++tries) {
    if (ProbeNext(now, round_, out)) return;
    for (const auto& [name, peer] : peers_) round_.push_back(name);
    std::shuffle(round_.begin(), round_.end(), random_);
  }
}

void Swim::Set(TimePoint now, Peer& peer, proto::Member::State state) {
  peer.member.set_state(state);
  moved_ = true;
  ++changes_;
  changed_.push_back(peer.member.name());
  if (state != proto::Member::SUSPECT) peer.accusers.clear();
  peer.changed = now;
  Tell(peer.member.name());
}

// What is said of a member holds if it is of a later life, or of a later incarnation, or worse news of the
// same. A member itself is always believed to be alive.
void Swim::Heard(TimePoint now, const proto::Member& member, bool directly) {
  if (member.name().empty()) return;
  if (member.name() == self_.name()) {
    if (member.incarnation_id() != self_.incarnation_id()) return MetNamesake(now, member, directly);
    if (member.state() != proto::Member::ALIVE && self_.state() == proto::Member::ALIVE &&
        member.incarnation() >= self_.incarnation()) {
      self_.set_incarnation(member.incarnation() + 1);
      Doubt(1);  // it was not heard in time
    }
    return;
  }
  auto [it, fresh] = peers_.try_emplace(member.name());
  Peer& peer = it->second;
  // Of one that is known under its address it was done then; a walk over all seeds for each rumour is not.
  const bool at_new_address = fresh || peer.member.address() != member.address();
  if (at_new_address && std::erase(unheard_, member.address()) > 0) ++changes_;
  const bool later_life = fresh || member.started_us() > peer.member.started_us();
  if (!later_life && member.incarnation_id() != peer.member.incarnation_id()) {
    if (directly) ++conflicts_;
    return;
  }
  const bool newer = member.incarnation() > peer.member.incarnation();
  const bool worse =
      member.incarnation() == peer.member.incarnation() && member.state() > peer.member.state();
  const bool back = directly && peer.member.state() != proto::Member::ALIVE &&
                    peer.member.state() != proto::Member::LEFT && member.state() == proto::Member::ALIVE;
  const bool confirms = member.state() == proto::Member::SUSPECT && !later_life &&
                        member.suspected_by() != 0 && peer.member.state() == proto::Member::SUSPECT &&
                        member.incarnation() == peer.member.incarnation();
  if (confirms && peer.accusers.insert(member.suspected_by()).second) {
    peer.member.set_suspected_by(member.suspected_by());
    return Tell(member.name());
  }
  if (!later_life && !newer && !worse && !back) return;
  if (!directly && !later_life && member.state() == proto::Member::DEAD &&
      peer.member.state() <= proto::Member::SUSPECT && AskFirst(now, peer, member)) {
    return;
  }
  moved_ = true;
  ++changes_;
  changed_.push_back(member.name());
  if (later_life) peer.round_trip.reset();  // another process, perhaps elsewhere
  const bool moved = fresh || peer.member.state() != member.state() || later_life;
  peer.member = member;
  peer.accusers.clear();
  if (member.state() == proto::Member::SUSPECT && member.suspected_by() != 0) {
    peer.accusers.insert(member.suspected_by());
  }
  if (moved) peer.changed = now;
  Tell(member.name());
}

// Those not held dead, by their lives, which are drawn by chance: the sum of what each is mixed to is a
// digest that needs no order. Who is suspected stays until that is settled: where packets are lost suspicions
// come and go, and no view would last. Whether it stands with the others its word tells.
void Swim::Look(TimePoint now) {
  if (!std::exchange(moved_, false)) return;
  const auto mixed = [](std::uint64_t x) {  // the finalizer of splitmix64 (Steele, Lea, Flood, 2014)
    x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ull;
    x = (x ^ (x >> 27)) * 0x94D049BB133111EBull;
    return x ^ (x >> 31);
  };
  // Instances that count words for different times, or against different sizes, are never of one view.
  std::uint64_t digest = mixed(self_.incarnation_id()) + mixed(options_.size) +
                         mixed(~static_cast<std::uint64_t>(acknowledgement_validity().count()));
  LookForOwners();
  for (const std::uint64_t incarnation_id : owners_)
    digest += options_.owners_named ? mixed(~incarnation_id) : 0;
  std::vector<std::uint64_t> incarnation_ids{self_.incarnation_id()};
  suspects_ = gone_ = 0;
  for (const auto& [name, peer] : peers_) {
    suspects_ += peer.member.state() == proto::Member::SUSPECT;
    if (peer.member.state() > proto::Member::SUSPECT) {
      ++gone_;
      continue;
    }
    digest += mixed(peer.member.incarnation_id());
    incarnation_ids.push_back(peer.member.incarnation_id());
  }
  std::ranges::sort(incarnation_ids);
  quorum_tracker_.UpdateView(now, digest, incarnation_ids);
}

// Those set aside, where all of the view know that rule: one that does not would find other owners, and two
// owners of one key make reads stale. The digest names them, so all of one view find the same ones whatever
// has been told to whom.
void Swim::LookForOwners() {
  owners_.clear();
  bool all = (options_.understands & kKnowsDedicatedLeaseManagers) != 0;
  if (options_.owns) owners_.push_back(self_.incarnation_id());
  for (const auto& [name, peer] : peers_) {
    if (peer.member.state() > proto::Member::SUSPECT) continue;
    const bool understands = (peer.member.capabilities() & kKnowsDedicatedLeaseManagers) != 0;
    all = all && (understands || !options_.owners_named);
    if (peer.member.dedicated_lease_manager()) owners_.push_back(peer.member.incarnation_id());
  }
  if (!all) owners_.clear();
}

// Another life of this instance's name. Of two that run the one that started later stays; the other stands by
// nothing as long as it hears of that. One that is over and is said to have started later had another clock:
// this one takes a later start, or its word would never count.
void Swim::MetNamesake(TimePoint now, const proto::Member& member, bool directly) {
  if (member.started_us() < self_.started_us()) {
    conflicts_ += directly;
  } else if (member.state() >= proto::Member::DEAD) {
    self_.set_started_us(member.started_us() + 1);
    aside_ = false;
  } else {
    ++conflicts_;
    aside_ = true;
    quorum_tracker_.ResetAfterPause(now);
  }
}

void Swim::TakeWords(const proto::Packet& packet) {
  quorum_tracker_.RecordAcknowledgement(packet.sender().incarnation_id(), probe_->sent,
                                        packet.view_acknowledged() ? packet.view() : 0);
  quorum_tracker_.MergeAcknowledgementAges(probe_->sent, packet.view(), packet.acknowledgement_ages());
  quorum_tracker_.MergeBlockAcknowledgementAges(probe_->sent, packet.view(),
                                                packet.block_acknowledgement_ages());
}

// Not of a ping that was repeated, or asked of others: which one was answered is not known (Karn's rule). The
// weight is that of RFC 6298.
void Swim::TimeAnswer(TimePoint now, const proto::Packet& packet) {
  if (probe_->asked || probe_->repeated || packet.sender().name() != probe_->name) return;
  const auto it = peers_.find(probe_->name);
  if (it == peers_.end()) return;
  std::optional<Duration>& smoothed = it->second.round_trip;
  const Duration measured = now - probe_->sent;
  smoothed = smoothed ? *smoothed + (measured - *smoothed) / 8 : measured;
}

void Swim::AddWords(TimePoint now, std::uint64_t asker, std::uint64_t view, bool claims_suffice,
                    proto::Packet& packet) const {
  if (claims_suffice) {
    packet.set_block_acknowledgement_ages(quorum_tracker_.BlockAcknowledgementAges(now, view, asker));
  } else {
    packet.set_acknowledgement_ages(quorum_tracker_.AcknowledgementAges(now, view));
  }
}

void Swim::CompareViews(TimePoint now, const std::string& from, const proto::Packet& packet,
                        std::vector<OutgoingPacket>& out) {
  if (packet.view() == 0) return;  // an older version
  const std::string& name = packet.sender().name();
  if (packet.view() == quorum_tracker_.view()) {
    differences_.erase(name);
    return;
  }
  if (now < next_roll_) return;
  next_roll_ = now + options_.period;
  std::vector<const proto::Member*> all{&self_};
  for (const auto& [other, peer] : peers_) all.push_back(&peer.member);
  std::ranges::sort(all, {}, [](const proto::Member* member) { return member->incarnation_id(); });
  auto next = std::ranges::lower_bound(all, roll_from_, {},
                                       [](const proto::Member* m) { return m->incarnation_id(); });
  OutgoingPacket roll{from, {}};
  proto::MembershipDigest& part = *roll.packet.mutable_membership_digest();
  part.set_first_incarnation_id(roll_from_);
  for (; next != all.end() && part.entries_size() < kEntriesARoll; ++next) {
    proto::MembershipDigest::Entry& entry = *part.add_entries();
    entry.set_incarnation_id((*next)->incarnation_id());
    entry.set_incarnation((*next)->incarnation());
    entry.set_state((*next)->state());
  }
  const bool last = next == all.end();
  part.set_last_incarnation_id(last ? std::numeric_limits<std::uint64_t>::max()
                                    : (*next)->incarnation_id() - 1);
  roll_from_ = last ? 0 : (*next)->incarnation_id();
  AddSenderAndGossip(roll.packet);
  out.push_back(std::move(roll));
}

// Tells the sender what is known better here: those that it does not have, unless they are gone anyway, and
// those of whom there is later news. Whom it holds alive and this instance dead, with no later news on either
// side, is asked: two sides of a cut that has healed must not kill each other's members by hearsay.
void Swim::TakeRoll(TimePoint now, const std::string& from, const proto::Packet& packet,
                    std::vector<OutgoingPacket>& out) {
  std::map<std::uint64_t, const proto::MembershipDigest::Entry*> theirs;
  for (const proto::MembershipDigest::Entry& entry : packet.membership_digest().entries())
    theirs[entry.incarnation_id()] = &entry;
  const auto self = theirs.find(self_.incarnation_id());
  if (self != theirs.end() && self->second->state() != proto::Member::ALIVE) {
    proto::Member accused = self_;
    accused.set_state(self->second->state());
    accused.set_incarnation(self->second->incarnation());
    Heard(now, accused, false);
  }
  std::vector<std::string>& differs = differences_[packet.sender().name()];
  const auto within = [&](std::uint64_t incarnation_id) {
    return incarnation_id >= packet.membership_digest().first_incarnation_id() &&
           incarnation_id <= packet.membership_digest().last_incarnation_id();
  };
  std::erase_if(differs, [&](const std::string& name) {
    const auto peer = peers_.find(name);
    return peer == peers_.end() || within(peer->second.member.incarnation_id());
  });
  OutgoingPacket news{from, {}};
  for (const auto& [name, peer] : peers_) {
    const proto::Member& member = peer.member;
    if (!within(member.incarnation_id())) continue;
    const auto entry = theirs.find(member.incarnation_id());
    const bool living = member.state() <= proto::Member::SUSPECT;
    const bool there = entry != theirs.end() && entry->second->state() <= proto::Member::SUSPECT;
    if (living == there) continue;
    differs.push_back(name);
    const bool later = entry == theirs.end() || member.incarnation() > entry->second->incarnation() ||
                       member.state() == proto::Member::LEFT;
    if (later) {
      if (news.packet.gossip_size() < kNewsARoll) *news.packet.add_gossip() = member;
    } else if (member.state() == proto::Member::DEAD && asked_++ < kNewsARoll) {
      Ping(member.address(), random_(), out, &peer);
    }
  }
  if (news.packet.gossip_size() == 0) return;
  AddSenderAndGossip(news.packet);
  out.push_back(std::move(news));
}

void Swim::HandlePacket(TimePoint now, const std::string& from, const proto::Packet& packet,
                        std::vector<OutgoingPacket>& out) {
  now_ = now;
  Heard(now, packet.sender(), true);
  const auto sender = peers_.find(packet.sender().name());
  if (sender != peers_.end() && sender->second.member.incarnation_id() == packet.sender().incarnation_id()) {
    sender->second.heard = now;
    sender->second.view = packet.view();
  }
  for (const proto::Member& rumour : packet.gossip()) Heard(now, rumour, false);
  if (packet.has_ack()) {
    const auto it = probe_ ? peers_.find(probe_->name) : peers_.end();
    // At the address of one that has ended another life of its name may answer: not for it.
    const bool other_life = it != peers_.end() && packet.sender().name() == probe_->name &&
                            packet.sender().incarnation_id() != it->second.member.incarnation_id();
    if (probe_ && !other_life && packet.ack().nonce() == probe_->nonce) {
      if (it != peers_.end() && it->second.member.state() == proto::Member::SUSPECT) {
        Set(now, it->second, proto::Member::ALIVE);
      }
      TakeWords(packet);  // of a helper, where one passed it on
      TimeAnswer(now, packet);
      probe_.reset();
      Doubt(-1);
    }
    const auto relay = relays_.find(packet.ack().nonce());
    // Nor is it passed on as the word of the life that is known here.
    const bool of_another =
        sender != peers_.end() && sender->second.member.incarnation_id() != packet.sender().incarnation_id();
    if (relay != relays_.end() && !of_another) {
      OutgoingPacket ack{relay->second.address, {}};
      ack.packet.mutable_ack()->set_nonce(relay->second.nonce);
      AddWords(now, relay->second.incarnation_id, relay->second.view, relay->second.claims_suffice,
               ack.packet);
      relays_.erase(relay);
      AddSenderAndGossip(ack.packet);
      out.push_back(std::move(ack));
    }
  }
  if (packet.has_nack() && probe_ && packet.nack().nonce() == probe_->nonce) {
    ++probe_->nacks;
    TakeWords(packet);
  }
  if (packet.has_ping() || packet.has_ack()) CompareViews(now, from, packet, out);
  if (packet.has_membership_digest()) TakeRoll(now, from, packet, out);
  if (packet.has_ping()) {
    // Who is thought ill of hears it with the answer, and can speak up.
    const auto it = peers_.find(packet.sender().name());
    if (it != peers_.end() && it->second.member.state() != proto::Member::ALIVE) Tell(packet.sender().name());
    OutgoingPacket ack{from, {}};
    ack.packet.mutable_ack()->set_nonce(packet.ping().nonce());
    AddWords(now, packet.sender().incarnation_id(), packet.view(),
             !packet.block_acknowledgement_ages().empty(), ack.packet);
    AddSenderAndGossip(ack.packet);
    out.push_back(std::move(ack));
  }
  if (packet.has_ping_request()) {
    const std::uint64_t nonce = random_();
    relays_[nonce] = {from,
                      packet.ping_request().nonce(),
                      now + options_.period,
                      now + options_.period * kNackAfter / 10,
                      packet.view(),
                      packet.sender().incarnation_id(),
                      !packet.block_acknowledgement_ages().empty()};
    Ping(packet.ping_request().address(), nonce, out);
  }
}

void Swim::Leave(TimePoint, std::vector<OutgoingPacket>& out) {
  self_.set_state(proto::Member::LEFT);
  for (const auto& [name, peer] : peers_) {
    if (peer.member.state() <= proto::Member::SUSPECT) Ping(peer.member.address(), random_(), out);
  }
}

}  // namespace lynxgrade::membership
