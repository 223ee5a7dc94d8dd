// A fleet of replication engines with session leases and consistency guards, in virtual time: a network that
// loses, delays and is cut, clients whose sessions roam, and a judge that knows every answered write and
// compares each read's required position with it.
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
inline constexpr std::size_t kHeads = 18 + 28;  // of the datagram, UDP and IPv4
inline constexpr ClassIndex kRead = 0, kWrite = 1;

enum class Way { kBroadcast, kLeases, kPlain };  // plain: writes do not wait for leases

inline Settings TwoClasses() {
  Settings settings;
  settings.classes.resize(2);
  settings.classes[kRead].kind = AccessKind::kSessionRead;
  settings.classes[kWrite].kind = AccessKind::kWrite;
  settings.clients_carry_watermarks = false;
  return settings;
}

inline consistency::Options Everywhere() {
  consistency::Options options;
  options.scope = consistency::Scope::kEverywhere;
  options.session_capacity = 4096;
  options.write_retention = kSecond * 30;
  options.reject_uncertain_reads = false;  // what is asked here is what a read waits for
  return options;
}

struct Fleet;

struct Node final : consistency::SessionLeases {
  Node(Fleet& fleet, std::size_t number, std::uint64_t incarnation_id, Way way);
  std::optional<LogPosition> CompleteThrough(consistency::SessionKey key) override;
  bool AcquireLease(GroupId group, consistency::SessionKey key, consistency::LeaseUse use) override;

  Fleet& fleet;
  std::size_t number;
  std::uint64_t incarnation_id;
  Way way;
  consistency::SessionConsistencyGuard consistency_guard;
  std::unique_ptr<ReplicationEngine> engine;
  std::uint32_t last = 0;
  bool wrote = false;
};

struct Options {
  Way way = Way::kLeases;
  int loss = 0;
  double reads_per_s = 1000;
  Duration delay{300};
  std::size_t owners = 0;    // the last so many are dedicated managers: no clients connect there
  double reads_a_write = 2;  // of a session, by Load
  double bytes_per_s = 0;    // the budget, which holds back requests for reads
  Duration coalesce{};       // while it is short
  bool mixed = false;        // every other incarnation does not know dedicated managers
  bool owners_named = true;  // the rule for these
};

struct Fleet {
  Fleet(std::size_t size, Options options, std::uint64_t seed = 4)
      : size(size),
        options(options),
        random(seed),
        nodes(size),
        stopped(size),
        bytes_out(size),
        bytes_in(size),
        spent(size),
        random_old(size) {
    for (std::size_t i = 0; i < size; ++i) Begin(i, options.way);
  }

  void Begin(std::size_t at, Way way) {
    std::erase_if(writes, [at](const Write& write) { return write.at == at; });
    std::erase_if(reads, [at](const Read& read) { return read.at == at; });
    if (options.mixed) random_old[at] = random() % 2 == 0;
    nodes[at] = std::make_unique<Node>(*this, at, ++incarnation_ids, way);
    ready_from[at] = TimePoint{};
    stopped[at] = now;
  }
  // Of an older version: it selects managers among all that use leases.
  bool Old(std::size_t at) const { return options.mixed && !Aside(at) && random_old[at]; }

  void Send(std::size_t from, Outbox& outs) {
    for (membership::OutgoingPacket& out : outs) {
      const auto to = static_cast<std::size_t>(std::atoi(out.address.c_str() + 1));
      const std::size_t bytes =
          out.packet.ByteSizeLong() + 4 + kHeads;  // its counter is set when it is signed
      bytes_out[from] += bytes;
      nodes[from]->engine->ChargeBandwidth(now, bytes);
      ++packets;
      if (out.packet.has_lease_batch()) {
        directory_bytes += bytes;
        ++directory_packets;
        directory_entries += static_cast<std::uint64_t>(out.packet.lease_batch().entries_size());
      }
      if (cut.contains({from, to}) || to >= size) continue;
      const auto hundred = [this] { return static_cast<int>(random() % 100); };
      // The authenticator accepts each packet once.
      if (hundred() < options.loss) continue;
      const Duration delay = options.delay + Duration(static_cast<std::int64_t>(random() % 3000));
      wire.push({now + delay, order++, to, "a" + std::to_string(from), std::move(out.packet)});
    }
    outs.clear();
  }

  // Whether its pooler takes requests.
  bool Ready(std::size_t at) {
    ReplicationEngine& engine = *nodes[at]->engine;
    if (!engine.MayServe(now)) return false;
    if (ready_from[at] == TimePoint{}) ready_from[at] = now + kSecond * 3;
    return now >= ready_from[at] || (engine.CountedByAllPeers() && engine.swim().unheard_seeds().empty());
  }

  void Write_(std::size_t at, int session) {
    if (now < stopped[at] || !Ready(at)) return;
    Node& node = *nodes[at];
    Event event = RequestEvent{.id = RequestId(++node.last), .group = kGroup, .request_class = kWrite};
    std::get<RequestEvent>(event).session = Name(session);
    node.consistency_guard.PrepareEvent(now, event);
    writes.push_back({at, session, RequestId(node.last), now, now + Duration(1000 + random() % 15000), {}});
  }

  void Read_(std::size_t at, int session) {
    if (now < stopped[at] || !Ready(at)) return;
    Node& node = *nodes[at];
    RequestEvent event{.id = RequestId(++node.last), .group = kGroup, .request_class = kRead};
    event.session = Name(session);
    event.arrived = now;
    const bool hold = node.consistency_guard.ShouldDelayRead(event, now);
    if (hold && node.way == Way::kBroadcast) {
      Outbox outs;
      node.engine->PollPeers(now, outs);
      Send(at, outs);
    }
    ++reads_begun;
    reads.push_back({at, session, event, hold ? now + node.consistency_guard.max_read_delay() : now});
  }

  static std::string Name(int session) { return "s" + std::to_string(session); }

  void Requests() {
    ProcessWrites();
    ProcessReads();
  }

  void ProcessWrites() {
    std::vector<Write> still;
    for (Write& write : std::exchange(writes, {})) {
      if (now < stopped[write.at] || now < write.done) {
        still.push_back(write);
        continue;
      }
      Node& node = *nodes[write.at];
      const consistency::SessionKey key = consistency::SessionKeyOf(kGroup, Name(write.session));
      if (!write.position) {
        write.position = now;
        AttemptEndedEvent outcome{write.id, 0, kPrimary, Outcome::kOk, kMs, true, {}, {}};
        outcome.metadata.primary = true;
        outcome.metadata.position = now;
        Event event = outcome;
        node.consistency_guard.PrepareEvent(now, event);
      }
      if (node.engine->MayAnswerWrite(now, key)) {
        answered[write.session].push_back({*write.position, now});
        waited_ms.push_back(1e-3 * static_cast<double>((now - write.done).count()));
      } else if (now - write.begun < kSecond * 5) {
        node.AcquireLease(kGroup, key, consistency::LeaseUse::kWrite);
        still.push_back(write);
      } else {
        ++writes_failed;
      }
    }
    writes = still;
  }

  void ProcessReads() {
    std::vector<Read> waiting;
    for (Read& read : std::exchange(reads, {})) {
      Node& node = *nodes[read.at];
      if (now < stopped[read.at] || (now < read.until && !node.consistency_guard.IsDelayOver(read.event))) {
        waiting.push_back(read);
        continue;
      }
      Event event = read.event;
      node.consistency_guard.PrepareEvent(now, event);
      const auto target = std::get<RequestEvent>(event).required_position;
      for (const auto& one : node.consistency_guard.DrainRejectedReads()) (void)one;
      node.consistency_guard.FinishRequest(read.event.id);
      ++reads_done;
      // A replica that is 20 ms behind would have to be waited for.
      conservative += target && *target + kMs * 20 > *read.event.arrived;
      for (const Answered& write : answered[read.session]) {
        if (write.at > *read.event.arrived) continue;
        if (*read.event.arrived - write.at > kSecond * 30 || (target && write.position <= *target)) continue;
        ++stale;
        break;
      }
    }
    reads = waiting;
  }

  void Pass(Duration time) {
    const TimePoint end = now + time;
    Outbox outs;
    for (; now < end; now += kTick) {
      while (!wire.empty() && wire.top().at <= now) {
        const Datagram came = wire.top();
        wire.pop();
        if (now < stopped[came.to]) {
          Datagram later = came;
          later.at = stopped[came.to];
          wire.push(later);
          continue;
        }
        const std::size_t bytes = came.packet.ByteSizeLong() + 4 + kHeads;
        bytes_in[came.to] += bytes;
        nodes[came.to]->engine->ChargeBandwidth(now, bytes);
        const std::clock_t before = Aside(came.to) ? std::clock() : 0;
        nodes[came.to]->engine->HandlePacket(now, came.from, came.packet, outs);
        if (Aside(came.to)) spent[came.to] += std::clock() - before;
        Send(came.to, outs);
      }
      Requests();
      for (std::size_t i = 0; i < size; ++i) {
        if (now < stopped[i]) continue;
        const std::clock_t before = Aside(i) ? std::clock() : 0;
        nodes[i]->engine->Tick(now, outs);
        if (Aside(i)) spent[i] += std::clock() - before;
        Send(i, outs);
      }
      Requests();
    }
  }

  bool Whole() const {
    return std::ranges::all_of(nodes, [this](const auto& node) {
      membership::QuorumTracker quorum_tracker = node->engine->swim().quorum_tracker();
      return quorum_tracker.Assess(now).state == membership::QuorumState::kComplete;
    });
  }
  bool UntilWhole(Duration most) {
    for (const TimePoint end = now + most; now < end; Pass(kMs * 100)) {
      if (Whole()) return true;
    }
    return false;
  }

  bool Aside(std::size_t at) const { return at >= Poolers(); }
  std::size_t Poolers() const { return size - options.owners; }  // those that clients are sent to

  // `per_s` writes of each pooler, each session writing three times and read twice after each, or so many
  // times as the options say in the mean, `roam` of a hundred of all these elsewhere. What sessions have not
  // done by its end is left out, unless it goes on.
  void Load(Duration time, double per_s, int roam, bool go_on = false) {
    const TimePoint end = now + time;
    double due = 0;
    while (now < end) {
      due += per_s / 3 * static_cast<double>(Poolers()) * 1e-6 * static_cast<double>(kTick.count());
      for (; due >= 1; due -= 1) ScheduleSession(roam);
      std::erase_if(later, [this](const auto& one) {
        if (one.first > now) return false;
        one.second();
        return true;
      });
      Pass(kTick);
    }
    if (!go_on) later.clear();
  }

  // One session of Load, from now on.
  void ScheduleSession(int roam) {
    const int session = ++sessions;
    std::size_t home = random() % Poolers();
    TimePoint at = now;
    double reads_due = 0;
    if (options.reads_a_write != 2) reads_due = 1e-2 * static_cast<double>(random() % 100);
    const auto step = [&](bool write) {
      if (static_cast<int>(random() % 100) < roam) home = random() % Poolers();
      const std::size_t where = home;
      if (write) {
        later.emplace_back(at, [this, where, session] { Write_(where, session); });
      } else {
        later.emplace_back(at, [this, where, session] { Read_(where, session); });
      }
      at += kMs * static_cast<std::int64_t>(100 + random() % 500);
    };
    for (int write = 0; write < 3; ++write) {
      step(true);
      for (reads_due += options.reads_a_write; reads_due >= 1; reads_due -= 1) step(false);
    }
  }

  struct Datagram {
    TimePoint at{};
    std::uint64_t order = 0;
    std::size_t to = 0;
    std::string from;
    proto::Packet packet;
    bool operator>(const Datagram& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  struct Write {
    std::size_t at;
    int session;
    RequestId id;
    TimePoint begun, done;
    std::optional<LogPosition> position;
  };
  struct Read {
    std::size_t at;
    int session;
    RequestEvent event;
    TimePoint until;
  };
  struct Answered {
    LogPosition position;
    TimePoint at;
  };

  std::size_t size;
  Options options;
  std::mt19937_64 random;
  TimePoint now{Duration(1'700'000'000'000'000)};
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<TimePoint> stopped;
  std::map<std::size_t, TimePoint> ready_from;
  std::priority_queue<Datagram, std::vector<Datagram>, std::greater<>> wire;
  std::set<std::pair<std::size_t, std::size_t>> cut;
  std::vector<Write> writes;
  std::vector<Read> reads;
  std::vector<std::pair<TimePoint, std::function<void()>>> later;  // what sessions will do
  std::unordered_map<int, std::vector<Answered>> answered;         // by session
  std::vector<double> waited_ms;                                   // answers of writes, after they had run
  std::uint64_t order = 0, incarnation_ids = 100, directory_bytes = 0, packets = 0;
  std::uint64_t directory_packets = 0, directory_entries = 0;
  std::vector<std::uint64_t> bytes_out, bytes_in;  // of each instance, headers included
  std::vector<std::clock_t> spent;                 // processor time, of dedicated managers
  std::vector<bool> random_old;
  std::optional<std::size_t> old_owner;  // of a version that does not relay
  int sessions = 0, stale = 0, reads_begun = 0, reads_done = 0, conservative = 0, writes_failed = 0;
};

inline Node::Node(Fleet& fleet, std::size_t number, std::uint64_t incarnation_id, Way way)
    : fleet(fleet),
      number(number),
      incarnation_id(incarnation_id),
      way(way),
      consistency_guard(TwoClasses(), Everywhere()) {
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
  options.swim.lease_manager.dedicated = fleet.Aside(number);
  options.swim.lease_manager.require_support_by_all = fleet.options.owners_named;
  if (fleet.Old(number)) options.swim.capabilities = 0;
  if (fleet.old_owner == number)
    options.swim.capabilities = membership::capability::kSupportsDedicatedLeaseManagers;
  if (way != Way::kBroadcast) {
    lease::SessionLeaseClient::Options& directory = options.leases.emplace();
    directory.read_requests_per_s = fleet.options.reads_per_s;
    directory.bytes_per_s = fleet.options.bytes_per_s;
    directory.batching_delay = fleet.options.coalesce;
    directory.writes_require_lease = way == Way::kLeases;
  }
  std::vector<std::string> seeds;
  for (std::size_t i = 0; i < fleet.size; ++i) seeds.push_back("a" + std::to_string(i));
  engine = std::make_unique<ReplicationEngine>(options, self, seeds, ReplicationEngine::Recovery::kIncomplete,
                                               consistency_guard, incarnation_id);
  if (way != Way::kBroadcast) consistency_guard.SetSessionLeases(this);
  consistency_guard.OnWrite(
      [this](GroupId group, consistency::SessionKey key, const consistency::WriteWatermark& watermark) {
        engine->RecordWrite(group, key, watermark);
      });
}

inline std::optional<LogPosition> Node::CompleteThrough(consistency::SessionKey key) {
  return engine->CompleteThrough(fleet.now, key);
}

inline bool Node::AcquireLease(GroupId group, consistency::SessionKey key, consistency::LeaseUse use) {
  Outbox outs;
  const bool expected = engine->AcquireLease(fleet.now, group, key, use, outs);
  fleet.Send(number, outs);
  return expected;
}

// Sessions that move among all instances while links fail, instances stop, die and come again.
inline void Storm(Fleet& fleet, int acts) {
  for (int i = 0; i < acts; ++i) {
    const std::size_t at = fleet.random() % fleet.size;
    const std::size_t other = fleet.random() % fleet.size;
    const int session = static_cast<int>(fleet.random() % 12);
    switch (fleet.random() % 60) {
      case 0:
        fleet.cut.insert({at, other});
        break;
      case 1:
        fleet.cut.insert({{at, other}, {other, at}});
        break;
      case 2:
      case 3:
        fleet.cut.clear();
        break;
      case 4:
        if (i % 4 == 0) fleet.Begin(at, fleet.nodes[at]->way);
        break;
      case 5:
        fleet.stopped[at] = fleet.now + kMs * static_cast<std::int64_t>(fleet.random() % 800);
        break;
      default:
        if (fleet.random() % 2 == 0) {
          fleet.Write_(at, session);
        } else {
          fleet.Read_(at, session);
        }
    }
    fleet.Pass(kTick * static_cast<std::int64_t>(1 + fleet.random() % 6));
    if (i % 150 == 149) {
      fleet.cut.clear();
      fleet.Pass(kSecond * 3);
    }
  }
}

// Poolers of which most sessions migrate, so that even what cannot wait exceeds their budget.
inline void Crowd(Fleet& fleet) {
  REQUIRE(fleet.UntilWhole(kSecond * 20));
  fleet.Pass(kSecond * 5);
  fleet.Load(kSecond * 5, 40, 40, true);
  std::ranges::fill(fleet.bytes_out, 0);
  std::ranges::fill(fleet.bytes_in, 0);
  fleet.waited_ms.clear();
  fleet.conservative = fleet.reads_done = 0;
  fleet.Load(kSecond * 10, 40, 40);
}

}  // namespace lynxgrade::replication
