// Where each incarnation is reached, and which of them take part in session leases, also after they were
// replaced.
//
// Owns the two tables; PeerLinks keeps them as membership changes. No clock, no I/O.
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
  // Takes over a member as it is known now.
  enum class LeaseUse { kNone, kLeases };
  void Update(const std::string& name, const proto::Member& member, LeaseUse lease_use);
  // The member is forgotten.
  void Remove(const std::string& name);
  // Bounds the incarnations that use leases: above the bound only those in `view`, ascending, are kept.
  void Prune(const std::vector<lease::IncarnationId>& view);

  // Null where no member has this incarnation now.
  const std::string* AddressOf(lease::IncarnationId incarnation_id) const;
  // A view may still name an incarnation that has been replaced.
  bool UsesLeases(lease::IncarnationId incarnation_id) const { return lease_users_.contains(incarnation_id); }

 private:
  static constexpr std::size_t kMaxLeaseUsers = 8192;

  std::unordered_map<std::string, lease::IncarnationId> incarnation_ids_;  // by name of the member
  std::unordered_map<lease::IncarnationId, std::string> addresses_;
  std::set<lease::IncarnationId> lease_users_;
};

}  // namespace lynxgrade::replication
