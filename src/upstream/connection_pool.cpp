#include "upstream/connection_pool.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "upstream/server_connection.h"

namespace lynxgrade::upstream {
namespace {

// Openings at a time to one data server: enough for any steady traffic, no storm on one that just started.
constexpr std::size_t kMostOpening = 16;
// An idle connection goes after this part of the time in which its server would close it: a request that
// crosses the close would be a reset, and may have run.
constexpr double kIdlePart = 0.7;
constexpr Duration kRestsFor{5000};  // a few times what a close takes to come
constexpr Duration kRetireEvery{500000};

}  // namespace

Pool::Pool(net::Loop& loop, PoolSettings settings, net::DescriptorBudget& budget,
           std::function<bool()> make_room)
    : loop_(loop),
      settings_(std::move(settings)),
      budget_(budget),
      make_room_(std::move(make_room)),
      complaints_(loop),
      retire_(loop) {
  retire_.After(kRetireEvery, [this] { Retire(); });
}

Pool::~Pool() = default;

Server* Pool::Find(ServerId server) {
  const auto it = servers_.find(server);
  return it == servers_.end() ? nullptr : it->second.get();
}

void Pool::SetAddress(ServerId id, const net::Address& address) {
  std::unique_ptr<Server>& server = servers_[id];
  if (server == nullptr) {
    server = std::make_unique<Server>();
    server->id = id;
  }
  const bool moved =
      server->address && (server->address->host != address.host || server->address->port != address.port);
  server->address = address;
  server->gone = false;
  if (moved) CloseIdle(id);
}

void Pool::Forget(ServerId id) {
  Server* server = Find(id);
  if (server == nullptr) return;
  server->gone = true;
  CloseIdle(id);
}

void Pool::Send(RequestId request, AttemptNumber attempt, ServerId server,
                std::shared_ptr<const proxy::Work> work, proxy::SendTimes times) {
  auto job = std::make_shared<Job>(loop_, server);
  job->request = request;
  job->attempt = attempt;
  job->work = std::move(work);
  attempts_[{request, attempt}] = job;
  // What was decided counts from the clock that decided, however far this pass has come since.
  if (times.write_within != Duration::max()) job->write_by = loop_.Now() + times.write_within;
  job->until = loop_.Now() + times.limit;
  Start(std::move(job));
}

void Pool::Probe(ServerId server) {
  if (probes_.contains(server)) return;  // its end will serve for both
  auto job = std::make_shared<Job>(loop_, server);
  probes_[server] = job;
  job->until = loop_.Precise() + settings_.connect_timeout;
  Start(std::move(job));
}

// What begins here counts from here: in a long pass a connection would have been given up, and its data
// server blamed, before it could be heard.
void Pool::Start(std::shared_ptr<Job> job) {
  job->since = loop_.Precise();
  Server* server = Find(job->server);
  if (server == nullptr || !server->address) return EndJob(job, Outcome::kUnreachable);
  const std::weak_ptr<Job> weak = job;
  job->limit.Set(job->until, [this, weak] {
    if (const auto held = weak.lock()) GiveUp(held, Outcome::kTimeout);
  });
  job->connect.Set(std::min(job->since + settings_.connect_timeout, job->write_by), [this, weak] {
    if (const auto held = weak.lock()) EndJob(held, Outcome::kUnreachable);
  });
  server->waiting.push_back(std::move(job));
  Dispatch(*server);
}

// Stops waiting. Whether it may have run turns on whether all of it was handed to the kernel.
void Pool::GiveUp(const std::shared_ptr<Job>& job, Outcome if_written) {
  Backend* backend = job->backend;
  Outcome outcome = if_written;
  if (if_written == Outcome::kTimeout && (backend == nullptr || !backend->Written())) {
    outcome = Outcome::kUnreachable;
  }
  Server* server = Find(job->server);
  if (backend != nullptr) Remove(*backend);  // closing tells the data server that nobody waits any more
  EndJob(job, outcome);
  if (backend != nullptr) Dispatch(*server);
}

void Pool::WrittenLate(const std::shared_ptr<Job>& job) {
  if (job->backend != nullptr && !job->backend->Written()) GiveUp(job, Outcome::kUnreachable);
}

void Pool::Cancel(RequestId request, AttemptNumber attempt) {
  const auto it = attempts_.find({request, attempt});
  if (it == attempts_.end()) return;  // its end is on the way
  GiveUp(std::shared_ptr<Job>(it->second), Outcome::kCancelled);
}

void Pool::Drop(RequestId request) {
  std::vector<std::shared_ptr<Job>> waiting;
  for (auto it = attempts_.lower_bound({request, 0}); it != attempts_.end(); ++it) {
    if (it->first.first != request) break;
    if (it->second->backend == nullptr) waiting.push_back(it->second);
  }
  for (const auto& job : waiting) EndJob(job, Outcome::kNotRun);
}

void Pool::EndJob(const std::shared_ptr<Job>& job, Outcome outcome, ResponseMetadata metadata,
                  std::optional<LoadReport> report, std::optional<proxy::Answer> answer, bool unusable) {
  const std::shared_ptr<Job> held = job;
  held->limit.Clear();
  held->connect.Clear();
  held->backend = nullptr;
  if (Server* server = Find(held->server)) std::erase(server->waiting, held);
  // Time spent waiting for a connection, or opening one, says nothing of how fast a data server answers.
  const Duration elapsed = std::max(Duration{0}, loop_.Now() - held->written.value_or(held->since));
  if (held->probe()) {
    probes_.erase(held->server);
    events_->OnProbeEnd({held->server, outcome, elapsed, report});
    return;
  }
  attempts_.erase({held->request, held->attempt});
  events_->OnAttemptEnd({held->request, held->attempt, held->server, outcome, elapsed, metadata, report,
                         std::move(answer), unusable});
}

// Hands waiting jobs to idle connections, and opens one for each that is left.
void Pool::Dispatch(Server& server) {
  if (server.dispatching) return;  // the outer call goes on with what has changed
  server.dispatching = true;
  while (!server.waiting.empty()) {
    if (!server.idle.empty()) {
      // The one used last, so that the rest can go, but not one that has only just answered if there is
      // another: a data server may close behind an answer, and what crosses that close is lost as a reset.
      const auto rested = std::find_if(server.idle.rbegin(), server.idle.rend(), [this](const Backend* b) {
        return loop_.Now() - b->idle_since() >= kRestsFor;
      });
      const auto taken =
          rested == server.idle.rend() ? std::prev(server.idle.end()) : std::prev(rested.base());
      Backend* backend = *taken;
      server.idle.erase(taken);
      // A server that restarted or closed while the connection stood idle has left an end unread. One that is
      // about to close for its age is not seen: between two retirements, or as this loop stood still.
      if (!backend->Sound() || Old(*backend)) {
        Remove(*backend);
        continue;
      }
      const std::shared_ptr<Job> job = server.waiting.front();
      server.waiting.pop_front();
      // The connection may have come up long after the send was decided, and this loop may have stood still.
      if (loop_.Precise() >= std::min(job->write_by, job->until)) {
        server.idle.push_back(backend);
        EndJob(job, Outcome::kUnreachable);
        continue;
      }
      backend->Run(job);
      continue;
    }
    if (server.opening >= std::min(kMostOpening, server.waiting.size())) break;
    if (!OpenFor(server)) {
      const std::shared_ptr<Job> job = server.waiting.front();
      EndJob(job, budget_.BackendFits() ? Outcome::kUnreachable : Outcome::kNotRun);
    }
  }
  server.dispatching = false;
}

bool Pool::OpenFor(Server& server) {
  if (!budget_.BackendFits() && !ShedIdle() && !make_room_()) return false;
  if (!budget_.BackendFits()) return false;
  auto backend = std::make_shared<Backend>(loop_, *this, server, budget_);
  bool full = false;
  bool open = backend->Open(*server.address, settings_.connect_timeout, &full);
  if (!open && full && (ShedIdle() || make_room_())) {
    open = backend->Open(*server.address, settings_.connect_timeout, &full);
  }
  if (!open) return false;
  ++server.opening;
  server.backends.push_back(std::move(backend));
  return true;
}

// Closes a connection and forgets it. The caller may be one of its callbacks: it holds itself meanwhile.
void Pool::Remove(Backend& backend) {
  Server& server = backend.server();
  const auto it = std::ranges::find_if(
      server.backends, [&](const std::shared_ptr<Backend>& b) { return b.get() == &backend; });
  if (it == server.backends.end()) return;
  if (!backend.ready()) --server.opening;
  std::erase(server.idle, &backend);
  const std::shared_ptr<Backend> held = *it;
  server.backends.erase(it);
  held->Close();
}

void Pool::CloseIdle(ServerId id) {
  Server* server = Find(id);
  if (server == nullptr) return;
  while (!server->idle.empty()) Remove(*server->idle.back());
}

void Pool::CloseAllIdle() {
  for (auto& [id, server] : servers_) CloseIdle(id);
}

bool Pool::ShedIdle() {
  Backend* oldest = nullptr;
  for (auto& [id, server] : servers_) {
    if (server->idle.empty()) continue;
    Backend* first = server->idle.front();
    if (oldest == nullptr || first->idle_since() < oldest->idle_since()) oldest = first;
  }
  if (oldest != nullptr) Remove(*oldest);
  return oldest != nullptr;
}

std::size_t Pool::idle() const {
  std::size_t count = 0;
  for (const auto& [id, server] : servers_) count += server->idle.size();
  return count;
}

void Pool::Complain(const Server& server, std::string_view what) {
  std::uint64_t left_out = 0;
  if (!complaints_.Allows(left_out)) return;
  spdlog::error("data server {}: {}; {} more lines like this left out", static_cast<std::uint32_t>(server.id),
                what, left_out);
}

bool Pool::Old(const Backend& backend) const {
  const Duration most(static_cast<std::int64_t>(kIdlePart * static_cast<double>(settings_.idle.count())));
  return loop_.Precise() - backend.idle_since() >= most;
}

void Pool::Retire() {
  for (auto& [id, server] : servers_) {
    while (!server->idle.empty() && Old(*server->idle.front())) Remove(*server->idle.front());
  }
  // Data servers are replaced all day long: what is not forgotten here only ever grows.
  std::erase_if(servers_, [](const auto& item) {
    const Server& server = *item.second;
    return server.gone && server.backends.empty() && server.waiting.empty();
  });
  retire_.After(kRetireEvery, [this] { Retire(); });
}

}  // namespace lynxgrade::upstream
