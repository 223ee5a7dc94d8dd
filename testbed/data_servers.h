// Simulated data servers of one group on loopback, and a simulated discovery server that lists them. The data
// servers answer from the group's model and check nothing: sending a read to a member that is recent enough
// is the pooler's task. All classes run on the thread of the loop that they are given.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "group.h"
#include "net/connection.h"
#include "net/listener.h"
#include "net/loop.h"

namespace lynxgrade::testbed {

// The data servers of one group, one listener per member. The constructor throws std::runtime_error if one
// cannot listen.
class DataServers {
 public:
  DataServers(net::Loop& loop, GroupId number, Group::Options options, Duration work_time);
  ~DataServers();

  // Closes the member's connections and refuses new ones.
  void Kill(std::size_t member);
  void Restart(std::size_t member);
  // The member keeps its connections and answers nothing, as in a network partition; its group fails over.
  void Isolate(std::size_t member);

  Group& group() { return group_; }
  GroupId number() const { return number_; }
  std::string Uid(std::size_t member) const;
  std::uint16_t port(std::size_t member) const { return ports_[member]; }
  std::uint64_t reads() const { return reads_; }
  std::uint64_t writes() const { return writes_; }
  std::uint64_t probes() const { return probes_; }

 private:
  class ClientConnection;
  struct Server {
    std::unique_ptr<net::Listener> listener;
    std::vector<std::unique_ptr<ClientConnection>> connections;
    bool isolated = false;
  };

  // Returns an error message, empty on success.
  std::string Listen(std::size_t member, std::uint16_t port);
  std::string ResponseTo(std::size_t member, const std::string& query);
  void AdvanceGroup();

  net::Loop& loop_;
  GroupId number_;
  Duration work_time_;
  Group group_;
  std::vector<Server> servers_;
  std::vector<std::uint16_t> ports_;
  net::Timer group_timer_;
  std::uint64_t reads_ = 0, writes_ = 0, probes_ = 0;
};

// The discovery server: sends each watch the whole endpoint list, then each change. The constructor throws
// std::runtime_error if it cannot listen.
class DiscoveryServer {
 public:
  explicit DiscoveryServer(net::Loop& loop);
  ~DiscoveryServer();
  std::uint16_t port() const { return listener_.port(); }
  void AddServers(const DataServers& servers);
  // Adds an entry, as JSON. Open watches are not notified.
  void AddEntry(const std::string& uid, const std::string& entry) { entries_[uid] = entry; }
  // Replaces an entry and sends the removal and the new entry to all watches.
  void ReplaceEntry(const std::string& old_uid, const std::string& uid, const std::string& entry);
  std::uint64_t list_requests() const { return list_requests_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::size_t watchers() const;

 private:
  class Watcher;
  std::string ListLine(bool all, const std::vector<std::string>& entries) const;
  std::string WholeList() const;

  net::Loop& loop_;
  net::Listener listener_;
  std::vector<std::unique_ptr<Watcher>> watchers_;
  std::map<std::string, std::string> entries_;  // by uid
  std::int64_t revision_ = 1;
  std::uint64_t list_requests_ = 0, bytes_sent_ = 0;
  net::Timer keepalive_timer_;
};

}  // namespace lynxgrade::testbed
