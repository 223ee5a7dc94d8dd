// The PostgreSQL frontend: accepts clients, owns their sessions and enforces their timeouts.
#pragma once

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "frontend/client_session.h"
#include "net/descriptor_budget.h"
#include "net/listener.h"
#include "net/log_limit.h"
#include "net/loop.h"
#include "proxy/proxy.h"

namespace lynxgrade::frontend {

// Owns all client sessions. Runs on the thread of the loop.
class Frontend {
 public:
  // `make_room` closes an idle server connection to free its descriptor; false if there is none.
  Frontend(net::Loop& loop, proxy::Proxy& proxy, net::DescriptorBudget& budget,
           std::vector<std::string> classes, std::vector<std::string> tenants, const Settings& settings,
           std::function<bool()> make_room);
  ~Frontend();
  Frontend(const Frontend&) = delete;
  Frontend& operator=(const Frontend&) = delete;

  tl::expected<void, net::ListenError> Listen(const net::Address& address) { return listener_.Open(address); }
  std::uint16_t port() const { return listener_.port(); }
  void SetReady() { ready_ = true; }
  bool ready() const { return ready_; }
  // Starts the graceful shutdown: serves for a while, then closes clients between requests. Calls `done` once
  // no session remains.
  void StartDrain(std::function<void()> done);
  // Closes one session to free its descriptor: one that is closing, else the one that has awaited input
  // longest, else the one that has been idle longest. False if there is none.
  bool CloseLeastActive();
  std::size_t sessions() const { return sessions_.size(); }

 private:
  friend class ClientSession;
  using SessionList = std::list<ClientSession*>;

  bool MayAccept();
  void StartSession(net::ObjectPtr<GSocket> socket);
  // Moves a session to the list of its phase, ordered by `since`.
  void MoveToPhase(ClientSession& session, ClientSession::Phase phase, TimePoint since);
  void CloseExpired();
  // Expires the sessions that have been in the phase for at least `time`.
  void ExpireOlderThan(ClientSession::Phase phase, Duration time);
  void CloseListener();
  void CloseExpiredWhileStopping();
  // Aborts the requests in flight shortly before the process may be killed.
  void AbortInFlight();
  void RemoveSession(ClientSession& session);
  // Assigns a process number for CancelRequest, unique among the open sessions.
  std::uint32_t AssignProcessNumber(ClientSession& session);
  void Cancel(std::uint32_t process, std::uint32_t secret, TimePoint arrived_at);
  bool stopping() const { return stopping_; }
  // The time a request may take: its budget, cut where the process would exit earlier.
  Duration LimitToShutdown(Duration budget) const;

  net::Loop& loop_;
  proxy::Proxy& proxy_;
  net::DescriptorBudget& budget_;
  std::vector<std::string> classes_;
  std::vector<std::string> tenants_;
  std::vector<RequestClass> kinds_;
  std::function<bool()> make_room_;
  net::Listener listener_;
  std::unordered_map<ClientSession*, std::shared_ptr<ClientSession>> sessions_;
  // In each list, the session that has been in the phase longest is first.
  std::array<SessionList, ClientSession::kPhaseCount> sessions_by_phase_;
  std::unordered_set<std::string> open_ids_;  // of the requests in flight
  std::unordered_map<std::uint32_t, ClientSession*> sessions_by_process_;
  net::LogRateLimiter error_log_limit_;
  Duration kill_grace_;  // from SIGTERM to the earliest possible kill
  net::Timer sweep_timer_;
  net::Timer drain_timer_;
  net::Timer abort_timer_;
  std::function<void()> done_;
  std::optional<TimePoint> drain_started_;
  std::uint32_t last_process_ = 0;
  bool ready_ = false;
  bool stopping_ = false;
};

}  // namespace lynxgrade::frontend
