// Replication of watermarks and membership in virtual time, under packet loss, restarts, partitions and clock
// steps.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>

#include "replication/replication_engine.h"

namespace lynxgrade::replication {
namespace {

constexpr GroupId kGroup{1};
constexpr ServerId kPrimary{7};
constexpr Duration kTick{5000};
constexpr Duration kSecond{1'000'000};
constexpr TimePoint kStart{Duration(1'700'000'000'000'000)};
constexpr std::size_t kHeaderBytes = 18 + 28;  // of the datagram's authentication, UDP and IPv4
constexpr std::size_t kRetainedWatermarks = 65536;
constexpr Duration kIdleInterval = ReplicationEngine::Options{}.idle_interval;

Settings SessionSettings() {
  Settings settings;
  settings.classes.resize(1);
  settings.classes[0].kind = AccessKind::kSessionRead;
  settings.clients_carry_watermarks = false;
  return settings;
}

consistency::Options GuardOptions() {
  consistency::Options options;
  options.scope = consistency::Scope::kEverywhere;
  options.session_capacity = 4096;
  options.write_retention = Duration(30'000'000);
  return options;
}

struct Node {
  // `clock_offset`: how far the node's clock is ahead of the true time. `recovered_session`: a session whose
  // write the node has recovered; null: none.
  Node(int number, std::uint64_t incarnation_id, TimePoint now, bool recovered,
       std::size_t retained_watermarks, Duration clock_offset, const char* recovered_session,
       Duration idle_interval = kIdleInterval)
      : clock_offset(clock_offset), consistency_guard(SessionSettings(), GuardOptions()) {
    if (recovered_session != nullptr)
      consistency_guard.LearnWatermark(std::nullopt, consistency::SessionKeyOf(kGroup, recovered_session),
                                       {now, kPrimary});
    proto::Member self;
    self.set_name("n" + std::to_string(number));
    self.set_incarnation_id(incarnation_id);
    self.set_started_us(static_cast<std::uint64_t>((now + clock_offset).time_since_epoch().count()));
    self.set_address("a" + std::to_string(number));
    ReplicationEngine::Options options;
    options.retained_watermarks = retained_watermarks;
    options.idle_interval = idle_interval;
    engine = std::make_unique<ReplicationEngine>(
        options, self, std::vector<std::string>{"a0", "a1"},
        recovered ? ReplicationEngine::Recovery::kComplete : ReplicationEngine::Recovery::kIncomplete,
        consistency_guard, incarnation_id);
  }
  Duration clock_offset;
  consistency::SessionConsistencyGuard consistency_guard;
  std::unique_ptr<ReplicationEngine> engine;
};

// Instances on a network that loses, duplicates and delays packets, in virtual time.
struct SimulatedNetwork {
  explicit SimulatedNetwork(int count, int loss_percent = 0,
                            std::size_t retained_watermarks = kRetainedWatermarks,
                            Duration idle_interval = kIdleInterval)
      : loss_percent(loss_percent), retained_watermarks(retained_watermarks), idle_interval(idle_interval) {
    for (int number = 0; number < count; ++number) StartInstance(number);
  }
  void StartInstance(int number, bool recovered = false, Duration clock_offset = {},
                     const char* recovered_session = nullptr) {
    const auto at = static_cast<std::size_t>(number);
    if (nodes.size() <= at) nodes.resize(at + 1);
    nodes[at] = std::make_unique<Node>(number, ++last_incarnation_id, now, recovered, retained_watermarks,
                                       clock_offset, recovered_session, idle_interval);
  }
  void Send(std::size_t from, Outbox& outbox) {
    for (membership::OutgoingPacket& outgoing : outbox) {
      const auto to = static_cast<std::size_t>(std::atoi(outgoing.address.c_str() + 1));
      sent_bytes += outgoing.packet.ByteSizeLong() + kHeaderBytes;
      if (cut_links.contains({from, to}) || to >= nodes.size()) continue;
      for (int copy = random() % 10 == 0 ? 2 : 1; copy > 0; --copy) {
        if (static_cast<int>(random() % 100) < loss_percent) continue;
        const Duration delay(300 + static_cast<std::int64_t>(random() % 4000));
        datagrams.push({now + delay, last_order++, to, "a" + std::to_string(from), outgoing.packet});
      }
    }
    outbox.clear();
  }
  void RunFor(Duration time) {
    const TimePoint end = now + time;
    Outbox outbox;
    for (; now < end; now += kTick) {
      while (!datagrams.empty() && datagrams.top().arrives <= now) {
        const Datagram datagram = datagrams.top();
        datagrams.pop();
        Node* node = nodes[datagram.to].get();
        if (node == nullptr) continue;
        node->engine->HandlePacket(now + node->clock_offset, datagram.sender_address, datagram.packet,
                                   outbox);
        Send(datagram.to, outbox);
      }
      for (std::size_t at = 0; at < nodes.size(); ++at) {
        if (nodes[at] == nullptr) continue;
        nodes[at]->engine->Tick(now + nodes[at]->clock_offset, outbox);
        Send(at, outbox);
        CheckReplicated(at);
      }
    }
  }
  // Checks the property on which reads rely: a write that counts as replicated must be known.
  void CheckReplicated(std::size_t at) {
    for (const auto& [name, through] : nodes[at]->engine->ReplicatedThrough()) {
      for (const auto& [writer, key, answered] : answered_writes) {
        if ("n" + std::to_string(writer) != name || through - nodes[at]->clock_offset <= answered) continue;
        if (!nodes[at]->consistency_guard.watermark_table().Find(key).watermark) ++unknown_replicated_writes;
      }
    }
  }
  // Instance `writer` answers a write of a new session.
  consistency::SessionKey Write(int writer) {
    const consistency::SessionKey key =
        consistency::SessionKeyOf(kGroup, "s" + std::to_string(++last_session));
    Node& node = *nodes[static_cast<std::size_t>(writer)];
    const consistency::WriteWatermark watermark{now, kPrimary};
    node.consistency_guard.LearnWatermark(kGroup, key, watermark);
    node.engine->RecordWrite(kGroup, key, watermark);
    answered_writes.emplace_back(writer, key, now);
    return key;
  }
  bool Knows(int number, consistency::SessionKey key) const {
    return nodes[static_cast<std::size_t>(number)]
        ->consistency_guard.watermark_table()
        .Find(key)
        .watermark.has_value();
  }
  // The state of instance `member` as instance `at` sees it.
  proto::Member::State MemberStateAt(int member, int at) const {
    const auto& peers = nodes[static_cast<std::size_t>(at)]->engine->swim().peers();
    const auto it = peers.find("n" + std::to_string(member));
    return it == peers.end() ? proto::Member::LEFT : it->second.member.state();
  }
  // For how long the writes of other instances have not been replicated to this one.
  Duration ReplicationDelay(int at) const {
    const Node& node = *nodes[static_cast<std::size_t>(at)];
    const TimePoint local_time = now + node.clock_offset;
    return local_time - node.consistency_guard.ReplicatedThrough().value_or(local_time);
  }

  // The required position of a read of an unknown session, apart from writes that are not replicated yet.
  std::optional<LogPosition> RequiredPositionOfUnknownSession(int at) {
    consistency::SessionConsistencyGuard& consistency_guard =
        nodes[static_cast<std::size_t>(at)]->consistency_guard;
    Event read = RequestEvent{.id = RequestId(1), .group = kGroup, .request_class = 0, .session = "unknown"};
    std::get<RequestEvent>(read).arrived = consistency_guard.ReplicatedThrough();
    consistency_guard.PrepareEvent(now, read);
    return std::get<RequestEvent>(read).required_position;
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
  int loss_percent;
  std::size_t retained_watermarks;
  Duration idle_interval;
  std::mt19937_64 random{4};
  TimePoint now = kStart;
  std::vector<std::unique_ptr<Node>> nodes;
  std::priority_queue<Datagram, std::vector<Datagram>, std::greater<>> datagrams;
  std::set<std::pair<std::size_t, std::size_t>> cut_links;  // sender, receiver
  std::vector<std::tuple<int, consistency::SessionKey, TimePoint>>
      answered_writes;  // by which instance, when
  std::uint64_t last_order = 0, last_incarnation_id = 100, last_session = 0, sent_bytes = 0;
  int unknown_replicated_writes = 0;  // violations found by CheckReplicated
};

TEST_CASE(
    "replication: under loss, duplicates and delay every write reaches every instance, and none counts as "
    "replicated before") {
  for (const int loss_percent : {0, 5, 30}) {
    CAPTURE(loss_percent);
    SimulatedNetwork network(4, loss_percent);
    network.RunFor(kSecond * 2);
    std::vector<consistency::SessionKey> keys;
    for (int i = 0; i < 200; ++i) {
      keys.push_back(network.Write(i % 4));
      network.RunFor(kTick);
    }
    network.RunFor(kSecond * 2);
    for (const consistency::SessionKey key : keys) {
      for (int at = 0; at < 4; ++at) CHECK(network.Knows(at, key));
    }
    CHECK(network.unknown_replicated_writes == 0);
    CHECK(network.ReplicationDelay(0) < kSecond);
  }
}

TEST_CASE("replication: idle peers send little, and a write is sent without delay") {
  std::map<bool, std::uint64_t> sent_bytes;
  for (const bool with_idle_interval : {false, true}) {
    SimulatedNetwork network(8, 0, kRetainedWatermarks, with_idle_interval ? kIdleInterval : Duration{0});
    network.RunFor(kSecond * 8);
    network.sent_bytes = 0;
    network.RunFor(kSecond * 2);
    sent_bytes[with_idle_interval] = network.sent_bytes;
    const consistency::SessionKey key = network.Write(3);
    network.RunFor(ReplicationEngine::Options{}.flush_interval + kTick * 2);
    for (int at = 0; at < 8; ++at) CHECK(network.Knows(at, key));
    // A read that arrives now polls the peers, which respond immediately.
    const TimePoint read_arrived = network.now;
    Outbox outbox;
    network.nodes[0]->engine->PollPeers(network.now, outbox);
    network.Send(0, outbox);
    network.RunFor(kTick * 5);
    CHECK(*network.nodes[0]->consistency_guard.ReplicatedThrough() >= read_arrived);
    CHECK(network.unknown_replicated_writes == 0);
  }
  MESSAGE("eight idle instances, bytes/s of each: ", sent_bytes[true] / 16,
          "; without an idle interval: ", sent_bytes[false] / 16);
  CHECK(sent_bytes[true] * 3 < sent_bytes[false]);
}

// Measures how long it takes until a write counts as replicated at each other instance, and the traffic. Run
// by hand.
TEST_CASE("replication: delay curves" * doctest::skip()) {
  for (const int count : {3, 16, 64}) {
    for (const int loss_percent : {0, 5, 30}) {
      SimulatedNetwork network(count, loss_percent);
      network.RunFor(kSecond * 3);
      network.sent_bytes = 0;
      std::vector<double> delays_ms;
      for (int i = 0; i < 20; ++i) {
        const TimePoint answered = network.now;
        const std::string writer = "n" + std::to_string(i % count);
        network.Write(i % count);
        std::set<int> waiting;
        for (int at = 0; at < count; ++at) waiting.insert(at);
        waiting.erase(i % count);
        while (!waiting.empty()) {
          network.RunFor(kTick);
          std::erase_if(waiting, [&](int at) {
            const auto replicated = network.nodes[static_cast<std::size_t>(at)]->engine->ReplicatedThrough();
            if (!replicated.contains(writer) || replicated.at(writer) <= answered) return false;
            delays_ms.push_back(1e-3 * static_cast<double>((network.now - answered).count()));
            return true;
          });
        }
      }
      std::ranges::sort(delays_ms);
      const double seconds = 1e-6 * static_cast<double>((network.now - (kStart + kSecond * 3)).count());
      MESSAGE(count, " instances, ", loss_percent, " % loss: replicated after ",
              delays_ms[delays_ms.size() / 2], " ms, p99 ", delays_ms[delays_ms.size() * 99 / 100], " ms; ",
              static_cast<double>(network.sent_bytes) / seconds / count, " bytes/s of each");
    }
  }
}

TEST_CASE("replication: writes of a seed that never sent a packet count as not replicated") {
  SimulatedNetwork network(1);
  network.RunFor(kSecond * 2);
  CHECK(network.ReplicationDelay(0) > kSecond * 3600);
  network.StartInstance(1);
  network.RunFor(kSecond * 2);
  CHECK(network.ReplicationDelay(0) < kSecond);
}

TEST_CASE("replication: a link cut in one direction counts as not replicated on both sides") {
  SimulatedNetwork network(2);
  network.RunFor(kSecond * 2);
  network.cut_links.insert({0, 1});  // packets from 0 to 1 are lost
  network.RunFor(kSecond * 3);
  network.Write(0);
  CHECK(network.ReplicationDelay(1) > kSecond * 2);
  CHECK(network.ReplicationDelay(0) > kSecond * 2);  // 1 cannot echo timestamps that it does not receive
  network.cut_links.clear();
  network.RunFor(kSecond * 5);
  CHECK(network.ReplicationDelay(1) < kSecond);
  CHECK(network.unknown_replicated_writes == 0);
}

TEST_CASE("replication: a peer that restarts leaves unknown writes, unless it has recovered its state") {
  for (const bool recovered : {false, true}) {
    CAPTURE(recovered);
    SimulatedNetwork network(2);
    network.RunFor(kSecond * 2);
    network.Write(1);
    network.nodes[1].reset();
    network.RunFor(kSecond);
    network.StartInstance(1, recovered, {}, recovered ? "kept" : nullptr);
    network.answered_writes.clear();
    network.RunFor(kSecond * 2);
    CHECK(network.ReplicationDelay(0) < kSecond);
    CHECK(network.Knows(0, consistency::SessionKeyOf(kGroup, "kept")) == recovered);
    CHECK(network.RequiredPositionOfUnknownSession(0).has_value() == !recovered);
  }
}

TEST_CASE("replication: a clock that is off by an hour does not make unknown writes count as replicated") {
  for (const Duration clock_offset : {kSecond * 3600, kSecond * -3600}) {
    SimulatedNetwork network(1);
    network.StartInstance(1, false, clock_offset);
    network.RunFor(kSecond * 2);
    for (int i = 0; i < 50; ++i) {
      network.Write(0);
      network.RunFor(kTick);
    }
    CHECK(network.ReplicationDelay(0) < kSecond);
    CHECK(network.ReplicationDelay(1) < kSecond);
    CHECK(network.unknown_replicated_writes == 0);
    network.cut_links = {{0, 1}, {1, 0}};
    network.RunFor(kSecond * 2);
    CHECK(network.ReplicationDelay(0) > kSecond);
    CHECK(network.ReplicationDelay(1) > kSecond);
  }
}

TEST_CASE(
    "replication: more writes than are retained count as not replicated until a snapshot was received") {
  SimulatedNetwork network(2, 0, 100);
  network.RunFor(kSecond * 2);
  network.cut_links = {{0, 1}, {1, 0}};
  std::vector<consistency::SessionKey> keys;
  keys.reserve(1000);
  for (int i = 0; i < 1000; ++i) keys.push_back(network.Write(0));
  network.RunFor(kSecond);
  CHECK(network.ReplicationDelay(1) >= kSecond - kTick * 20);
  network.cut_links.clear();
  network.RunFor(kSecond * 6);
  CHECK(network.nodes[0]->engine->counts().snapshots_started >= 1);
  for (const consistency::SessionKey key : keys) CHECK(network.Knows(1, key));
  CHECK(network.ReplicationDelay(1) < kSecond);
  CHECK(network.unknown_replicated_writes == 0);
}

TEST_CASE(
    "replication: a duplicate instance name is reported, and writes of the older instance count as unknown") {
  SimulatedNetwork network(3);
  network.RunFor(kSecond * 2);
  // A second process with the name of instance 2, at another address.
  network.nodes.push_back(
      std::make_unique<Node>(2, 999, network.now, false, kRetainedWatermarks, Duration{0}, nullptr));
  Outbox outbox;
  for (int i = 0; i < 100; ++i) {
    network.nodes[3]->engine->PollPeers(network.now, outbox);
    network.Send(3, outbox);
    network.RunFor(kTick);
  }
  CHECK(network.nodes[0]->engine->swim().duplicate_name_reports() +
            network.nodes[2]->engine->swim().duplicate_name_reports() >
        0);
  CHECK(network.RequiredPositionOfUnknownSession(0));
}

TEST_CASE(
    "membership: a dead instance is declared dead by all others, one that leaves and live ones are not") {
  SimulatedNetwork network(8, 5);
  network.RunFor(kSecond * 3);
  for (int at = 0; at < 8; ++at) {
    for (int member = 0; member < 8; ++member) {
      if (at != member) CHECK(network.MemberStateAt(member, at) == proto::Member::ALIVE);
    }
  }
  network.nodes[7].reset();
  network.RunFor(kSecond * 10);
  for (int at = 0; at < 7; ++at) CHECK(network.MemberStateAt(7, at) == proto::Member::DEAD);
  Outbox outbox;
  for (int i = 0; i < 5; ++i) {
    network.nodes[6]->engine->Leave(outbox);
    network.Send(6, outbox);
  }
  network.RunFor(kTick * 2);
  network.nodes[6].reset();
  network.RunFor(kSecond * 3);
  for (int at = 0; at < 6; ++at) {
    CHECK(network.MemberStateAt(6, at) == proto::Member::LEFT);
    for (int member = 0; member < 6; ++member) {
      if (at != member) CHECK(network.MemberStateAt(member, at) == proto::Member::ALIVE);
    }
  }
}

TEST_CASE("membership: instances find each other again after a partition") {
  SimulatedNetwork network(4);
  network.RunFor(kSecond * 2);
  for (const std::size_t one : {0u, 1u}) {
    for (const std::size_t other : {2u, 3u}) network.cut_links.insert({{one, other}, {other, one}});
  }
  network.RunFor(kSecond * 10);
  CHECK(network.MemberStateAt(2, 0) == proto::Member::DEAD);
  CHECK(network.ReplicationDelay(0) > kSecond * 9);  // the dead instances may still be answering writes
  network.cut_links.clear();
  network.RunFor(kSecond * 15);
  for (int at = 0; at < 4; ++at) {
    for (int member = 0; member < 4; ++member) {
      if (at != member) CHECK(network.MemberStateAt(member, at) == proto::Member::ALIVE);
    }
    CHECK(network.ReplicationDelay(at) < kSecond);
  }
}

}  // namespace
}  // namespace lynxgrade::replication
