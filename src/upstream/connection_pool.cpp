#include "upstream/connection_pool.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "upstream/server_connection.h"

namespace lynxgrade::upstream {
namespace {

// Connections to one data server that may be in the process of opening. Enough for steady traffic, without a
// thundering herd on a server that has just started.
constexpr std::size_t kMaxOpening = 16;
// An idle connection is closed after this fraction of the server's idle timeout: a query that crosses the
// server's close is lost to a reset, and whether it was executed is unknown.
constexpr double kIdleTimeoutFraction = 0.7;
// Preferred pause before a connection is reused, in which a server's close and noise behind its last response
// arrive.
constexpr Duration kReusePause{5000};
constexpr Duration kExpiryInterval{500000};
// Between two checks of whether the client of a waiting attempt is still connected.
constexpr Duration kPostponeInterval{5000};

}  // namespace

ConnectionPool::ConnectionPool(net::Loop& loop, PoolSettings settings, net::DescriptorBudget& budget,
                               limits::MemoryBudget& memory, std::function<bool()> close_idle_client)
    : loop_(loop),
      settings_(std::move(settings)),
      budget_(budget),
      memory_(memory),
      close_idle_client_(std::move(close_idle_client)),
      fault_log_limit_(loop),
      expiry_timer_(loop) {
  expiry_timer_.ScheduleAfter(kExpiryInterval, [this] { CloseExpired(); });
}

ConnectionPool::~ConnectionPool() = default;

ServerPool* ConnectionPool::FindServer(ServerId server) {
  const auto it = servers_.find(server);
  return it == servers_.end() ? nullptr : it->second.get();
}

void ConnectionPool::SetAddress(ServerId id, const net::Address& address) {
  std::unique_ptr<ServerPool>& server = servers_[id];
  if (server == nullptr) {
    server = std::make_unique<ServerPool>();
    server->id = id;
  }
  const bool moved =
      server->address && (server->address->host != address.host || server->address->port != address.port);
  server->address = address;
  server->removed = false;
  if (moved) CloseIdleConnections(id);
}

void ConnectionPool::RemoveServer(ServerId id) {
  ServerPool* server = FindServer(id);
  if (server == nullptr) return;
  server->removed = true;
  CloseIdleConnections(id);
}

void ConnectionPool::StartAttempt(RequestId request, AttemptNumber number, ServerId server,
                                  std::shared_ptr<const proxy::Statement> statement,
                                  proxy::AttemptTimeouts timeouts) {
  auto attempt = std::make_shared<Attempt>(loop_, server);
  attempt->request = request;
  attempt->number = number;
  attempt->statement = std::move(statement);
  attempts_[{request, number}] = attempt;
  // The limits count from the loop time, at which the routing decision was made, however long the iteration
  // has run since.
  attempt->decided_at = loop_.Now();
  if (timeouts.write_timeout != Duration::max())
    attempt->write_deadline = loop_.Now() + timeouts.write_timeout;
  attempt->deadline = loop_.Now() + timeouts.timeout;
  Enqueue(std::move(attempt));
}

void ConnectionPool::StartHealthCheck(ServerId server) {
  if (health_checks_.contains(server)) return;  // the result of the one in flight is reported for both
  auto attempt = std::make_shared<Attempt>(loop_, server);
  attempt->decided_at = loop_.Now();
  health_checks_[server] = attempt;
  attempt->deadline = loop_.PreciseNow() + settings_.connect_timeout;
  Enqueue(std::move(attempt));
}

// The connect timeout counts from the precise time. If it counted from the loop time, a long iteration would
// time out a connection, and count that against the data server, before any event of the connection was read.
void ConnectionPool::Enqueue(std::shared_ptr<Attempt> attempt) {
  attempt->queued_at = loop_.PreciseNow();
  ServerPool* server = FindServer(attempt->server);
  if (server == nullptr || !server->address) return FinishAttempt(attempt, Outcome::kUnreachable);
  attempt->deadline_timer.ScheduleAt(attempt->deadline, [this, weak = std::weak_ptr<Attempt>(attempt)] {
    if (const auto expired = weak.lock()) Abort(expired, Outcome::kTimeout);
  });
  if (!UpdateSendDeadline(*attempt)) return FinishAttempt(attempt, Outcome::kSendExpired);
  ArmSendTimer(attempt);
  server->waiting.push_back(std::move(attempt));
  AssignConnections(*server);
}

void ConnectionPool::ArmSendTimer(const std::shared_ptr<Attempt>& attempt) {
  const TimePoint until = std::min(
      {attempt->queued_at + settings_.connect_timeout, attempt->write_deadline, attempt->send_deadline});
  attempt->send_timer.ScheduleAt(until, [this, weak = std::weak_ptr<Attempt>(attempt)] {
    if (const auto waiting = weak.lock()) HandleSendTimer(waiting);
  });
}

void ConnectionPool::HandleSendTimer(const std::shared_ptr<Attempt>& attempt) {
  const TimePoint now = loop_.PreciseNow();
  if (now >= std::min(attempt->queued_at + settings_.connect_timeout, attempt->write_deadline)) {
    return FinishAttempt(attempt, Outcome::kUnreachable);
  }
  // The server may have reported newer data while the attempt waited.
  if (!UpdateSendDeadline(*attempt)) return FinishAttempt(attempt, Outcome::kSendExpired);
  ArmSendTimer(attempt);
}

bool ConnectionPool::UpdateSendDeadline(Attempt& attempt) {
  if (!attempt.is_health_check()) {
    attempt.send_deadline = events_->SendDeadline(attempt.request, attempt.number, attempt.server);
  }
  return loop_.PreciseNow() <= attempt.send_deadline;
}

void ConnectionPool::Abort(const std::shared_ptr<Attempt>& attempt, Outcome outcome_if_written) {
  ServerConnection* connection = attempt->connection;
  Outcome outcome = outcome_if_written;
  if (outcome_if_written == Outcome::kTimeout && (connection == nullptr || !connection->AllWritten())) {
    outcome = Outcome::kUnreachable;
  }
  ServerPool* server = FindServer(attempt->server);
  if (connection != nullptr) CloseConnection(*connection);  // the server cancels the statement at the close
  FinishAttempt(attempt, outcome);
  if (connection != nullptr) AssignConnections(*server);
}

void ConnectionPool::CancelAttempt(RequestId request, AttemptNumber number) {
  const auto it = attempts_.find({request, number});
  if (it == attempts_.end()) return;  // already finished
  Abort(std::shared_ptr<Attempt>(it->second), Outcome::kCancelled);
}

void ConnectionPool::CancelUnsentAttempts(RequestId request) {
  std::vector<std::shared_ptr<Attempt>> waiting;
  for (auto it = attempts_.lower_bound({request, 0}); it != attempts_.end(); ++it) {
    if (it->first.first != request) break;
    if (it->second->connection == nullptr) waiting.push_back(it->second);
  }
  for (const auto& attempt : waiting) FinishAttempt(attempt, Outcome::kNotRun);
}

void ConnectionPool::FinishAttempt(const std::shared_ptr<Attempt>& attempt, Outcome outcome,
                                   ResponseMetadata metadata, std::optional<LoadReport> report,
                                   std::optional<proxy::Response> response, bool statement_invalid) {
  // Keeps the attempt alive if `attempt` refers to an entry that is erased below.
  // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
  const std::shared_ptr<Attempt> finished = attempt;
  finished->deadline_timer.Cancel();
  finished->send_timer.Cancel();
  finished->postpone_timer.Cancel();
  finished->connection = nullptr;
  if (ServerPool* server = FindServer(finished->server)) std::erase(server->waiting, finished);
  // The latency of the data server does not include the time spent waiting for a connection.
  const Duration elapsed =
      std::max(Duration{0}, loop_.Now() - finished->sent_at.value_or(finished->queued_at));
  if (finished->is_health_check()) {
    health_checks_.erase(finished->server);
    events_->OnHealthCheckFinished({finished->server, outcome, elapsed, report});
    return;
  }
  if (outcome == Outcome::kSendExpired) ++counts_.expired_attempts;
  if (outcome == Outcome::kSentLate) ++counts_.late_attempts;
  attempts_.erase({finished->request, finished->number});
  events_->OnAttemptFinished({finished->request, finished->number, finished->server, outcome, elapsed,
                              metadata, report, std::move(response), statement_invalid});
}

void ConnectionPool::AssignConnections(ServerPool& server) {
  // A nested call from a callback returns: the outer call continues with the changes.
  if (server.assigning_connections) return;
  server.assigning_connections = true;
  while (!server.waiting.empty()) {
    if (!server.idle.empty()) {
      SendOnIdleConnection(server);
      continue;
    }
    const std::size_t expected = server.opening + server.awaiting_barrier.size();
    if (server.opening >= kMaxOpening || expected >= server.waiting.size()) break;
    if (!OpenConnection(server)) {
      const std::shared_ptr<Attempt> attempt = server.waiting.front();
      FinishAttempt(attempt, budget_.CanAddBackend() ? Outcome::kUnreachable : Outcome::kNotRun);
    }
  }
  server.assigning_connections = false;
}

ServerConnection* ConnectionPool::PopIdleConnection(ServerPool& server) {
  // A query that crosses the close of its connection is lost to a reset, and one that crosses noise fails.
  const auto reusable =
      std::find_if(server.idle.rbegin(), server.idle.rend(), [this](const ServerConnection* candidate) {
        return loop_.Now() - candidate->idle_since() >= kReusePause;
      });
  const auto chosen =
      reusable == server.idle.rend() ? std::prev(server.idle.end()) : std::prev(reusable.base());
  ServerConnection* connection = *chosen;
  server.idle.erase(chosen);
  return connection;
}

void ConnectionPool::PostponeFirst(ServerPool& server) {
  const std::shared_ptr<Attempt> attempt = server.waiting.front();
  server.waiting.pop_front();
  ++counts_.postponed_attempts;
  spdlog::debug("attempt postponed, its client may have left; server={} request={} attempt={}",
                static_cast<std::uint32_t>(server.id), static_cast<std::uint32_t>(attempt->request),
                attempt->number);
  attempt->postpone_timer.ScheduleAfter(kPostponeInterval, [this, weak = std::weak_ptr<Attempt>(attempt)] {
    if (auto postponed = weak.lock()) Requeue(std::move(postponed));
  });
}

void ConnectionPool::Requeue(std::shared_ptr<Attempt> attempt) {
  ServerPool* server = FindServer(attempt->server);
  if (server == nullptr) return FinishAttempt(attempt, Outcome::kUnreachable);
  server->waiting.push_front(std::move(attempt));
  AssignConnections(*server);
}

void ConnectionPool::SendOnIdleConnection(ServerPool& server) {
  const Attempt& first = *server.waiting.front();
  if (!first.is_health_check() && !events_->MaySendAttempt(first.request)) return PostponeFirst(server);
  ServerConnection* connection = PopIdleConnection(server);
  // The server may have closed the connection with the close still unread, or be about to close it as idle if
  // this loop was blocked for longer than the expiry interval.
  if (!connection->HasNoUnreadInput() || NearsIdleTimeout(*connection)) return CloseConnection(*connection);
  const std::shared_ptr<Attempt> attempt = server.waiting.front();
  server.waiting.pop_front();
  // The time may have passed while waiting for a connection, if a blocked loop has delayed the timers.
  if (loop_.PreciseNow() >= std::min(attempt->write_deadline, attempt->deadline)) {
    server.idle.push_back(connection);
    return FinishAttempt(attempt, Outcome::kUnreachable);
  }
  if (!UpdateSendDeadline(*attempt)) {
    server.idle.push_back(connection);
    return FinishAttempt(attempt, Outcome::kSendExpired);
  }
  connection->SendQuery(attempt);
}

bool ConnectionPool::OpenConnection(ServerPool& server) {
  if (!budget_.CanAddBackend() && !CloseLongestIdle() && !close_idle_client_()) return false;
  if (!budget_.CanAddBackend()) return false;
  auto connection = std::make_shared<ServerConnection>(loop_, *this, server, budget_);
  bool descriptors_exhausted = false;
  bool open = connection->Open(*server.address, settings_.connect_timeout, &descriptors_exhausted);
  if (!open && descriptors_exhausted && (CloseLongestIdle() || close_idle_client_())) {
    open = connection->Open(*server.address, settings_.connect_timeout, &descriptors_exhausted);
  }
  if (!open) return false;
  ++server.opening;
  ++counts_.opened;
  server.connections.push_back(std::move(connection));
  return true;
}

void ConnectionPool::CloseConnection(ServerConnection& connection) {
  ServerPool& server = connection.server();
  const auto it = std::ranges::find_if(
      server.connections,
      [&](const std::shared_ptr<ServerConnection>& entry) { return entry.get() == &connection; });
  if (it == server.connections.end()) return;
  if (connection.opening()) --server.opening;
  std::erase(server.idle, &connection);
  std::erase(server.awaiting_barrier, &connection);
  const std::shared_ptr<ServerConnection> keep_alive = *it;
  server.connections.erase(it);
  keep_alive->Close();
}

void ConnectionPool::CloseIdleConnections(ServerId id) {
  ServerPool* server = FindServer(id);
  if (server == nullptr) return;
  while (!server->idle.empty()) CloseConnection(*server->idle.back());
  if (!server->waiting.empty()) return;
  while (!server->awaiting_barrier.empty()) CloseConnection(*server->awaiting_barrier.back());
}

void ConnectionPool::CloseAllIdle() {
  for (auto& [id, server] : servers_) CloseIdleConnections(id);
}

bool ConnectionPool::CloseLongestIdle() {
  ServerConnection* oldest = nullptr;
  ServerConnection* unneeded = nullptr;
  for (auto& [id, server] : servers_) {
    if (server->waiting.empty() && !server->awaiting_barrier.empty())
      unneeded = server->awaiting_barrier.front();
    if (server->idle.empty()) continue;
    ServerConnection* first = server->idle.front();
    if (oldest == nullptr || first->idle_since() < oldest->idle_since()) oldest = first;
  }
  if (oldest == nullptr) oldest = unneeded;
  if (oldest != nullptr) CloseConnection(*oldest);
  return oldest != nullptr;
}

std::size_t ConnectionPool::idle() const {
  std::size_t count = 0;
  for (const auto& [id, server] : servers_) count += server->idle.size();
  return count;
}

void ConnectionPool::LogFault(const ServerPool& server, std::string_view cause) {
  std::uint64_t suppressed = 0;
  if (!fault_log_limit_.Allows(suppressed)) return;
  spdlog::error("data server fault: server={} cause=\"{}\" suppressed={}",
                static_cast<std::uint32_t>(server.id), cause, suppressed);
}

bool ConnectionPool::NearsIdleTimeout(const ServerConnection& connection) const {
  const Duration max_idle(static_cast<std::int64_t>(
      kIdleTimeoutFraction * static_cast<double>(settings_.server_idle_timeout.count())));
  return loop_.PreciseNow() - connection.idle_since() >= max_idle;
}

void ConnectionPool::CloseExpired() {
  for (auto& [id, server] : servers_) {
    while (!server->idle.empty() && NearsIdleTimeout(*server->idle.front()))
      CloseConnection(*server->idle.front());
  }
  // Data servers are replaced all the time; without this the map would grow without bound.
  std::erase_if(servers_, [](const auto& item) {
    const ServerPool& server = *item.second;
    return server.removed && server.connections.empty() && server.waiting.empty();
  });
  expiry_timer_.ScheduleAfter(kExpiryInterval, [this] { CloseExpired(); });
}

}  // namespace lynxgrade::upstream
