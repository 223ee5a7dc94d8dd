#include "routing/server_table.h"

namespace lynxgrade {

Server* ServerTable::Find(ServerId id) {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : &found->second;
}

Server& ServerTable::FindOrAdd(ServerId id, GroupId group, ZoneIndex zone) {
  const auto [found, inserted] = servers_.try_emplace(id);
  Server& server = found->second;
  if (inserted) {
    server.id = id;
    server.group = group;
    server.zone = zone;
    groups_[group].servers.push_back(id);
  }
  return server;
}

}  // namespace lynxgrade
