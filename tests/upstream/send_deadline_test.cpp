// The send deadline of an attempt on real sockets: each wait between the routing decision and the moment in
// which the kernel sends the last byte of the statement.
#include <fcntl.h>
#include <netinet/tcp.h>

#include <memory>
#include <string>
#include <utility>

#include "support/event_loop_steps.h"
#include "support/pool_fixture.h"
#include "support/simulated_fleet.h"

namespace lynxgrade {
namespace {

// A statement of the given size, whose rendering takes a while: the process is held up after the clock was
// read.
struct SlowStatement final : proxy::Statement {
  SlowStatement(std::size_t size, int render_ms) : size(size), render_ms(render_ms) {}
  std::string TextWithBudget(Duration) const override {
    BlockThread(render_ms);
    std::string text;
    text.assign(size, 'x');
    return text;
  }
  std::size_t size;
  int render_ms;
};

// Long enough for a connection on a busy machine.
upstream::PoolSettings PatientSettings() {
  upstream::PoolSettings settings;
  settings.connect_timeout = 8000 * kMs;
  return settings;
}

// A data server on plain sockets with small buffers, which reads only when it is told to.
class StalledServer {
 public:
  StalledServer() : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    const int segment = 536, buffer = 4096;
    setsockopt(listener_, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(listen(listener_, 16) == 0);
    fcntl(listener_, F_SETFL, O_NONBLOCK);
  }
  ~StalledServer() {
    if (connection_ >= 0) close(connection_);
    close(listener_);
  }
  StalledServer(const StalledServer&) = delete;
  StalledServer& operator=(const StalledServer&) = delete;
  std::uint16_t port() const {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
  }
  // Accepts the next connection, answers its startup packet, and reads nothing more.
  void Accept(net::Loop& loop) {
    if (connection_ >= 0) close(connection_);
    connection_ = -1;
    received = 0;
    RunLoopUntil(
        [&] {
          if (connection_ < 0) connection_ = accept(listener_, nullptr, nullptr);
          return connection_ >= 0;
        },
        loop);
    fcntl(connection_, F_SETFL, O_NONBLOCK);
    RunLoopUntil([&] { return Read(), received > 0; }, loop);
    received = 0;
    Send(StartupResponse());
  }
  // Reads what has arrived; returns false at the end of the stream.
  bool Read() {
    char block[4096];
    ssize_t count = 0;
    while ((count = recv(connection_, block, sizeof block, 0)) > 0)
      received += static_cast<std::size_t>(count);
    return count < 0;
  }
  // Reads until nothing more arrives.
  void Drain() {
    for (std::size_t before = received + 1; before != received;) {
      before = received;
      for (int i = 0; i < 20; ++i, BlockThread(1)) Read();
    }
  }
  void Send(const std::string& text) {
    REQUIRE(send(connection_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
  }
  void ShutdownSending() { shutdown(connection_, SHUT_WR); }
  std::size_t received = 0;

 private:
  int listener_;
  int connection_ = -1;
};

struct StalledFixture final : PoolFixture {
  StalledFixture() : PoolFixture(PatientSettings()) {
    pool.SetAddress(kServer, {"127.0.0.1", stalled.port()});
  }
  Outcome Result() {
    RunLoopUntil([&] { return !attempt_results.empty(); }, loop);
    return attempt_results.front().outcome;
  }
  StalledServer stalled;
};

TEST_CASE("an attempt whose connection comes up after its send deadline is not sent") {
  PoolFixture fixture;
  fixture.server.accepts_startup = false;
  fixture.send_deadline = fixture.loop.PreciseNow() + 60 * kMs;
  fixture.Send(1000);
  RunLoopUntil([&] { return fixture.attempt_results.size() == 1; }, fixture.loop);
  CHECK(fixture.attempt_results[0].outcome == Outcome::kSendExpired);
  CHECK(fixture.loop.PreciseNow() >= fixture.send_deadline);
  fixture.server.connections[0]->Send(StartupResponse());
  RunLoopUntil([&] { return fixture.pool.idle() == 1; }, fixture.loop);  // for the next attempt
  CHECK(fixture.server.queries.empty());
  CHECK(fixture.pool.counts().expired_attempts == 1);
}

// Guards against a timer at the earliest of all times, and against connections for nothing.
TEST_CASE("an attempt that must not be sent when it starts opens no connection") {
  PoolFixture fixture;
  fixture.send_deadline = TimePoint::min();
  fixture.Send(1000);
  REQUIRE(fixture.attempt_results.size() == 1);
  CHECK(fixture.attempt_results[0].outcome == Outcome::kSendExpired);
  CHECK(fixture.pool.counts().opened == 0);
}

TEST_CASE("an attempt whose send deadline is extended while it waits for a connection is sent") {
  PoolFixture fixture(PatientSettings());
  fixture.server.accepts_startup = false;
  fixture.send_deadline = fixture.loop.PreciseNow() + 1000 * kMs;
  fixture.extended_send_deadline = TimePoint::max();
  fixture.Send(60000);
  RunLoopUntil([&] { return fixture.send_deadline_calls == 2; }, fixture.loop);
  CHECK(fixture.attempt_results.empty());
  fixture.server.connections[0]->Send(StartupResponse());
  RunLoopUntil([&] { return fixture.attempt_results.size() == 1; }, fixture.loop);
  CHECK(fixture.attempt_results[0].outcome == Outcome::kOk);
}

TEST_CASE("an attempt whose send deadline ends while it waits for a connection is not sent when that is up") {
  PoolFixture fixture;
  fixture.server.accepts_startup = false;
  fixture.Send(1000);
  RunLoopUntil([&] { return fixture.server.connections.size() == 1; }, fixture.loop);
  fixture.send_deadline = TimePoint::min();  // its server has lost the primary role
  fixture.server.connections[0]->Send(StartupResponse());
  RunLoopUntil([&] { return fixture.attempt_results.size() == 1; }, fixture.loop);
  CHECK(fixture.attempt_results[0].outcome == Outcome::kSendExpired);
  CHECK(fixture.server.queries.empty());
}

TEST_CASE("an attempt that waits behind the barrier of its connection is not sent after its send deadline") {
  PoolFixture fixture;
  TestConnection* waiting = nullptr;
  fixture.server.on_empty_query = [&](TestConnection& connection, const std::string&) {
    waiting = &connection;
  };
  fixture.Send(1000);
  RunLoopUntil([&] { return waiting != nullptr; }, fixture.loop);
  fixture.send_deadline = fixture.loop.PreciseNow() + 30 * kMs;
  fixture.Send(1000);
  BlockThread(40);
  waiting->Send(EmptyQueryResponse());
  RunLoopUntil([&] { return fixture.attempt_results.size() == 2; }, fixture.loop);
  CHECK(fixture.attempt_results[1].outcome == Outcome::kSendExpired);
  CHECK(fixture.server.queries.size() == 1);
}

TEST_CASE("an attempt is not sent by a process that stood still until after its send deadline") {
  PoolFixture fixture;
  fixture.OpenConnection();
  fixture.send_deadline = fixture.loop.PreciseNow() + 20 * kMs;
  RunInOnePass(fixture.loop, [&] {
    BlockThread(40);
    fixture.Send(1000);
  });
  RunLoopUntil([&] { return fixture.attempt_results.size() == 2; }, fixture.loop);
  CHECK(fixture.attempt_results[1].outcome == Outcome::kSendExpired);
  CHECK(fixture.server.queries.size() == 1);
  CHECK(fixture.pool.idle() == 1);
}

TEST_CASE("the response to a statement that was held up after the last look at the clock is not used") {
  PoolFixture fixture;
  fixture.OpenConnection();
  fixture.statement = std::make_shared<SlowStatement>(10, 1010);
  fixture.send_deadline = fixture.loop.PreciseNow() + 1000 * kMs;
  fixture.Send(60000);
  RunLoopUntil([&] { return fixture.attempt_results.size() == 2; }, fixture.loop);
  CHECK(fixture.attempt_results[1].outcome == Outcome::kSentLate);
  CHECK_FALSE(fixture.attempt_results[1].response.has_value());
  CHECK(fixture.pool.counts().late_attempts == 1);
  RunLoopUntil([&] { return fixture.server.connections[0]->peer_closed; }, fixture.loop);
}

TEST_CASE("an attempt that was sent in time keeps its response, however late that comes") {
  PoolFixture fixture;
  fixture.OpenConnection();
  fixture.send_deadline = fixture.loop.PreciseNow() + 1000 * kMs;
  fixture.server.on_query = [&](TestConnection& connection, const std::string&) {
    BlockThread(1010);
    connection.Send(RowResponse("v"));
  };
  fixture.Send(60000);
  RunLoopUntil([&] { return fixture.attempt_results.size() == 2; }, fixture.loop);
  CHECK(fixture.attempt_results[1].outcome == Outcome::kOk);
}

TEST_CASE(
    "a statement that waits in the kernel for the window of the data server is given up at its deadline") {
  StalledFixture fixture;
  fixture.send_deadline = fixture.loop.PreciseNow() + 1000 * kMs;
  fixture.statement = std::make_shared<SlowStatement>(20000, 0);
  fixture.Send(60000);
  fixture.stalled.Accept(fixture.loop);
  CHECK(fixture.Result() == Outcome::kSentLate);  // the kernel has taken all of it, and may send it yet
  CHECK(fixture.loop.PreciseNow() >= fixture.send_deadline);
}

TEST_CASE("a statement that waits in the kernel and is sent in time keeps its response") {
  StalledFixture fixture;
  fixture.send_deadline = fixture.loop.PreciseNow() + 60000 * kMs;
  fixture.statement = std::make_shared<SlowStatement>(20000, 0);
  fixture.Send(60000);
  fixture.stalled.Accept(fixture.loop);
  RunLoopFor(fixture.loop, 50);
  CHECK(fixture.attempt_results.empty());
  RunLoopUntil([&] { return fixture.stalled.Read(), fixture.stalled.received >= 20000; }, fixture.loop);
  RunLoopFor(fixture.loop, 20);
  CHECK(fixture.attempt_results.empty());
  CHECK(fixture.pool.counts().late_attempts == 0);
}

// Guards against a response that is read, after a standstill, before it is known when its statement was sent.
TEST_CASE("a response is not used if its statement may have left the kernel after the send deadline") {
  for (const bool closes : {false, true}) {
    CAPTURE(closes);
    StalledFixture fixture;
    fixture.send_deadline = fixture.loop.PreciseNow() + 1000 * kMs;
    fixture.statement = std::make_shared<SlowStatement>(20000, 0);
    fixture.Send(60000);
    fixture.stalled.Accept(fixture.loop);
    RunLoopFor(fixture.loop, 20);
    CHECK(fixture.attempt_results.empty());
    BlockThread(1000);
    fixture.stalled.Drain();
    CHECK(fixture.stalled.received >= 20000);
    const std::string response = RowResponse("v");
    constexpr std::size_t kReadyForQueryBytes = 6;
    fixture.stalled.Send(closes ? response.substr(0, response.size() - kReadyForQueryBytes) : response);
    if (closes) fixture.stalled.ShutdownSending();
    CHECK(fixture.Result() == Outcome::kSentLate);
  }
}

// Guards against the last part of a statement that is written after a standstill, before any timer is looked
// at.
TEST_CASE("the rest of a statement is not written after its deadline") {
  for (const bool has_send_deadline : {true, false}) {
    CAPTURE(has_send_deadline);
    StalledFixture fixture;
    // The kernel's room is found with a statement that is too large for it.
    fixture.statement = std::make_shared<SlowStatement>(200000, 0);
    fixture.send_deadline = fixture.loop.PreciseNow() + 1000 * kMs;
    fixture.Send(60000);
    fixture.stalled.Accept(fixture.loop);
    REQUIRE(fixture.Result() == Outcome::kSendExpired);  // never written whole, so it has not run
    fixture.stalled.Drain();
    const std::size_t room = fixture.stalled.received;
    REQUIRE(room < 200000);

    const std::size_t size = room + 2000;
    fixture.statement = std::make_shared<SlowStatement>(size, 0);
    fixture.attempt_results.clear();
    const TimePoint deadline = fixture.loop.PreciseNow() + 1000 * kMs;
    fixture.send_deadline = has_send_deadline ? deadline : TimePoint::max();
    fixture.Send(60000, has_send_deadline ? Duration::max() : 1000 * kMs);
    fixture.stalled.Accept(fixture.loop);
    RunLoopFor(fixture.loop, 30);
    CHECK(fixture.attempt_results.empty());
    BlockThread(1050);
    fixture.stalled.Drain();  // the kernel has room again
    CHECK(fixture.Result() == (has_send_deadline ? Outcome::kSendExpired : Outcome::kUnreachable));
    fixture.stalled.Drain();
    CHECK(fixture.stalled.received < size);
  }
}

}  // namespace
}  // namespace lynxgrade
