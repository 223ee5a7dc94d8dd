// A fleet of replication engines with session leases and consistency guards, in virtual time: a network that
// loses and delays packets and can be partitioned, clients whose sessions migrate between instances, and a
// check of each read's required position against all answered writes.
#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "replication/replication_engine.h"

namespace lynxgrade::replication {

inline constexpr GroupId kGroup{1};
inline constexpr ServerId kPrimary{7};
inline constexpr Duration kMs{1000};
inline constexpr Duration kSecond{1'000'000};
inline constexpr Duration kTick{5000};
inline constexpr Duration kWriteRetention = kSecond * 30;
// Headers of the datagram's authentication, UDP and IPv4, and the packet's counter, which is set when it is
// signed.
inline constexpr std::size_t kHeaderBytes = 18 + 28 + 4;
inline constexpr ClassIndex kReadClass = 0;
inline constexpr ClassIndex kWriteClass = 1;

enum class Mode {
  kBroadcast,          // instances replicate all watermarks to each other
  kLeases,             // sessions have leases
  kLeasesNotRequired,  // sessions have leases, but writes do not wait for them
};

inline Settings SessionSettings() {
  Settings settings;
  settings.classes.resize(2);
  settings.classes[kReadClass].kind = AccessKind::kSessionRead;
  settings.classes[kWriteClass].kind = AccessKind::kWrite;
  settings.clients_carry_watermarks = false;
  return settings;
}

inline consistency::Options GuardOptions() {
  consistency::Options options;
  options.scope = consistency::Scope::kEverywhere;
  options.session_capacity = 4096;
  options.write_retention = kWriteRetention;
  options.reject_uncertain_reads = false;  // the tests check the required positions of reads
  return options;
}

struct Fleet;

// One instance of the fleet.
struct Node final : consistency::SessionLeases {
  Node(Fleet& fleet, std::size_t number, std::uint64_t incarnation_id, Mode mode);
  std::optional<LogPosition> AllWritesKnownAfter(consistency::SessionKey key) override;
  bool AcquireLease(GroupId group, consistency::SessionKey key, consistency::LeaseUse use) override;

  Fleet& fleet;
  std::size_t number;
  std::uint64_t incarnation_id;
  Mode mode;
  consistency::SessionConsistencyGuard consistency_guard;
  std::unique_ptr<ReplicationEngine> engine;
  std::uint32_t last_request_id = 0;
};

struct Options {
  Mode mode = Mode::kLeases;
  int loss_percent = 0;
  double read_requests_per_s = 1000;
  Duration delay{300};
  std::size_t dedicated_managers = 0;  // the last instances; clients do not connect to them
  double reads_per_write = 2;          // of a session of RunLoad
  double bytes_per_s = 0;              // bandwidth budget that limits lease requests for reads
  Duration batching_delay{};           // while the budget is low
  bool mixed_versions = false;         // half of the incarnations do not know dedicated managers
  bool require_support_by_all = true;  // rule: dedicated managers count once all of the view know them
};

struct Fleet {
  Fleet(std::size_t size, Options options, std::uint64_t seed = 4)
      : size(size),
        options(options),
        random(seed),
        nodes(size),
        suspended_until(size),
        sent_bytes(size),
        received_bytes(size),
        manager_cpu_time(size),
        drawn_old_version(size) {
    for (std::size_t at = 0; at < size; ++at) StartInstance(at, options.mode);
  }

  // Starts a new incarnation of the instance, with nothing recovered.
  void StartInstance(std::size_t at, Mode mode) {
    std::erase_if(writes, [at](const Write& write) { return write.at == at; });
    std::erase_if(reads, [at](const Read& read) { return read.at == at; });
    if (options.mixed_versions) drawn_old_version[at] = random() % 2 == 0;
    nodes[at] = std::make_unique<Node>(*this, at, ++last_incarnation_id, mode);
    ready_from[at] = TimePoint{};
    suspended_until[at] = now;
  }
  // Whether the instance is of a version without dedicated managers, which selects managers among all
  // instances that use leases.
  bool IsOldVersion(std::size_t at) const {
    return options.mixed_versions && !IsDedicatedManager(at) && drawn_old_version[at];
  }

  void Send(std::size_t from, Outbox& outbox) {
    for (membership::OutgoingPacket& outgoing : outbox) {
      const auto to = static_cast<std::size_t>(std::atoi(outgoing.address.c_str() + 1));
      const std::size_t bytes = outgoing.packet.ByteSizeLong() + kHeaderBytes;
      sent_bytes[from] += bytes;
      nodes[from]->engine->RecordTraffic(now, bytes);
      ++packets;
      if (outgoing.packet.has_lease_batch()) {
        lease_bytes += bytes;
        ++lease_packets;
        lease_messages += static_cast<std::uint64_t>(outgoing.packet.lease_batch().entries_size());
      }
      if (cut_links.contains({from, to}) || to >= size) continue;
      // Packets are not duplicated: the authenticator accepts each of them only once.
      if (static_cast<int>(random() % 100) < options.loss_percent) continue;
      const Duration delay = options.delay + Duration(static_cast<std::int64_t>(random() % 3000));
      datagrams.push({now + delay, last_order++, to, "a" + std::to_string(from), std::move(outgoing.packet)});
    }
    outbox.clear();
  }

  // Whether the instance accepts client requests.
  bool IsReady(std::size_t at) {
    ReplicationEngine& engine = *nodes[at]->engine;
    if (!engine.MayServeRequests(now)) return false;
    if (ready_from[at] == TimePoint{}) ready_from[at] = now + kSecond * 3;
    return now >= ready_from[at] || (engine.IsTrackedByAllPeers() && engine.swim().unheard_seeds().empty());
  }

  // A write of the session arrives at the instance now.
  void StartWrite(std::size_t at, int session) {
    if (now < suspended_until[at] || !IsReady(at)) return;
    Node& node = *nodes[at];
    Event event =
        RequestEvent{.id = RequestId(++node.last_request_id), .group = kGroup, .request_class = kWriteClass};
    std::get<RequestEvent>(event).session = SessionName(session);
    node.consistency_guard.PrepareEvent(now, event);
    writes.push_back(
        {at, session, RequestId(node.last_request_id), now, now + Duration(1000 + random() % 15000), {}});
  }

  // A read of the session arrives at the instance now.
  void StartRead(std::size_t at, int session) {
    if (now < suspended_until[at] || !IsReady(at)) return;
    Node& node = *nodes[at];
    RequestEvent event{.id = RequestId(++node.last_request_id), .group = kGroup, .request_class = kReadClass};
    event.session = SessionName(session);
    event.arrived = now;
    const bool delay = node.consistency_guard.ShouldDelayRead(event, now);
    if (delay && node.mode == Mode::kBroadcast) {
      Outbox outbox;
      node.engine->PollPeers(now, outbox);
      Send(at, outbox);
    }
    ++started_reads;
    reads.push_back({at, session, event, delay ? now + node.consistency_guard.max_read_delay() : now});
  }

  static std::string SessionName(int session) { return "s" + std::to_string(session); }

  void ProcessRequests() {
    ProcessWrites();
    ProcessReads();
  }

  void ProcessWrites() {
    std::vector<Write> waiting;
    for (Write& write : std::exchange(writes, {})) {
      if (now < suspended_until[write.at] || now < write.done) {
        waiting.push_back(write);
        continue;
      }
      Node& node = *nodes[write.at];
      const consistency::SessionKey key = consistency::SessionKeyOf(kGroup, SessionName(write.session));
      if (!write.position) {
        write.position = now;
        AttemptEndedEvent outcome{write.id, 0, kPrimary, Outcome::kOk, kMs, true, {}, {}};
        outcome.metadata.primary = true;
        outcome.metadata.position = now;
        Event event = outcome;
        node.consistency_guard.PrepareEvent(now, event);
      }
      if (node.engine->MayAnswerWrite(now, key)) {
        answered_writes[write.session].push_back({*write.position, now});
        answer_waits_ms.push_back(1e-3 * static_cast<double>((now - write.done).count()));
      } else if (now - write.arrived < kSecond * 5) {
        node.AcquireLease(kGroup, key, consistency::LeaseUse::kWrite);
        waiting.push_back(write);
      } else {
        ++failed_writes;
      }
    }
    writes = waiting;
  }

  void ProcessReads() {
    std::vector<Read> waiting;
    for (Read& read : std::exchange(reads, {})) {
      Node& node = *nodes[read.at];
      if (now < suspended_until[read.at] ||
          (now < read.delayed_until && !node.consistency_guard.IsDelayOver(read.event))) {
        waiting.push_back(read);
        continue;
      }
      Event event = read.event;
      node.consistency_guard.PrepareEvent(now, event);
      const auto required = std::get<RequestEvent>(event).required_position;
      node.consistency_guard.DrainRejectedReads();
      node.consistency_guard.FinishRequest(read.event.id);
      ++finished_reads;
      // A replica that lags by 20 ms does not have the position yet.
      conservative_reads += required && *required + kMs * 20 > *read.event.arrived;
      // The read is stale if its required position misses a write that was answered before it arrived.
      const TimePoint arrived = *read.event.arrived;
      for (const AnsweredWrite& write : answered_writes[read.session]) {
        if (write.answered > arrived || arrived - write.answered > kWriteRetention) continue;
        if (required && write.position <= *required) continue;
        ++stale_reads;
        break;
      }
    }
    reads = waiting;
  }

  // Lets virtual time pass.
  void RunFor(Duration time) {
    const TimePoint end = now + time;
    Outbox outbox;
    for (; now < end; now += kTick) {
      while (!datagrams.empty() && datagrams.top().arrives <= now) {
        const Datagram datagram = datagrams.top();
        datagrams.pop();
        if (now < suspended_until[datagram.to]) {
          Datagram delayed = datagram;
          delayed.arrives = suspended_until[datagram.to];
          datagrams.push(delayed);
          continue;
        }
        const std::size_t bytes = datagram.packet.ByteSizeLong() + kHeaderBytes;
        received_bytes[datagram.to] += bytes;
        nodes[datagram.to]->engine->RecordTraffic(now, bytes);
        const std::clock_t before = IsDedicatedManager(datagram.to) ? std::clock() : 0;
        nodes[datagram.to]->engine->HandlePacket(now, datagram.sender_address, datagram.packet, outbox);
        if (IsDedicatedManager(datagram.to)) manager_cpu_time[datagram.to] += std::clock() - before;
        Send(datagram.to, outbox);
      }
      ProcessRequests();
      for (std::size_t at = 0; at < size; ++at) {
        if (now < suspended_until[at]) continue;
        const std::clock_t before = IsDedicatedManager(at) ? std::clock() : 0;
        nodes[at]->engine->Tick(now, outbox);
        if (IsDedicatedManager(at)) manager_cpu_time[at] += std::clock() - before;
        Send(at, outbox);
      }
      ProcessRequests();
    }
  }

  // Whether every instance has a complete quorum.
  bool IsComplete() const {
    return std::ranges::all_of(nodes, [this](const auto& node) {
      membership::QuorumTracker quorum_tracker = node->engine->swim().quorum_tracker();
      return quorum_tracker.Assess(now).state == membership::QuorumState::kComplete;
    });
  }
  bool RunUntilComplete(Duration timeout) {
    for (const TimePoint end = now + timeout; now < end; RunFor(kMs * 100)) {
      if (IsComplete()) return true;
    }
    return false;
  }

  bool IsDedicatedManager(std::size_t at) const { return at >= PoolerCount(); }
  // The number of instances to which clients connect.
  std::size_t PoolerCount() const { return size - options.dedicated_managers; }

  // Runs a load with `writes_per_s` writes at each pooler. Each session writes three times, with an average
  // of Options::reads_per_write reads after each write; `migration_percent` of its requests go to a random
  // instance. Requests that are not due at the end are dropped, unless `keep_scheduled`.
  void RunLoad(Duration time, double writes_per_s, int migration_percent, bool keep_scheduled = false) {
    const TimePoint end = now + time;
    double due_sessions = 0;
    while (now < end) {
      due_sessions +=
          writes_per_s / 3 * static_cast<double>(PoolerCount()) * 1e-6 * static_cast<double>(kTick.count());
      for (; due_sessions >= 1; due_sessions -= 1) ScheduleSession(migration_percent);
      std::erase_if(scheduled_requests, [this](const auto& request) {
        if (request.first > now) return false;
        request.second();
        return true;
      });
      RunFor(kTick);
    }
    if (!keep_scheduled) scheduled_requests.clear();
  }

  // Schedules the requests of one session of RunLoad, beginning now.
  void ScheduleSession(int migration_percent) {
    const int session = ++last_session;
    std::size_t instance = random() % PoolerCount();
    TimePoint due = now;
    double due_reads = 0;
    if (options.reads_per_write != 2) due_reads = 1e-2 * static_cast<double>(random() % 100);
    const auto schedule_request = [&](bool write) {
      if (static_cast<int>(random() % 100) < migration_percent) instance = random() % PoolerCount();
      const std::size_t at = instance;
      if (write) {
        scheduled_requests.emplace_back(due, [this, at, session] { StartWrite(at, session); });
      } else {
        scheduled_requests.emplace_back(due, [this, at, session] { StartRead(at, session); });
      }
      due += kMs * static_cast<std::int64_t>(100 + random() % 500);
    };
    for (int write = 0; write < 3; ++write) {
      schedule_request(true);
      for (due_reads += options.reads_per_write; due_reads >= 1; due_reads -= 1) schedule_request(false);
    }
  }

  struct Datagram {
    TimePoint arrives{};
    std::uint64_t order = 0;
    std::size_t to = 0;
    std::string sender_address;
    proto::Packet packet;
    bool operator>(const Datagram& other) const {
      return std::tie(arrives, order) > std::tie(other.arrives, other.order);
    }
  };
  struct Write {
    std::size_t at;
    int session;
    RequestId id;
    TimePoint arrived, done;  // done: at the data server
    std::optional<LogPosition> position;
  };
  struct Read {
    std::size_t at;
    int session;
    RequestEvent event;
    TimePoint delayed_until;
  };
  struct AnsweredWrite {
    LogPosition position;
    TimePoint answered;
  };

  std::size_t size;
  Options options;
  std::mt19937_64 random;
  TimePoint now{Duration(1'700'000'000'000'000)};
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<TimePoint> suspended_until;
  std::map<std::size_t, TimePoint> ready_from;
  std::priority_queue<Datagram, std::vector<Datagram>, std::greater<>> datagrams;
  std::set<std::pair<std::size_t, std::size_t>> cut_links;  // sender, receiver
  std::vector<Write> writes;
  std::vector<Read> reads;
  std::vector<std::pair<TimePoint, std::function<void()>>> scheduled_requests;
  std::unordered_map<int, std::vector<AnsweredWrite>> answered_writes;  // by session
  std::vector<double> answer_waits_ms;  // from the end of a write at the data server to its answer
  std::uint64_t last_order = 0, last_incarnation_id = 100, packets = 0;
  std::uint64_t lease_bytes = 0, lease_packets = 0, lease_messages = 0;
  std::vector<std::uint64_t> sent_bytes, received_bytes;  // by instance, including headers
  std::vector<std::clock_t> manager_cpu_time;             // of dedicated managers
  std::vector<bool> drawn_old_version;                    // see IsOldVersion
  std::optional<std::size_t> manager_without_relay;       // of a version that does not relay
  int last_session = 0, stale_reads = 0, started_reads = 0, finished_reads = 0, conservative_reads = 0;
  int failed_writes = 0;
};

inline Node::Node(Fleet& fleet, std::size_t number, std::uint64_t incarnation_id, Mode mode)
    : fleet(fleet),
      number(number),
      incarnation_id(incarnation_id),
      mode(mode),
      consistency_guard(SessionSettings(), GuardOptions()) {
  EndpointListEvent list{EndpointListKind::kPersisted, {}};
  list.entries.push_back({.server = kPrimary, .group = kGroup});
  Event event = std::move(list);
  consistency_guard.PrepareEvent(fleet.now, event);
  consistency_guard.HandleStart(fleet.now, std::nullopt);
  proto::Member self;
  self.set_name("n" + std::to_string(number));
  self.set_incarnation_id(incarnation_id * 0x9E3779B97F4A7C15ull | 1);
  self.set_started_us(static_cast<std::uint64_t>(fleet.now.time_since_epoch().count()));
  self.set_address("a" + std::to_string(number));
  ReplicationEngine::Options options;
  options.flush_interval = kMs * 10;
  options.swim.fleet_size = fleet.size;
  options.swim.lease_manager.dedicated = fleet.IsDedicatedManager(number);
  options.swim.lease_manager.require_support_by_all = fleet.options.require_support_by_all;
  if (fleet.IsOldVersion(number)) options.swim.capabilities = 0;
  if (fleet.manager_without_relay == number)
    options.swim.capabilities = membership::capability::kSupportsDedicatedLeaseManagers;
  if (mode != Mode::kBroadcast) {
    lease::SessionLeaseClient::Options& leases = options.leases.emplace();
    leases.read_requests_per_s = fleet.options.read_requests_per_s;
    leases.bytes_per_s = fleet.options.bytes_per_s;
    leases.batching_delay = fleet.options.batching_delay;
    leases.writes_require_lease = mode == Mode::kLeases;
  }
  std::vector<std::string> seeds;
  for (std::size_t i = 0; i < fleet.size; ++i) seeds.push_back("a" + std::to_string(i));
  engine = std::make_unique<ReplicationEngine>(options, self, seeds, ReplicationEngine::Recovery::kIncomplete,
                                               consistency_guard, incarnation_id);
  if (mode != Mode::kBroadcast) consistency_guard.SetSessionLeases(this);
  consistency_guard.OnWrite(
      [this](GroupId group, consistency::SessionKey key, const consistency::WriteWatermark& watermark) {
        engine->RecordWrite(group, key, watermark);
      });
}

inline std::optional<LogPosition> Node::AllWritesKnownAfter(consistency::SessionKey key) {
  return engine->AllWritesKnownAfter(fleet.now, key);
}

inline bool Node::AcquireLease(GroupId group, consistency::SessionKey key, consistency::LeaseUse use) {
  Outbox outbox;
  const bool expected = engine->AcquireLease(fleet.now, group, key, use, outbox);
  fleet.Send(number, outbox);
  return expected;
}

// Runs requests of sessions that migrate among all instances, while links fail and instances are suspended
// and restarted.
inline void RunRandomFaults(Fleet& fleet, int steps) {
  for (int i = 0; i < steps; ++i) {
    const std::size_t at = fleet.random() % fleet.size;
    const std::size_t other = fleet.random() % fleet.size;
    const int session = static_cast<int>(fleet.random() % 12);
    switch (fleet.random() % 60) {
      case 0:
        fleet.cut_links.insert({at, other});
        break;
      case 1:
        fleet.cut_links.insert({{at, other}, {other, at}});
        break;
      case 2:
      case 3:
        fleet.cut_links.clear();
        break;
      case 4:
        if (i % 4 == 0) fleet.StartInstance(at, fleet.nodes[at]->mode);
        break;
      case 5:
        fleet.suspended_until[at] = fleet.now + kMs * static_cast<std::int64_t>(fleet.random() % 800);
        break;
      default:
        if (fleet.random() % 2 == 0) {
          fleet.StartWrite(at, session);
        } else {
          fleet.StartRead(at, session);
        }
    }
    fleet.RunFor(kTick * static_cast<std::int64_t>(1 + fleet.random() % 6));
    if (i % 150 == 149) {
      fleet.cut_links.clear();
      fleet.RunFor(kSecond * 3);
    }
  }
}

// Runs a load in which most sessions migrate, so that traffic that cannot be deferred exceeds the budget, and
// resets the results after the warm-up.
inline void RunMigratingLoad(Fleet& fleet) {
  REQUIRE(fleet.RunUntilComplete(kSecond * 20));
  fleet.RunFor(kSecond * 5);
  fleet.RunLoad(kSecond * 5, 40, 40, true);
  std::ranges::fill(fleet.sent_bytes, 0);
  std::ranges::fill(fleet.received_bytes, 0);
  fleet.answer_waits_ms.clear();
  fleet.conservative_reads = fleet.finished_reads = 0;
  fleet.RunLoad(kSecond * 10, 40, 40);
}

}  // namespace lynxgrade::replication
