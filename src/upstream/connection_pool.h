// Pools connections to the data servers and runs attempts and health checks on them; outcomes are reported in
// the terms of the routing module.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/connection.h"
#include "net/descriptor_budget.h"
#include "net/log_limit.h"
#include "net/loop.h"
#include "proxy/ports.h"

namespace lynxgrade::upstream {

struct PoolSettings {
  Duration connect_timeout{250000};
  Duration server_idle_timeout{15000000};  // the idle timeout of the data servers
  std::string user = "worker";
  std::string database = "catalog";
};

class ServerConnection;
struct ServerPool;

// One attempt of a request, or one health check, from its arrival in the pool to its single reported outcome.
// Shared by the pool and the connection that runs it.
struct Attempt {
  Attempt(net::Loop& loop, ServerId to) : server(to), deadline_timer(loop), connect_timer(loop) {}

  ServerId server;
  RequestId request{};
  AttemptNumber number = 0;
  std::shared_ptr<const proxy::Statement> statement;  // null for a health check
  TimePoint wait_started{};                           // when it began to wait for a connection
  std::optional<TimePoint> sent_at{};                 // when it was assigned a connection
  TimePoint deadline{};                               // the response is of no use after this
  TimePoint write_deadline = TimePoint::max();        // the last byte is written before this, or never
  net::Timer deadline_timer;
  net::Timer connect_timer;                // for a connection at first, then for the last byte
  ServerConnection* connection = nullptr;  // not owned; null while it waits
  bool is_health_check() const { return statement == nullptr; }
};

// Pools connections by data server and runs each attempt on a connection of its own. Every Send and Probe
// reports exactly one outcome to the events, failures to connect included. Runs on the thread of the loop.
class ConnectionPool final : public proxy::Upstream {
 public:
  // `make_room` closes an idle client to free its descriptor; false if there is none.
  ConnectionPool(net::Loop& loop, PoolSettings settings, net::DescriptorBudget& budget,
                 std::function<bool()> make_room);
  virtual ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // Sets who receives the outcomes; required before the first Send or Probe, and outlives the pool's use.
  void SetEvents(proxy::UpstreamEvents& events) { events_ = &events; }
  // Adds a data server, or changes its address; idle connections to a former address are closed.
  void SetAddress(ServerId id, const net::Address& address);
  // For a server that left the endpoint list: closes its idle connections, and erases it after the last one
  // in use has ended.
  void RemoveServer(ServerId id);
  std::size_t servers() const { return servers_.size(); }
  // Closes the connection that has been idle longest, to free its descriptor; false if none is idle.
  bool CloseLongestIdle();
  void CloseAllIdle();

  void StartAttempt(RequestId request, AttemptNumber number, ServerId server,
                    std::shared_ptr<const proxy::Statement> statement,
                    proxy::AttemptTimeouts timeouts) override;
  void CancelAttempt(RequestId request, AttemptNumber number) override;
  void CancelUnsentAttempts(RequestId request) override;
  void StartHealthCheck(ServerId server) override;
  void CloseIdleConnections(ServerId id) override;

  // The number of idle connections to all data servers.
  std::size_t idle() const;

 private:
  friend class ServerConnection;
  using AttemptKey = std::pair<RequestId, AttemptNumber>;

  ServerPool* FindServer(ServerId server);
  // Arms the timers and queues the attempt for a connection.
  void Enqueue(std::shared_ptr<Attempt> attempt);
  // At the write deadline: aborts an attempt whose last byte has not been written.
  void AbortIfUnwritten(const std::shared_ptr<Attempt>& attempt);
  // Sends waiting attempts on idle connections, and opens a connection for each that remains.
  void AssignConnections(ServerPool& server);
  // Removes and returns the idle connection used last among those idle for kReusePause, or the last of all.
  // Older ones are left to expire.
  ServerConnection* TakeIdleConnection(ServerPool& server);
  // Sends the first waiting attempt on an idle connection, or discards that connection or attempt as expired.
  void RunOnIdleConnection(ServerPool& server);
  // Opens a connection, freeing a descriptor for it if need be; false if none can be opened.
  bool OpenConnection(ServerPool& server);
  // Closes a connection and drops the pool's reference to it. A callback of that connection that calls this
  // has to hold a reference of its own.
  void CloseConnection(ServerConnection& connection);
  // Reports the outcome of an attempt, which the pool forgets.
  void FinishAttempt(const std::shared_ptr<Attempt>& attempt, Outcome outcome, ResponseMetadata metadata = {},
                     std::optional<LoadReport> report = {}, std::optional<proxy::Response> response = {},
                     bool unusable = false);
  // Ends an attempt before its response is complete, and closes its connection. A timeout before all was
  // written is reported as unreachable: the statement has not run.
  void Abort(const std::shared_ptr<Attempt>& attempt, Outcome if_written);
  // Whether the data server may be about to close this idle connection.
  bool NearsIdleTimeout(const ServerConnection& connection) const;
  // Periodic: closes connections near their idle timeout and erases removed servers without any.
  void CloseExpired();
  // Logs a protocol violation or an unexpected error of a data server, at a limited rate.
  void LogFault(const ServerPool& server, std::string_view cause);

  net::Loop& loop_;
  PoolSettings settings_;
  net::DescriptorBudget& budget_;
  std::function<bool()> make_room_;
  proxy::UpstreamEvents* events_ = nullptr;
  std::map<ServerId, std::unique_ptr<ServerPool>> servers_;
  std::map<AttemptKey, std::shared_ptr<Attempt>> attempts_;
  std::map<ServerId, std::shared_ptr<Attempt>> health_checks_;
  net::LogRateLimiter fault_log_limit_;
  net::Timer expiry_timer_;
};

}  // namespace lynxgrade::upstream
