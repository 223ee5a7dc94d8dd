// From when times are counted, apart from the clients' own: each test has something happen late in a pass of
// the loop, or while the process stands still, and looks whether it is counted from then. docs/endings.md
// lists them.
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <random>
#include <thread>

#include "durability/write_ahead_log.h"
#include "replication/udp_replication_service.h"
#include "support/simulated_fleet.h"

namespace lynxgrade {
namespace {

constexpr Duration kMs{1000};

void StandStill(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

void Until(const std::function<bool()>& holds, net::Loop& loop) {
  bool late = false;
  net::Timer limit(loop), look(loop);
  limit.After(10000 * kMs, [&] { late = true; });
  std::function<void()> again = [&] { look.After(kMs, again); };
  again();
  while (!holds() && !late) g_main_context_iteration(nullptr, TRUE);
  REQUIRE(holds());
}

void Wait(net::Loop& loop, int ms) {
  const TimePoint from = loop.Precise();
  Until([&] { return loop.Precise() - from >= ms * kMs; }, loop);
}

// Runs `call` inside one pass of the loop.
void InAPass(net::Loop& loop, const std::function<void()>& call) {
  bool done = false;
  net::Timer timer(loop);
  timer.After(Duration{0}, [&] {
    call();
    done = true;
  });
  while (!done) g_main_context_iteration(nullptr, TRUE);
}

// The statement is the time that it tells, in milliseconds.
struct TellsTime final : proxy::Work {
  std::string TextFor(Duration left) const override { return std::to_string(left.count() / 1000); }
};

// A pool of connections alone, with what became of its attempts and probes.
struct Attempts final : proxy::BackendEvents {
  explicit Attempts(upstream::PoolSettings settings = {})
      : pool(loop, settings, budget, [] { return false; }),
        server(loop, [](Peer& p, const std::string&) { p.Say(Row("v")); }) {
    pool.SetEvents(*this);
    pool.SetAddress(kServer, {"127.0.0.1", server.listener.port()});
  }
  void OnAttemptEnd(proxy::AttemptEnd end) override { ends.push_back(std::move(end)); }
  void OnProbeEnd(const HealthCheckEvent& event) override { probed.push_back(event); }
  void Send(int limit_ms, Duration write_within = Duration::max()) {
    pool.Send(RequestId(++last), 0, kServer, work, {limit_ms * kMs, write_within});
  }
  // One attempt, so that a connection stands idle.
  void Warm() {
    Send(1000);
    Until([&] { return ends.size() == 1; }, loop);
    REQUIRE(ends.front().outcome == Outcome::kOk);
  }
  static constexpr ServerId kServer{1};
  net::Loop loop;
  net::DescriptorBudget budget{200};
  upstream::Pool pool;
  DataServer server;
  std::shared_ptr<const proxy::Work> work = std::make_shared<TellsTime>();
  std::vector<proxy::AttemptEnd> ends;
  std::vector<HealthCheckEvent> probed;
  std::uint32_t last = 0;
};

// A connection whose bytes take long to handle: what is ready behind it waits in the same pass.
struct Slow final : Connection::Owner {
  Slow(net::Loop& loop, int ms)
      : ms(ms),
        listener(
            loop, [] { return true; },
            [&loop, this](net::ObjectPtr<GSocket> s) {
              there = Connection::Adopt(loop, std::move(s), far, 4096, 4096);
            }) {
    REQUIRE(listener.Open({"127.0.0.1", 0}).empty());
    bool full = false;
    here = Connection::Open(loop, {"127.0.0.1", listener.port()}, *this, 4096, 4096, &full);
    Until([&] { return there != nullptr && here->up(); }, loop);
  }
  void OnReadable() override {
    here->in().Consume(here->in().size());
    StandStill(ms);
  }
  void OnPeerDone() override {}
  void OnBroken() override {}
  void Begin() { there->Write("x"); }
  int ms;
  Peer far;
  net::Listener listener;
  std::shared_ptr<Connection> here, there;
};

// ---- Attempts and probes ---------------------------------------------------------------------------------

TEST_CASE("what an attempt tells is what is left as it is written, late in a long pass too") {
  Attempts a;
  a.Warm();
  InAPass(a.loop, [&] {
    StandStill(300);
    a.Send(1000);
  });
  Until([&] { return a.server.queries.size() == 2; }, a.loop);
  CHECK(std::stoi(a.server.queries[1]) <= 700);
  CHECK(std::stoi(a.server.queries[1]) > 300);
}

TEST_CASE("an attempt whose connection comes up late tells what is left then") {
  Attempts a;
  a.server.greets = false;
  a.Send(1000);
  Until([&] { return a.server.peers.size() == 1 && a.server.peers[0]->started; }, a.loop);
  Wait(a.loop, 150);
  a.server.peers[0]->Say(Hello());
  Until([&] { return a.server.queries.size() == 1; }, a.loop);
  CHECK(std::stoi(a.server.queries[0]) <= 850);
}

TEST_CASE("an attempt whose time ends in the pass in which its connection is up is not written") {
  Attempts a;
  a.server.greets = false;
  Slow slow(a.loop, 80);
  const TimePoint from = a.loop.Now();
  a.Send(120);
  Until([&] { return a.server.peers.size() == 1 && a.server.peers[0]->started; }, a.loop);
  Wait(a.loop, static_cast<int>((from + 80 * kMs - a.loop.Precise()) / kMs));
  InAPass(a.loop, [&] {
    slow.Begin();
    a.server.peers[0]->Say(Hello());
  });
  Until([&] { return a.ends.size() == 1; }, a.loop);
  CHECK(a.ends[0].outcome == Outcome::kUnreachable);
  Wait(a.loop, 50);
  CHECK(a.server.queries.empty());
}

TEST_CASE("a connection has its whole time to come up when it is wanted late in a long pass") {
  Attempts a;
  InAPass(a.loop, [&] {
    StandStill(300);
    a.Send(2000);
  });
  Until([&] { return a.ends.size() == 1; }, a.loop);
  CHECK(a.ends[0].outcome == Outcome::kOk);
  CHECK(a.server.queries.size() == 1);
  CHECK(a.server.peers.size() == 1);
}

TEST_CASE("a probe has its whole time when it is sent late in a long pass") {
  Attempts a;
  InAPass(a.loop, [&] {
    StandStill(300);
    a.pool.Probe(Attempts::kServer);
  });
  Until([&] { return a.probed.size() == 1; }, a.loop);
  CHECK(a.probed[0].outcome == Outcome::kOk);
  CHECK(a.probed[0].taken < 100 * kMs);
}

TEST_CASE("the time of an answer counts from its writing, not from the pass in which it was written") {
  Attempts a;
  a.Warm();
  InAPass(a.loop, [&] {
    StandStill(200);
    a.Send(2000);
  });
  Until([&] { return a.ends.size() == 2; }, a.loop);
  CHECK(a.ends[1].outcome == Outcome::kOk);
  CHECK(a.ends[1].taken < 100 * kMs);
  CHECK(a.ends[1].taken >= Duration{0});
}

TEST_CASE("a connection that was refused at once is not taken for one that hung, late in a long pass") {
  Attempts a;
  a.pool.SetAddress(Attempts::kServer, {"127.0.0.1", ClosedPort(a.loop)});
  InAPass(a.loop, [&] {
    StandStill(200);
    a.Send(2000);
  });
  Until([&] { return a.ends.size() == 1; }, a.loop);
  CHECK(a.ends[0].outcome == Outcome::kUnreachable);
  CHECK(a.ends[0].taken < 100 * kMs);
  CHECK(a.ends[0].taken >= Duration{0});
}

TEST_CASE("an attempt that ends in the pass in which it began has taken no time, not less") {
  Attempts a;
  InAPass(a.loop, [&] {
    StandStill(50);
    a.pool.Send(RequestId(1), 0, ServerId(9), a.work, {1000 * kMs, Duration::max()});
  });
  REQUIRE(a.ends.size() == 1);
  CHECK(a.ends[0].outcome == Outcome::kUnreachable);
  CHECK(a.ends[0].taken == Duration{0});
}

TEST_CASE("a connection that has been idle for too long is not used between two retirements") {
  upstream::PoolSettings settings;
  settings.idle = 300 * kMs;
  Attempts a(settings);
  Wait(a.loop, 200);  // the next retirement is due 0.3 s later
  a.Warm();
  StandStill(230);  // and does not come while the process stands still
  a.Send(1000);
  Until([&] { return a.ends.size() == 2; }, a.loop);
  CHECK(a.ends[1].outcome == Outcome::kOk);
  CHECK(a.server.peers.size() == 2);
}

// ---- Reads that wait for word from the others ------------------------------------------------------------

struct Sends final : proxy::Backends {
  void Send(RequestId, AttemptNumber, ServerId, std::shared_ptr<const proxy::Work>,
            proxy::SendTimes times) override {
    sent.push_back(times.limit);
  }
  void Cancel(RequestId, AttemptNumber) override {}
  void Drop(RequestId) override {}
  void Probe(ServerId) override {}
  void CloseIdle(ServerId) override {}
  std::vector<Duration> sent;
};

struct Nobody final : proxy::Client {
  void Served(const proxy::Answer&) override {}
  void Refused(Duration) override { ++refused; }
  void Failed() override {}
  void Unusable() override {}
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
  Reads() : proxy(loop, Unhurried(), 7, sends, Everywhere()) {
    // One reading: between two a gap of a microsecond may lie, which a read has to wait out at a replica.
    const TimePoint started = loop.Precise();
    proxy.consistency_guard().HandleStart(started, started);
    proxy.consistency_guard().SetReplicatedThrough(1, started);
    proxy.SetWaits({.wrote = {}, .safe = {}, .ask_others = [this] { ++asked; }});
    ListEvent list{ListKind::kPersisted, {}};
    list.entries.push_back({.server = ServerId(1), .group = GroupId(2)});
    proxy.ListChanged(list);
  }
  void Read(int left_ms) {
    proxy::Ask ask;
    ask.event.group = GroupId(2);
    ask.event.cls = 1;
    ask.event.session = "s";
    ask.event.time_left = left_ms * kMs;
    RequestId id{};
    proxy.Take(std::move(ask), client, id);
  }
  net::Loop loop;
  Sends sends;
  Nobody client;
  proxy::Proxy proxy;
  int asked = 0;
};

TEST_CASE("a read has to see the writes up to when it was taken, not to when the pass began") {
  Reads r;
  // In one pass: word from the other instance, which then answers a write, and a read of that session.
  InAPass(r.loop, [&] {
    StandStill(10);
    r.proxy.consistency_guard().SetReplicatedThrough(1, r.loop.Precise());
    StandStill(10);
    r.Read(1000);
  });
  CHECK(r.asked == 1);
  CHECK(r.sends.sent.empty());
  r.proxy.consistency_guard().SetReplicatedThrough(1, r.loop.Precise());
  r.proxy.Relearnt();
  CHECK(r.sends.sent.size() == 1);
}

TEST_CASE("a read that was held back keeps the deadline that it came with") {
  Reads r;
  TimePoint from{};
  InAPass(r.loop, [&] {
    from = r.loop.Now();
    StandStill(20);
    r.Read(1000);
  });
  Wait(r.loop, 50);
  r.proxy.consistency_guard().SetReplicatedThrough(1, r.loop.Precise());
  r.proxy.Relearnt();
  REQUIRE(r.sends.sent.size() == 1);
  CHECK(r.loop.Now() + r.sends.sent[0] == from + 1000 * kMs);
}

TEST_CASE("the time for which a read was held back does not make a client's first try look like a repeat") {
  Settings settings = Usual();
  Balancer balancer(settings, 7);
  TimePoint now{1000000 * kMs};
  Actions actions;
  const auto feed = [&](const Event& event) {
    actions.clear();
    balancer.Handle(now, event, actions);
    return std::ranges::any_of(actions, [](const Action& a) { return std::holds_alternative<Send>(a); });
  };
  ListEvent list{ListKind::kPersisted, {}};
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
    OutcomeEvent end;
    end.id = RequestId(last);
    end.server = ServerId(1);
    end.taken = 20 * kMs;
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
    setup.listen = net::Address{"127.0.0.1", 0};
    setup.key_file = folder + "/key";
    setup.flush = 10000 * kMs;
    setup.join_within = join_within_ms * kMs;
  }
  ~Pair() { std::filesystem::remove_all(folder); }
  std::unique_ptr<replication::UdpReplicationService> Start(const std::string& name) {
    keepers.push_back(std::make_unique<consistency::SessionConsistencyGuard>(Usual(), Reads::Everywhere()));
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

TEST_CASE("the others have their whole time to count an instance whose start took long before that") {
  Pair pair(300);
  pair.setup.seeds = {net::Address{"127.0.0.1", ClosedPort(pair.loop)}};
  StandStill(400);  // as where the state is long, or the disk slow
  const auto one = pair.Start("one");
  g_main_context_iteration(nullptr, TRUE);
  CHECK_FALSE(one->Ready());
  Wait(pair.loop, 350);
  CHECK(one->Ready());
}

TEST_CASE("word that was asked for before a read came is asked for again") {
  Pair pair(0);
  pair.setup.listen = net::Address{"127.0.0.1", ClosedPort(pair.loop)};
  const auto one = pair.Start("one");
  pair.setup.seeds = {*pair.setup.listen};
  pair.setup.listen = net::Address{"127.0.0.1", 0};
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
    "what comes while the loop is busy or stands still is known to have come no sooner than it looked") {
  net::Loop loop;
  Wait(loop, 5);
  TimePoint before{};
  InAPass(loop, [&] {
    before = loop.Now();
    StandStill(100);
  });
  InAPass(loop, [] {});
  CHECK(loop.Since() <= before + 20 * kMs);
  CHECK(loop.Since() >= before);
  CHECK(loop.Now() >= before + 100 * kMs);
  // One that has waited for what came was there.
  Wait(loop, 20);
  CHECK(loop.Now() - loop.Since() < 20 * kMs);
}

TEST_CASE("the quiet of a watch counts from when its last line came, not from when it was read") {
  // The second draw of this seed is near the end of what may be waited.
  constexpr std::uint64_t kSeed = 10;
  std::minstd_rand random(kSeed);
  std::uniform_real_distribution<double> even(0, 1);
  even(random);
  const double chance = std::uniform_real_distribution<double>(0, 1)(random);
  REQUIRE(chance > 0.6);
  SimulatedFleet w;
  Agent agent(w.loop);
  discovery::EndpointListReader reader({});
  discovery::Watch watch(w.loop, *net::ParseAddress(agent.Where()), reader, 0, kSeed,
                         {.shared = true, .instances = 300, .grace = 500 * kMs}, [](const auto&) {});
  watch.Start();
  w.Until([&] { return agent.Asked("since=0"); });
  Wait(w.loop, 20);
  InAPass(w.loop, [&] {
    agent.peers.back()->Say("\n");
    agent.peers.back()->connection->Close();
    StandStill(1500);
  });
  w.Until([&] { return watch.calls_at().has_value(); });
  // Half of what is left of 6.2 s, less 0.5 s for the answer and 1.5 s since the line came.
  const Duration most(static_cast<std::int64_t>(chance * 2100000));
  CHECK(*watch.calls_at() - w.loop.Now() <= most);
  CHECK(*watch.calls_at() - w.loop.Now() > most - 100 * kMs);
}

TEST_CASE("a call for the list has its whole time when it is made late in a long pass") {
  SimulatedFleet w;
  Agent agent(w.loop);
  agent.line = "{\"rev\":3,\"all\":true,\"targets\":[]}\n";
  discovery::EndpointListReader reader({});
  discovery::Watch watch(w.loop, *net::ParseAddress(agent.Where()), reader, 0, 1, {}, [](const auto&) {});
  net::Timer before(w.loop);
  before.After(Duration{0}, [] { StandStill(300); });  // in the pass in which the call is made
  watch.Start();
  w.Until([&] { return watch.heard(); });
  CHECK(agent.peers.size() == 1);
}

TEST_CASE("an answer does not go out before its write is safe because this process stood still") {
  Pair folder(0);  // for its folder
  const std::string state = folder.folder + "/state";
  consistency::SessionConsistencyGuard consistency_guard(Usual(), Reads::Everywhere());
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
