// Many instances of the decision module that share nothing, in front of twelve servers, in virtual time.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade {

inline constexpr double kCores = 5;                 // of a server
inline constexpr double kWork = 0.08;               // seconds, of a request
inline constexpr double kHealthCheckWork = 0.0006;  // seconds; the most that a site states
inline constexpr Duration kReplacedAt{8000000};
inline constexpr Duration kEnd{17000000};

inline Settings SiteSettings(std::uint32_t instances) {
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
  s.tenants = {{.quota_per_s = 0.8 * 12 * kCores / kWork, .share = 1}};
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

// Two groups of six. In the eighth second all servers of the first are replaced by new ones, and seven in ten
// instances restart. Servers answer all they get; what counts is what they are sent.
class RoutingFleet {
 public:
  struct Options {
    std::uint32_t instances = 1;
    std::uint32_t configured_instances = 1;  // as the settings say; 0: unknown
    bool uneven_traffic = false;
    std::uint64_t seed = 1;
    double health_check_price = 0;   // 0: none may be sent
    std::uint32_t ended_server = 0;  // of the second group: listed, but its process has ended; 0: none
    bool restarts = false;  // each instance restarts once more while the new servers warm up, one by one
  };

  // Runs the fleet to its end.
  explicit RoutingFleet(const Options& options)
      : options_(options), settings_(SiteSettings(options.configured_instances)), random_(options.seed) {
    const double price = options.health_check_price;
    settings_.may_health_check = price > 0;
    settings_.health_check_price = price;
    settings_.load_reporting = price > 0 ? LoadReporting::kOnHealthCheck : LoadReporting::kNone;
    std::vector<double> weights;
    for (std::uint32_t i = 0; i < options.instances; ++i) {
      weights.push_back(options.uneven_traffic ? 1.0 / (1 + i % 5) : 1);
      StartInstance(i, Entries(ServerSet::kInitial), options.seed * 1000 + i);
    }
    std::discrete_distribution<std::uint32_t> which(weights.begin(), weights.end());
    std::exponential_distribution<double> gap(0.6 * 12 * kCores / kWork);
    for (double t = 0; t < 1e-6 * static_cast<double>(kEnd.count()); t += gap(random_)) {
      const TimePoint now{Duration(1000000000 + static_cast<std::int64_t>(t * 1e6))};
      FeedDueEvents(now);
      ReplaceServersWhenDue(now);
      RestartInstancesWhenDue(now);
      SendRequest(now, which);
    }
  }

  std::uint32_t requests() const { return requests_; }
  int starts() const {
    int sum = 0;
    for (const auto& [who, incarnation] : incarnations_) sum += incarnation;
    return sum;
  }
  int health_checks() const { return health_checks_; }
  // Connections that were opened, and that the ended server refused.
  int connects() const { return connects_; }
  int refused() const { return refused_; }

  // The most work sent to a new server within any three seconds, as a part of what overloads it if it
  // warms up as slowly as the settings allow.
  double WorstOverload() const {
    double worst = 0;
    for (const auto& [member, at] : sent_) {
      if (member < 100) continue;
      std::size_t from = 0;
      for (std::size_t i = 0; i < at.size(); ++i) {
        while (at[i] - at[from] > settings_.overload_duration) ++from;
        const double age = 1e-6 * static_cast<double>((at[i] - start_ - kReplacedAt).count()) - 3;
        const double share = 0.15 + 0.85 * std::max(0.0, age) / 18;
        const double most = 3 * share * kCores * 3;
        worst = std::max(worst, kWork * static_cast<double>(i - from + 1) / most);
      }
    }
    return worst;
  }

  // The most that came to a new server within any `overload_duration`, in calls of mean work, beyond those
  // that the settings allow it in that time, N, as a part of what is put down to chance, 2 x root of N + 2.
  // What is rejected counts as a whole call, a health check by its work.
  double WorstExcessOverChance() const {
    double worst = -9;
    for (const auto& [member, at] : received_) {
      if (member < 100) continue;
      std::size_t from = 0;
      double calls = 0;
      for (const auto& [when, call] : at) {
        calls += call;
        while (when - at[from].first > settings_.overload_duration) calls -= at[from++].second;
        const double age = 1e-6 * static_cast<double>((when - start_ - kReplacedAt).count()) - 3;
        const double share = 0.15 + 0.85 * std::max(0.0, age) / 18;
        const double allowed = 3 * share * kCores * 3 / kWork;
        worst = std::max(worst, (calls - allowed) / (2 * std::sqrt(allowed) + 2));
      }
    }
    return worst;
  }

  // The least work that a new server got in its first seconds, as a part of what it could do in them at
  // least.
  double LeastUtilization() const {
    double least = 9;
    for (std::uint32_t member = 101; member <= 106; ++member) {
      const auto it = sent_.find(member);
      const auto count =
          it == sent_.end() ? 0 : std::count_if(it->second.begin(), it->second.end(), [&](TimePoint t) {
            return t - start_ - kReplacedAt < Duration(6000000);
          });
      least = std::min(least, kWork * static_cast<double>(count) / (6 * kCores * (0.15 + 0.85 / 6)));
    }
    return least;
  }

 private:
  static constexpr int kIdleSeconds = 10;  // for which a connection is kept
  // One instance's connections to one member.
  struct Link {
    int out = 0;
    std::vector<TimePoint> idle;  // since when
  };
  struct Due {
    std::uint32_t who;
    int incarnation;
    Event event;
  };

  enum class ServerSet { kInitial, kReplaced };

  void FeedDueEvents(TimePoint now) {
    while (!due_.empty() && due_.begin()->first <= now) {
      const auto [when, what] = *due_.begin();
      due_.erase(due_.begin());
      if (what.incarnation == incarnations_[what.who]) Feed(what.who, when, what.event);
    }
  }

  void ReplaceServersWhenDue(TimePoint now) {
    if (replaced_ || now - start_ < kReplacedAt) return;
    replaced_ = true;
    for (std::uint32_t i = 0; i < options_.instances; ++i) {
      if (i % 10 < 7) {
        StartInstance(i, Entries(ServerSet::kReplaced), options_.seed * 1000 + 500 + i);
      } else {
        Feed(i, now, EndpointListEvent{EndpointListKind::kComplete, Entries(ServerSet::kReplaced)});
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

  void SendRequest(TimePoint now, std::discrete_distribution<std::uint32_t>& which) {
    RequestEvent request;
    request.id = RequestId(++requests_);
    request.group = GroupId(1 + requests_ % 2);
    request.request_class = requests_ % 8 == 0 ? 1 : 0;
    request.time_left = settings_.classes[request.request_class].deadline;
    Feed(which(random_), now, request);
  }

  std::vector<EndpointListEntry> Entries(ServerSet set) const {
    std::vector<EndpointListEntry> entries;
    for (std::uint32_t i = 1; i <= 12; ++i) {
      const bool fresh = set == ServerSet::kReplaced && i <= 6;
      EndpointListEntry entry{.server = ServerId(fresh ? 100 + i : i), .group = GroupId(i <= 6 ? 1 : 2)};
      if (fresh) entry.started = start_ + kReplacedAt;
      entries.push_back(entry);
    }
    return entries;
  }

  void StartInstance(std::uint32_t who, const std::vector<EndpointListEntry>& entries, std::uint64_t seed) {
    balancers_.insert_or_assign(who, Balancer(settings_, seed));
    ++incarnations_[who];
    for (auto& [link, state] : links_) {
      if (link.first == who) state.out = 0, state.idle.clear();
    }
    Feed(who, now_, EndpointListEvent{EndpointListKind::kPersisted, entries});
  }

  void Feed(std::uint32_t who, TimePoint now, const Event& event) {
    now_ = std::max(now_, now);
    if (const auto* end = std::get_if<AttemptEndedEvent>(&event)) Disconnect(who, end->server);
    Actions actions;
    balancers_.at(who).Handle(now_, event, actions);
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) {
        due_.emplace(now_ + timer->delay, Due{who, incarnations_[who], TimerEvent{timer->id}});
      }
      if (const auto* probe = std::get_if<StartHealthCheck>(&action)) {
        ++health_checks_;
        received_[static_cast<std::uint32_t>(probe->server)].emplace_back(now_, kHealthCheckWork / kWork);
        const bool found = static_cast<std::uint32_t>(probe->server) != options_.ended_server;
        const HealthCheckEvent end{
            probe->server, found ? Outcome::kOk : Outcome::kUnreachable, Duration(1000), {}};
        due_.emplace(now_ + end.elapsed, Due{who, incarnations_[who], end});
      }
      if (const auto* close = std::get_if<CloseIdleConnections>(&action)) {
        links_[{who, static_cast<std::uint32_t>(close->server)}].idle.clear();
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
        Connect(who, server);
      }
      if (end.request_done) sent_[server].push_back(now_);
      due_.emplace(now_ + end.elapsed, Due{who, incarnations_[who], end});
    }
  }

  void Connect(std::uint32_t who, std::uint32_t member) {
    Link& link = links_[{who, member}];
    std::erase_if(link.idle,
                  [&](TimePoint since) { return now_ - since > Duration(1000000) * kIdleSeconds; });
    if (link.idle.empty()) {
      ++connects_;
    } else {
      link.idle.pop_back();
    }
    ++link.out;
  }

  void Disconnect(std::uint32_t who, ServerId member) {
    if (static_cast<std::uint32_t>(member) == options_.ended_server) return;
    Link& link = links_[{who, static_cast<std::uint32_t>(member)}];
    --link.out;
    link.idle.push_back(now_);
  }

  Options options_;
  Settings settings_;
  std::mt19937_64 random_;
  bool replaced_ = false;
  std::uint32_t restarted_ = 0;  // instances
  std::uint32_t requests_ = 0;
  int health_checks_ = 0, connects_ = 0, refused_ = 0;
  std::map<std::pair<std::uint32_t, std::uint32_t>, Link> links_;
  const TimePoint start_{Duration(1000000000)};
  TimePoint now_ = start_;
  std::map<std::uint32_t, Balancer> balancers_;
  std::map<std::uint32_t, int> incarnations_;
  std::multimap<TimePoint, Due> due_;
  std::map<RequestId, AttemptNumber> attempts_;
  std::map<std::uint32_t, std::vector<TimePoint>> sent_;
  // What came, in calls of mean work: also probes, and what was rejected there.
  std::map<std::uint32_t, std::vector<std::pair<TimePoint, double>>> received_;
};

}  // namespace lynxgrade
