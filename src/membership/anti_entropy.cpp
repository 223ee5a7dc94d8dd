#include "membership/anti_entropy.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lynxgrade::membership {
namespace {

constexpr int kEntriesPerPart = 60;  // some 1,000 bytes: one datagram on any path
constexpr int kMaxNewsPerAnswer = 16;
constexpr int kMaxPingsPerPeriod = 16;

std::uint64_t IncarnationIdOf(const proto::Member* member) { return member->incarnation_id(); }

bool IsRunning(const proto::MembershipDigest::Entry& entry) {
  return entry.state() <= proto::Member::SUSPECT;
}

}  // namespace

void AntiEntropy::CompareViews(TimePoint now, const std::string& sender_address, const proto::Packet& packet,
                               std::uint64_t own_view, Outbox& outbox) {
  if (packet.view() == 0) return;  // an older version
  if (packet.view() == own_view) {
    differences_.erase(packet.sender().name());
    return;
  }
  if (now < next_digest_) return;
  next_digest_ = now + period_;
  OutgoingPacket digest{sender_address, {}};
  *digest.packet.mutable_membership_digest() = NextPart();
  packets_.Send(std::move(digest), outbox);
}

proto::MembershipDigest AntiEntropy::NextPart() {
  std::vector<const proto::Member*> all{&members_.self()};
  for (const auto& [name, peer] : members_.peers()) all.push_back(&peer.member);
  std::ranges::sort(all, {}, IncarnationIdOf);
  auto next = std::ranges::lower_bound(all, next_part_, {}, IncarnationIdOf);
  proto::MembershipDigest part;
  part.set_first_incarnation_id(next_part_);
  for (; next != all.end() && part.entries_size() < kEntriesPerPart; ++next) {
    proto::MembershipDigest::Entry& entry = *part.add_entries();
    entry.set_incarnation_id((*next)->incarnation_id());
    entry.set_incarnation((*next)->incarnation());
    entry.set_state((*next)->state());
  }
  const bool is_last = next == all.end();
  part.set_last_incarnation_id(is_last ? std::numeric_limits<std::uint64_t>::max()
                                       : (*next)->incarnation_id() - 1);
  next_part_ = is_last ? 0 : (*next)->incarnation_id();
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
  OutgoingPacket news{sender_address, {}};
  for (const auto& [name, peer] : std::as_const(members_).peers()) {
    if (!is_covered(peer.member)) continue;
    const auto found = entries.find(peer.member.incarnation_id());
    const auto* entry = found == entries.end() ? nullptr : found->second;
    const bool runs_there = entry != nullptr && IsRunning(*entry);
    if (membership::IsRunning(peer.member) == runs_there) continue;
    differences.push_back(name);
    Reconcile(peer, entry, news.packet, outbox);
  }
  if (news.packet.gossip_size() > 0) packets_.Send(std::move(news), outbox);
}

void AntiEntropy::RefuteOwnEntry(const Entries& entries) {
  const auto own = entries.find(members_.self().incarnation_id());
  if (own != entries.end()) members_.Refute(own->second->state(), own->second->incarnation());
}

// With no later news on either side the member is pinged: two sides of a partition that has ended must not
// declare each other's members dead.
void AntiEntropy::Reconcile(const Peer& peer, const proto::MembershipDigest::Entry* entry,
                            proto::Packet& news, Outbox& outbox) {
  const proto::Member& member = peer.member;
  const bool is_known_better = entry == nullptr || member.incarnation() > entry->incarnation() ||
                               member.state() == proto::Member::LEFT;
  if (is_known_better) {
    if (news.gossip_size() < kMaxNewsPerAnswer) *news.add_gossip() = member;
  } else if (member.state() == proto::Member::DEAD && pings_in_period_++ < kMaxPingsPerPeriod) {
    packets_.SendPing(member.address(), packets_.DrawNonce(), outbox, &member);
  }
}

}  // namespace lynxgrade::membership
