// The members that count as running, the digest that names them, and those of them that manage the session
// leases of all.
#pragma once

#include <cstdint>
#include <vector>

#include "membership/member_table.h"
#include "routing/balancer.h"

namespace lynxgrade::membership {

// Rules that each member of a view has to know before it may apply them: bits of `Member.capabilities`.
namespace capability {
inline constexpr std::uint32_t kSupportsDedicatedLeaseManagers = 2;
inline constexpr std::uint32_t kRelaysLeaseMessages = 4;
}  // namespace capability

// This process's part in the management of session leases.
struct LeaseManagerOptions {
  // This process manages leases for all. Dedicated lease managers count only in a view whose members all know
  // them, and its digest names them.
  bool dedicated = false;
  // That rule. Without it, which is for tests alone, stale reads are possible.
  bool require_support_by_all = true;
};

// The view as of the last refresh.
class MembershipView {
 public:
  // Instances whose fleets differ in size, or whose acknowledgements differ in validity, never have the same
  // view.
  MembershipView(std::size_t fleet_size, Duration acknowledgement_validity, std::uint32_t capabilities,
                 LeaseManagerOptions options)
      : fleet_size_(fleet_size),
        acknowledgement_validity_(acknowledgement_validity),
        capabilities_(capabilities),
        options_(options) {}

  // Computes the view anew. Suspected members stay in it until they are declared dead: suspicions come and go
  // where packets are lost.
  void Refresh(const MemberTable& members);

  std::uint64_t digest() const { return digest_; }
  // Of the members, this instance included, ascending.
  const std::vector<std::uint64_t>& incarnation_ids() const { return incarnation_ids_; }
  // The incarnation ids of the view's dedicated lease managers; empty where it has none, or not all members
  // know them. The same in all instances of the view.
  const std::vector<std::uint64_t>& dedicated_lease_managers() const { return dedicated_lease_managers_; }

 private:
  void RefreshLeaseManagers(const MemberTable& members);

  std::size_t fleet_size_;
  Duration acknowledgement_validity_;
  std::uint32_t capabilities_;
  LeaseManagerOptions options_;
  std::uint64_t digest_ = 0;
  std::vector<std::uint64_t> incarnation_ids_;
  std::vector<std::uint64_t> dedicated_lease_managers_;
};

}  // namespace lynxgrade::membership
