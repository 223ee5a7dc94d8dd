#include "replication/peer_links.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "replication/packet_codec.h"

namespace lynxgrade::replication {
namespace {

// The id of a peer in the consistency guard.
std::uint64_t PeerIdOf(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

// The id for the writes of an older incarnation of the peer that is running beside the newer one.
std::uint64_t DuplicateIdOf(std::string_view name) { return ~PeerIdOf(name); }

}  // namespace

PeerLinks::PeerLinks(membership::Swim& swim, consistency::SessionConsistencyGuard& consistency_guard,
                     LeaseMode lease_mode, std::uint64_t seed)
    : swim_(swim), consistency_guard_(consistency_guard), lease_mode_(lease_mode), rotation_(seed) {
  for (const std::string& address : swim_.unheard_seeds()) {
    unheard_seed_ids_[address] = PeerIdOf("address " + address);
    consistency_guard_.SetReplicatedThrough(unheard_seed_ids_[address], TimePoint{});
  }
}

void PeerLinks::ApplyMembershipChanges(TimePoint now) {
  if (std::exchange(applied_changes_, swim_.change_count()) == swim_.change_count()) return;
  incarnations_.PruneLeaseUsers(swim_.quorum_tracker().incarnation_ids());
  // Only the members that have changed: while a large fleet starts, almost every packet changes a few.
  std::vector<std::string> names = swim_.DrainChangedNames();
  for (std::string& name : std::exchange(reset_names_, {})) names.push_back(std::move(name));
  for (const std::string& name : names) ApplyMemberChange(now, name);
  RemoveHeardSeeds();
}

void PeerLinks::RemoveHeardSeeds() {
  const std::vector<std::string>& seeds = swim_.unheard_seeds();
  if (std::exchange(last_unheard_seed_count_, seeds.size()) == seeds.size()) return;
  const std::set<std::string> unheard(seeds.begin(), seeds.end());
  std::erase_if(unheard_seed_ids_, [&](const auto& placeholder) {
    if (unheard.contains(placeholder.first)) return false;
    consistency_guard_.RemovePeer(placeholder.second);
    return true;
  });
}

void PeerLinks::ApplyMemberChange(TimePoint now, const std::string& name) {
  const auto peer = swim_.peers().find(name);
  if (peer == swim_.peers().end()) return RemovePeer(name);
  const proto::Member& member = peer->second.member;
  const bool uses_leases = UsesLeases(member);
  incarnations_.Update(
      name, member,
      uses_leases ? IncarnationTable::LeaseSupport::kLeases : IncarnationTable::LeaseSupport::kNone);
  if (member.state() == proto::Member::LEFT) return HandleLeave(now, name, member);
  if (uses_leases) {
    watermark_receivers_.erase(name);
  } else {
    watermark_receivers_.insert(name);
  }
  const auto link = links_.find(name);
  if (link == links_.end()) return AddLink(now, name, member);
  const bool dead = member.state() == proto::Member::DEAD;
  if (std::exchange(link->second.dead, dead) == dead) return;
  Log("peer " + name + (dead ? " declared dead" : " alive again"));
}

void PeerLinks::RemovePeer(const std::string& name) {
  incarnations_.Remove(name);
  watermark_receivers_.erase(name);
  const auto link = links_.find(name);
  if (link == links_.end()) return;
  consistency_guard_.RemovePeer(PeerIdOf(name));
  Log("peer removed: dead for longer than membership keeps dead members, peer=" + name);
  links_.erase(link);
}

void PeerLinks::HandleLeave(TimePoint now, const std::string& name, const proto::Member& member) {
  const auto link = links_.find(name);
  if (link == links_.end() || link->second.incarnation_id != member.incarnation_id()) return;
  // It answered its last writes before it announced its departure; their watermarks may have been lost.
  const TimePoint replicated_through = link->second.watermarks.replicated_through;
  if (replicated_through < now)
    consistency_guard_.AddUnknownWriteInterval(PeerIdOf(name), replicated_through, now);
  consistency_guard_.RemovePeer(PeerIdOf(name));
  links_.erase(link);
  watermark_receivers_.erase(name);
  Log("peer left: peer=" + name);
}

void PeerLinks::AddLink(TimePoint now, const std::string& name, const proto::Member& member) {
  PeerLink& link = links_[name];
  link.dead = member.state() == proto::Member::DEAD;
  link.incarnation_id = member.incarnation_id();
  link.tracked_since = now;
  consistency_guard_.SetReplicatedThrough(PeerIdOf(name), TimePoint{});
  // Its earlier incarnations may have answered writes that it has not recovered.
  const TimePoint started = PositionFromMicroseconds(static_cast<std::int64_t>(member.started_us()));
  consistency_guard_.AddUnknownWriteInterval(PeerIdOf(name), TimePoint{},
                                             std::min(now, started + kMaxClockSkew));
  Log("peer added: read-your-writes reads now cover its writes, peer=" + name);
}

PeerLink* PeerLinks::FindSenderLink(TimePoint now, const proto::Member& sender) {
  const std::string& name = sender.name();
  const auto found = links_.find(name);
  if (found == links_.end()) return nullptr;
  PeerLink& link = found->second;
  if (link.incarnation_id == sender.incarnation_id()) return &link;
  const auto peer = swim_.peers().find(name);
  if (peer == swim_.peers().end() || peer->second.member.incarnation_id() != sender.incarnation_id()) {
    // An older incarnation that is still running is a second instance with the same name. Its writes are
    // unknown.
    consistency_guard_.AddUnknownWriteInterval(DuplicateIdOf(name), link.tracked_since, now);
    duplicate_name_until_ = now + swim_.acknowledgement_validity() * 2;
    link.tracked_since = now;
    return nullptr;
  }
  ResetLink(now, name, sender.incarnation_id(), link);
  return &link;
}

// The writes that the former incarnation answered after its last packet are unknown, unless the new
// incarnation has recovered them.
void PeerLinks::ResetLink(TimePoint now, const std::string& name, lease::IncarnationId incarnation_id,
                          PeerLink& link) {
  Log("peer restarted: new incarnation, peer=" + name);
  reset_names_.push_back(name);
  const WatermarkProgress& former = link.watermarks;
  const TimePoint replicated_through = former.was_replicated ? former.replicated_through : TimePoint{};
  link = PeerLink{};
  link.incarnation_id = incarnation_id;
  link.tracked_since = now;
  consistency_guard_.AddUnknownWriteInterval(PeerIdOf(name), replicated_through, now);
  consistency_guard_.RemovePeer(PeerIdOf(name));
  consistency_guard_.SetReplicatedThrough(PeerIdOf(name), TimePoint{});
}

void PeerLinks::MarkReplicated(const std::string& name, const PeerLink& link) {
  consistency_guard_.SetReplicatedThrough(PeerIdOf(name), link.watermarks.replicated_through);
}

void PeerLinks::MarkRecovered(const std::string& name) {
  consistency_guard_.RemoveUnknownWriteIntervals(PeerIdOf(name));
}

const proto::Member* PeerLinks::WatermarkReceiver(const std::string& name) const {
  const auto peer = swim_.peers().find(name);
  if (peer == swim_.peers().end() || UsesLeases(peer->second.member)) return nullptr;
  return &peer->second.member;
}

bool PeerLinks::IsTrackedByAllPeers() const {
  return std::ranges::all_of(swim_.peers(), [this](const auto& item) {
    const auto& [name, peer] = item;
    if (peer.member.state() != proto::Member::ALIVE || UsesLeases(peer.member)) return true;
    const auto link = links_.find(name);
    return link != links_.end() && link->second.watermarks.tracks_this_incarnation;
  });
}

std::map<std::string, TimePoint> PeerLinks::ReplicatedThrough() const {
  std::map<std::string, TimePoint> replicated_through;
  for (const auto& [name, link] : links_) replicated_through[name] = link.watermarks.replicated_through;
  return replicated_through;
}

bool PeerLinks::UsesLeases(const proto::Member& member) const {
  return lease_mode_ == LeaseMode::kEnabled && member.protocol_version() >= kLeaseProtocolVersion;
}

std::string PeerLinks::NextLeasePeer(lease::IncarnationId excluded) {
  std::vector<const proto::Member*> candidates;
  for (const auto& [name, peer] : swim_.peers()) {
    const bool alive = peer.member.state() == proto::Member::ALIVE;
    if (alive && UsesLeases(peer.member) && peer.member.incarnation_id() != excluded) {
      candidates.push_back(&peer.member);
    }
  }
  if (candidates.empty()) return {};
  return candidates[NextInRotation(candidates.size())]->address();
}

}  // namespace lynxgrade::replication
