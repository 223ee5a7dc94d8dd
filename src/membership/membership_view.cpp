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

// The digest is a sum of hashed incarnation ids, so it does not depend on their order. The ids are random.
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

// A member without support for dedicated lease managers would select other ones, and two managers of one key
// make stale reads possible. The digest includes them, so that all instances of a view select the same ones.
void MembershipView::RefreshLeaseManagers(const MemberTable& members) {
  dedicated_lease_managers_.clear();
  bool all_support = (capabilities_ & capability::kSupportsDedicatedLeaseManagers) != 0;
  if (options_.dedicated) dedicated_lease_managers_.push_back(members.self().incarnation_id());
  for (const auto& [name, peer] : members.peers()) {
    if (!IsRunning(peer.member)) continue;
    const bool supports = (peer.member.capabilities() & capability::kSupportsDedicatedLeaseManagers) != 0;
    all_support = all_support && (supports || !options_.require_support_by_all);
    if (peer.member.dedicated_lease_manager()) {
      dedicated_lease_managers_.push_back(peer.member.incarnation_id());
    }
  }
  if (!all_support) dedicated_lease_managers_.clear();
}

}  // namespace lynxgrade::membership
