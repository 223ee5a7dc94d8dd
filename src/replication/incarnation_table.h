// Maps incarnations to addresses, and records which incarnations use session leases, including those that
// have been replaced.
//
// Owns both tables; PeerLinks updates them when membership changes. No clock, no I/O.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "lease/rendezvous_hash.h"
#include "replication/packet.pb.h"

namespace lynxgrade::replication {

class IncarnationTable {
 public:
  enum class LeaseSupport { kNone, kLeases };
  // Applies the current entry of a member.
  void Update(const std::string& name, const proto::Member& member, LeaseSupport lease_support);
  // Removes the address of a member that membership has dropped.
  void Remove(const std::string& name);
  // Bounds the set of incarnations that use leases: above the limit only those in `view`, which must be
  // sorted in ascending order, are kept.
  void PruneLeaseUsers(const std::vector<lease::IncarnationId>& view);

  // Null if no member has this incarnation now.
  const std::string* AddressOf(lease::IncarnationId incarnation_id) const;
  // Also true for a replaced incarnation, which a view may still contain.
  bool UsesLeases(lease::IncarnationId incarnation_id) const { return lease_users_.contains(incarnation_id); }

 private:
  static constexpr std::size_t kMaxLeaseUsers = 8192;

  std::unordered_map<std::string, lease::IncarnationId> incarnation_ids_;  // by member name
  std::unordered_map<lease::IncarnationId, std::string> addresses_;
  std::set<lease::IncarnationId> lease_users_;
};

}  // namespace lynxgrade::replication
