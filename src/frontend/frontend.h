// The PostgreSQL frontend: accepts clients, owns their sessions and enforces their timeouts.
#pragma once

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "frontend/client_session.h"
#include "frontend/request_id_registry.h"
#include "limits/memory_budget.h"
#include "net/descriptor_budget.h"
#include "net/listener.h"
#include "net/log_limit.h"
#include "net/loop.h"
#include "proxy/proxy.h"

namespace lynxgrade::frontend {

// What was given up for lack of memory. Totals since the start.
struct MemoryCounts {
  std::uint64_t discarded_messages = 0;
  std::uint64_t rejected_requests = 0;  // complete ones
  std::uint64_t closed_clients = 0;     // that did not read their responses
};

// Why connections of clients were closed by the pooler. Totals since the start.
struct ClosedClientCounts {
  std::uint64_t idle = 0;
  std::uint64_t incomplete_input = 0;  // the startup or a message did not end in time
  std::uint64_t unread_response = 0;
  std::uint64_t descriptors = 0;  // to free a descriptor
  std::uint64_t protocol_errors = 0;
};

// Owns all client sessions. Runs on the thread of the loop.
class Frontend {
 public:
  // `close_idle_server_connection` closes an idle connection to a data server to free its descriptor; it
  // returns false if there is none. `loop`, `proxy`, `budget` and `memory` must outlive the frontend.
  Frontend(net::Loop& loop, proxy::Proxy& proxy, net::DescriptorBudget& budget, limits::MemoryBudget& memory,
           std::vector<std::string> classes, std::vector<std::string> tenants, const Settings& settings,
           std::function<bool()> close_idle_server_connection);
  ~Frontend();
  Frontend(const Frontend&) = delete;
  Frontend& operator=(const Frontend&) = delete;

  tl::expected<void, net::ListenError> Listen(const net::Address& address) { return listener_.Open(address); }
  std::uint16_t port() const { return listener_.port(); }
  void SetReady() { ready_ = true; }
  bool ready() const { return ready_; }
  // Starts the graceful shutdown: continues to serve for a while, then closes each session between two
  // requests. Calls `on_drained` once no session remains. Later calls have no effect.
  void StartDrain(std::function<void()> on_drained);
  // Closes one session to free its descriptor: preferably one that is closing already, then the one that has
  // awaited input longest, then the one that has been idle longest. Returns false if there is none.
  bool CloseLeastActive();
  std::size_t sessions() const { return sessions_.size(); }
  const MemoryCounts& memory_counts() const { return memory_counts_; }
  const ClosedClientCounts& closed_clients() const { return closed_clients_; }

 private:
  friend class ClientSession;
  using SessionList = std::list<ClientSession*>;

  bool MayAccept();
  // Frees the memory of one session other than `requester`, which may be null: of the message that has been
  // incomplete longest, else of the response that has been unread longest. Returns false if there is neither.
  bool ReclaimMemory(const ClientSession* requester);
  bool DiscardOldestMessage(const ClientSession* requester);
  bool CloseOldestUnreadResponse(const ClientSession* requester);
  void StartSession(net::ObjectPtr<GSocket> socket);
  // Moves a session to the list of the phase, which is ordered by `since`.
  void MoveToPhase(ClientSession& session, ClientSession::Phase phase, TimePoint since);
  void CloseExpired();
  // Expires the sessions that have been in the phase for at least `timeout`.
  void ExpireOlderThan(ClientSession::Phase phase, Duration timeout);
  void CloseListener();
  void CloseExpiredWhileStopping();
  // Aborts the requests in flight shortly before the process may be killed.
  void AbortInFlight();
  void RemoveSession(ClientSession& session);
  // Assigns the process ID of BackendKeyData, unique among the open sessions.
  std::uint32_t AssignProcessId(ClientSession& session);
  void Cancel(std::uint32_t process_id, std::uint32_t secret, TimePoint arrived_at);
  bool stopping() const { return stopping_; }
  // Returns the time that a request may take: its budget, limited to the exit of the process.
  Duration LimitToShutdown(Duration budget) const;

  net::Loop& loop_;
  proxy::Proxy& proxy_;
  net::DescriptorBudget& budget_;
  limits::MemoryBudget& memory_;
  Duration memory_retry_after_;
  MemoryCounts memory_counts_;
  ClosedClientCounts closed_clients_;
  RequestCatalog request_catalog_;
  std::function<bool()> close_idle_server_connection_;
  net::Listener listener_;
  std::unordered_map<ClientSession*, std::shared_ptr<ClientSession>> sessions_;
  // In each list, the session that has been in the phase longest is first.
  std::array<SessionList, ClientSession::kPhaseCount> sessions_by_phase_;
  RequestIdRegistry request_ids_;
  std::unordered_map<std::uint32_t, ClientSession*> sessions_by_process_id_;
  net::LogRateLimiter error_log_limit_;
  Duration kill_grace_;  // from SIGTERM to the earliest possible kill
  net::Timer sweep_timer_;
  net::Timer drain_timer_;
  net::Timer abort_timer_;
  std::function<void()> on_drained_;
  std::optional<TimePoint> drain_started_;
  std::uint32_t last_process_id_ = 0;
  bool ready_ = false;
  bool stopping_ = false;
};

}  // namespace lynxgrade::frontend
