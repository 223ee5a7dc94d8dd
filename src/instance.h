// One instance of the pooler without its sockets to clients and data servers: the proxy with the balancer and
// the session consistency guard, the endpoint list and the watch that keeps it up to date, the durable state
// and the replication between the instances. Owns these parts and connects them.
//
// The host of an instance provides the data servers as proxy::Upstream and starts the requests. Hosts are
// `Pooler`, with sockets on both sides, and the testbed's simulated poolers, with many instances on one loop.
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

// Runs on the thread of the loop.
class Instance {
 public:
  // Callbacks into the host. Only the first two are required.
  struct Host {
    // Sets the address of a data server, before the proxy receives its entry of the endpoint list.
    std::function<void(ServerId, const net::Address&)> set_server_address;
    // Called when a data server is no longer listed.
    std::function<void(ServerId)> remove_server;
    // Called after an update of the endpoint list has been applied.
    std::function<void()> endpoint_list_updated;
    // Creates the replication service. If empty, the replication module that is installed beside the program
    // is loaded.
    std::function<tl::expected<std::unique_ptr<replication::ReplicationService>, StartError>(
        replication::ReplicationContext)>
        make_replication_service;
  };

  // All references must outlive the instance.
  Instance(net::Loop& loop, const PlatformConfig& config, const ProgramSettings& settings,
           proxy::Upstream& upstream, Host host);

  // Applies the endpoint list of the configuration, recovers the durable state and starts to join the other
  // instances. Fails if the replication service cannot be started; an unusable durable state is only logged.
  tl::expected<void, StartError> Start();
  // Starts to watch discovery. To be called after Start.
  void StartDiscoveryWatch() { watch_->Start(); }
  // Moves the watch to another address of discovery, and reloads the keys of the replication service.
  void ChangeDiscoveryAddress(const net::Address& discovery);
  // Whether any data server has ever been listed.
  bool has_listed_servers() const { return has_listed_servers_; }
  // Whether the other instances count this one as a member. Before that it must not respond to writes, since
  // the others would not wait for its watermarks.
  bool IsCountedByPeers() const { return replication_ == nullptr || replication_->IsReady(); }
  // Announces to the other instances that this one leaves, and records a clean shutdown in the write-ahead
  // log. To be called after the last response has been sent.
  void Leave();

  proxy::Proxy& proxy() { return proxy_; }
  const proxy::Proxy& proxy() const { return proxy_; }
  // Null if the settings enable no replication.
  const replication::ReplicationService* replication() const { return replication_.get(); }
  std::size_t data_server_count() const { return reader_.known_server_count(); }

 private:
  // What recovery has found about the writes that this instance acknowledged before its start.
  struct RecoveredKnowledge {
    bool complete = false;                        // all of them are known
    std::optional<TimePoint> complete_through{};  // those up to this time are known
  };

  EndpointListEvent ReadKnownList(std::int64_t& revision);
  tl::expected<void, StartError> StartSessionConsistency();
  RecoveredKnowledge StartDurability(TimePoint now);
  tl::expected<void, StartError> StartReplication(bool recovered_completely);
  void ConnectProxy();
  // Returns false if the response to the latest write of the session may be sent now. Otherwise returns true
  // and calls `send` once the write is durable and replication permits the response.
  bool DelayResponse(GroupId group, consistency::SessionKey session, const std::function<void()>& send);
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
