// From when times are counted, apart from the clients' own: each test has something happen late in a pass of
// the loop, or while the process stands still, and looks whether it is counted from then. docs/endings.md
// lists them.
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <random>

#include "durability/write_ahead_log.h"
#include "replication/event_loop_steps.h"
#include "replication/udp_replication_service.h"
#include "support/simulated_fleet.h"

namespace lynxgrade {
namespace {

// ---- Reads that wait for word from the others ------------------------------------------------------------

struct Sends final : proxy::Upstream {
  virtual ~Sends() = default;
  void StartAttempt(RequestId, AttemptNumber, ServerId, std::shared_ptr<const proxy::Statement>,
                    proxy::AttemptTimeouts timeouts) override {
    sent.push_back(timeouts.timeout);
  }
  void CancelAttempt(RequestId, AttemptNumber) override {}
  void CancelUnsentAttempts(RequestId) override {}
  void StartHealthCheck(ServerId) override {}
  void CloseIdleConnections(ServerId) override {}
  std::vector<Duration> sent;
};

struct Nobody final : proxy::Client {
  virtual ~Nobody() = default;
  void OnResponse(const proxy::Response&) override {}
  void OnRejected(Duration) override { ++refused; }
  void OnFailed() override {}
  void OnInvalidStatement() override {}
  int refused = 0;
};

// Decisions alone, with another instance whose word this one needs.
struct Reads {
  static consistency::Options Everywhere() {
    consistency::Options options;
    options.scope = consistency::Scope::kEverywhere;
    options.max_read_delay = 200 * kMs;
    return options;
  }
  Reads() : proxy(loop, LongDeadlineSettings(), 7, sends, Everywhere()) {
    // One reading: between two a gap of a microsecond may lie, which a read has to wait out at a replica.
    const TimePoint started = loop.PreciseNow();
    proxy.consistency_guard().HandleStart(started, started);
    proxy.consistency_guard().SetReplicatedThrough(1, started);
    proxy.SetReplicationHooks({.on_write = {}, .delay_response = {}, .poll_peers = [this] { ++asked; }});
    EndpointListEvent list{EndpointListKind::kPersisted, {}};
    list.entries.push_back({.server = ServerId(1), .group = GroupId(2)});
    proxy.ApplyEndpointList(list);
  }
  void Read(int left_ms) {
    proxy::Request request;
    request.event.group = GroupId(2);
    request.event.request_class = 1;
    request.event.session = "s";
    request.event.time_left = left_ms * kMs;
    RequestId id{};
    proxy.StartRequest(std::move(request), client, id);
  }
  net::Loop loop;
  Sends sends;
  Nobody client;
  proxy::Proxy proxy;
  int asked = 0;
};

TEST_CASE("a read requires the writes up to its arrival, not up to the beginning of the pass") {
  Reads r;
  // In one pass: word from the other instance, which then answers a write, and a read of that session.
  InAPass(r.loop, [&] {
    StandStill(10);
    r.proxy.consistency_guard().SetReplicatedThrough(1, r.loop.PreciseNow());
    StandStill(10);
    r.Read(1000);
  });
  CHECK(r.asked == 1);
  CHECK(r.sends.sent.empty());
  r.proxy.consistency_guard().SetReplicatedThrough(1, r.loop.PreciseNow());
  r.proxy.HandleReplicatedWatermarks();
  CHECK(r.sends.sent.size() == 1);
}

TEST_CASE("a read that waited keeps the deadline with which it arrived") {
  Reads r;
  TimePoint from{};
  InAPass(r.loop, [&] {
    from = r.loop.Now();
    StandStill(20);
    r.Read(1000);
  });
  Wait(r.loop, 50);
  r.proxy.consistency_guard().SetReplicatedThrough(1, r.loop.PreciseNow());
  r.proxy.HandleReplicatedWatermarks();
  REQUIRE(r.sends.sent.size() == 1);
  CHECK(r.loop.Now() + r.sends.sent[0] == from + 1000 * kMs);
}

TEST_CASE("the time for which a read waited does not make a first attempt look like a retry") {
  Settings settings = DefaultSettings();
  Balancer balancer(settings, 7);
  TimePoint now{1000000 * kMs};
  Actions actions;
  const auto feed = [&](const Event& event) {
    actions.clear();
    balancer.Handle(now, event, actions);
    return std::ranges::any_of(actions,
                               [](const Action& a) { return std::holds_alternative<StartAttempt>(a); });
  };
  EndpointListEvent list{EndpointListKind::kPersisted, {}};
  list.entries.push_back({.server = ServerId(1), .group = GroupId(2)});
  feed(list);
  std::uint32_t last = 0;
  const auto ask = [&](Duration left, Duration held) {
    RequestEvent event;
    event.id = RequestId(++last);
    event.group = GroupId(2);
    event.time_left = left;
    event.waited = held;
    return feed(event);
  };
  // Clients of this class always give half of its deadline for a first try.
  for (int i = 0; i < 12; ++i) {
    REQUIRE(ask(2000 * kMs, {}));
    now += 20 * kMs;
    AttemptEndedEvent end;
    end.id = RequestId(last);
    end.server = ServerId(1);
    end.elapsed = 20 * kMs;
    end.request_done = true;
    feed(end);
  }
  CHECK(ask(1880 * kMs, 120 * kMs));
}

// ---- The others, discovery, the disk ---------------------------------------------------------------------

struct Pair {
  explicit Pair(int join_within_ms) {
    gchar* made = g_dir_make_tmp("lynxgrade-XXXXXX", nullptr);
    folder = made;
    g_free(made);
    g_file_set_contents((folder + "/key").c_str(), ("1 " + std::string(64, 'a') + "\n").c_str(), -1, nullptr);
    chmod((folder + "/key").c_str(), 0600);
    setup.listen_address = net::Address{"127.0.0.1", 0};
    setup.key_file = folder + "/key";
    setup.flush_interval = 10000 * kMs;
    setup.join_timeout = join_within_ms * kMs;
  }
  ~Pair() { std::filesystem::remove_all(folder); }
  Pair(const Pair&) = delete;
  Pair& operator=(const Pair&) = delete;
  std::unique_ptr<replication::UdpReplicationService> Start(const std::string& name) {
    keepers.push_back(
        std::make_unique<consistency::SessionConsistencyGuard>(DefaultSettings(), Reads::Everywhere()));
    names.push_back(std::make_unique<std::string>(name));
    auto peer = std::make_unique<replication::UdpReplicationService>(
        replication::ReplicationContext{loop, setup, *names.back(), false, *keepers.back(), [] {}});
    const auto started = peer->Start();
    CAPTURE(started ? "" : Describe(started.error()));
    REQUIRE(started.has_value());
    return peer;
  }
  net::Loop loop;
  std::string folder;
  ReplicationSettings setup;
  std::vector<std::unique_ptr<consistency::SessionConsistencyGuard>> keepers;
  std::vector<std::unique_ptr<std::string>> names;
};

TEST_CASE("peers have their full time to count an instance whose recovery took long") {
  Pair pair(300);
  pair.setup.seeds = {net::Address{"127.0.0.1", ClosedPort(pair.loop)}};
  StandStill(400);  // as where the state is long, or the disk slow
  const auto one = pair.Start("one");
  g_main_context_iteration(nullptr, TRUE);
  CHECK_FALSE(one->Ready());
  Wait(pair.loop, 350);
  CHECK(one->Ready());
}

TEST_CASE("peers polled before a read arrived are polled again") {
  Pair pair(0);
  pair.setup.listen_address = net::Address{"127.0.0.1", ClosedPort(pair.loop)};
  const auto one = pair.Start("one");
  pair.setup.seeds = {*pair.setup.listen_address};
  pair.setup.listen_address = net::Address{"127.0.0.1", 0};
  const auto two = pair.Start("two");
  Until([&] { return one->engine().ReplicatedThrough().size() == 1; }, pair.loop);
  Wait(pair.loop, 50);
  const auto packets = one->engine().counts().packets_sent;
  InAPass(pair.loop, [&] {
    one->PollPeers();
    one->PollPeers();  // for a read that came after the first
  });
  CHECK(one->engine().counts().packets_sent == packets + 1);
  Wait(pair.loop, 50);
  CHECK(one->engine().counts().packets_sent == packets + 2);
}

TEST_CASE(
    "input that arrives while the loop is busy or suspended counts as arrived no earlier than the last "
    "poll") {
  net::Loop loop;
  Wait(loop, 5);
  TimePoint before{};
  InAPass(loop, [&] {
    before = loop.Now();
    StandStill(100);
  });
  InAPass(loop, [] {});
  CHECK(loop.EarliestArrival() <= before + 20 * kMs);
  CHECK(loop.EarliestArrival() >= before);
  CHECK(loop.Now() >= before + 100 * kMs);
  // One that has waited for what came was there.
  Wait(loop, 20);
  CHECK(loop.Now() - loop.EarliestArrival() < 20 * kMs);
}

TEST_CASE("the silence of a watch counts from the arrival of its last line, not from when it was read") {
  // The second draw of this seed is near the end of what may be waited.
  constexpr std::uint64_t kSeed = 10;
  std::minstd_rand random(kSeed);
  std::uniform_real_distribution<double> even(0, 1);
  even(random);
  const double chance = std::uniform_real_distribution<double>(0, 1)(random);
  REQUIRE(chance > 0.6);
  SimulatedFleet w;
  DiscoveryAgent agent(w.loop);
  discovery::EndpointListReader reader({});
  discovery::DiscoveryWatch watch(w.loop, *net::ParseAddress(agent.Address()), reader, 0, kSeed,
                                  {.shared = true, .instances = 300, .drain_grace = 500 * kMs},
                                  [](const auto&) {});
  watch.Start();
  w.RunUntil([&] { return agent.HasReceived("since=0"); });
  Wait(w.loop, 20);
  InAPass(w.loop, [&] {
    agent.connections.back()->Send("\n");
    agent.connections.back()->connection->Close();
    StandStill(1500);
  });
  w.RunUntil([&] { return watch.next_request_at().has_value(); });
  // Half of what is left of 6.2 s, less 0.5 s for the answer and 1.5 s since the line came.
  const Duration most(static_cast<std::int64_t>(chance * 2100000));
  CHECK(*watch.next_request_at() - w.loop.Now() <= most);
  CHECK(*watch.next_request_at() - w.loop.Now() > most - 100 * kMs);
}

TEST_CASE("a list request made late in a long pass has its full timeout") {
  SimulatedFleet w;
  DiscoveryAgent agent(w.loop);
  agent.response = "{\"rev\":3,\"all\":true,\"targets\":[]}\n";
  discovery::EndpointListReader reader({});
  discovery::DiscoveryWatch watch(w.loop, *net::ParseAddress(agent.Address()), reader, 0, 1, {},
                                  [](const auto&) {});
  net::Timer before(w.loop);
  before.ScheduleAfter(Duration{0}, [] { StandStill(300); });  // in the pass in which the call is made
  watch.Start();
  w.RunUntil([&] { return watch.has_received_update(); });
  CHECK(agent.connections.size() == 1);
}

TEST_CASE("a response is not sent before its write is durable because this process was suspended") {
  Pair folder(0);  // for its folder
  const std::string state = folder.folder + "/state";
  consistency::SessionConsistencyGuard consistency_guard(DefaultSettings(), Reads::Everywhere());
  DurabilitySettings setup;
  setup.folder = state;
  setup.snapshot_bytes = 4096;
  setup.wait_timeout = 250 * kMs;
  net::Loop& loop = folder.loop;
  bool given = false;
  {
    durability::WriteAheadLog store(loop, setup, "n", consistency_guard);
    REQUIRE(store.Open());
    REQUIRE(store.StartWriting());
    // The file of the next snapshot: the disk hangs from there on, until it is opened here.
    const std::string hangs = state + "/sessions-2.new";
    REQUIRE(mkfifo(hangs.c_str(), 0600) == 0);
    const auto write = [&] {
      const consistency::WriteWatermark watermark{loop.Now(), ServerId(1)};
      const consistency::SessionKey key = consistency::SessionKeyOf(GroupId(1), "s");
      consistency_guard.LearnWatermark(std::nullopt, key, watermark);
      store.AppendWatermark(key, watermark);
    };
    for (int i = 0; i < 500; ++i) write();
    Wait(loop, 300);  // the snapshot has begun
    write();
    InAPass(loop, [&] {
      REQUIRE(store.NotifyWhenDurable([&] { given = true; }));
      StandStill(600);
    });
    for (int i = 0; i < 3; ++i) g_main_context_iteration(nullptr, TRUE);
    CHECK_FALSE(given);
    CHECK(store.wait_timeouts() == 0);
    // A disk that does hang keeps nobody waiting for ever.
    Until([&] { return given; }, loop);
    CHECK(store.wait_timeouts() == 1);
    const int reader = open(hangs.c_str(), O_RDONLY | O_NONBLOCK);
    REQUIRE(reader >= 0);
    Wait(loop, 100);
    close(reader);
  }
}

}  // namespace
}  // namespace lynxgrade
