// Replication of watermarks and membership in virtual time, under loss, restarts, cuts, clock steps and
// storms.
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
constexpr Duration kTick{5000};
constexpr std::size_t kHeads = 18 + 28;  // of the datagram, UDP and IPv4

Settings SessionSettings() {
  Settings settings;
  settings.classes.resize(1);
  settings.classes[0].kind = AccessKind::kSessionRead;
  settings.clients_carry_watermarks = false;
  return settings;
}

consistency::Options Everywhere() {
  consistency::Options options;
  options.scope = consistency::Scope::kEverywhere;
  options.session_capacity = 4096;
  options.write_retention = Duration(30'000'000);
  return options;
}

struct Node {
  Node(int number, std::uint64_t incarnation_id, TimePoint now, bool recovered, std::size_t kept,
       Duration clock, const char* session, Duration idle = ReplicationEngine::Options{}.idle_interval)
      : clock(clock), consistency_guard(SessionSettings(), Everywhere()) {
    // What it recovered: one session's write.
    if (session != nullptr)
      consistency_guard.LearnWatermark(std::nullopt, consistency::SessionKeyOf(kGroup, session),
                                       {now, ServerId(7)});
    proto::Member self;
    self.set_name("n" + std::to_string(number));
    self.set_incarnation_id(incarnation_id);
    self.set_started_us(static_cast<std::uint64_t>((now + clock).time_since_epoch().count()));
    self.set_address("a" + std::to_string(number));
    ReplicationEngine::Options options;
    options.retained_watermarks = kept;
    options.idle_interval = idle;
    engine = std::make_unique<ReplicationEngine>(
        options, self, std::vector<std::string>{"a0", "a1"},
        recovered ? ReplicationEngine::Recovery::kComplete : ReplicationEngine::Recovery::kIncomplete,
        consistency_guard, incarnation_id);
  }
  Duration clock;  // ahead of the true time
  consistency::SessionConsistencyGuard consistency_guard;
  std::unique_ptr<ReplicationEngine> engine;
};

// Instances on a network that loses, doubles and delays, in virtual time.
struct Net {
  explicit Net(int count, int loss = 0, std::size_t kept = 65536,
               Duration idle = ReplicationEngine::Options{}.idle_interval)
      : loss(loss), kept(kept), idle(idle) {
    for (int i = 0; i < count; ++i) Begin(i);
  }
  void Begin(int number, bool recovered = false, Duration clock = {}, const char* session = nullptr) {
    const auto at = static_cast<std::size_t>(number);
    if (nodes.size() <= at) nodes.resize(at + 1);
    nodes[at] = std::make_unique<Node>(number, ++incarnation_ids, now, recovered, kept, clock, session, idle);
  }
  void Send(std::size_t from, Outbox& outs) {
    for (membership::OutgoingPacket& out : outs) {
      const auto to = static_cast<std::size_t>(std::atoi(out.address.c_str() + 1));
      bytes += out.packet.ByteSizeLong() + kHeads;
      if (cut.contains({from, to}) || to >= nodes.size()) continue;
      for (int copy = random() % 10 == 0 ? 2 : 1; copy > 0; --copy) {
        if (static_cast<int>(random() % 100) < loss) continue;
        const Duration delay(300 + static_cast<std::int64_t>(random() % 4000));
        wire.push({now + delay, order++, to, "a" + std::to_string(from), out.packet});
      }
    }
    outs.clear();
  }
  void Pass(Duration time) {
    const TimePoint end = now + time;
    Outbox outs;
    for (; now < end; now += kTick) {
      while (!wire.empty() && wire.top().at <= now) {
        const Datagram came = wire.top();
        wire.pop();
        Node* node = nodes[came.to].get();
        if (node == nullptr) continue;
        node->engine->HandlePacket(now + node->clock, came.from, came.packet, outs);
        Send(came.to, outs);
      }
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (nodes[i] == nullptr) continue;
        nodes[i]->engine->Tick(now + nodes[i]->clock, outs);
        Send(i, outs);
        CheckReplicated(i);
      }
    }
  }
  // What counts as replicated must be known: the property on which reads rely.
  void CheckReplicated(std::size_t i) {
    for (const auto& [name, upto] : nodes[i]->engine->ReplicatedThrough()) {
      for (const auto& [by, key, at] : written) {
        if ("n" + std::to_string(by) != name || upto - nodes[i]->clock <= at) continue;
        if (!nodes[i]->consistency_guard.watermark_table().Find(key).watermark) ++wrongly_covered;
      }
    }
  }
  consistency::SessionKey Write(int by) {
    const consistency::SessionKey key = consistency::SessionKeyOf(kGroup, "s" + std::to_string(++sessions));
    Node& node = *nodes[static_cast<std::size_t>(by)];
    const consistency::WriteWatermark watermark{now, ServerId(7)};
    node.consistency_guard.LearnWatermark(kGroup, key, watermark);
    node.engine->RecordWrite(kGroup, key, watermark);
    written.emplace_back(by, key, now);
    return key;
  }
  bool Knows(int number, consistency::SessionKey key) const {
    return nodes[static_cast<std::size_t>(number)]
        ->consistency_guard.watermark_table()
        .Find(key)
        .watermark.has_value();
  }
  proto::Member::State StateOf(int of, int at) const {
    const auto& peers = nodes[static_cast<std::size_t>(at)]->engine->swim().peers();
    const auto it = peers.find("n" + std::to_string(of));
    return it == peers.end() ? proto::Member::LEFT : it->second.member.state();
  }
  // How long the writes of others have not been known, to a read that comes now.
  Duration Behind(int at) const {
    const Node& node = *nodes[static_cast<std::size_t>(at)];
    return now + node.clock - node.consistency_guard.ReplicatedThrough().value_or(now + node.clock);
  }

  // What a read of a session that is not known has to wait for, beside what is still on its way.
  std::optional<LogPosition> TargetOfUnknown(int at) {
    consistency::SessionConsistencyGuard& consistency_guard =
        nodes[static_cast<std::size_t>(at)]->consistency_guard;
    Event read = RequestEvent{.id = RequestId(1), .group = kGroup, .request_class = 0, .session = "unknown"};
    std::get<RequestEvent>(read).arrived = consistency_guard.ReplicatedThrough();
    consistency_guard.PrepareEvent(now, read);
    return std::get<RequestEvent>(read).required_position;
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
  int loss;
  std::size_t kept;
  Duration idle;
  std::mt19937_64 random{4};
  TimePoint now{Duration(1'700'000'000'000'000)};
  std::vector<std::unique_ptr<Node>> nodes;
  std::priority_queue<Datagram, std::vector<Datagram>, std::greater<>> wire;
  std::set<std::pair<std::size_t, std::size_t>> cut;
  std::vector<std::tuple<int, consistency::SessionKey, TimePoint>> written;
  std::uint64_t order = 0, incarnation_ids = 100, sessions = 0, bytes = 0;
  int wrongly_covered = 0;
};

constexpr Duration kSecond{1'000'000};

TEST_CASE(
    "replication: every write reaches every instance under loss, duplicates and delay; none counts before it "
    "did") {
  for (const int loss : {0, 5, 30}) {
    CAPTURE(loss);
    Net net(4, loss);
    net.Pass(kSecond * 2);
    std::vector<consistency::SessionKey> keys;
    for (int i = 0; i < 200; ++i) {
      keys.push_back(net.Write(i % 4));
      net.Pass(kTick);
    }
    net.Pass(kSecond * 2);
    for (const consistency::SessionKey key : keys) {
      for (int at = 0; at < 4; ++at) CHECK(net.Knows(at, key));
    }
    CHECK(net.wrongly_covered == 0);
    CHECK(net.Behind(0) < kSecond);
  }
}

TEST_CASE("replication: idle peers send little, and a write is sent without delay") {
  std::map<bool, std::uint64_t> bytes;
  for (const bool quiet : {false, true}) {
    Net net(8, 0, 65536, quiet ? ReplicationEngine::Options{}.idle_interval : Duration{0});
    net.Pass(kSecond * 8);
    net.bytes = 0;
    net.Pass(kSecond * 2);
    bytes[quiet] = net.bytes;
    const consistency::SessionKey key = net.Write(3);
    net.Pass(ReplicationEngine::Options{}.flush_interval + kTick * 2);
    for (int at = 0; at < 8; ++at) CHECK(net.Knows(at, key));
    // A read that comes now asks, and has its answer at once.
    const TimePoint read = net.now;
    Outbox outs;
    net.nodes[0]->engine->PollPeers(net.now, outs);
    net.Send(0, outs);
    net.Pass(kTick * 5);
    CHECK(*net.nodes[0]->consistency_guard.ReplicatedThrough() >= read);
    CHECK(net.wrongly_covered == 0);
  }
  MESSAGE("eight idle instances, bytes a second each: ", bytes[true] / 16, "; before ", bytes[false] / 16);
  CHECK(bytes[true] * 3 < bytes[false]);
}

// By hand: how long until a write is covered at each other instance, and what each sends meanwhile.
TEST_CASE("replication: delay curves" * doctest::skip()) {
  for (const int count : {3, 16, 64}) {
    for (const int loss : {0, 5, 30}) {
      Net net(count, loss);
      net.Pass(kSecond * 3);
      net.bytes = 0;
      std::vector<double> took;
      for (int i = 0; i < 20; ++i) {
        const TimePoint at = net.now;
        const std::string by = "n" + std::to_string(i % count);
        net.Write(i % count);
        std::set<int> waiting;
        for (int of = 0; of < count; ++of) waiting.insert(of);
        waiting.erase(i % count);
        while (!waiting.empty()) {
          net.Pass(kTick);
          std::erase_if(waiting, [&](int of) {
            const auto covered = net.nodes[static_cast<std::size_t>(of)]->engine->ReplicatedThrough();
            if (!covered.contains(by) || covered.at(by) <= at) return false;
            took.push_back(1e-3 * static_cast<double>((net.now - at).count()));
            return true;
          });
        }
      }
      std::ranges::sort(took);
      const double seconds =
          1e-6 * static_cast<double>((net.now - TimePoint(Duration(1'700'000'003'000'000))).count());
      MESSAGE(count, " instances, ", loss, " % lost: covered after ", took[took.size() / 2], " ms, p99 ",
              took[took.size() * 99 / 100], " ms; ", static_cast<double>(net.bytes) / seconds / count,
              " bytes a second each");
    }
  }
}

TEST_CASE("replication: a seed that was never heard counts as not replicated") {
  Net net(1);
  net.Pass(kSecond * 2);
  CHECK(net.Behind(0) > kSecond * 3600);
  net.Begin(1);
  net.Pass(kSecond * 2);
  CHECK(net.Behind(0) < kSecond);
}

TEST_CASE("replication: a link cut in one direction counts as not replicated on both sides") {
  Net net(2);
  net.Pass(kSecond * 2);
  net.cut.insert({0, 1});  // what 0 says does not reach 1
  net.Pass(kSecond * 3);
  net.Write(0);
  CHECK(net.Behind(1) > kSecond * 2);
  CHECK(net.Behind(0) > kSecond * 2);  // 1 cannot echo what it does not hear
  net.cut.clear();
  net.Pass(kSecond * 5);
  CHECK(net.Behind(1) < kSecond);
  CHECK(net.wrongly_covered == 0);
}

TEST_CASE("replication: a peer that restarts without state leaves a gap, one that recovered does not") {
  for (const bool recovered : {false, true}) {
    CAPTURE(recovered);
    Net net(2);
    net.Pass(kSecond * 2);
    net.Write(1);
    net.nodes[1].reset();
    net.Pass(kSecond);
    net.Begin(1, recovered, {}, recovered ? "kept" : nullptr);
    net.written.clear();
    net.Pass(kSecond * 2);
    CHECK(net.Behind(0) < kSecond);
    CHECK(net.Knows(0, consistency::SessionKeyOf(kGroup, "kept")) == recovered);
    CHECK(net.TargetOfUnknown(0).has_value() == !recovered);
  }
}

TEST_CASE("replication: a clock that is off by an hour extends no replication watermark") {
  for (const Duration off : {kSecond * 3600, kSecond * -3600}) {
    Net net(1);
    net.Begin(1, false, off);
    net.Pass(kSecond * 2);
    for (int i = 0; i < 50; ++i) {
      net.Write(0);
      net.Pass(kTick);
    }
    CHECK(net.Behind(0) < kSecond);
    CHECK(net.Behind(1) < kSecond);
    CHECK(net.wrongly_covered == 0);
    net.cut = {{0, 1}, {1, 0}};
    net.Pass(kSecond * 2);
    CHECK(net.Behind(0) > kSecond);
    CHECK(net.Behind(1) > kSecond);
  }
}

TEST_CASE("replication: more writes than are retained count as not replicated until a snapshot has come") {
  Net net(2, 0, 100);
  net.Pass(kSecond * 2);
  net.cut = {{0, 1}, {1, 0}};
  std::vector<consistency::SessionKey> keys;
  keys.reserve(1000);
  for (int i = 0; i < 1000; ++i) keys.push_back(net.Write(0));
  net.Pass(kSecond);
  CHECK(net.Behind(1) >= kSecond - kTick * 20);
  net.cut.clear();
  net.Pass(kSecond * 6);
  CHECK(net.nodes[0]->engine->counts().snapshots_started >= 1);
  for (const consistency::SessionKey key : keys) CHECK(net.Knows(1, key));
  CHECK(net.Behind(1) < kSecond);
  CHECK(net.wrongly_covered == 0);
}

TEST_CASE(
    "replication: a duplicate node name is noticed, and the older instance's writes count as not "
    "replicated") {
  Net net(3);
  net.Pass(kSecond * 2);
  // A second process under the name of 2, at an address of its own.
  net.nodes.push_back(std::make_unique<Node>(2, 999, net.now, false, 65536, Duration{0}, nullptr));
  Outbox outs;
  const auto speak = [&](std::size_t at) {
    Node& node = *net.nodes[at];
    node.engine->PollPeers(net.now, outs);
    net.Send(at, outs);
  };
  for (int i = 0; i < 100; ++i) {
    speak(3);
    net.Pass(kTick);
  }
  CHECK(net.nodes[0]->engine->swim().duplicate_name_reports() +
            net.nodes[2]->engine->swim().duplicate_name_reports() >
        0);
  CHECK(net.TargetOfUnknown(0));
}

TEST_CASE("membership: all learn of a death, nobody else is declared dead, and a leave is no death") {
  Net net(8, 5);
  net.Pass(kSecond * 3);
  for (int at = 0; at < 8; ++at) {
    for (int of = 0; of < 8; ++of) {
      if (at != of) CHECK(net.StateOf(of, at) == proto::Member::ALIVE);
    }
  }
  net.nodes[7].reset();
  net.Pass(kSecond * 10);
  for (int at = 0; at < 7; ++at) CHECK(net.StateOf(7, at) == proto::Member::DEAD);
  Outbox outs;
  for (int i = 0; i < 5; ++i) {
    net.nodes[6]->engine->Leave(outs);
    net.Send(6, outs);
  }
  net.Pass(kTick * 2);
  net.nodes[6].reset();
  net.Pass(kSecond * 3);
  for (int at = 0; at < 6; ++at) {
    CHECK(net.StateOf(6, at) == proto::Member::LEFT);
    for (int of = 0; of < 6; ++of) {
      if (at != of) CHECK(net.StateOf(of, at) == proto::Member::ALIVE);
    }
  }
}

TEST_CASE("membership: a partition heals by itself") {
  Net net(4);
  net.Pass(kSecond * 2);
  for (std::size_t a : {0u, 1u}) {
    for (std::size_t b : {2u, 3u}) net.cut.insert({{a, b}, {b, a}});
  }
  net.Pass(kSecond * 10);
  CHECK(net.StateOf(2, 0) == proto::Member::DEAD);
  CHECK(net.Behind(0) > kSecond * 9);  // it may be answering writes over there
  net.cut.clear();
  net.Pass(kSecond * 15);
  for (int at = 0; at < 4; ++at) {
    for (int of = 0; of < 4; ++of) {
      if (at != of) CHECK(net.StateOf(of, at) == proto::Member::ALIVE);
    }
    CHECK(net.Behind(at) < kSecond);
  }
}

}  // namespace
}  // namespace lynxgrade::replication
