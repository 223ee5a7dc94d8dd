// One instance of the pooler without its sockets to clients and data servers: the proxy with the decision
// module and the session guard, the endpoint list and the watch that keeps it up to date, the durable state
// and the replication among the instances. Owns those parts and connects them.
//
// Its host provides the data servers as proxy::Upstream and brings the requests: `Pooler` with real sockets
// on both sides, the testbed's simulated poolers with many instances on one loop.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "discovery/discovery_watch.h"
#include "discovery/endpoint_list.h"
#include "durability/write_ahead_log.h"
#include "net/loop.h"
#include "proxy/proxy.h"
#include "replication/replication_service.h"
#include "settings/platform_config.h"
#include "settings/program_settings.h"
#include "start_error.h"

namespace lynxgrade {

class Instance {
 public:
  // Callbacks into the host; each but the first two may be empty.
  struct Host {
    // Sets the address of a data server, before the decision module learns of the server.
    std::function<void(ServerId, const net::Address&)> set_server_address;
    // The server is no longer listed.
    std::function<void(ServerId)> remove_server;
    // An update of the endpoint list has been applied.
    std::function<void()> endpoint_list_updated;
    // Makes the exchange with the others; absent: from the module beside the program.
    std::function<tl::expected<std::unique_ptr<replication::ReplicationService>, StartError>(
        replication::ReplicationContext)>
        make_replication_service;
  };

  // All but `host` must outlive it.
  Instance(net::Loop& loop, const PlatformConfig& config, const ProgramSettings& settings,
           proxy::Upstream& upstream, Host host);

  // Applies the endpoint list of the configuration, recovers the durable state and joins the other instances.
  tl::expected<void, StartError> Start();
  // Begins to watch discovery.
  void StartDiscoveryWatch() { watch_->Start(); }
  // Watches discovery there from now on, and reads the peers' keys again.
  void ChangeDiscoveryAddress(const net::Address& discovery);
  // Whether any data server has ever been listed.
  bool has_listed_servers() const { return has_listed_servers_; }
  // Whether the others count this instance, so that it may answer writes.
  bool IsCountedByPeers() const { return replication_ == nullptr || replication_->IsReady(); }
  // Announces to the other instances that it leaves, and ends the durable log. To be called after the last
  // response has been sent.
  void Leave();

  proxy::Proxy& proxy() { return proxy_; }
  const proxy::Proxy& proxy() const { return proxy_; }
  // The exchange with the others; null where the settings name none.
  const replication::ReplicationService* replication() const { return replication_.get(); }
  std::size_t data_server_count() const { return reader_.known_server_count(); }

 private:
  // What recovery has found of the writes that this instance answered before its start.
  struct RecoveredKnowledge {
    bool complete = false;
    std::optional<TimePoint> complete_through{};
  };

  EndpointListEvent ReadKnownList(std::int64_t& revision);
  tl::expected<void, StartError> StartSessionConsistency();
  RecoveredKnowledge StartDurability(TimePoint now);
  tl::expected<void, StartError> StartReplication(bool recovered_completely);
  void ConnectProxy();
  // Calls `call` once the write of the session is durable and may be answered. False: it may be now, and
  // `call` is not called.
  bool DelayResponse(GroupId group, consistency::SessionKey session, const std::function<void()>& call);
  void CreateDiscoveryWatch(std::int64_t revision);
  std::vector<EndpointListEntry> ApplyAddresses(const discovery::EndpointListUpdate& update);
  void HandleListUpdate(const discovery::EndpointListUpdate& update);

  net::Loop& loop_;
  const PlatformConfig& config_;
  const ProgramSettings& settings_;
  Host host_;
  discovery::EndpointListReader reader_;
  proxy::Proxy proxy_;
  std::unique_ptr<durability::WriteAheadLog> log_;                // null if durability is off or unusable
  std::unique_ptr<replication::ReplicationService> replication_;  // null if replication is off
  std::optional<discovery::DiscoveryWatch> watch_;
  bool has_listed_servers_ = false;
};

}  // namespace lynxgrade
