// The data servers named by the endpoint list, by id and by group.
#pragma once

#include <map>

#include "routing/server.h"

namespace lynxgrade {

// Owns the servers and groups. References stay valid until the server is erased.
class ServerTable {
 public:
  // Returns null if the server is unknown.
  Server* Find(ServerId id);
  Server& At(ServerId id) { return servers_.at(id); }
  const Server& At(ServerId id) const { return servers_.at(id); }
  // Returns the server; adds it to the group first if it is new.
  Server& FindOrAdd(ServerId id, GroupId group, ZoneIndex zone);

  bool HasGroup(GroupId id) const { return groups_.contains(id); }
  Group& GroupOf(GroupId id) { return groups_.at(id); }
  const Group& GroupOf(GroupId id) const { return groups_.at(id); }
  std::size_t server_count() const { return servers_.size(); }
  std::size_t group_count() const { return groups_.size(); }

  // Visits all servers in ascending order of id.
  template <typename Visitor>
  void ForEach(Visitor visitor) {
    for (auto& [id, server] : servers_) visitor(server);
  }

  // Visits all servers and erases those for which `is_expired` returns true.
  template <typename Predicate>
  void EraseIf(Predicate is_expired) {
    std::erase_if(servers_, [&](const auto& item) {
      if (!is_expired(item.second)) return false;
      std::erase(groups_.at(item.second.group).servers, item.first);
      return true;
    });
  }

 private:
  std::map<ServerId, Server> servers_;
  std::map<GroupId, Group> groups_;
};

}  // namespace lynxgrade
