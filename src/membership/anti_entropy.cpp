#include "membership/anti_entropy.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lynxgrade::membership {
namespace {

constexpr int kEntriesPerPart = 60;  // about 1,000 bytes, which fit into one datagram on any network path
constexpr int kMaxMembersPerAnswer = 16;
constexpr int kMaxPingsPerPeriod = 16;

std::uint64_t IncarnationIdOf(const proto::Member* member) { return member->incarnation_id(); }

bool IsRunning(const proto::MembershipDigest::Entry& entry) {
  return entry.state() <= proto::Member::SUSPECT;
}

}  // namespace

void AntiEntropy::CompareViews(TimePoint now, const std::string& sender_address, const proto::Packet& packet,
                               std::uint64_t own_view, Outbox& outbox) {
  if (packet.view() == 0) return;  // sent by an older version
  if (packet.view() == own_view) {
    differences_.erase(packet.sender().name());
    return;
  }
  if (now < next_digest_at_) return;
  next_digest_at_ = now + period_;
  OutgoingPacket digest{sender_address, {}};
  *digest.packet.mutable_membership_digest() = NextDigestPart();
  packets_.Send(std::move(digest), outbox);
}

proto::MembershipDigest AntiEntropy::NextDigestPart() {
  std::vector<const proto::Member*> members{&members_.self()};
  for (const auto& [name, peer] : members_.peers()) members.push_back(&peer.member);
  std::ranges::sort(members, {}, IncarnationIdOf);
  auto next = std::ranges::lower_bound(members, next_part_start_, {}, IncarnationIdOf);
  proto::MembershipDigest part;
  part.set_first_incarnation_id(next_part_start_);
  for (; next != members.end() && part.entries_size() < kEntriesPerPart; ++next) {
    proto::MembershipDigest::Entry& entry = *part.add_entries();
    entry.set_incarnation_id((*next)->incarnation_id());
    entry.set_incarnation((*next)->incarnation());
    entry.set_state((*next)->state());
  }
  const bool is_last = next == members.end();
  part.set_last_incarnation_id(is_last ? std::numeric_limits<std::uint64_t>::max()
                                       : (*next)->incarnation_id() - 1);
  next_part_start_ = is_last ? 0 : (*next)->incarnation_id();
  return part;
}

void AntiEntropy::HandleDigest(const std::string& sender_address, const proto::Packet& packet,
                               Outbox& outbox) {
  const proto::MembershipDigest& digest = packet.membership_digest();
  Entries entries;
  for (const proto::MembershipDigest::Entry& entry : digest.entries())
    entries[entry.incarnation_id()] = &entry;
  RefuteOwnEntry(entries);
  const auto is_covered = [&](const proto::Member& member) {
    return member.incarnation_id() >= digest.first_incarnation_id() &&
           member.incarnation_id() <= digest.last_incarnation_id();
  };
  std::vector<std::string>& differences = differences_[packet.sender().name()];
  std::erase_if(differences, [&](const std::string& name) {
    const Peer* peer = members_.Find(name);
    return peer == nullptr || is_covered(peer->member);
  });
  OutgoingPacket answer{sender_address, {}};
  for (const auto& [name, peer] : std::as_const(members_).peers()) {
    if (!is_covered(peer.member)) continue;
    const auto found = entries.find(peer.member.incarnation_id());
    const auto* entry = found == entries.end() ? nullptr : found->second;
    const bool is_running_there = entry != nullptr && IsRunning(*entry);
    if (membership::IsRunning(peer.member) == is_running_there) continue;
    differences.push_back(name);
    ReconcileMember(peer, entry, answer.packet, outbox);
  }
  if (answer.packet.gossip_size() > 0) packets_.Send(std::move(answer), outbox);
}

void AntiEntropy::RefuteOwnEntry(const Entries& entries) {
  const auto own = entries.find(members_.self().incarnation_id());
  if (own != entries.end()) members_.Refute(own->second->state(), own->second->incarnation());
}

// Without newer information this instance pings the member that is dead here: when a partition ends, its
// sides must not declare each other's members dead.
void AntiEntropy::ReconcileMember(const Peer& peer, const proto::MembershipDigest::Entry* entry,
                                  proto::Packet& answer, Outbox& outbox) {
  const proto::Member& member = peer.member;
  const bool has_newer_information = entry == nullptr || member.incarnation() > entry->incarnation() ||
                                     member.state() == proto::Member::LEFT;
  if (has_newer_information) {
    if (answer.gossip_size() < kMaxMembersPerAnswer) *answer.add_gossip() = member;
  } else if (member.state() == proto::Member::DEAD && pings_in_period_++ < kMaxPingsPerPeriod) {
    packets_.SendPing(member.address(), packets_.DrawNonce(), outbox, &member);
  }
}

}  // namespace lynxgrade::membership
