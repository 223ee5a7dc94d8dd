// What is still owed when something ends: each test forces the order in which it could be forgotten, on real
// sockets. docs/endings.md lists them.
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
constexpr int kLong = 60000;  // ms: what ends before was not ended by the deadline; longer than any test

// Deadlines under the least time for which a stop serves on: it may be killed 1.1 s after the signal.
Settings Short() {
  Settings s = DefaultSettings();
  for (RequestClass& kind : s.classes) kind.deadline = Duration(400000);
  return s;
}

// ---- Clients that go -------------------------------------------------------------------------------------

TEST_CASE(
    "a cancel ends the open request with 57014, calls its attempt off, and leaves the connection usable") {
  SimulatedFleet w;
  DataServer& server = w.AddServer(kNoResponse);
  w.ApplyEndpointList();
  TestConnection& client = w.ConnectClient({RequestText("any", "k", kLong)});
  w.RunUntil([&] { return server.queries.size() == 1; });
  const std::size_t asked_on = server.connections.size();
  TestConnection& cancel = w.OpenConnection(w.frontend.port());
  cancel.Send(CancelRequestMessage(CancelKeyOf(client)));
  w.RunUntil([&] { return client.MessageTypes().ends_with("EZ") && cancel.peer_closed; });
  CHECK(client.HasReceived("57014"));
  CHECK(cancel.received.empty());
  CHECK_FALSE(cancel.was_reset);
  CHECK(w.proxy.requests_in_flight() == 0);
  w.RunUntil(
      [&] { return std::ranges::any_of(server.connections, [](const auto& p) { return p->peer_closed; }); });
  CHECK(server.connections.size() == asked_on);  // nothing further was sent
  server.on_query = kEchoValue;
  client.Send(QueryMessage(RequestText("any", "2")));
  w.RunUntil([&] { return client.MessageTypes().ends_with("EZTDCZ"); });
}

TEST_CASE("a cancel with a wrong key, or one that is nobody's, has no effect and gets a close alone") {
  SimulatedFleet w;
  DataServer& server = w.AddServer(kNoResponse);
  w.ApplyEndpointList();
  TestConnection& client = w.ConnectClient({RequestText("any", "k", kLong)});
  TestConnection& other = w.ConnectClient({""});
  w.RunUntil([&] { return server.queries.size() == 1 && other.HasReceived("I"); });
  const std::string key = CancelKeyOf(client), others = CancelKeyOf(other);
  REQUIRE(key.size() == 8);
  CHECK(key.substr(0, 4) != others.substr(0, 4));
  CHECK(key.substr(4) != others.substr(4));
  std::string wrong = key, nobodys = key;
  wrong[7] = static_cast<char>(wrong[7] ^ 1);
  nobodys[0] = '\x7f';
  for (const std::string& bad : {wrong, nobodys, others}) {
    TestConnection& cancel = w.OpenConnection(w.frontend.port());
    cancel.Send(CancelRequestMessage(bad));
    w.RunUntil([&] { return cancel.peer_closed; });
    CHECK(cancel.received.empty());
  }
  CHECK(w.proxy.requests_in_flight() == 1);
  server.connections.back()->Send(RowResponse("v"));
  w.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
}

TEST_CASE("a cancel that crosses the answer does not hit the next request of that connection") {
  SimulatedFleet w;
  DataServer& server = w.AddServer(kNoResponse);
  w.ApplyEndpointList();
  TestConnection& client = w.ConnectClient({RequestText("any", "1", kLong), RequestText("any", "2", kLong)});
  w.RunUntil([&] { return server.queries.size() == 1; });
  // On its way while the first is out; its bytes come when the second is.
  TestConnection& cancel = w.OpenConnection(w.frontend.port());
  w.RunUntil([&] { return w.frontend.sessions() == 2; });
  for (const auto& peer : server.connections) peer->Send(RowResponse("1"));
  w.RunUntil([&] { return server.queries.size() == 2; });
  cancel.Send(CancelRequestMessage(CancelKeyOf(client)));
  w.RunUntil([&] { return cancel.peer_closed; });
  CHECK(w.proxy.requests_in_flight() == 1);
  for (const auto& peer : server.connections) peer->Send(RowResponse("2"));
  w.RunUntil([&] { return client.MessageTypes().ends_with("TDCZTDCZ"); });
}

TEST_CASE("a client that sends more than the ring holds and goes is missed at once") {
  SimulatedFleet w;
  DataServer& server = w.AddServer(kNoResponse);
  w.ApplyEndpointList();
  std::string much;
  for (int i = 0; i < 8000; ++i) much += QueryMessage(RequestText("any", "k", kLong));
  REQUIRE(much.size() > 2 * pg::kMaxBufferBytes);
  RawClient client(w.frontend.port());
  w.RunUntil([&] { return client.HasReceived("Z"); });
  client.Send(QueryMessage(RequestText("any", "k", kLong)));
  w.RunUntil([&] { return server.queries.size() == 1; });
  client.SendNonBlocking(much);
  // Until the ring is full and nothing is read any more.
  const TimePoint from = w.loop.Now();
  w.RunUntil([&] { return w.loop.Now() - from > Duration(50000); });
  client.ReadAvailable();  // or the kernel would reset at once
  client.Close();
  w.RunUntil([&] { return w.proxy.counts().cancelled == 1; });
  w.RunUntil([&] { return w.frontend.sessions() == 0; });
  CHECK(server.queries.size() == 1);
}

TEST_CASE("a client that has ended its sending is told from one that closes after that") {
  SimulatedFleet w;
  DataServer& server = w.AddServer(kNoResponse);
  w.ApplyEndpointList();
  TestConnection& stays = w.ConnectClient({RequestText("any", "1", kLong)});
  TestConnection& goes = w.ConnectClient({RequestText("any", "2", kLong)});
  w.RunUntil([&] { return server.queries.size() == 2; });
  for (TestConnection* peer : {&stays, &goes}) shutdown(peer->connection->descriptor(), SHUT_WR);
  w.RunUntil([&] { return stays.HasReceived("still at work") && goes.HasReceived("still at work"); });
  goes.connection->Close();
  w.RunUntil([&] { return w.proxy.counts().cancelled == 1; });
  for (const auto& peer : server.connections) {
    if (!peer->peer_closed) peer->Send(RowResponse("v"));
  }
  w.RunUntil([&] { return stays.MessageTypes().ends_with("TDCZ"); });
}

TEST_CASE("a write that waits for its primary is not sent on once its client has closed") {
  Settings patient = DefaultSettings();
  patient.classes[2].latency_objective = 30 * kSecond;
  SimulatedFleet w(200, patient);
  DataServer& server =
      w.AddServer([](TestConnection& p, const std::string&) { p.Send(ErrorResponse("25006")); });
  w.ApplyEndpointList();
  TestConnection& client = w.ConnectClient({RequestText("write", "gone", kLong)});
  w.RunUntil([&] { return !server.queries.empty() && w.proxy.requests_in_flight() == 1; });
  client.connection->Close();
  w.RunUntil([&] { return w.proxy.counts().cancelled == 1; });
  const std::size_t before = server.queries.size();
  server.load_report = "x1=1,x0=" + std::to_string(w.loop.Now().time_since_epoch().count() / 1000000);
  server.on_query = [](TestConnection& p, const std::string&) { p.Send(RowResponse("v", "primary")); };
  TestConnection& other = w.ConnectClient({RequestText("write", "here", kLong)});
  w.RunUntil([&] { return other.MessageTypes().ends_with("TDCZ"); });
  for (std::size_t i = before; i < server.queries.size(); ++i)
    CHECK(server.queries[i].find("'gone'") == std::string::npos);
}

// Where nothing may be called off, what has not begun must not begin all the same.
TEST_CASE("an attempt whose connection comes up after its client has closed is not written") {
  for (const bool may_cancel : {false, true}) {
    CAPTURE(may_cancel);
    Settings settings = DefaultSettings();
    settings.may_cancel = may_cancel;
    settings.load_reporting = LoadReporting::kNone;
    SimulatedFleet w(200, settings);
    DataServer& server = w.AddServer(kEchoValue);
    server.accepts_startup = false;
    w.ApplyEndpointList();
    TestConnection& client = w.ConnectClient({RequestText("any", "k", kLong)});
    w.RunUntil([&] { return !server.connections.empty() && server.connections[0]->startup_received; });
    client.connection->Close();
    w.RunUntil([&] { return w.proxy.counts().cancelled == 1; });
    for (const auto& peer : server.connections) peer->Send(StartupResponse());
    server.accepts_startup = true;
    TestConnection& other = w.ConnectClient(
        {RequestText("any", "2", kLong)});  // comes after, on the same connection or a new one
    w.RunUntil([&] { return other.MessageTypes().ends_with("TDCZ"); });
    CHECK(server.queries.size() == 1);
  }
}

TEST_CASE(
    "a message that trickles on without an end is closed in time, though something has always just come") {
  SimulatedFleet w;
  w.AddServer(kEchoValue);
  w.ApplyEndpointList();
  TestConnection& client = w.ConnectClient({});
  client.Send("Q\0\2\0\0"s + "/* id=");
  net::Timer more(w.loop);
  std::function<void()> say = [&] {
    if (client.peer_closed) return;
    client.Send("x");
    more.ScheduleAfter(Duration(100), say);  // so that a byte lies unread at every sweep
  };
  say();
  w.RunUntil([&] { return client.peer_closed; });
  CHECK(client.HasReceived("08P01"));
}

TEST_CASE("hundreds of connections that send much and go in one segment cost the others nothing") {
  SimulatedFleet w(1000);
  DataServer& server = w.AddServer([](TestConnection& p, const std::string& text) {
    if (text.find("'g'") != std::string::npos) p.Send(RowResponse("g"));  // the others' never come back
  });
  w.ApplyEndpointList();
  const std::uint16_t port = w.frontend.port();
  for (int i = 0; i < 300; ++i) {
    RawClient flood(port, QueryMessage(RequestText("any", "f", kLong)) +
                              QueryMessage(RequestText("any", "f", kLong)) + QueryMessage("SET x"));
  }
  // Refused with advice while the flood stands, served once it has gone.
  TestConnection& good = w.ConnectClient({""});
  std::size_t heard = 0;
  w.RunUntil([&] {
    const std::string types = good.MessageTypes();
    if (types.ends_with("Z") && !types.ends_with("DCZ") && types.size() > heard) {
      heard = types.size();
      good.Send(QueryMessage(RequestText("any", "g", kLong)));
    }
    return types.ends_with("TDCZ");
  });
  w.RunUntil([&] { return w.proxy.requests_in_flight() == 0 && w.frontend.sessions() == 1; });
  CHECK(std::ranges::count_if(server.queries, [](const auto& q) {
          return q.find("'f'") != std::string::npos;
        }) <= 300);  // none of the second requests
}

// ---- Stops -----------------------------------------------------------------------------------------------

// Whether the last answers are so many and whole: served, or refused for the little time that is left.
bool Answered(const std::string& types, int count) {
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

// Until the listener is closed, and those between requests are told to go.
void UntilLeaving(SimulatedFleet& w, TimePoint from) {
  w.RunUntil([&] { return w.loop.Now() - from >= Duration(720000); });
}

TEST_CASE("a stop answers what was read behind an answer, and what is sent later is not sent on") {
  SimulatedFleet w(200, Short());
  DataServer& server = w.AddServer(kNoResponse);
  w.ApplyEndpointList();
  bool done = false;
  w.frontend.StartDrain([&] { done = true; });
  const TimePoint from = w.loop.Now();
  w.RunUntil([&] { return w.loop.Now() - from >= Duration(600000); });
  TestConnection& client = w.ConnectClient({RequestText("any", "1", kLong), RequestText("any", "2", kLong)});
  w.RunUntil([&] { return server.queries.size() == 1; });
  UntilLeaving(w, from);
  server.on_query = kEchoValue;
  for (const auto& peer : server.connections) peer->Send(RowResponse("1"));
  w.RunUntil([&] { return client.peer_closed; });
  CHECK(Answered(client.MessageTypes(), 2));
  CHECK_FALSE(client.was_reset);
  const std::size_t before = server.queries.size();
  client.Send(QueryMessage(RequestText("any", "3", kLong)));
  w.RunUntil([&] { return client.connection->all_written(); });
  CHECK_FALSE(done);  // while the client has not closed, what it sends is thrown away
  client.connection->Close();
  w.RunUntil([&] { return done; });
  CHECK(server.queries.size() == before);
}

TEST_CASE("a request that crosses the close of a resting connection is not sent on, and draws no reset") {
  Settings patient = Short();
  for (RequestClass& kind : patient.classes)
    kind.latency_objective = 30 * kSecond;  // or it might be refused for its time
  SimulatedFleet w(200, patient);
  DataServer& server = w.AddServer(kEchoValue);
  w.ApplyEndpointList();
  RawClient resting(w.frontend.port(), QueryMessage(""));
  w.RunUntil([&] { return resting.HasReceived("I"); });
  w.frontend.StartDrain([] {});
  w.RunUntil([&] {
    resting.ReadAvailable();
    return resting.peer_closed;
  });
  resting.Send(QueryMessage(RequestText("any", "k", kLong)));
  w.RunUntil([&] { return w.frontend.sessions() == 0; });
  CHECK(server.queries.empty());
  CHECK(resting.SocketError() == 0);
}

TEST_CASE("a client that asks again at each answer is told the end by a stop all the same") {
  Settings patient = Short();
  for (RequestClass& kind : patient.classes) kind.latency_objective = 30 * kSecond;
  SimulatedFleet w(200, patient);
  std::vector<std::unique_ptr<net::Timer>> timers;
  DataServer& server =
      w.AddServer([&](TestConnection& p, const std::string&) {  // hardly a moment between two requests
        timers.push_back(std::make_unique<net::Timer>(w.loop));
        timers.back()->ScheduleAfter(Duration(15000), [&p] { p.Send(RowResponse("v")); });
      });
  w.ApplyEndpointList();
  TestConnection& client = w.ConnectClient({RequestText("any", "k", kLong)});
  bool done = false;
  w.frontend.StartDrain([&] { done = true; });
  const TimePoint from = w.loop.Now();
  std::size_t heard = 0, at_stop = 0;
  w.RunUntil([&] {
    if (w.loop.Now() - from >= Duration(720000) && at_stop == 0) at_stop = server.queries.size();
    const std::size_t types = client.MessageTypes().size();
    if (!client.peer_closed && types > heard && client.MessageTypes().ends_with("CZ")) {
      client.Send(QueryMessage(RequestText("any", "k", kLong)));
    }
    heard = types;
    return client.peer_closed;
  });
  CHECK((at_stop == 0 || server.queries.size() <= at_stop + 1));
  client.connection->Close();
  w.RunUntil([&] { return done; });
}

TEST_CASE("half a request at a stop is refused with 57P03, or answered if its rest comes") {
  SimulatedFleet w(200, Short());
  w.AddServer(kEchoValue);
  w.ApplyEndpointList();
  w.frontend.StartDrain([] {});
  const TimePoint from = w.loop.Now();
  w.RunUntil([&] { return w.loop.Now() - from >= Duration(650000); });
  const std::string query = QueryMessage(RequestText("any", "v", kLong));
  TestConnection& half = w.ConnectClient({""});
  TestConnection& whole = w.ConnectClient({""});
  w.RunUntil([&] { return half.HasReceived("I") && whole.HasReceived("I"); });
  for (TestConnection* peer : {&half, &whole}) peer->Send(query.substr(0, 30));
  UntilLeaving(w, from);
  whole.Send(query.substr(30));
  w.RunUntil([&] { return whole.peer_closed && half.peer_closed; });
  CHECK(Answered(whole.MessageTypes(), 1));
  CHECK(half.HasReceived("57P03"));
  CHECK_FALSE(half.was_reset);
  CHECK_FALSE(whole.was_reset);
}

TEST_CASE("a connection that waits in the queue as the listener closes has its request answered") {
  SimulatedFleet w(200, Short());
  w.AddServer(kEchoValue);
  w.ApplyEndpointList();
  w.frontend.StartDrain([] {});
  const TimePoint from = w.loop.Now();
  w.RunUntil([&] { return w.loop.Now() - from >= Duration(600000); });
  // The loop stands still until the listener is due to close: the connection and its request come meanwhile.
  RawClient queued(w.frontend.port(), QueryMessage(RequestText("any", "v", kLong)));
  while (w.loop.PreciseNow() - from < Duration(705000))
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  w.RunUntil([&] { return queued.HasReceived("SELECT 1") || queued.HasReceived("53300"); });
  w.RunUntil([&] {
    queued.ReadAvailable();
    return queued.peer_closed;
  });
}

TEST_CASE("what is owed is answered before the earliest kill, whatever its deadline") {
  SimulatedFleet w(200, Short());
  DataServer& server = w.AddServer(kNoResponse);
  w.ApplyEndpointList();
  TestConnection& out = w.ConnectClient({RequestText("any", "1", kLong)});
  w.RunUntil([&] { return server.queries.size() == 1; });
  server.on_query = [](TestConnection& p, const std::string&) { p.Send(ErrorResponse("25006")); };
  TestConnection& held = w.ConnectClient({RequestText("write", "2", kLong)});
  w.RunUntil([&] { return w.proxy.requests_in_flight() == 2; });
  bool done = false;
  w.frontend.StartDrain([&] { done = true; });
  w.frontend.StartDrain([&] { FAIL("a second stop is none of its own"); });
  const TimePoint from = w.loop.Now();
  w.RunUntil([&] { return out.MessageTypes().ends_with("EZ") && held.MessageTypes().ends_with("EZ"); });
  // The loop's own times: this is the moment that was chosen, not how fast the machine is.
  CHECK(w.loop.Now() - from >= Duration(850000));
  CHECK(out.HasReceived("58000"));
  w.RunUntil([&] { return done || (out.peer_closed && held.peer_closed); });
}

TEST_CASE("an answer larger than the client's window at the stop arrives whole, and then the end") {
  SimulatedFleet w(200, Short());
  const std::string large(60000, 'x');
  DataServer& server = w.AddServer([&](TestConnection& p, const std::string&) {
    std::string out;
    pg::AppendMessage(out, 'T', kRowDescription);
    std::string row("\0\1\0\0", 4);
    row += static_cast<char>(large.size() >> 8);
    row += static_cast<char>(large.size() & 0xff);
    pg::AppendMessage(out, 'D', row + large);
    pg::AppendCommandComplete(out, "SELECT 1");
    pg::AppendReadyForQuery(out);
    p.Send(out);
  });
  w.ApplyEndpointList();
  TestConnection& client = w.OpenConnection(w.frontend.port());
  const int small = 65536;
  setsockopt(client.connection->descriptor(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  client.connection->PauseReading();
  std::string out;
  pg::AppendStartupMessage(out, "worker", "catalog");
  for (int i = 0; i < 60; ++i) pg::AppendQuery(out, RequestText("any", "k", kLong));
  client.Send(out);
  w.RunUntil([&] { return !server.queries.empty(); });
  w.frontend.StartDrain([] {});
  const TimePoint from = w.loop.Now();
  UntilLeaving(w, from);
  client.connection->ResumeReading();
  w.RunUntil([&] { return client.peer_closed; });
  CHECK_FALSE(client.was_reset);
  // Every answer that was begun is whole.
  std::string rest = client.received;
  for (pg::Frame f; (f = pg::ReadFrame(rest)).framing == pg::Framing::kComplete;) rest.erase(0, f.size);
  CHECK(rest.empty());
  CHECK(client.MessageTypes().ends_with("Z"));
}

TEST_CASE("an idle client that is closed for its age reads the end; its next request is not run, nor reset") {
  SimulatedFleet w(100);
  DataServer& server = w.AddServer(kEchoValue);
  w.ApplyEndpointList();
  RawClient first(w.frontend.port(), QueryMessage(""));
  w.RunUntil([&] { return first.HasReceived("I"); });
  for (int i = 0; i < 20; ++i) w.ConnectClient({""});  // more than a quarter of what clients may hold
  w.RunUntil([&] {
    first.ReadAvailable();
    return first.peer_closed;
  });
  first.Send(QueryMessage(RequestText("any")));
  first.ShutdownSending();
  w.RunUntil([&] { return w.frontend.sessions() == 0; });
  CHECK(server.queries.empty());
  CHECK(first.SocketError() == 0);
}

// ---- Data servers that end -------------------------------------------------------------------------------

struct Ends final : proxy::UpstreamEvents {
  std::vector<proxy::AttemptResult> attempts;
  void OnAttemptFinished(proxy::AttemptResult end) override { attempts.push_back(std::move(end)); }
  void OnHealthCheckFinished(const HealthCheckEvent&) override {}
};

struct Text final : proxy::Statement {
  std::string TextWithBudget(Duration) const override { return RequestText("write"); }
};

// The window was open when the repeat was decided; its connection comes up when it is not any more.
TEST_CASE("a repeat whose connection comes up after its window has closed is not written") {
  net::Loop loop;
  net::DescriptorBudget budget(100);
  upstream::ConnectionPool pool(loop, {.connect_timeout = Duration(5000000)}, budget, [] { return false; });
  Ends ends;
  pool.SetEvents(ends);
  std::vector<std::unique_ptr<TestConnection>> peers;
  Strings queries;
  net::Listener listener(
      loop, [] { return true; },
      [&](net::ObjectPtr<GSocket> socket) {
        peers.push_back(std::make_unique<TestConnection>());
        TestConnection& peer = *peers.back();
        peer.is_server = true;
        peer.on_query = [&](TestConnection&, const std::string& text) { queries.push_back(text); };
        peer.connection = Connection::Adopt(loop, std::move(socket), peer, 65536, 65536);
      });
  REQUIRE(listener.Open({"127.0.0.1", 0}));
  const auto until = [&](const std::function<bool()>& holds) {
    while (!holds()) g_main_context_iteration(nullptr, TRUE);
  };
  pool.SetAddress(ServerId(1), {"127.0.0.1", listener.port()});
  const auto work = std::make_shared<Text>();
  pool.StartAttempt(RequestId(1), 1, ServerId(1), work, {Duration(4000000), Duration(30000)});
  until([&] { return queries.size() == 1; });  // the hello
  until([&] { return ends.attempts.size() == 1; });
  CHECK(ends.attempts[0].outcome == Outcome::kUnreachable);
  peers[0]->Send(StartupResponse());
  // Up now, for one that may still be written, and for one whose time passes while the loop stands still.
  pool.StartAttempt(RequestId(2), 0, ServerId(1), work, {Duration(4000000)});
  until([&] { return queries.size() == 2; });
  peers[0]->Send(RowResponse("v"));
  until([&] { return ends.attempts.size() == 2; });
  CHECK(ends.attempts[1].outcome == Outcome::kOk);
  pool.StartAttempt(RequestId(3), 1, ServerId(1), work, {Duration(4000000), Duration(0)});
  until([&] { return ends.attempts.size() == 3; });
  CHECK(ends.attempts[2].outcome == Outcome::kUnreachable);
  CHECK(queries.size() == 2);
}

// Of each effect, one whose first attempt broke after its last byte, in a window shorter than the deadline.
TEST_CASE("what may have run is sent again as its class allows: never, within the window, or freely") {
  const struct {
    Idempotency idempotency;
    Duration window;
    std::size_t least, most;
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
    SimulatedFleet w(200, settings);
    DataServer& server = w.AddServer([](TestConnection& p, const std::string&) { p.connection->Close(); });
    server.load_report = "x1=1,x0=1";
    w.ApplyEndpointList();
    TestConnection& client = w.ConnectClient({RequestText("write", "k", 2000)});
    w.RunUntil([&] { return client.MessageTypes().ends_with("EZ"); });
    CHECK(server.queries.size() >= c.least);
    CHECK(server.queries.size() <= c.most);
    CHECK(client.HasReceived("53300") == (c.idempotency == Idempotency::kIdempotent));
  }
}

TEST_CASE("an answer and a reset in one turn is an answer, and one that is cut is none") {
  for (const bool whole : {true, false}) {
    CAPTURE(whole);
    SimulatedFleet w;
    int asked = 0;
    const auto reset = [](TestConnection& p) {
      const linger now{1, 0};
      setsockopt(p.connection->descriptor(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
      p.connection->Close();
    };
    w.AddServer([&](TestConnection& p, const std::string&) {
      if (++asked > 1) return p.Send(RowResponse("2"));
      p.Send(whole ? RowResponse("1") : RowResponse("1").substr(0, 20));
      reset(p);
    });
    w.ApplyEndpointList();
    TestConnection& client = w.ConnectClient({RequestText("any", "k", kLong)});
    w.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
    CHECK(client.MessageTypes().ends_with("KZTDCZ"));  // once
    // A reset may overtake an answer in the kernel: then it was none, and the second is given.
    CHECK((client.HasReceived("\0011C") || client.HasReceived("\0012C")));
    if (!whole) CHECK(client.HasReceived("\0012C"));
    CHECK(w.proxy.requests_in_flight() == 0);
  }
}

TEST_CASE("an answer that goes on for ever is cut, and its request tried again") {
  Settings patient = DefaultSettings();
  // Or it might be refused for the time it has lost.
  for (RequestClass& kind : patient.classes) kind.latency_objective = 30 * kSecond;
  SimulatedFleet w(200, patient);
  TestConnection* endless = nullptr;
  w.AddServer([&](TestConnection& p, const std::string&) {
    if (endless != nullptr) return p.Send(RowResponse("v"));
    endless = &p;
  });
  w.ApplyEndpointList();
  net::Timer more(w.loop);
  std::function<void()> say = [&] {
    std::string notice;
    pg::AppendNoticeResponse(notice, "more to come");
    if (endless != nullptr && !endless->peer_closed) endless->Send(notice);
    more.ScheduleAfter(Duration(0), say);  // so that something is unread at every moment
  };
  say();
  TestConnection& client = w.ConnectClient({RequestText("any", "k", kLong)});
  w.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
  w.RunUntil([&] { return endless->peer_closed; });
}

TEST_CASE("a data server that drained and is back under its id, with a new start, is used again") {
  SimulatedFleet w;
  DataServer& server = w.AddServer(kEchoValue);
  w.ApplyEndpointList();
  w.ApplyEndpointList(EndpointListKind::kPartial, Lifecycle::kDraining);
  TestConnection& refused = w.ConnectClient({RequestText("any", "k", 300)});
  w.RunUntil([&] { return refused.HasReceived("53300"); });
  EndpointListEvent back{EndpointListKind::kPartial, {}};
  back.entries.push_back({.server = ServerId(1), .group = GroupId(2), .started = w.loop.Now()});
  w.proxy.ApplyEndpointList(back);
  TestConnection& served = w.ConnectClient({RequestText("any", "k", 3000)});
  w.RunUntil([&] { return served.MessageTypes().ends_with("TDCZ"); });
  CHECK(server.queries.size() == 1);
}

// ---- Discovery that goes quiet ---------------------------------------------------------------------------

// An agent that answers each call by its number, and a watch on it.
struct Watched {
  using Answer = std::function<void(TestConnection&, std::size_t)>;
  explicit Watched(Answer answer, discovery::DiscoveryService service = {.drain_grace = 2 * kSecond})
      : listener(
            loop, [] { return true; },
            [this, answer = std::move(answer)](net::ObjectPtr<GSocket> socket) {
              connections.push_back(std::make_unique<TestConnection>());
              TestConnection& peer = *connections.back();
              peer.connection = Connection::Adopt(loop, std::move(socket), peer, 65536, 65536);
              answer(peer, connections.size());
            }),
        reader({"a"}) {
    REQUIRE(listener.Open({"127.0.0.1", 0}));
    watch.emplace(loop, net::Address{"127.0.0.1", listener.port()}, reader, 41, 1, service,
                  [this](const discovery::EndpointListUpdate& change) { changes.push_back(change); });
    watch->Start();
  }
  // The time limit is for a test that hangs, not a measure of speed.
  void RunUntil(const std::function<bool()>& holds) {
    bool late = false;
    net::Timer limit(loop);
    limit.ScheduleAfter(10 * kSecond, [&] { late = true; });
    while (!holds() && !late) g_main_context_iteration(nullptr, TRUE);
    REQUIRE(holds());
  }
  net::Loop loop;
  net::Listener listener;
  discovery::EndpointListReader reader;
  std::vector<std::unique_ptr<TestConnection>> connections;
  std::vector<discovery::EndpointListUpdate> changes;
  std::optional<discovery::DiscoveryWatch> watch;
};

const std::string kOpenEnded = "HTTP/1.1 200 OK\r\n\r\n";
const std::string kDrains =
    R"({"uid":"s-1","endpoint":"127.0.0.1:1","az":"a","pod_group":2,"state":"Terminating"})";
std::string Listing(const char* revision) {
  return R"({"rev":)" + std::string(revision) + R"(,"all":true,"targets":[)" + kDrains + "]}";
}

TEST_CASE("a watch that trickles a line that never ends is silent, and opened anew") {
  Watched w([](TestConnection& p, std::size_t call) {
    p.Send(kOpenEnded + (call == 1 ? "{" : Listing("43") + "\n"));
  });
  net::Timer trickle(w.loop);
  std::function<void()> drop = [&] {
    if (!w.connections.empty() && !w.connections[0]->peer_closed) w.connections[0]->Send(" ");
    trickle.ScheduleAfter(Duration(50000), drop);
  };
  drop();
  w.RunUntil([&] { return w.changes.size() == 1; });
  CHECK(w.connections.size() == 2);
  CHECK(w.connections[1]->HasReceived("since=41 "));
}

TEST_CASE("a list that comes indented over several lines is one list") {
  const std::string indented =
      "{\n  \"rev\": 43,\n  \"all\": true,\n  \"targets\": [\n    " + kDrains + "\n  ]\n}\n\n";
  Watched w([&](TestConnection& p, std::size_t) { p.Send(kOpenEnded + indented); });
  w.RunUntil([&] { return !w.changes.empty(); });
  REQUIRE(w.changes[0].endpoints.size() == 1);
  CHECK(w.changes[0].revision == 43);
  CHECK(w.changes[0].endpoints[0].entry.lifecycle == Lifecycle::kDraining);
  CHECK(w.connections.size() == 1);
}

TEST_CASE("an answer without a length that is reset is no list, and one that ends is") {
  for (const bool reset : {true, false}) {
    CAPTURE(reset);
    const std::string list = Listing("43");
    Watched w([&](TestConnection& p, std::size_t call) {
      if (call > 1) return p.Send(kOpenEnded + Listing("44") + "\n");
      p.Send(kOpenEnded + (reset ? list.substr(0, list.size() - 2) : list));  // without a line's end
      if (!reset) return p.connection->ShutdownSending();
    });
    w.RunUntil([&] { return !w.connections.empty() && w.connections[0]->HasReceived("\r\n\r\n"); });
    if (reset) {
      const linger now{1, 0};
      setsockopt(w.connections[0]->connection->descriptor(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
      w.connections[0]->connection->Close();
    }
    w.RunUntil([&] { return w.connections.size() == 2 && w.connections[1]->HasReceived("\r\n\r\n"); });
    CHECK(w.connections[1]->HasReceived(reset ? "since=41 " : "since=43 "));
    w.RunUntil([&] { return w.changes.size() == (reset ? 1 : 2); });
    CHECK(w.changes.back().revision == 44);
  }
}

// The next change would build on it: what it told would never be known.
TEST_CASE("a spoilt line on a watch is asked for again at once") {
  for (const std::string spoilt : {"{\"rev\":42,\"all\":fal\n", "{\"rev\":42,\"all\"\n\n", "noise\n"}) {
    CAPTURE(spoilt);
    Watched w([&](TestConnection& p, std::size_t call) {
      p.Send(kOpenEnded +
             (call == 1 ? spoilt + R"({"rev":43,"all":false,"targets":[]})" + "\n" : Listing("43") + "\n"));
    });
    w.RunUntil([&] { return !w.changes.empty(); });
    CHECK(w.connections.size() == 2);
    CHECK(w.changes[0].complete);
    CHECK(w.connections[1]->HasReceived("since=41 "));
  }
}

TEST_CASE("the role that the list shows is read, and a start beyond all time is none") {
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

// ---- The program itself ----------------------------------------------------------------------------------

const char kNoList[] = R"({"rev":41,"all":true,"targets":[]})";

// It stands in the read of its configuration, a pipe here, when the signal comes: after that the file names
// another address.
TEST_CASE("SIGHUP that comes while the program starts is obeyed once it has started") {
  SimulatedFleet w;
  DiscoveryAgent first(w.loop), second(w.loop);
  first.response = second.response = std::string(kNoList) + "\n";
  PoolerProcess program(w);
  const std::string path = program.folder + "/config.json";
  REQUIRE(mkfifo(path.c_str(), 0600) == 0);
  program.Start();
  FILE* pipe = nullptr;
  std::thread opener([&] { pipe = std::fopen(path.c_str(), "w"); });  // returns once it is being read
  opener.join();
  REQUIRE(pipe != nullptr);
  g_subprocess_send_signal(program.process.get(), SIGHUP);
  const std::string text = program.PlatformConfig(first.Address(), kNoList);
  std::remove(path.c_str());
  program.Configure(program.PlatformConfig(second.Address(), kNoList));
  std::fwrite(text.data(), 1, text.size(), pipe);
  std::fclose(pipe);
  w.RunUntil([&] { return program.exited || second.HasReceived("GET "); });
  CHECK_FALSE(program.exited);
}

TEST_CASE("a malformed field of the configuration ends the start with one sentence that names it") {
  SimulatedFleet w;
  PoolerProcess program(w);
  const std::string sound = program.PlatformConfig("127.0.0.1:1", kNoList);
  const struct {
    const char *old, *now, *named;
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
  };
  for (const auto& c : cases) {
    CAPTURE(c.now);
    std::string config = sound;
    REQUIRE(config.find(c.old) != std::string::npos);
    config.replace(config.find(c.old), std::strlen(c.old), c.now);
    program.Configure(config);
    g_setenv("RELAY_CONFIG", (program.folder + "/config.json").c_str(), TRUE);
    gchar *out = nullptr, *error = nullptr;
    gint status = 0;
    gchar* argv[] = {const_cast<gchar*>(POOLER), nullptr};
    REQUIRE(g_spawn_sync(nullptr, argv, nullptr, G_SPAWN_DEFAULT, nullptr, nullptr, &out, &error, &status,
                         nullptr));
    const std::string said = error;
    g_free(out);
    g_free(error);
    CHECK(WEXITSTATUS(status) == 2);
    CHECK(std::ranges::count(said, '\n') == 1);
    CHECK(said.find(c.named) != std::string::npos);
  }
}

TEST_CASE("a program that knows nobody, with discovery down, is ready in time and refuses with advice") {
  SimulatedFleet w;
  const std::uint16_t closed = ClosedPort(w.loop);
  PoolerProcess program(w);
  program.Configure(program.PlatformConfig("127.0.0.1:" + std::to_string(closed), kNoList));
  program.Start();
  // On one connection, once it is taken in: one for each look were more than this process may hold.
  TestConnection* client = nullptr;
  for (bool ready = false; !ready;) {
    if (client == nullptr || client->peer_closed) {
      client = &program.ConnectClient({""});
    } else {
      client->received.clear();
      client->Send(QueryMessage(""));
    }
    w.RunUntil([&] {
      return client->peer_closed || client->MessageTypes().ends_with("EZ") ||
             client->MessageTypes().ends_with("IZ");
    });
    ready = client->MessageTypes().ends_with("IZ");
    REQUIRE_FALSE(program.exited);
  }
  client->Send(QueryMessage(RequestText("any")));
  w.RunUntil([&] { return client->MessageTypes().ends_with("EZ"); });
  CHECK(client->HasReceived("53300"));
}

TEST_CASE("SIGTERM twice, and before it is ready, ends the program in order") {
  SimulatedFleet w;
  DiscoveryAgent silent(w.loop);
  PoolerProcess program(w);
  std::string config = program.PlatformConfig(silent.Address(), kNoList);
  config.replace(config.find("4000000"), 7, "400000");
  program.Configure(config);
  program.Start();
  w.RunUntil([&] { return silent.HasReceived("GET "); });
  TestConnection& early = program.ConnectClient({""});
  w.RunUntil([&] { return early.HasReceived("57P03"); });
  for (int i = 0; i < 2; ++i) g_subprocess_send_signal(program.process.get(), SIGTERM);
  w.RunUntil([&] { return program.exited; });
  REQUIRE(g_subprocess_get_if_exited(program.process.get()));
  CHECK(g_subprocess_get_exit_status(program.process.get()) == 0);
}

// The process may hold no more descriptors than its configuration says, and idle clients ask for all of them.
TEST_CASE(
    "clients that fill the descriptors while discovery is down do not keep its word out at its return") {
  SimulatedFleet w(2000);
  DataServer& server = w.AddServer(kEchoValue);
  const std::uint16_t port = ClosedPort(w.loop);
  const std::string known = R"({"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:)" +
                            std::to_string(server.listener.port()) +
                            R"(","az":"a","pod_group":2,"state":"Ready"}]})";
  std::string now = known;
  now.replace(now.find("Ready"), 5, "Terminating");
  PoolerProcess program(w);
  std::string config = program.PlatformConfig("127.0.0.1:" + std::to_string(port), known);
  config.replace(config.find(R"("seed")"), 6, R"("limits":{"sockets":100},"seed")");
  program.Configure(config);
  program.Start();
  for (bool ready = false; !ready;) {
    TestConnection& client = program.ConnectClient({""});
    w.RunUntil([&] {
      return client.peer_closed || client.MessageTypes().ends_with("EZ") ||
             client.MessageTypes().ends_with("IZ");
    });
    ready = client.MessageTypes().ends_with("IZ");
  }
  const rlimit most{100, 100};
  const pid_t pid = std::stoi(g_subprocess_get_identifier(program.process.get()));
  REQUIRE(prlimit(pid, RLIMIT_NOFILE, &most, nullptr) == 0);
  for (int i = 0; i < 150; ++i) program.ConnectClient({""});
  w.RunUntil([&] { return program.fleet.clients.back()->MessageTypes().ends_with("IZ"); });
  TestConnection& before = program.ConnectClient({RequestText("any")});
  w.RunUntil([&] { return before.MessageTypes().ends_with("TDCZ"); });
  // What clients cannot have stays free for the watch, and for the program's own.
  const auto held = std::distance(std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd"),
                                  std::filesystem::directory_iterator());
  CHECK(held <= 90);
  // It returns, while clients go on to fill what is free.
  std::vector<std::unique_ptr<TestConnection>> agents;
  net::Listener agent(
      w.loop, [] { return true; },
      [&](net::ObjectPtr<GSocket> socket) {
        agents.push_back(std::make_unique<TestConnection>());
        agents.back()->connection =
            Connection::Adopt(w.loop, std::move(socket), *agents.back(), 65536, 65536);
        agents.back()->Send(kOpenEnded + now + "\n");
      });
  REQUIRE(agent.Open({"127.0.0.1", port}));
  for (int i = 0; i < 150; ++i) program.ConnectClient({""});
  w.RunUntil([&] { return !agents.empty() && agents.back()->HasReceived("\r\n\r\n"); });
  for (bool told = false; !told;) {
    TestConnection& client = program.ConnectClient({RequestText("any", "k", 300)});
    w.RunUntil([&] {
      return client.peer_closed || client.MessageTypes().ends_with("EZ") ||
             client.MessageTypes().ends_with("CZ");
    });
    told = client.HasReceived("53300");
  }
  CHECK_FALSE(program.exited);
}

}  // namespace
}  // namespace lynxgrade
