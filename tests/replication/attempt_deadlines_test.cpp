// From when the times of attempts and health checks are counted, when they begin late in a pass of the event
// loop.
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "replication/event_loop_steps.h"
#include "support/simulated_fleet.h"

namespace lynxgrade {
namespace {

// The statement is the time that it tells, in milliseconds.
struct TellsTime final : proxy::Statement {
  std::string TextWithBudget(Duration left) const override { return std::to_string(left.count() / 1000); }
};

// A pool of connections alone, with what became of its attempts and probes.
struct Attempts final : proxy::UpstreamEvents {
  virtual ~Attempts() = default;
  explicit Attempts(upstream::PoolSettings settings = {})
      : pool(loop, std::move(settings), budget, [] { return false; }),
        server(loop, [](TestConnection& p, const std::string&) { p.Send(RowResponse("v")); }) {
    pool.SetEvents(*this);
    pool.SetAddress(kServer, {"127.0.0.1", server.listener.port()});
  }
  void OnAttemptFinished(proxy::AttemptResult end) override { ends.push_back(std::move(end)); }
  void OnHealthCheckFinished(const HealthCheckEvent& event) override { probed.push_back(event); }
  void Send(int limit_ms, Duration write_timeout = Duration::max()) {
    pool.StartAttempt(RequestId(++last), 0, kServer, work, {limit_ms * kMs, write_timeout});
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
  upstream::ConnectionPool pool;
  DataServer server;
  std::shared_ptr<const proxy::Statement> work = std::make_shared<TellsTime>();
  std::vector<proxy::AttemptResult> ends;
  std::vector<HealthCheckEvent> probed;
  std::uint32_t last = 0;
};

// A connection whose bytes take long to handle: what is ready behind it waits in the same pass.
struct Slow final : Connection::Owner {
  virtual ~Slow() = default;
  Slow(net::Loop& loop, int ms)
      : ms(ms),
        listener(
            loop, [] { return true; },
            [&loop, this](net::ObjectPtr<GSocket> s) {
              there = Connection::Adopt(loop, std::move(s), far, 4096, 4096);
            }) {
    REQUIRE(listener.Open({"127.0.0.1", 0}));
    bool full = false;
    here = Connection::Connect(loop, {"127.0.0.1", listener.port()}, *this, 4096, 4096, &full);
    Until([&] { return there != nullptr && here->connected(); }, loop);
  }
  void OnReadable() override {
    here->input().Consume(here->input().size());
    StandStill(ms);
  }
  void OnEndOfStream() override {}
  void OnDisconnected() override {}
  void Begin() { there->Write("x"); }
  int ms;
  TestConnection far;
  net::Listener listener;
  std::shared_ptr<Connection> here, there;
};

// ---- Attempts and probes ---------------------------------------------------------------------------------

TEST_CASE("an attempt written late in a long pass announces the time that is left then") {
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

TEST_CASE("an attempt whose connection is established late announces the time that is left then") {
  Attempts a;
  a.server.accepts_startup = false;
  a.Send(1000);
  Until([&] { return a.server.connections.size() == 1 && a.server.connections[0]->startup_received; },
        a.loop);
  Wait(a.loop, 150);
  a.server.connections[0]->Send(StartupResponse());
  Until([&] { return a.server.queries.size() == 1; }, a.loop);
  CHECK(std::stoi(a.server.queries[0]) <= 850);
}

TEST_CASE("an attempt whose deadline passes as its connection is established is not written") {
  Attempts a;
  a.server.accepts_startup = false;
  Slow slow(a.loop, 80);
  const TimePoint from = a.loop.Now();
  a.Send(120);
  Until([&] { return a.server.connections.size() == 1 && a.server.connections[0]->startup_received; },
        a.loop);
  Wait(a.loop, static_cast<int>((from + 80 * kMs - a.loop.PreciseNow()) / kMs));
  InAPass(a.loop, [&] {
    slow.Begin();
    a.server.connections[0]->Send(StartupResponse());
  });
  Until([&] { return a.ends.size() == 1; }, a.loop);
  CHECK(a.ends[0].outcome == Outcome::kUnreachable);
  Wait(a.loop, 50);
  CHECK(a.server.queries.empty());
}

TEST_CASE("a connection requested late in a long pass has its full connect timeout") {
  Attempts a;
  InAPass(a.loop, [&] {
    StandStill(300);
    a.Send(2000);
  });
  Until([&] { return a.ends.size() == 1; }, a.loop);
  CHECK(a.ends[0].outcome == Outcome::kOk);
  CHECK(a.server.queries.size() == 1);
  CHECK(a.server.connections.size() == 1);
}

TEST_CASE("a health check sent late in a long pass has its full timeout") {
  Attempts a;
  InAPass(a.loop, [&] {
    StandStill(300);
    a.pool.StartHealthCheck(Attempts::kServer);
  });
  Until([&] { return a.probed.size() == 1; }, a.loop);
  CHECK(a.probed[0].outcome == Outcome::kOk);
  CHECK(a.probed[0].elapsed < 100 * kMs);
}

TEST_CASE(
    "the latency of a response counts from the writing of its request, not from the beginning of the pass") {
  Attempts a;
  a.Warm();
  InAPass(a.loop, [&] {
    StandStill(200);
    a.Send(2000);
  });
  Until([&] { return a.ends.size() == 2; }, a.loop);
  CHECK(a.ends[1].outcome == Outcome::kOk);
  CHECK(a.ends[1].elapsed < 100 * kMs);
  CHECK(a.ends[1].elapsed >= Duration{0});
}

TEST_CASE("a connection refused at once late in a long pass is not taken for one that timed out") {
  Attempts a;
  a.pool.SetAddress(Attempts::kServer, {"127.0.0.1", ClosedPort(a.loop)});
  InAPass(a.loop, [&] {
    StandStill(200);
    a.Send(2000);
  });
  Until([&] { return a.ends.size() == 1; }, a.loop);
  CHECK(a.ends[0].outcome == Outcome::kUnreachable);
  CHECK(a.ends[0].elapsed < 100 * kMs);
  CHECK(a.ends[0].elapsed >= Duration{0});
}

TEST_CASE("an attempt that ends in the pass in which it began has a latency of zero") {
  Attempts a;
  InAPass(a.loop, [&] {
    StandStill(50);
    a.pool.StartAttempt(RequestId(1), 0, ServerId(9), a.work, {1000 * kMs, Duration::max()});
  });
  REQUIRE(a.ends.size() == 1);
  CHECK(a.ends[0].outcome == Outcome::kUnreachable);
  CHECK(a.ends[0].elapsed == Duration{0});
}

TEST_CASE("a connection idle for longer than allowed is not used between two retirements") {
  upstream::PoolSettings settings;
  settings.server_idle_timeout = 300 * kMs;
  Attempts a(settings);
  Wait(a.loop, 200);  // the next retirement is due 0.3 s later
  a.Warm();
  StandStill(230);  // and does not come while the process stands still
  a.Send(1000);
  Until([&] { return a.ends.size() == 2; }, a.loop);
  CHECK(a.ends[1].outcome == Outcome::kOk);
  CHECK(a.server.connections.size() == 2);
}

}  // namespace
}  // namespace lynxgrade
