// One instance of the pooler without its sockets to clients and data servers: the decision module and the
// sessions' keeper in their proxy, the list of data servers and the watch that keeps it, the durable state
// and the exchange with the other instances. Owns those parts and how they are joined.
//
// Its host gives it the data servers as a proxy::Backends and brings the requests: `Pooler` with real sockets
// on either side, the laboratory's hollow poolers with many instances on one loop.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "discovery/endpoint_list.h"
#include "discovery/watch.h"
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
  // What the host does for it; each but the first two may be absent.
  struct Host {
    // Where a data server is to be reached, told before the module hears of it.
    std::function<void(ServerId, const net::Address&)> address;
    // The list names it no more.
    std::function<void(ServerId)> forget;
    // A change of the list has been taken in.
    std::function<void()> changed;
    // Makes the exchange with the others; absent: from the module beside the program.
    std::function<tl::expected<std::unique_ptr<replication::ReplicationService>, StartError>(
        replication::ReplicationContext)>
        make_peers;
  };

  // `config` and `setup` outlive it.
  Instance(net::Loop& loop, const PlatformConfig& config, const ProgramSettings& setup,
           proxy::Backends& backends, Host host);

  // Takes the list of the configuration, finds the durable state and joins the others. Empty, or what keeps
  // it from starting.
  std::string Start();
  // Begins to watch discovery.
  void Follow() { watch_->Start(); }
  // Watches discovery there from now on, and reads the peers' keys again.
  void MoveTo(const net::Address& discovery);
  // Whether any data server has ever been listed.
  bool listed() const { return listed_; }
  // Whether the others count this instance, so that it may answer writes.
  bool Counted() const { return peers_ == nullptr || peers_->Ready(); }
  // Tells the others that it leaves, and puts away what is durable.
  void Leave();

  proxy::Proxy& proxy() { return proxy_; }
  const proxy::Proxy& proxy() const { return proxy_; }
  // The exchange with the others; null where the settings name none.
  const replication::ReplicationService* peers() const { return peers_.get(); }
  std::size_t data_servers() const { return reader_.known(); }

 private:
  std::string StartSessions();
  std::vector<ListEntry> Entries(const discovery::EndpointListUpdate& change);
  void Changed(const discovery::EndpointListUpdate& change);

  net::Loop& loop_;
  const PlatformConfig& config_;
  const ProgramSettings& setup_;
  Host host_;
  discovery::EndpointListReader reader_;
  proxy::Proxy proxy_;
  std::unique_ptr<durability::WriteAheadLog> store_;
  std::unique_ptr<replication::ReplicationService> peers_;
  std::optional<discovery::Watch> watch_;
  bool listed_ = false;
};

}  // namespace lynxgrade
