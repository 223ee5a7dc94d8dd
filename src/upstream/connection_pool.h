// Pools connections to the data servers and runs attempts and health checks on them.
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

#include "limits/memory_budget.h"
#include "net/connection.h"
#include "net/descriptor_budget.h"
#include "net/log_limit.h"
#include "net/loop.h"
#include "proxy/ports.h"

namespace lynxgrade::upstream {

struct PoolSettings {
  Duration connect_timeout{250000};
  Duration server_idle_timeout{15000000};  // after which the data servers close an idle connection
  std::string user = "worker";
  std::string database = "catalog";
};

// Totals since the start of the pool.
struct ConnectionCounts {
  std::uint64_t opened = 0;  // connections to data servers
  std::uint64_t barrier_queries = 0;
  std::uint64_t barrier_rejections = 0;  // answered by an error that rejects empty queries
  std::uint64_t barrier_failures = 0;    // connections that were lost or closed before the response
  std::uint64_t postponed_attempts = 0;  // as their client may have left
  std::uint64_t expired_attempts = 0;    // not sent, as their send deadline had passed
  std::uint64_t late_attempts = 0;       // ended, as they may have been sent after their send deadline
};

class ServerConnection;
struct ServerPool;

// An attempt of a request, or a health check, from its start to its result. Shared by the pool and the
// connection that runs it.
struct Attempt {
  Attempt(net::Loop& loop, ServerId to)
      : server(to), deadline_timer(loop), send_timer(loop), postpone_timer(loop) {}

  ServerId server;
  RequestId request{};
  AttemptNumber number = 0;
  std::shared_ptr<const proxy::Statement> statement;  // null for a health check
  TimePoint decided_at{};                             // the time by which the routing decision was made
  TimePoint queued_at{};                              // when it began to wait for a connection
  std::optional<TimePoint> sent_at{};                 // when it was assigned a connection
  TimePoint deadline{};                               // until which the response must be complete
  TimePoint write_deadline = TimePoint::max();        // until which the last byte must be written
  TimePoint send_deadline = TimePoint::max();         // see UpstreamEvents::SendDeadline, as of the last call
  bool sent_in_time = false;                          // the kernel has sent the last byte by both of these
  net::Timer deadline_timer;
  net::Timer send_timer;                   // waiting for a connection, then for the last byte to be sent
  net::Timer postpone_timer;               // until it is known again whether the client is connected
  ServerConnection* connection = nullptr;  // not owned; null while it waits
  bool is_health_check() const { return statement == nullptr; }
};

// Pools connections by data server and runs each attempt on a connection of its own. Every attempt and health
// check has exactly one result, which is reported to the events; a failure to connect is a result, too. Runs
// on the thread of the loop.
class ConnectionPool final : public proxy::Upstream {
 public:
  // `close_idle_client` closes an idle client to free its descriptor; it returns false if there is none.
  ConnectionPool(net::Loop& loop, PoolSettings settings, net::DescriptorBudget& budget,
                 limits::MemoryBudget& memory, std::function<bool()> close_idle_client);
  virtual ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // Sets the receiver of the results, before the first attempt or health check. It must outlive the pool's
  // use.
  void SetEvents(proxy::UpstreamEvents& events) { events_ = &events; }
  // Adds a data server, or changes its address. Idle connections to the former address are closed.
  void SetAddress(ServerId id, const net::Address& address);
  // Removes a server that has left the endpoint list: closes its idle connections, and erases it once its
  // last connection in use has ended.
  void RemoveServer(ServerId id);
  std::size_t servers() const { return servers_.size(); }
  // Closes the connection that has been idle longest, to free its descriptor; else one that awaits its
  // barrier while no attempt waits for it. Returns false if there is neither.
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
  const ConnectionCounts& counts() const { return counts_; }

 private:
  friend class ServerConnection;
  using AttemptKey = std::pair<RequestId, AttemptNumber>;

  ServerPool* FindServer(ServerId server);
  // Arms the timers and queues the attempt for a connection.
  void Enqueue(std::shared_ptr<Attempt> attempt);
  // Arms the timer that ends the wait for a connection: at the connect timeout or at the first deadline.
  void ArmSendTimer(const std::shared_ptr<Attempt>& attempt);
  void HandleSendTimer(const std::shared_ptr<Attempt>& attempt);
  // Asks for the present send deadline of an attempt. Returns whether it may still be sent.
  bool UpdateSendDeadline(Attempt& attempt);
  // Sends the waiting attempts on idle connections, and opens a connection for each one that remains and has
  // no connection that awaits its barrier.
  void AssignConnections(ServerPool& server);
  // Removes and returns an idle connection: the most recently used of those idle for kReusePause or longer,
  // else the most recently used of all. Less recently used ones are left to expire.
  ServerConnection* PopIdleConnection(ServerPool& server);
  // Sends the first waiting attempt on an idle connection. Closes the connection instead if it may be stale,
  // or fails the attempt if its time has passed.
  void SendOnIdleConnection(ServerPool& server);
  // Takes the first waiting attempt out of the queue for a few milliseconds.
  void PostponeFirst(ServerPool& server);
  // Queues a postponed attempt again, before the others.
  void Requeue(std::shared_ptr<Attempt> attempt);
  // Opens a connection, and frees a descriptor for it if necessary. Returns false if none can be opened.
  bool OpenConnection(ServerPool& server);
  // Closes a connection and drops the pool's reference to it. A callback of the connection that calls this
  // has to hold a reference of its own.
  void CloseConnection(ServerConnection& connection);
  // Removes an attempt from the pool and reports its result.
  void FinishAttempt(const std::shared_ptr<Attempt>& attempt, Outcome outcome, ResponseMetadata metadata = {},
                     std::optional<LoadReport> report = {}, std::optional<proxy::Response> response = {},
                     bool statement_invalid = false);
  // Ends an attempt before its response is complete, and closes its connection. A timeout before the last
  // byte was written is reported as kUnreachable, since the statement has not been executed.
  void Abort(const std::shared_ptr<Attempt>& attempt, Outcome outcome_if_written);
  // Whether the data server may be about to close this idle connection.
  bool NearsIdleTimeout(const ServerConnection& connection) const;
  // Called periodically: closes connections near their idle timeout, and erases removed servers that have no
  // connection left.
  void CloseExpired();
  // Logs a protocol violation or an unexpected error of a data server, at a limited rate.
  void LogFault(const ServerPool& server, std::string_view cause);

  net::Loop& loop_;
  PoolSettings settings_;
  net::DescriptorBudget& budget_;
  limits::MemoryBudget& memory_;
  std::function<bool()> close_idle_client_;
  proxy::UpstreamEvents* events_ = nullptr;
  std::map<ServerId, std::unique_ptr<ServerPool>> servers_;
  std::map<AttemptKey, std::shared_ptr<Attempt>> attempts_;
  std::map<ServerId, std::shared_ptr<Attempt>> health_checks_;
  ConnectionCounts counts_;
  net::LogRateLimiter fault_log_limit_;
  net::Timer expiry_timer_;
};

}  // namespace lynxgrade::upstream
