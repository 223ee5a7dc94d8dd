// A fleet of decision modules that share no state, in front of 12 servers, in simulated time.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade {

inline constexpr double kCores = 5;                        // per server
inline constexpr double kWorkSeconds = 0.08;               // seconds per request
inline constexpr double kHealthCheckWorkSeconds = 0.0006;  // seconds; the maximum that any site states
inline constexpr Duration kReplacedAt{8000000};            // when the first group's servers are replaced
inline constexpr Duration kEnd{17000000};

inline Settings FleetSettings(std::uint32_t instances) {
  Settings s;
  RequestClass read, write;
  read.kind = AccessKind::kEventualRead;
  read.latency_objective = Duration(400000);
  read.deadline = Duration(1600000);
  write = read;
  write.kind = AccessKind::kWrite;
  write.idempotency = Idempotency::kIdempotencyKey;
  write.idempotency_window = Duration(3000000);
  write.latency_objective = Duration(700000);
  s.classes = {read, write};
  s.tenants = {{.quota_per_s = 0.8 * 12 * kCores / kWorkSeconds, .share = 1}};
  s.fleet_size = instances;
  s.max_attempts = 8;
  s.may_cancel = s.clients_honor_retry_after = true;
  s.max_retry_after = Duration(500000);
  s.initial_capacity = 0.15;
  s.slow_start_duration = Duration(18000000);
  s.overload_factor = 3;
  s.overload_duration = Duration(3000000);
  return s;
}

// Two groups of six servers. After 8 s all servers of the first group are replaced by new ones, and 70 % of
// the instances restart. Servers answer all requests; the tests check what is sent to them.
class RoutingFleet {
 public:
  struct Options {
    std::uint32_t instances = 1;
    std::uint32_t configured_instances = 1;  // fleet size in the settings; 0: unknown
    bool uneven_traffic = false;
    std::uint64_t seed = 1;
    double health_check_price = 0;   // 0: health checks are not allowed
    std::uint32_t ended_server = 0;  // in the second group: listed, but its process has ended; 0: none
    bool restarts = false;           // instances also restart one by one while the new servers warm up
  };

  // Runs the fleet to its end.
  explicit RoutingFleet(const Options& options)
      : options_(options), settings_(FleetSettings(options.configured_instances)), random_(options.seed) {
    const double price = options.health_check_price;
    settings_.may_health_check = price > 0;
    settings_.health_check_price = price;
    settings_.load_reporting = price > 0 ? LoadReporting::kOnHealthCheck : LoadReporting::kNone;
    std::vector<double> weights;
    for (std::uint32_t i = 0; i < options.instances; ++i) {
      weights.push_back(options.uneven_traffic ? 1.0 / (1 + i % 5) : 1);
      StartInstance(i, Entries(ServerSet::kInitial), options.seed * 1000 + i);
    }
    std::discrete_distribution<std::uint32_t> choose_instance(weights.begin(), weights.end());
    std::exponential_distribution<double> gap(0.6 * 12 * kCores / kWorkSeconds);
    for (double t = 0; t < 1e-6 * static_cast<double>(kEnd.count()); t += gap(random_)) {
      const TimePoint now{Duration(1000000000 + static_cast<std::int64_t>(t * 1e6))};
      HandleDueEvents(now);
      ReplaceServersWhenDue(now);
      RestartInstancesWhenDue(now);
      SendRequest(now, choose_instance);
    }
  }

  std::uint32_t requests() const { return requests_; }
  int starts() const {
    int sum = 0;
    for (const auto& [instance, incarnation] : incarnations_) sum += incarnation;
    return sum;
  }
  int health_checks() const { return health_checks_; }
  // Number of connections opened, and of those refused by the ended server.
  int connects() const { return connects_; }
  int refused() const { return refused_; }

  // Maximum work sent to a new server within any 3 s, relative to the work that overloads it if it warms up
  // as slowly as the settings allow.
  double MaxOverload() const {
    double max_ratio = 0;
    for (const auto& [server, at] : sent_) {
      if (server < 100) continue;
      std::size_t from = 0;
      for (std::size_t i = 0; i < at.size(); ++i) {
        while (at[i] - at[from] > settings_.overload_duration) ++from;
        const double age = 1e-6 * static_cast<double>((at[i] - start_ - kReplacedAt).count()) - 3;
        const double share = 0.15 + 0.85 * std::max(0.0, age) / 18;
        const double overload_work = 3 * share * kCores * 3;
        max_ratio = std::max(max_ratio, kWorkSeconds * static_cast<double>(i - from + 1) / overload_work);
      }
    }
    return max_ratio;
  }

  // Maximum number of calls of mean work that a new server received within any `overload_duration` beyond the
  // N calls that the settings allow, relative to the tolerated random excess of 2 sqrt(N) + 2. Rejected
  // requests count as whole calls, health checks by their work.
  double MaxExcess() const {
    double max_ratio = -9;
    for (const auto& [server, at] : received_) {
      if (server < 100) continue;
      std::size_t from = 0;
      double calls = 0;
      for (const auto& [when, call] : at) {
        calls += call;
        while (when - at[from].first > settings_.overload_duration) calls -= at[from++].second;
        const double age = 1e-6 * static_cast<double>((when - start_ - kReplacedAt).count()) - 3;
        const double share = 0.15 + 0.85 * std::max(0.0, age) / 18;
        const double allowed = 3 * share * kCores * 3 / kWorkSeconds;
        max_ratio = std::max(max_ratio, (calls - allowed) / (2 * std::sqrt(allowed) + 2));
      }
    }
    return max_ratio;
  }

  // Minimum work that any new server got in its first 6 s, relative to its minimum capacity in that time.
  double MinUtilization() const {
    double min_ratio = 9;
    for (std::uint32_t server = 101; server <= 106; ++server) {
      const auto it = sent_.find(server);
      const auto count =
          it == sent_.end() ? 0 : std::count_if(it->second.begin(), it->second.end(), [&](TimePoint t) {
            return t - start_ - kReplacedAt < Duration(6000000);
          });
      min_ratio =
          std::min(min_ratio, kWorkSeconds * static_cast<double>(count) / (6 * kCores * (0.15 + 0.85 / 6)));
    }
    return min_ratio;
  }

 private:
  static constexpr int kIdleSeconds = 10;  // idle connections are closed after this time
  // One instance's connections to one server.
  struct ServerConnections {
    int in_use = 0;
    std::vector<TimePoint> idle;  // when each became idle
  };
  struct PendingEvent {
    std::uint32_t instance;
    int incarnation;
    Event event;
  };

  enum class ServerSet { kInitial, kReplaced };

  void HandleDueEvents(TimePoint now) {
    while (!pending_.empty() && pending_.begin()->first <= now) {
      const auto [when, pending] = *pending_.begin();
      pending_.erase(pending_.begin());
      if (pending.incarnation == incarnations_[pending.instance])
        HandleEvent(pending.instance, when, pending.event);
    }
  }

  void ReplaceServersWhenDue(TimePoint now) {
    if (replaced_ || now - start_ < kReplacedAt) return;
    replaced_ = true;
    for (std::uint32_t i = 0; i < options_.instances; ++i) {
      if (i % 10 < 7) {
        StartInstance(i, Entries(ServerSet::kReplaced), options_.seed * 1000 + 500 + i);
      } else {
        HandleEvent(i, now, EndpointListEvent{EndpointListKind::kComplete, Entries(ServerSet::kReplaced)});
      }
    }
  }

  void RestartInstancesWhenDue(TimePoint now) {
    if (!options_.restarts) return;
    const double since = 1e-6 * static_cast<double>((now - start_ - kReplacedAt).count());
    while (restarted_ < options_.instances && since > 8.0 * (restarted_ + 1) / options_.instances) {
      StartInstance(restarted_, Entries(ServerSet::kReplaced), options_.seed * 1000 + 700 + restarted_);
      ++restarted_;
    }
  }

  void SendRequest(TimePoint now, std::discrete_distribution<std::uint32_t>& choose_instance) {
    RequestEvent request;
    request.id = RequestId(++requests_);
    request.group = GroupId(1 + requests_ % 2);
    request.request_class = requests_ % 8 == 0 ? 1 : 0;
    request.time_left = settings_.classes[request.request_class].deadline;
    HandleEvent(choose_instance(random_), now, request);
  }

  std::vector<EndpointListEntry> Entries(ServerSet set) const {
    std::vector<EndpointListEntry> entries;
    for (std::uint32_t i = 1; i <= 12; ++i) {
      const bool is_new = set == ServerSet::kReplaced && i <= 6;
      EndpointListEntry entry{.server = ServerId(is_new ? 100 + i : i), .group = GroupId(i <= 6 ? 1 : 2)};
      if (is_new) entry.started = start_ + kReplacedAt;
      entries.push_back(entry);
    }
    return entries;
  }

  void StartInstance(std::uint32_t instance, const std::vector<EndpointListEntry>& entries,
                     std::uint64_t seed) {
    balancers_.insert_or_assign(instance, Balancer(settings_, seed));
    ++incarnations_[instance];
    for (auto& [key, state] : connections_) {
      if (key.first == instance) state.in_use = 0, state.idle.clear();
    }
    HandleEvent(instance, now_, EndpointListEvent{EndpointListKind::kPersisted, entries});
  }

  void HandleEvent(std::uint32_t instance, TimePoint now, const Event& event) {
    now_ = std::max(now_, now);
    if (const auto* end = std::get_if<AttemptEndedEvent>(&event)) Disconnect(instance, end->server);
    Actions actions;
    balancers_.at(instance).Handle(now_, event, actions);
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) {
        pending_.emplace(now_ + timer->delay,
                         PendingEvent{instance, incarnations_[instance], TimerEvent{timer->id}});
      }
      if (const auto* health_check = std::get_if<StartHealthCheck>(&action)) {
        ++health_checks_;
        received_[static_cast<std::uint32_t>(health_check->server)].emplace_back(
            now_, kHealthCheckWorkSeconds / kWorkSeconds);
        const bool is_running = static_cast<std::uint32_t>(health_check->server) != options_.ended_server;
        const HealthCheckEvent end{
            health_check->server, is_running ? Outcome::kOk : Outcome::kUnreachable, Duration(1000), {}};
        pending_.emplace(now_ + end.elapsed, PendingEvent{instance, incarnations_[instance], end});
      }
      if (const auto* close = std::get_if<CloseIdleConnections>(&action)) {
        connections_[{instance, static_cast<std::uint32_t>(close->server)}].idle.clear();
      }
      const auto* send = std::get_if<StartAttempt>(&action);
      if (send == nullptr) continue;
      const auto server = static_cast<std::uint32_t>(send->server);
      received_[server].emplace_back(now_, 1);
      const bool primary = server == 101 || server == 1 || server == 7;
      const bool write = static_cast<std::uint32_t>(send->id) % 8 == 0;
      AttemptEndedEvent end;
      end.id = send->id;
      end.attempt = attempts_[send->id]++;
      end.server = send->server;
      end.metadata.primary = primary;
      end.outcome = write && !primary ? Outcome::kMisrouted : Outcome::kOk;
      end.request_done = end.outcome == Outcome::kOk;
      end.elapsed = end.request_done ? Duration(80000) : Duration(1000);
      if (server == options_.ended_server) {
        ++refused_;
        end.outcome = Outcome::kUnreachable;
        end.request_done = false;
        end.metadata = {};
        end.elapsed = Duration(300);
      } else {
        Connect(instance, server);
      }
      if (end.request_done) sent_[server].push_back(now_);
      pending_.emplace(now_ + end.elapsed, PendingEvent{instance, incarnations_[instance], end});
    }
  }

  void Connect(std::uint32_t instance, std::uint32_t server) {
    ServerConnections& connections = connections_[{instance, server}];
    std::erase_if(connections.idle,
                  [&](TimePoint since) { return now_ - since > Duration(1000000) * kIdleSeconds; });
    if (connections.idle.empty()) {
      ++connects_;
    } else {
      connections.idle.pop_back();
    }
    ++connections.in_use;
  }

  void Disconnect(std::uint32_t instance, ServerId server) {
    if (static_cast<std::uint32_t>(server) == options_.ended_server) return;
    ServerConnections& connections = connections_[{instance, static_cast<std::uint32_t>(server)}];
    --connections.in_use;
    connections.idle.push_back(now_);
  }

  Options options_;
  Settings settings_;
  std::mt19937_64 random_;
  bool replaced_ = false;
  std::uint32_t restarted_ = 0;  // instances restarted one by one so far
  std::uint32_t requests_ = 0;
  int health_checks_ = 0, connects_ = 0, refused_ = 0;
  std::map<std::pair<std::uint32_t, std::uint32_t>, ServerConnections> connections_;
  const TimePoint start_{Duration(1000000000)};
  TimePoint now_ = start_;
  std::map<std::uint32_t, Balancer> balancers_;
  std::map<std::uint32_t, int> incarnations_;
  std::multimap<TimePoint, PendingEvent> pending_;
  std::map<RequestId, AttemptNumber> attempts_;
  std::map<std::uint32_t, std::vector<TimePoint>> sent_;
  // Received calls in units of mean work, including health checks and rejected requests.
  std::map<std::uint32_t, std::vector<std::pair<TimePoint, double>>> received_;
};

}  // namespace lynxgrade
