// The times from which deadlines and latencies of attempts and health checks are measured when these begin
// late in a pass of the event loop: from their own start, not from the start of the pass.
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "support/event_loop_steps.h"
#include "support/pool_fixture.h"
#include "support/simulated_fleet.h"

namespace lynxgrade {
namespace {

// A connection whose input takes `ms` to handle, which delays other input in the same pass of the loop.
struct SlowConnection final : Connection::Owner {
  virtual ~SlowConnection() = default;
  SlowConnection(net::Loop& loop, int ms)
      : ms(ms),
        listener(
            loop, [] { return true; },
            [&loop, this](net::ObjectPtr<GSocket> socket) {
              remote = Connection::Adopt(loop, std::move(socket), remote_owner, 4096, 4096);
            }) {
    REQUIRE(listener.Open({"127.0.0.1", 0}));
    bool full = false;
    local = Connection::Connect(loop, {"127.0.0.1", listener.port()}, *this, 4096, 4096, &full);
    RunLoopUntil([&] { return remote != nullptr && local->connected(); }, loop);
  }
  void OnReadable() override {
    local->input().Consume(local->input().size());
    BlockThread(ms);
  }
  void OnEndOfStream() override {}
  void OnDisconnected() override {}
  void SendInput() { remote->Write("x"); }
  int ms;
  TestConnection remote_owner;
  net::Listener listener;
  std::shared_ptr<Connection> local, remote;
};

TEST_CASE("an attempt written late in a long pass announces the time that is left then") {
  PoolFixture fixture;
  fixture.OpenConnection();
  RunInOnePass(fixture.loop, [&] {
    BlockThread(300);
    fixture.Send(1000);
  });
  RunLoopUntil([&] { return fixture.server.queries.size() == 2; }, fixture.loop);
  CHECK(std::stoi(fixture.server.queries[1]) <= 700);
  CHECK(std::stoi(fixture.server.queries[1]) > 300);
}

TEST_CASE("an attempt whose connection is established late announces the time that is left then") {
  PoolFixture fixture;
  fixture.server.accepts_startup = false;
  fixture.Send(1000);
  RunLoopUntil(
      [&] {
        return fixture.server.connections.size() == 1 && fixture.server.connections[0]->startup_received;
      },
      fixture.loop);
  RunLoopFor(fixture.loop, 150);
  fixture.server.connections[0]->Send(StartupResponse());
  RunLoopUntil([&] { return fixture.server.queries.size() == 1; }, fixture.loop);
  CHECK(std::stoi(fixture.server.queries[0]) <= 850);
}

TEST_CASE("an attempt whose deadline passes as its connection is established is not written") {
  PoolFixture fixture;
  fixture.server.accepts_startup = false;
  SlowConnection slow_connection(fixture.loop, 80);
  const TimePoint started = fixture.loop.Now();
  fixture.Send(120);
  RunLoopUntil(
      [&] {
        return fixture.server.connections.size() == 1 && fixture.server.connections[0]->startup_received;
      },
      fixture.loop);
  RunLoopFor(fixture.loop, static_cast<int>((started + 80 * kMs - fixture.loop.PreciseNow()) / kMs));
  RunInOnePass(fixture.loop, [&] {
    slow_connection.SendInput();
    fixture.server.connections[0]->Send(StartupResponse());
  });
  RunLoopUntil([&] { return fixture.attempt_results.size() == 1; }, fixture.loop);
  CHECK(fixture.attempt_results[0].outcome == Outcome::kUnreachable);
  RunLoopFor(fixture.loop, 50);
  CHECK(fixture.server.queries.empty());
}

TEST_CASE("a connection requested late in a long pass has its full connect timeout") {
  PoolFixture fixture;
  RunInOnePass(fixture.loop, [&] {
    BlockThread(300);
    fixture.Send(2000);
  });
  RunLoopUntil([&] { return fixture.attempt_results.size() == 1; }, fixture.loop);
  CHECK(fixture.attempt_results[0].outcome == Outcome::kOk);
  CHECK(fixture.server.queries.size() == 1);
  CHECK(fixture.server.connections.size() == 1);
}

TEST_CASE("a health check sent late in a long pass has its full timeout") {
  PoolFixture fixture;
  RunInOnePass(fixture.loop, [&] {
    BlockThread(300);
    fixture.pool.StartHealthCheck(PoolFixture::kServer);
  });
  RunLoopUntil([&] { return fixture.health_checks.size() == 1; }, fixture.loop);
  CHECK(fixture.health_checks[0].outcome == Outcome::kOk);
  CHECK(fixture.health_checks[0].elapsed < 100 * kMs);
}

TEST_CASE(
    "the latency of a response counts from the writing of its request, not from the beginning of the pass") {
  PoolFixture fixture;
  fixture.OpenConnection();
  RunInOnePass(fixture.loop, [&] {
    BlockThread(200);
    fixture.Send(2000);
  });
  RunLoopUntil([&] { return fixture.attempt_results.size() == 2; }, fixture.loop);
  CHECK(fixture.attempt_results[1].outcome == Outcome::kOk);
  CHECK(fixture.attempt_results[1].elapsed < 100 * kMs);
  CHECK(fixture.attempt_results[1].elapsed >= Duration{0});
}

TEST_CASE("a connection refused at once late in a long pass is not taken for one that timed out") {
  PoolFixture fixture;
  fixture.pool.SetAddress(PoolFixture::kServer, {"127.0.0.1", ClosedPort(fixture.loop)});
  RunInOnePass(fixture.loop, [&] {
    BlockThread(200);
    fixture.Send(2000);
  });
  RunLoopUntil([&] { return fixture.attempt_results.size() == 1; }, fixture.loop);
  CHECK(fixture.attempt_results[0].outcome == Outcome::kUnreachable);
  CHECK(fixture.attempt_results[0].elapsed < 100 * kMs);
  CHECK(fixture.attempt_results[0].elapsed >= Duration{0});
}

TEST_CASE("an attempt that ends in the pass in which it began has a latency of zero") {
  PoolFixture fixture;
  RunInOnePass(fixture.loop, [&] {
    BlockThread(50);
    fixture.pool.StartAttempt(RequestId(1), 0, ServerId(9), fixture.statement, {1000 * kMs, Duration::max()});
  });
  REQUIRE(fixture.attempt_results.size() == 1);
  CHECK(fixture.attempt_results[0].outcome == Outcome::kUnreachable);
  CHECK(fixture.attempt_results[0].elapsed == Duration{0});
}

TEST_CASE("a connection idle for longer than allowed is not used, even before idle connections are closed") {
  upstream::PoolSettings settings;
  settings.server_idle_timeout = 300 * kMs;
  PoolFixture fixture(settings);
  RunLoopFor(fixture.loop, 200);  // idle connections are next closed 0.3 s later
  fixture.OpenConnection();
  BlockThread(230);  // and cannot be closed while the process is suspended
  fixture.Send(1000);
  RunLoopUntil([&] { return fixture.attempt_results.size() == 2; }, fixture.loop);
  CHECK(fixture.attempt_results[1].outcome == Outcome::kOk);
  CHECK(fixture.server.connections.size() == 2);
}

}  // namespace
}  // namespace lynxgrade
