#include "membership/membership_view.h"

#include <algorithm>

namespace lynxgrade::membership {
namespace {

// The finalizer of splitmix64 (Steele, Lea, Flood: "Fast Splittable Pseudorandom Number Generators", 2014).
std::uint64_t Mix(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ull;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBull;
  return x ^ (x >> 31);
}

}  // namespace

// A sum of mixed incarnation ids, which are random: independent of their order.
void MembershipView::Refresh(const MemberTable& members) {
  const std::uint64_t self = members.self().incarnation_id();
  digest_ =
      Mix(self) + Mix(fleet_size_) + Mix(~static_cast<std::uint64_t>(acknowledgement_validity_.count()));
  RefreshLeaseManagers(members);
  if (options_.require_support_by_all) {
    for (const std::uint64_t incarnation_id : dedicated_lease_managers_) digest_ += Mix(~incarnation_id);
  }
  incarnation_ids_ = {self};
  for (const auto& [name, peer] : members.peers()) {
    if (!IsRunning(peer.member)) continue;
    digest_ += Mix(peer.member.incarnation_id());
    incarnation_ids_.push_back(peer.member.incarnation_id());
  }
  std::ranges::sort(incarnation_ids_);
}

// A member that does not know the rule would find other managers, and two managers of one key make reads
// stale. As the digest names them all instances of one view find the same.
void MembershipView::RefreshLeaseManagers(const MemberTable& members) {
  dedicated_lease_managers_.clear();
  bool all_know = (capabilities_ & capability::kSupportsDedicatedLeaseManagers) != 0;
  if (options_.dedicated) dedicated_lease_managers_.push_back(members.self().incarnation_id());
  for (const auto& [name, peer] : members.peers()) {
    if (!IsRunning(peer.member)) continue;
    const bool knows = (peer.member.capabilities() & capability::kSupportsDedicatedLeaseManagers) != 0;
    all_know = all_know && (knows || !options_.require_support_by_all);
    if (peer.member.dedicated_lease_manager()) {
      dedicated_lease_managers_.push_back(peer.member.incarnation_id());
    }
  }
  if (!all_know) dedicated_lease_managers_.clear();
}

}  // namespace lynxgrade::membership
