// This instance's view of the fleet: the members that count as running, a digest that identifies this set,
// and the dedicated lease managers among them.
#pragma once

#include <cstdint>
#include <vector>

#include "membership/member_table.h"
#include "routing/balancer.h"

namespace lynxgrade::membership {

// Bits of `Member.capabilities`: rules that an instance may only apply if the other members support them too.
namespace capability {
inline constexpr std::uint32_t kSupportsDedicatedLeaseManagers = 2;
inline constexpr std::uint32_t kRelaysLeaseMessages = 4;
}  // namespace capability

// The role of this process in the management of session leases.
struct LeaseManagerOptions {
  // This process is a dedicated lease manager: it manages the session leases of all instances. Dedicated
  // lease managers are used only in a view whose members all support them, and are part of its digest.
  bool dedicated = false;
  // Enforces that rule. False for tests only: stale reads become possible.
  bool require_support_by_all = true;
};

// The view as of the last refresh. Not thread-safe.
class MembershipView {
 public:
  // The fleet size and the validity of acknowledgements are part of the digest: instances that differ in one
  // of them never have the same view.
  MembershipView(std::size_t fleet_size, Duration acknowledgement_validity, std::uint32_t capabilities,
                 LeaseManagerOptions options)
      : fleet_size_(fleet_size),
        acknowledgement_validity_(acknowledgement_validity),
        capabilities_(capabilities),
        options_(options) {}

  // Computes the view from the member table. Suspected members belong to it until they are declared dead, as
  // with packet loss suspicions are frequent and mostly refuted.
  void Refresh(const MemberTable& members);

  std::uint64_t digest() const { return digest_; }
  // The incarnation ids of the members in ascending order, this instance included.
  const std::vector<std::uint64_t>& incarnation_ids() const { return incarnation_ids_; }
  // The incarnation ids of the dedicated lease managers; empty if there are none, or not all members support
  // them. All instances with the same view have the same ones.
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
