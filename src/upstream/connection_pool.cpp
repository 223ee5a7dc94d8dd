#include "upstream/connection_pool.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "upstream/server_connection.h"

namespace lynxgrade::upstream {
namespace {

// Concurrent connection attempts to one data server. Enough for steady traffic, while a server that has just
// started is spared a thundering herd.
constexpr std::size_t kMaxOpening = 16;
// An idle connection is closed after this fraction of the server's idle timeout: a request that crosses the
// server's close is lost to a reset, and whether it ran is unknown.
constexpr double kIdleTimeoutFraction = 0.7;
constexpr Duration kReusePause{5000};  // several times as long as a close takes to arrive
constexpr Duration kExpiryInterval{500000};

}  // namespace

ConnectionPool::ConnectionPool(net::Loop& loop, PoolSettings settings, net::DescriptorBudget& budget,
                               std::function<bool()> make_room)
    : loop_(loop),
      settings_(std::move(settings)),
      budget_(budget),
      make_room_(std::move(make_room)),
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
  // Limits count from the loop time of the routing decision, however long this iteration has run since.
  if (timeouts.write_timeout != Duration::max())
    attempt->write_deadline = loop_.Now() + timeouts.write_timeout;
  attempt->deadline = loop_.Now() + timeouts.timeout;
  Enqueue(std::move(attempt));
}

void ConnectionPool::StartHealthCheck(ServerId server) {
  if (health_checks_.contains(server)) return;  // the outcome of the one in flight answers both
  auto attempt = std::make_shared<Attempt>(loop_, server);
  health_checks_[server] = attempt;
  attempt->deadline = loop_.PreciseNow() + settings_.connect_timeout;
  Enqueue(std::move(attempt));
}

// The connect timeout counts from the precise time: from the loop time, a long iteration would time out a
// connection, and blame its data server, before any event of it could be read.
void ConnectionPool::Enqueue(std::shared_ptr<Attempt> attempt) {
  attempt->wait_started = loop_.PreciseNow();
  ServerPool* server = FindServer(attempt->server);
  if (server == nullptr || !server->address) return FinishAttempt(attempt, Outcome::kUnreachable);
  const std::weak_ptr<Attempt> weak = attempt;
  attempt->deadline_timer.ScheduleAt(attempt->deadline, [this, weak] {
    if (const auto held = weak.lock()) Abort(held, Outcome::kTimeout);
  });
  attempt->connect_timer.ScheduleAt(
      std::min(attempt->wait_started + settings_.connect_timeout, attempt->write_deadline), [this, weak] {
        if (const auto held = weak.lock()) FinishAttempt(held, Outcome::kUnreachable);
      });
  server->waiting.push_back(std::move(attempt));
  AssignConnections(*server);
}

void ConnectionPool::Abort(const std::shared_ptr<Attempt>& attempt, Outcome if_written) {
  ServerConnection* connection = attempt->connection;
  Outcome outcome = if_written;
  if (if_written == Outcome::kTimeout && (connection == nullptr || !connection->AllWritten())) {
    outcome = Outcome::kUnreachable;
  }
  ServerPool* server = FindServer(attempt->server);
  if (connection != nullptr) CloseConnection(*connection);  // the close cancels the statement at the server
  FinishAttempt(attempt, outcome);
  if (connection != nullptr) AssignConnections(*server);
}

void ConnectionPool::AbortIfUnwritten(const std::shared_ptr<Attempt>& attempt) {
  if (attempt->connection != nullptr && !attempt->connection->AllWritten())
    Abort(attempt, Outcome::kUnreachable);
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
                                   std::optional<proxy::Response> response, bool unusable) {
  // Keeps the attempt alive if `attempt` refers to an entry erased below.
  // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
  const std::shared_ptr<Attempt> held = attempt;
  held->deadline_timer.Cancel();
  held->connect_timer.Cancel();
  held->connection = nullptr;
  if (ServerPool* server = FindServer(held->server)) std::erase(server->waiting, held);
  // The latency of the data server excludes the time spent waiting for a connection.
  const Duration elapsed = std::max(Duration{0}, loop_.Now() - held->sent_at.value_or(held->wait_started));
  if (held->is_health_check()) {
    health_checks_.erase(held->server);
    events_->OnHealthCheckFinished({held->server, outcome, elapsed, report});
    return;
  }
  attempts_.erase({held->request, held->number});
  events_->OnAttemptFinished({held->request, held->number, held->server, outcome, elapsed, metadata, report,
                              std::move(response), unusable});
}

void ConnectionPool::AssignConnections(ServerPool& server) {
  if (server.dispatching) return;  // reentered from a callback: the outer call continues with the changes
  server.dispatching = true;
  while (!server.waiting.empty()) {
    if (!server.idle.empty()) {
      RunOnIdleConnection(server);
      continue;
    }
    if (server.opening >= std::min(kMaxOpening, server.waiting.size())) break;
    if (!OpenConnection(server)) {
      const std::shared_ptr<Attempt> attempt = server.waiting.front();
      FinishAttempt(attempt, budget_.CanAddBackend() ? Outcome::kUnreachable : Outcome::kNotRun);
    }
  }
  server.dispatching = false;
}

ServerConnection* ConnectionPool::TakeIdleConnection(ServerPool& server) {
  // A data server may close right after a response, and a request that crosses that close is lost to a reset.
  const auto rested =
      std::find_if(server.idle.rbegin(), server.idle.rend(), [this](const ServerConnection* candidate) {
        return loop_.Now() - candidate->idle_since() >= kReusePause;
      });
  const auto chosen = rested == server.idle.rend() ? std::prev(server.idle.end()) : std::prev(rested.base());
  ServerConnection* connection = *chosen;
  server.idle.erase(chosen);
  return connection;
}

void ConnectionPool::RunOnIdleConnection(ServerPool& server) {
  ServerConnection* connection = TakeIdleConnection(server);
  // The server may have closed it with the close still unread, or be about to close it for its idle time if
  // this loop was blocked past the periodic expiry.
  if (!connection->IsCurrent() || NearsIdleTimeout(*connection)) return CloseConnection(*connection);
  const std::shared_ptr<Attempt> attempt = server.waiting.front();
  server.waiting.pop_front();
  // The wait for a connection may have used up the time, with the timers delayed by a blocked loop.
  if (loop_.PreciseNow() >= std::min(attempt->write_deadline, attempt->deadline)) {
    server.idle.push_back(connection);
    return FinishAttempt(attempt, Outcome::kUnreachable);
  }
  connection->SendQuery(attempt);
}

bool ConnectionPool::OpenConnection(ServerPool& server) {
  if (!budget_.CanAddBackend() && !CloseLongestIdle() && !make_room_()) return false;
  if (!budget_.CanAddBackend()) return false;
  auto connection = std::make_shared<ServerConnection>(loop_, *this, server, budget_);
  bool full = false;
  bool open = connection->Open(*server.address, settings_.connect_timeout, &full);
  if (!open && full && (CloseLongestIdle() || make_room_())) {
    open = connection->Open(*server.address, settings_.connect_timeout, &full);
  }
  if (!open) return false;
  ++server.opening;
  server.connections.push_back(std::move(connection));
  return true;
}

void ConnectionPool::CloseConnection(ServerConnection& connection) {
  ServerPool& server = connection.server();
  const auto it = std::ranges::find_if(
      server.connections, [&](const std::shared_ptr<ServerConnection>& b) { return b.get() == &connection; });
  if (it == server.connections.end()) return;
  if (!connection.ready()) --server.opening;
  std::erase(server.idle, &connection);
  const std::shared_ptr<ServerConnection> held = *it;
  server.connections.erase(it);
  held->Close();
}

void ConnectionPool::CloseIdleConnections(ServerId id) {
  ServerPool* server = FindServer(id);
  if (server == nullptr) return;
  while (!server->idle.empty()) CloseConnection(*server->idle.back());
}

void ConnectionPool::CloseAllIdle() {
  for (auto& [id, server] : servers_) CloseIdleConnections(id);
}

bool ConnectionPool::CloseLongestIdle() {
  ServerConnection* oldest = nullptr;
  for (auto& [id, server] : servers_) {
    if (server->idle.empty()) continue;
    ServerConnection* first = server->idle.front();
    if (oldest == nullptr || first->idle_since() < oldest->idle_since()) oldest = first;
  }
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
  // Data servers are replaced all the time: without this the map would grow without bound.
  std::erase_if(servers_, [](const auto& item) {
    const ServerPool& server = *item.second;
    return server.removed && server.connections.empty() && server.waiting.empty();
  });
  expiry_timer_.ScheduleAfter(kExpiryInterval, [this] { CloseExpired(); });
}

}  // namespace lynxgrade::upstream
