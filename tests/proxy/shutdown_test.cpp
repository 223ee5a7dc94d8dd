// Ends of requests, connections and processes: each test forces an order of events in which a request could
// be lost, answered twice or sent too late, on real sockets. docs/endings.md lists them.
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstring>
#include <filesystem>
#include <thread>

#include "support/simulated_fleet.h"

namespace lynxgrade {
namespace {

constexpr Duration kSecond{1000000};
constexpr int kLongBudgetMs = 60000;  // longer than any test, so that no request ends by its deadline

// Deadlines shorter than the minimum drain time. The process may be killed 1.1 s after SIGTERM.
Settings ShortDeadlineSettings() {
  Settings settings = DefaultSettings();
  for (RequestClass& request_class : settings.classes) request_class.deadline = Duration(400000);
  return settings;
}

// ---- Clients that cancel or disconnect -------------------------------------------------------------------

TEST_CASE(
    "a CancelRequest ends the request with 57014, cancels its attempt and leaves the connection usable") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kNoResponse);
  fleet.ApplyEndpointList();
  TestConnection& client = fleet.ConnectClient({RequestText("any", "k", kLongBudgetMs)});
  fleet.RunUntil([&] { return server.queries.size() == 1; });
  const std::size_t connections_before = server.connections.size();
  TestConnection& cancel = fleet.OpenConnection(fleet.frontend.port());
  cancel.Send(CancelRequestMessage(CancelKeyOf(client)));
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("EZ") && cancel.peer_closed; });
  CHECK(client.HasReceived("57014"));
  CHECK(cancel.received.empty());
  CHECK_FALSE(cancel.was_reset);
  CHECK(fleet.proxy.requests_in_flight() == 0);
  fleet.RunUntil([&] {
    return std::ranges::any_of(server.connections,
                               [](const auto& connection) { return connection->peer_closed; });
  });
  CHECK(server.connections.size() == connections_before);  // no further attempt
  server.on_query = kEchoValue;
  client.Send(QueryMessage(RequestText("any", "2")));
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("EZTDCZ"); });
}

TEST_CASE("a CancelRequest with a wrong or unknown key has no effect, and its connection is closed") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kNoResponse);
  fleet.ApplyEndpointList();
  TestConnection& client = fleet.ConnectClient({RequestText("any", "k", kLongBudgetMs)});
  TestConnection& other = fleet.ConnectClient({""});
  fleet.RunUntil([&] { return server.queries.size() == 1 && other.HasReceived("I"); });
  const std::string key = CancelKeyOf(client), others = CancelKeyOf(other);
  REQUIRE(key.size() == 8);
  CHECK(key.substr(0, 4) != others.substr(0, 4));
  CHECK(key.substr(4) != others.substr(4));
  std::string wrong = key, unknown = key;
  wrong[7] = static_cast<char>(wrong[7] ^ 1);
  unknown[0] = '\x7f';
  for (const std::string& invalid : {wrong, unknown, others}) {
    TestConnection& cancel = fleet.OpenConnection(fleet.frontend.port());
    cancel.Send(CancelRequestMessage(invalid));
    fleet.RunUntil([&] { return cancel.peer_closed; });
    CHECK(cancel.received.empty());
  }
  CHECK(fleet.proxy.requests_in_flight() == 1);
  server.connections.back()->Send(RowResponse("v"));
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
}

TEST_CASE("a CancelRequest that crosses the response does not cancel the next request of the session") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kNoResponse);
  fleet.ApplyEndpointList();
  TestConnection& client =
      fleet.ConnectClient({RequestText("any", "1", kLongBudgetMs), RequestText("any", "2", kLongBudgetMs)});
  fleet.RunUntil([&] { return server.queries.size() == 1; });
  // Connects while the first request is in flight, and sends its message when the second one is.
  TestConnection& cancel = fleet.OpenConnection(fleet.frontend.port());
  fleet.RunUntil([&] { return fleet.frontend.sessions() == 2; });
  for (const auto& peer : server.connections) peer->Send(RowResponse("1"));
  fleet.RunUntil([&] { return server.queries.size() == 2; });
  cancel.Send(CancelRequestMessage(CancelKeyOf(client)));
  fleet.RunUntil([&] { return cancel.peer_closed; });
  CHECK(fleet.proxy.requests_in_flight() == 1);
  for (const auto& peer : server.connections) peer->Send(RowResponse("2"));
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("TDCZTDCZ"); });
}

TEST_CASE("the close of a client that has sent more than the ring buffer holds is detected at once") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kNoResponse);
  fleet.ApplyEndpointList();
  std::string flood;
  for (int i = 0; i < 8000; ++i) flood += QueryMessage(RequestText("any", "k", kLongBudgetMs));
  REQUIRE(flood.size() > 2 * pg::kMaxBufferBytes);
  RawClient client(fleet.frontend.port());
  fleet.RunUntil([&] { return client.HasReceived("Z"); });
  client.Send(QueryMessage(RequestText("any", "k", kLongBudgetMs)));
  fleet.RunUntil([&] { return server.queries.size() == 1; });
  client.SendNonBlocking(flood);
  // Until the ring buffer is full and reading is paused.
  const TimePoint start = fleet.loop.Now();
  fleet.RunUntil([&] { return fleet.loop.Now() - start > Duration(50000); });
  client.ReadAvailable();  // a close with unread input would be a reset
  client.Close();
  fleet.RunUntil([&] { return fleet.proxy.counts().cancelled == 1; });
  fleet.RunUntil([&] { return fleet.frontend.sessions() == 0; });
  CHECK(server.queries.size() == 1);
}

TEST_CASE("a client that has shut down sending is distinguished from one that closes after that") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kNoResponse);
  fleet.ApplyEndpointList();
  TestConnection& half_closed = fleet.ConnectClient({RequestText("any", "1", kLongBudgetMs)});
  TestConnection& closed = fleet.ConnectClient({RequestText("any", "2", kLongBudgetMs)});
  fleet.RunUntil([&] { return server.queries.size() == 2; });
  for (TestConnection* peer : {&half_closed, &closed}) shutdown(peer->connection->descriptor(), SHUT_WR);
  fleet.RunUntil(
      [&] { return half_closed.HasReceived("still at work") && closed.HasReceived("still at work"); });
  closed.connection->Close();
  fleet.RunUntil([&] { return fleet.proxy.counts().cancelled == 1; });
  for (const auto& peer : server.connections) {
    if (!peer->peer_closed) peer->Send(RowResponse("v"));
  }
  fleet.RunUntil([&] { return half_closed.MessageTypes().ends_with("TDCZ"); });
}

TEST_CASE("a write that waits for a primary is not sent after its client has closed") {
  Settings settings = DefaultSettings();
  settings.classes[2].latency_objective = 30 * kSecond;
  SimulatedFleet fleet(200, settings);
  DataServer& server =
      fleet.AddServer([](TestConnection& peer, const std::string&) { peer.Send(ErrorResponse("25006")); });
  fleet.ApplyEndpointList();
  TestConnection& client = fleet.ConnectClient({RequestText("write", "gone", kLongBudgetMs)});
  fleet.RunUntil([&] { return !server.queries.empty() && fleet.proxy.requests_in_flight() == 1; });
  client.connection->Close();
  fleet.RunUntil([&] { return fleet.proxy.counts().cancelled == 1; });
  const std::size_t queries_before = server.queries.size();
  server.load_report = "x1=1,x0=" + std::to_string(fleet.loop.Now().time_since_epoch().count() / 1000000);
  server.on_query = [](TestConnection& peer, const std::string&) { peer.Send(RowResponse("v", "primary")); };
  TestConnection& other = fleet.ConnectClient({RequestText("write", "here", kLongBudgetMs)});
  fleet.RunUntil([&] { return other.MessageTypes().ends_with("TDCZ"); });
  for (std::size_t i = queries_before; i < server.queries.size(); ++i)
    CHECK(server.queries[i].find("'gone'") == std::string::npos);
}

// Even if the settings disable cancellation, an attempt that was not sent yet must not be sent.
TEST_CASE("an attempt whose connection is established after its client has closed is not sent") {
  for (const bool may_cancel : {false, true}) {
    CAPTURE(may_cancel);
    Settings settings = DefaultSettings();
    settings.may_cancel = may_cancel;
    settings.load_reporting = LoadReporting::kNone;
    SimulatedFleet fleet(200, settings);
    DataServer& server = fleet.AddServer(kEchoValue);
    server.accepts_startup = false;
    fleet.ApplyEndpointList();
    TestConnection& client = fleet.ConnectClient({RequestText("any", "k", kLongBudgetMs)});
    fleet.RunUntil([&] { return !server.connections.empty() && server.connections[0]->startup_received; });
    client.connection->Close();
    fleet.RunUntil([&] { return fleet.proxy.counts().cancelled == 1; });
    for (const auto& peer : server.connections) peer->Send(StartupResponse());
    server.accepts_startup = true;
    TestConnection& other = fleet.ConnectClient(
        {RequestText("any", "2", kLongBudgetMs)});  // sent after it, on the same connection or a new one
    fleet.RunUntil([&] { return other.MessageTypes().ends_with("TDCZ"); });
    CHECK(server.queries.size() == 1);
  }
}

TEST_CASE("a partial message that is continued byte by byte times out, although there is always new input") {
  SimulatedFleet fleet;
  fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  TestConnection& client = fleet.ConnectClient({});
  client.Send("Q\0\2\0\0"s + "/* id=");
  net::Timer timer(fleet.loop);
  std::function<void()> send_byte = [&] {
    if (client.peer_closed) return;
    client.Send("x");
    timer.ScheduleAfter(Duration(100), send_byte);  // so that a byte is unread at every sweep
  };
  send_byte();
  fleet.RunUntil([&] { return client.peer_closed; });
  CHECK(client.HasReceived("08P01"));
}

TEST_CASE("hundreds of clients that send requests and close at once do not affect another client") {
  SimulatedFleet fleet(1000);
  DataServer& server = fleet.AddServer([](TestConnection& peer, const std::string& text) {
    if (text.find("'g'") != std::string::npos)
      peer.Send(RowResponse("g"));  // requests of the flood get no response
  });
  fleet.ApplyEndpointList();
  const std::uint16_t port = fleet.frontend.port();
  for (int i = 0; i < 300; ++i) {
    RawClient flood(port, QueryMessage(RequestText("any", "f", kLongBudgetMs)) +
                              QueryMessage(RequestText("any", "f", kLongBudgetMs)) + QueryMessage("SET x"));
  }
  // Rejected with a Retry-After during the flood, served after it.
  TestConnection& client = fleet.ConnectClient({""});
  std::size_t types_seen = 0;
  fleet.RunUntil([&] {
    const std::string types = client.MessageTypes();
    if (types.ends_with("Z") && !types.ends_with("DCZ") && types.size() > types_seen) {
      types_seen = types.size();
      client.Send(QueryMessage(RequestText("any", "g", kLongBudgetMs)));
    }
    return types.ends_with("TDCZ");
  });
  fleet.RunUntil([&] { return fleet.proxy.requests_in_flight() == 0 && fleet.frontend.sessions() == 1; });
  CHECK(std::ranges::count_if(server.queries, [](const auto& q) {
          return q.find("'f'") != std::string::npos;
        }) <= 300);  // none of the second requests
}

// ---- Graceful shutdown -----------------------------------------------------------------------------------

// Whether the last `count` responses are complete: served, or rejected because little time is left.
bool EndsWithResponses(const std::string& types, int count) {
  std::string rest = types;
  while (count-- > 0) {
    if (rest.ends_with("TDCZ")) {
      rest.resize(rest.size() - 4);
    } else if (rest.ends_with("EZ")) {
      rest.resize(rest.size() - 2);
    } else {
      return false;
    }
  }
  return rest.ends_with("KZ") || rest.ends_with("IZ");
}

// Runs until the listener is closed and idle sessions are being closed.
void RunUntilListenerClosed(SimulatedFleet& fleet, TimePoint start) {
  fleet.RunUntil([&] { return fleet.loop.Now() - start >= Duration(720000); });
}

TEST_CASE("shutdown: requests that have arrived are answered, later ones are not forwarded") {
  SimulatedFleet fleet(200, ShortDeadlineSettings());
  DataServer& server = fleet.AddServer(kNoResponse);
  fleet.ApplyEndpointList();
  bool drained = false;
  fleet.frontend.StartDrain([&] { drained = true; });
  const TimePoint start = fleet.loop.Now();
  fleet.RunUntil([&] { return fleet.loop.Now() - start >= Duration(600000); });
  TestConnection& client =
      fleet.ConnectClient({RequestText("any", "1", kLongBudgetMs), RequestText("any", "2", kLongBudgetMs)});
  fleet.RunUntil([&] { return server.queries.size() == 1; });
  RunUntilListenerClosed(fleet, start);
  server.on_query = kEchoValue;
  for (const auto& peer : server.connections) peer->Send(RowResponse("1"));
  fleet.RunUntil([&] { return client.peer_closed; });
  CHECK(EndsWithResponses(client.MessageTypes(), 2));
  CHECK_FALSE(client.was_reset);
  const std::size_t queries_before = server.queries.size();
  client.Send(QueryMessage(RequestText("any", "3", kLongBudgetMs)));
  fleet.RunUntil([&] { return client.connection->all_written(); });
  CHECK_FALSE(drained);  // input is discarded until the client closes
  client.connection->Close();
  fleet.RunUntil([&] { return drained; });
  CHECK(server.queries.size() == queries_before);
}

TEST_CASE(
    "shutdown: a request that crosses the close of an idle connection is not forwarded, and not reset") {
  Settings settings = ShortDeadlineSettings();
  for (RequestClass& request_class : settings.classes)
    request_class.latency_objective = 30 * kSecond;  // or requests might be rejected as late
  SimulatedFleet fleet(200, settings);
  DataServer& server = fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  RawClient idle(fleet.frontend.port(), QueryMessage(""));
  fleet.RunUntil([&] { return idle.HasReceived("I"); });
  fleet.frontend.StartDrain([] {});
  fleet.RunUntil([&] {
    idle.ReadAvailable();
    return idle.peer_closed;
  });
  idle.Send(QueryMessage(RequestText("any", "k", kLongBudgetMs)));
  fleet.RunUntil([&] { return fleet.frontend.sessions() == 0; });
  CHECK(server.queries.empty());
  CHECK(idle.SocketError() == 0);
}

TEST_CASE("shutdown: a client that sends its next request at each response is closed as well") {
  Settings settings = ShortDeadlineSettings();
  for (RequestClass& request_class : settings.classes) request_class.latency_objective = 30 * kSecond;
  SimulatedFleet fleet(200, settings);
  std::vector<std::unique_ptr<net::Timer>> timers;
  DataServer& server = fleet.AddServer(
      [&](TestConnection& peer, const std::string&) {  // hardly any pause between two requests
        timers.push_back(std::make_unique<net::Timer>(fleet.loop));
        timers.back()->ScheduleAfter(Duration(15000), [&peer] { peer.Send(RowResponse("v")); });
      });
  fleet.ApplyEndpointList();
  TestConnection& client = fleet.ConnectClient({RequestText("any", "k", kLongBudgetMs)});
  bool drained = false;
  fleet.frontend.StartDrain([&] { drained = true; });
  const TimePoint start = fleet.loop.Now();
  std::size_t types_seen = 0, queries_at_close = 0;
  fleet.RunUntil([&] {
    if (fleet.loop.Now() - start >= Duration(720000) && queries_at_close == 0)
      queries_at_close = server.queries.size();
    const std::size_t types = client.MessageTypes().size();
    if (!client.peer_closed && types > types_seen && client.MessageTypes().ends_with("CZ")) {
      client.Send(QueryMessage(RequestText("any", "k", kLongBudgetMs)));
    }
    types_seen = types;
    return client.peer_closed;
  });
  CHECK((queries_at_close == 0 || server.queries.size() <= queries_at_close + 1));
  client.connection->Close();
  fleet.RunUntil([&] { return drained; });
}

TEST_CASE("shutdown: a partial request gets 57P03, or its response if the rest arrives in time") {
  SimulatedFleet fleet(200, ShortDeadlineSettings());
  fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  fleet.frontend.StartDrain([] {});
  const TimePoint start = fleet.loop.Now();
  fleet.RunUntil([&] { return fleet.loop.Now() - start >= Duration(650000); });
  const std::string query = QueryMessage(RequestText("any", "v", kLongBudgetMs));
  TestConnection& partial = fleet.ConnectClient({""});
  TestConnection& completed = fleet.ConnectClient({""});
  fleet.RunUntil([&] { return partial.HasReceived("I") && completed.HasReceived("I"); });
  for (TestConnection* peer : {&partial, &completed}) peer->Send(query.substr(0, 30));
  RunUntilListenerClosed(fleet, start);
  completed.Send(query.substr(30));
  fleet.RunUntil([&] { return completed.peer_closed && partial.peer_closed; });
  CHECK(EndsWithResponses(completed.MessageTypes(), 1));
  CHECK(partial.HasReceived("57P03"));
  CHECK_FALSE(partial.was_reset);
  CHECK_FALSE(completed.was_reset);
}

TEST_CASE("shutdown: a connection that is not accepted yet when the listener closes gets its response") {
  SimulatedFleet fleet(200, ShortDeadlineSettings());
  fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  fleet.frontend.StartDrain([] {});
  const TimePoint start = fleet.loop.Now();
  fleet.RunUntil([&] { return fleet.loop.Now() - start >= Duration(600000); });
  // The loop is blocked until the listener is due to close; the connection and its request arrive in the
  // meantime.
  RawClient queued(fleet.frontend.port(), QueryMessage(RequestText("any", "v", kLongBudgetMs)));
  while (fleet.loop.PreciseNow() - start < Duration(705000))
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  fleet.RunUntil([&] { return queued.HasReceived("SELECT 1") || queued.HasReceived("53300"); });
  fleet.RunUntil([&] {
    queued.ReadAvailable();
    return queued.peer_closed;
  });
}

TEST_CASE("shutdown: requests in flight are answered before the earliest kill, whatever their deadline") {
  SimulatedFleet fleet(200, ShortDeadlineSettings());
  DataServer& server = fleet.AddServer(kNoResponse);
  fleet.ApplyEndpointList();
  TestConnection& attempted = fleet.ConnectClient({RequestText("any", "1", kLongBudgetMs)});
  fleet.RunUntil([&] { return server.queries.size() == 1; });
  server.on_query = [](TestConnection& peer, const std::string&) { peer.Send(ErrorResponse("25006")); };
  TestConnection& waiting = fleet.ConnectClient({RequestText("write", "2", kLongBudgetMs)});
  fleet.RunUntil([&] { return fleet.proxy.requests_in_flight() == 2; });
  bool drained = false;
  fleet.frontend.StartDrain([&] { drained = true; });
  fleet.frontend.StartDrain([&] { FAIL("a second call of StartDrain has an effect"); });
  const TimePoint start = fleet.loop.Now();
  fleet.RunUntil(
      [&] { return attempted.MessageTypes().ends_with("EZ") && waiting.MessageTypes().ends_with("EZ"); });
  // By the clock of the loop, so that the speed of the machine does not matter.
  CHECK(fleet.loop.Now() - start >= Duration(850000));
  CHECK(attempted.HasReceived("58000"));
  fleet.RunUntil([&] { return drained || (attempted.peer_closed && waiting.peer_closed); });
}

TEST_CASE("shutdown: responses larger than the client's receive window arrive complete before the close") {
  SimulatedFleet fleet(200, ShortDeadlineSettings());
  const std::string large(60000, 'x');
  DataServer& server = fleet.AddServer([&](TestConnection& peer, const std::string&) {
    std::string out;
    pg::AppendMessage(out, 'T', kRowDescription);
    std::string row("\0\1\0\0", 4);
    row += static_cast<char>(large.size() >> 8);
    row += static_cast<char>(large.size() & 0xff);
    pg::AppendMessage(out, 'D', row + large);
    pg::AppendCommandComplete(out, "SELECT 1");
    pg::AppendReadyForQuery(out);
    peer.Send(out);
  });
  fleet.ApplyEndpointList();
  TestConnection& client = fleet.OpenConnection(fleet.frontend.port());
  const int receive_bytes = 65536;
  setsockopt(client.connection->descriptor(), SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
  client.connection->PauseReading();
  std::string out;
  pg::AppendStartupMessage(out, "worker", "catalog");
  for (int i = 0; i < 60; ++i) pg::AppendQuery(out, RequestText("any", "k", kLongBudgetMs));
  client.Send(out);
  fleet.RunUntil([&] { return !server.queries.empty(); });
  fleet.frontend.StartDrain([] {});
  const TimePoint start = fleet.loop.Now();
  RunUntilListenerClosed(fleet, start);
  client.connection->ResumeReading();
  fleet.RunUntil([&] { return client.peer_closed; });
  CHECK_FALSE(client.was_reset);
  // Every message that was started is complete.
  std::string rest = client.received;
  for (pg::Frame frame; (frame = pg::ReadFrame(rest)).framing == pg::Framing::kComplete;)
    rest.erase(0, frame.size);
  CHECK(rest.empty());
  CHECK(client.MessageTypes().ends_with("Z"));
}

TEST_CASE(
    "a request that crosses the close of a session at its idle timeout is not forwarded, and not reset") {
  SimulatedFleet fleet(100);
  DataServer& server = fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  RawClient first(fleet.frontend.port(), QueryMessage(""));
  fleet.RunUntil([&] { return first.HasReceived("I"); });
  for (int i = 0; i < 20; ++i) fleet.ConnectClient({""});  // more than a quarter of the shared descriptors
  fleet.RunUntil([&] {
    first.ReadAvailable();
    return first.peer_closed;
  });
  first.Send(QueryMessage(RequestText("any")));
  first.ShutdownSending();
  fleet.RunUntil([&] { return fleet.frontend.sessions() == 0; });
  CHECK(server.queries.empty());
  CHECK(first.SocketError() == 0);
}

// ---- Attempts and data servers that end ------------------------------------------------------------------

struct AttemptRecorder final : proxy::UpstreamEvents {
  std::vector<proxy::AttemptResult> attempts;
  void OnAttemptFinished(proxy::AttemptResult end) override { attempts.push_back(std::move(end)); }
  void OnHealthCheckFinished(const HealthCheckEvent&) override {}
};

struct WriteStatement final : proxy::Statement {
  std::string TextWithBudget(Duration) const override { return RequestText("write"); }
};

// The retry was decided within the idempotency window, but its connection is established after the window.
TEST_CASE("a retry whose connection is established after the idempotency window is not sent") {
  net::Loop loop;
  net::DescriptorBudget budget(100);
  limits::MemoryBudget memory;
  upstream::ConnectionPool pool(loop, {.connect_timeout = Duration(5000000)}, budget, memory,
                                [] { return false; });
  AttemptRecorder recorder;
  pool.SetEvents(recorder);
  std::vector<std::unique_ptr<TestConnection>> peers;
  Strings queries;
  net::Listener listener(
      loop, [] { return true; },
      [&](net::ObjectPtr<GSocket> socket) {
        peers.push_back(std::make_unique<TestConnection>());
        TestConnection& peer = *peers.back();
        peer.is_server = true;
        peer.on_query = [&](TestConnection& connection, const std::string& text) {
          if (text.empty()) return connection.Send(EmptyQueryResponse());
          queries.push_back(text);
        };
        peer.connection = Connection::Adopt(loop, std::move(socket), peer, 65536, 65536);
      });
  REQUIRE(listener.Open({"127.0.0.1", 0}));
  const auto run_until = [&](const std::function<bool()>& condition) {
    while (!condition()) g_main_context_iteration(nullptr, TRUE);
  };
  pool.SetAddress(ServerId(1), {"127.0.0.1", listener.port()});
  const auto statement = std::make_shared<WriteStatement>();
  pool.StartAttempt(RequestId(1), 1, ServerId(1), statement, {Duration(4000000), Duration(30000)});
  run_until([&] { return queries.size() == 1; });  // the startup packet
  run_until([&] { return recorder.attempts.size() == 1; });
  CHECK(recorder.attempts[0].outcome == Outcome::kUnreachable);
  peers[0]->Send(StartupResponse());
  // The connection is established now: for an attempt in time, and for one whose write timeout has passed.
  pool.StartAttempt(RequestId(2), 0, ServerId(1), statement, {Duration(4000000)});
  run_until([&] { return queries.size() == 2; });
  peers[0]->Send(RowResponse("v"));
  run_until([&] { return recorder.attempts.size() == 2; });
  CHECK(recorder.attempts[1].outcome == Outcome::kOk);
  run_until([&] { return pool.idle() == 1; });
  pool.StartAttempt(RequestId(3), 1, ServerId(1), statement, {Duration(4000000), Duration(0)});
  run_until([&] { return recorder.attempts.size() == 3; });
  CHECK(recorder.attempts[2].outcome == Outcome::kUnreachable);
  CHECK(queries.size() == 2);
}

// For each kind of idempotency: the first attempt fails after its last byte was sent.
TEST_CASE("a statement that may have been executed is retried as its class allows") {
  const struct {
    Idempotency idempotency;
    Duration window;
    std::size_t min_attempts, max_attempts;
  } cases[] = {{Idempotency::kNotIdempotent, kSecond, 1, 1},
               {Idempotency::kIdempotencyKey, Duration(1), 1, 1},
               {Idempotency::kIdempotencyKey, 30 * kSecond, 2, 8},
               {Idempotency::kIdempotent, Duration(1), 2, 8}};
  for (const auto& c : cases) {
    CAPTURE(static_cast<int>(c.idempotency));
    CAPTURE(c.window.count());
    Settings settings = DefaultSettings();
    settings.classes[2].idempotency = c.idempotency;
    settings.classes[2].idempotency_window = c.window;
    SimulatedFleet fleet(200, settings);
    DataServer& server =
        fleet.AddServer([](TestConnection& peer, const std::string&) { peer.connection->Close(); });
    server.load_report = "x1=1,x0=1";
    fleet.ApplyEndpointList();
    TestConnection& client = fleet.ConnectClient({RequestText("write", "k", 2000)});
    fleet.RunUntil([&] { return client.MessageTypes().ends_with("EZ"); });
    CHECK(server.queries.size() >= c.min_attempts);
    CHECK(server.queries.size() <= c.max_attempts);
    CHECK(client.HasReceived("53300") == (c.idempotency == Idempotency::kIdempotent));
  }
}

TEST_CASE("a complete response followed by a reset is served, a truncated one is not") {
  for (const bool complete : {true, false}) {
    CAPTURE(complete);
    SimulatedFleet fleet;
    int attempts = 0;
    const auto reset = [](TestConnection& peer) {
      const linger now{1, 0};
      setsockopt(peer.connection->descriptor(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
      peer.connection->Close();
    };
    fleet.AddServer([&](TestConnection& peer, const std::string&) {
      if (++attempts > 1) return peer.Send(RowResponse("2"));
      peer.Send(complete ? RowResponse("1") : RowResponse("1").substr(0, 20));
      reset(peer);
    });
    fleet.ApplyEndpointList();
    TestConnection& client = fleet.ConnectClient({RequestText("any", "k", kLongBudgetMs)});
    fleet.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
    CHECK(client.MessageTypes().ends_with("KZTDCZ"));  // exactly one response
    // A reset may overtake the response in the kernel: then the second response is served.
    CHECK((client.HasReceived("\0011C") || client.HasReceived("\0012C")));
    if (!complete) CHECK(client.HasReceived("\0012C"));
    CHECK(fleet.proxy.requests_in_flight() == 0);
  }
}

TEST_CASE("a response that never ends is aborted, and its request is retried") {
  Settings settings = DefaultSettings();
  // Or the request might be rejected as late.
  for (RequestClass& request_class : settings.classes) request_class.latency_objective = 30 * kSecond;
  SimulatedFleet fleet(200, settings);
  TestConnection* endless = nullptr;
  fleet.AddServer([&](TestConnection& peer, const std::string&) {
    if (endless != nullptr) return peer.Send(RowResponse("v"));
    endless = &peer;
  });
  fleet.ApplyEndpointList();
  net::Timer timer(fleet.loop);
  std::function<void()> send_notice = [&] {
    std::string notice;
    pg::AppendNoticeResponse(notice, "more to come");
    if (endless != nullptr && !endless->peer_closed) endless->Send(notice);
    timer.ScheduleAfter(Duration(0), send_notice);  // so that there is unread input at any time
  };
  send_notice();
  TestConnection& client = fleet.ConnectClient({RequestText("any", "k", kLongBudgetMs)});
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
  fleet.RunUntil([&] { return endless->peer_closed; });
}

TEST_CASE("a data server that returns after a drain, with its id and a new start time, is used again") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  fleet.ApplyEndpointList(EndpointListKind::kPartial, Lifecycle::kDraining);
  TestConnection& rejected = fleet.ConnectClient({RequestText("any", "k", 300)});
  fleet.RunUntil([&] { return rejected.HasReceived("53300"); });
  EndpointListEvent returned{EndpointListKind::kPartial, {}};
  returned.entries.push_back({.server = ServerId(1), .group = GroupId(2), .started = fleet.loop.Now()});
  fleet.proxy.ApplyEndpointList(returned);
  TestConnection& served = fleet.ConnectClient({RequestText("any", "k", 3000)});
  fleet.RunUntil([&] { return served.MessageTypes().ends_with("TDCZ"); });
  CHECK(server.queries.size() == 1);
}

// ---- Discovery -------------------------------------------------------------------------------------------

// An agent of discovery that handles each request by its number, and a watch on it.
struct WatchFixture {
  using RequestHandler = std::function<void(TestConnection&, std::size_t)>;
  explicit WatchFixture(RequestHandler on_request,
                        discovery::DiscoveryService service = {.drain_grace = 2 * kSecond})
      : listener(
            loop, [] { return true; },
            [this, on_request = std::move(on_request)](net::ObjectPtr<GSocket> socket) {
              connections.push_back(std::make_unique<TestConnection>());
              TestConnection& peer = *connections.back();
              peer.connection = Connection::Adopt(loop, std::move(socket), peer, 65536, 65536);
              on_request(peer, connections.size());
            }),
        reader({"a"}) {
    REQUIRE(listener.Open({"127.0.0.1", 0}));
    watch.emplace(loop, net::Address{"127.0.0.1", listener.port()}, reader, 41, 1, service,
                  [this](const discovery::EndpointListUpdate& update) { updates.push_back(update); });
    watch->Start();
  }
  // The time limit is for a test that hangs, not a measure of speed.
  void RunUntil(const std::function<bool()>& condition) {
    bool timed_out = false;
    net::Timer timeout(loop);
    timeout.ScheduleAfter(10 * kSecond, [&] { timed_out = true; });
    while (!condition() && !timed_out) g_main_context_iteration(nullptr, TRUE);
    REQUIRE(condition());
  }
  net::Loop loop;
  net::Listener listener;
  discovery::EndpointListReader reader;
  std::vector<std::unique_ptr<TestConnection>> connections;
  std::vector<discovery::EndpointListUpdate> updates;
  std::optional<discovery::DiscoveryWatch> watch;
};

const std::string kResponseHeader = "HTTP/1.1 200 OK\r\n\r\n";
const std::string kDrainingEntry =
    R"({"uid":"s-1","endpoint":"127.0.0.1:1","az":"a","pod_group":2,"state":"Terminating"})";
std::string CompleteList(const char* revision) {
  return R"({"rev":)" + std::string(revision) + R"(,"all":true,"targets":[)" + kDrainingEntry + "]}";
}

TEST_CASE("a watch whose line never ends counts as silent and is reopened") {
  WatchFixture watcher([](TestConnection& peer, std::size_t call) {
    peer.Send(kResponseHeader + (call == 1 ? "{" : CompleteList("43") + "\n"));
  });
  net::Timer timer(watcher.loop);
  std::function<void()> send_byte = [&] {
    if (!watcher.connections.empty() && !watcher.connections[0]->peer_closed)
      watcher.connections[0]->Send(" ");
    timer.ScheduleAfter(Duration(50000), send_byte);
  };
  send_byte();
  watcher.RunUntil([&] { return watcher.updates.size() == 1; });
  CHECK(watcher.connections.size() == 2);
  CHECK(watcher.connections[1]->HasReceived("since=41 "));
}

TEST_CASE("an indented list over several lines is one list") {
  const std::string indented =
      "{\n  \"rev\": 43,\n  \"all\": true,\n  \"targets\": [\n    " + kDrainingEntry + "\n  ]\n}\n\n";
  WatchFixture watcher([&](TestConnection& peer, std::size_t) { peer.Send(kResponseHeader + indented); });
  watcher.RunUntil([&] { return !watcher.updates.empty(); });
  REQUIRE(watcher.updates[0].endpoints.size() == 1);
  CHECK(watcher.updates[0].revision == 43);
  CHECK(watcher.updates[0].endpoints[0].entry.lifecycle == Lifecycle::kDraining);
  CHECK(watcher.connections.size() == 1);
}

TEST_CASE("a response without a length is a list if the connection ends, but not if it is reset") {
  for (const bool reset : {true, false}) {
    CAPTURE(reset);
    const std::string list = CompleteList("43");
    WatchFixture watcher([&](TestConnection& peer, std::size_t call) {
      if (call > 1) return peer.Send(kResponseHeader + CompleteList("44") + "\n");
      peer.Send(kResponseHeader +
                (reset ? list.substr(0, list.size() - 2) : list));  // without a final newline
      if (!reset) return peer.connection->ShutdownSending();
    });
    watcher.RunUntil(
        [&] { return !watcher.connections.empty() && watcher.connections[0]->HasReceived("\r\n\r\n"); });
    if (reset) {
      const linger now{1, 0};
      setsockopt(watcher.connections[0]->connection->descriptor(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
      watcher.connections[0]->connection->Close();
    }
    watcher.RunUntil(
        [&] { return watcher.connections.size() == 2 && watcher.connections[1]->HasReceived("\r\n\r\n"); });
    CHECK(watcher.connections[1]->HasReceived(reset ? "since=41 " : "since=43 "));
    watcher.RunUntil([&] { return watcher.updates.size() == (reset ? 1 : 2); });
    CHECK(watcher.updates.back().revision == 44);
  }
}

// The next update builds on it, so its content would never be received.
TEST_CASE("a malformed line on a watch is requested again at once") {
  for (const std::string malformed : {"{\"rev\":42,\"all\":fal\n", "{\"rev\":42,\"all\"\n\n", "noise\n"}) {
    CAPTURE(malformed);
    WatchFixture watcher([&](TestConnection& peer, std::size_t call) {
      std::string response = kResponseHeader;
      response += call == 1 ? malformed : CompleteList("43");
      response += call == 1 ? R"({"rev":43,"all":false,"targets":[]})"
                              "\n"
                            : "\n";
      peer.Send(response);
    });
    watcher.RunUntil([&] { return !watcher.updates.empty(); });
    CHECK(watcher.connections.size() == 2);
    CHECK(watcher.updates[0].complete);
    CHECK(watcher.connections[1]->HasReceived("since=41 "));
  }
}

TEST_CASE("the role in the list is parsed, and a start time out of range is ignored") {
  discovery::EndpointListReader reader({"a"});
  const auto change = reader.Read(
      R"({"rev":1,"all":true,"targets":[)"
      R"({"uid":"p","endpoint":"127.0.0.1:1","az":"a","pod_group":2,"state":"Ready","replication":"primary",)"
      R"("boot_ms":9223372036854775807},)"
      R"({"uid":"r","endpoint":"127.0.0.1:2","az":"a","pod_group":2,"state":"Ready","replication":"standby",)"
      R"("boot_ms":1767225600123}]})");
  REQUIRE(change);
  REQUIRE(change->endpoints.size() == 2);
  CHECK(change->endpoints[0].entry.primary);
  CHECK_FALSE(change->endpoints[0].entry.started);
  CHECK_FALSE(change->endpoints[1].entry.primary);
  CHECK(change->endpoints[1].entry.started);
}

// ---- The pooler process ----------------------------------------------------------------------------------

const char kNoList[] = R"({"rev":41,"all":true,"targets":[]})";

// The signal arrives while the process reads its configuration from a pipe; after that the file contains
// another address of discovery.
TEST_CASE("a SIGHUP during the start is handled once the pooler has started") {
  SimulatedFleet fleet;
  DiscoveryAgent first(fleet.loop), second(fleet.loop);
  first.response = second.response = std::string(kNoList) + "\n";
  PoolerProcess pooler(fleet);
  const std::string path = pooler.folder + "/config.json";
  REQUIRE(mkfifo(path.c_str(), 0600) == 0);
  pooler.Start();
  FILE* pipe = nullptr;
  std::thread opener(
      [&] { pipe = std::fopen(path.c_str(), "w"); });  // returns once the process opens the pipe
  opener.join();
  REQUIRE(pipe != nullptr);
  g_subprocess_send_signal(pooler.process.get(), SIGHUP);
  const std::string text = pooler.PlatformConfig(first.Address(), kNoList);
  std::remove(path.c_str());
  pooler.Configure(pooler.PlatformConfig(second.Address(), kNoList));
  std::fwrite(text.data(), 1, text.size(), pipe);
  std::fclose(pipe);
  fleet.RunUntil([&] { return pooler.exited || second.HasReceived("GET "); });
  CHECK_FALSE(pooler.exited);
}

TEST_CASE("a malformed field of the configuration fails the start with one sentence that names it") {
  SimulatedFleet fleet;
  PoolerProcess pooler(fleet);
  const std::string valid = pooler.PlatformConfig("127.0.0.1:1", kNoList);
  const struct {
    const char *valid_text, *malformed_text, *field;
  } cases[] = {
      {R"("max_attempts":8)", R"("max_attempts":-1)", "max_attempts"},
      {R"("max_attempts":8)", R"("conn_idle_us":"long")", "conn_idle_us"},
      {R"("max_attempts":8)", R"("conn_idle_us":0)", "conn_idle_us"},
      {R"("max_attempts":8)", R"("connect_timeout_us":[])", "connect_timeout_us"},
      {R"("deadline_us":4000000)", R"("deadline_us":null)", "deadline_us"},
      {R"("idempotent")", R"("sometimes")", "effect"},
      {R"("idempotent")", R"("idempotent","key_scope":"world")", "key_scope"},
      {R"(["eventual"])", R"(["never"])", "class_read"},
      {R"("customers":[{"name":"acme"}])", R"("customers":{})", "customers"},
      {R"("customers":[)", R"("zones":"a","customers":[)", "zones"},
      {R"("customers":[)", R"("rules":{"drain_grace_us":"2s"},"customers":[)", "drain_grace_us"},
      {R"("customers":[)", R"("peers_total":1.5,"customers":[)", "peers_total"},
      {R"("seed":"1f")", R"("seed":"zz")", "seed"},
      {R"("seed":"1f")", R"("limits":7,"seed":"1f")", "limits"},
      {R"("seed":"1f")", R"("limits":{"sockets":-1},"seed":"1f")", "sockets"},
      {R"("seed":"1f")", R"("limits":{"memory_mb":0},"seed":"1f")", "memory_mb"},
      {R"("seed":"1f")", R"("limits":{"memory_mb":"32"},"seed":"1f")", "memory_mb"},
  };
  for (const auto& c : cases) {
    CAPTURE(c.malformed_text);
    std::string config = valid;
    REQUIRE(config.find(c.valid_text) != std::string::npos);
    config.replace(config.find(c.valid_text), std::strlen(c.valid_text), c.malformed_text);
    pooler.Configure(config);
    g_setenv("RELAY_CONFIG", (pooler.folder + "/config.json").c_str(), TRUE);
    gchar *out = nullptr, *error = nullptr;
    gint status = 0;
    gchar* argv[] = {const_cast<gchar*>(POOLER), nullptr};
    REQUIRE(g_spawn_sync(nullptr, argv, nullptr, G_SPAWN_DEFAULT, nullptr, nullptr, &out, &error, &status,
                         nullptr));
    const std::string message = error;
    g_free(out);
    g_free(error);
    CHECK(WEXITSTATUS(status) == 2);
    CHECK(std::ranges::count(message, '\n') == 1);
    CHECK(message.find(c.field) != std::string::npos);
  }
}

TEST_CASE("a pooler without an endpoint list, with discovery down, becomes ready and rejects requests") {
  SimulatedFleet fleet;
  const std::uint16_t closed = ClosedPort(fleet.loop);
  PoolerProcess pooler(fleet);
  pooler.Configure(pooler.PlatformConfig("127.0.0.1:" + std::to_string(closed), kNoList));
  pooler.Start();
  // All polls use one connection: one for each would exceed the descriptors of this process.
  TestConnection* client = nullptr;
  for (bool ready = false; !ready;) {
    if (client == nullptr || client->peer_closed) {
      client = &pooler.ConnectClient({""});
    } else {
      client->received.clear();
      client->Send(QueryMessage(""));
    }
    fleet.RunUntil([&] {
      return client->peer_closed || client->MessageTypes().ends_with("EZ") ||
             client->MessageTypes().ends_with("IZ");
    });
    ready = client->MessageTypes().ends_with("IZ");
    REQUIRE_FALSE(pooler.exited);
  }
  client->Send(QueryMessage(RequestText("any")));
  fleet.RunUntil([&] { return client->MessageTypes().ends_with("EZ"); });
  CHECK(client->HasReceived("53300"));
}

TEST_CASE("SIGTERM, also twice and before the pooler is ready, ends the process with exit code 0") {
  SimulatedFleet fleet;
  DiscoveryAgent agent(fleet.loop);
  PoolerProcess pooler(fleet);
  std::string config = pooler.PlatformConfig(agent.Address(), kNoList);
  config.replace(config.find("4000000"), 7, "400000");
  pooler.Configure(config);
  pooler.Start();
  fleet.RunUntil([&] { return agent.HasReceived("GET "); });
  TestConnection& early = pooler.ConnectClient({""});
  fleet.RunUntil([&] { return early.HasReceived("57P03"); });
  for (int i = 0; i < 2; ++i) g_subprocess_send_signal(pooler.process.get(), SIGTERM);
  fleet.RunUntil([&] { return pooler.exited; });
  REQUIRE(g_subprocess_get_if_exited(pooler.process.get()));
  CHECK(g_subprocess_get_exit_status(pooler.process.get()) == 0);
}

// The process may hold no more descriptors than its configuration allows, and idle clients try to occupy all
// of them.
TEST_CASE("clients that use up the descriptors while discovery is down do not block its update later") {
  SimulatedFleet fleet(2000);
  DataServer& server = fleet.AddServer(kEchoValue);
  const std::uint16_t port = ClosedPort(fleet.loop);
  const std::string known = R"({"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:)" +
                            std::to_string(server.listener.port()) +
                            R"(","az":"a","pod_group":2,"state":"Ready"}]})";
  std::string draining = known;
  draining.replace(draining.find("Ready"), 5, "Terminating");
  PoolerProcess pooler(fleet);
  std::string config = pooler.PlatformConfig("127.0.0.1:" + std::to_string(port), known);
  config.replace(config.find(R"("seed")"), 6, R"("limits":{"sockets":100},"seed")");
  pooler.Configure(config);
  pooler.Start();
  for (bool ready = false; !ready;) {
    TestConnection& client = pooler.ConnectClient({""});
    fleet.RunUntil([&] {
      return client.peer_closed || client.MessageTypes().ends_with("EZ") ||
             client.MessageTypes().ends_with("IZ");
    });
    ready = client.MessageTypes().ends_with("IZ");
  }
  const rlimit limit{100, 100};
  const pid_t pid = std::stoi(g_subprocess_get_identifier(pooler.process.get()));
  REQUIRE(prlimit(pid, RLIMIT_NOFILE, &limit, nullptr) == 0);
  for (int i = 0; i < 150; ++i) pooler.ConnectClient({""});
  fleet.RunUntil([&] { return fleet.clients.back()->MessageTypes().ends_with("IZ"); });
  TestConnection& served = pooler.ConnectClient({RequestText("any")});
  fleet.RunUntil([&] { return served.MessageTypes().ends_with("TDCZ"); });
  // The descriptors that clients cannot use stay free for the watch and for the process itself.
  const auto descriptors =
      std::distance(std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd"),
                    std::filesystem::directory_iterator());
  CHECK(descriptors <= 90);
  // Discovery returns while clients still occupy whatever becomes free.
  std::vector<std::unique_ptr<TestConnection>> agents;
  net::Listener agent(
      fleet.loop, [] { return true; },
      [&](net::ObjectPtr<GSocket> socket) {
        agents.push_back(std::make_unique<TestConnection>());
        agents.back()->connection =
            Connection::Adopt(fleet.loop, std::move(socket), *agents.back(), 65536, 65536);
        agents.back()->Send(kResponseHeader + draining + "\n");
      });
  REQUIRE(agent.Open({"127.0.0.1", port}));
  for (int i = 0; i < 150; ++i) pooler.ConnectClient({""});
  fleet.RunUntil([&] { return !agents.empty() && agents.back()->HasReceived("\r\n\r\n"); });
  for (bool rejected = false; !rejected;) {
    TestConnection& client = pooler.ConnectClient({RequestText("any", "k", 300)});
    fleet.RunUntil([&] {
      return client.peer_closed || client.MessageTypes().ends_with("EZ") ||
             client.MessageTypes().ends_with("CZ");
    });
    rejected = client.HasReceived("53300");
  }
  CHECK_FALSE(pooler.exited);
}

}  // namespace
}  // namespace lynxgrade
