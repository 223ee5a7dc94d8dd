#include "replication/incarnation_table.h"

#include <algorithm>
#include <utility>

namespace lynxgrade::replication {

void IncarnationTable::Update(const std::string& name, const proto::Member& member,
                              LeaseSupport lease_support) {
  if (lease_support == LeaseSupport::kLeases) lease_users_.insert(member.incarnation_id());
  const lease::IncarnationId former = std::exchange(incarnation_ids_[name], member.incarnation_id());
  if (former != member.incarnation_id()) addresses_.erase(former);
  addresses_[member.incarnation_id()] = member.address();
}

void IncarnationTable::Remove(const std::string& name) {
  const auto found = incarnation_ids_.find(name);
  if (found == incarnation_ids_.end()) return;
  addresses_.erase(found->second);
  incarnation_ids_.erase(found);
}

void IncarnationTable::PruneLeaseUsers(const std::vector<lease::IncarnationId>& view) {
  if (lease_users_.size() <= kMaxLeaseUsers) return;
  std::erase_if(lease_users_, [&view](lease::IncarnationId incarnation_id) {
    return !std::ranges::binary_search(view, incarnation_id);
  });
}

const std::string* IncarnationTable::AddressOf(lease::IncarnationId incarnation_id) const {
  const auto found = addresses_.find(incarnation_id);
  return found == addresses_.end() ? nullptr : &found->second;
}

}  // namespace lynxgrade::replication
