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
  Settings s = Usual();
  for (RequestClass& kind : s.classes) kind.deadline = Duration(400000);
  return s;
}

// ---- Clients that go -------------------------------------------------------------------------------------

TEST_CASE(
    "a cancel ends the open request with 57014, calls its attempt off, and leaves the connection usable") {
  SimulatedFleet w;
  DataServer& server = w.Serve(kSilent);
  w.List();
  Peer& client = w.Client({Ask("any", "k", kLong)});
  w.Until([&] { return server.queries.size() == 1; });
  const std::size_t asked_on = server.peers.size();
  Peer& cancel = w.Connect(w.front.port());
  cancel.Say(CancelBytes(SessionKeyOf(client)));
  w.Until([&] { return client.Types().ends_with("EZ") && cancel.ended; });
  CHECK(client.Saw("57014"));
  CHECK(cancel.bytes.empty());
  CHECK_FALSE(cancel.reset);
  CHECK(w.proxy.open() == 0);
  w.Until([&] { return std::ranges::any_of(server.peers, [](const auto& p) { return p->ended; }); });
  CHECK(server.peers.size() == asked_on);  // nothing further was sent
  server.script = kAnswer;
  client.Say(Query(Ask("any", "2")));
  w.Until([&] { return client.Types().ends_with("EZTDCZ"); });
}

TEST_CASE("a cancel with a wrong key, or one that is nobody's, has no effect and gets a close alone") {
  SimulatedFleet w;
  DataServer& server = w.Serve(kSilent);
  w.List();
  Peer& client = w.Client({Ask("any", "k", kLong)});
  Peer& other = w.Client({""});
  w.Until([&] { return server.queries.size() == 1 && other.Saw("I"); });
  const std::string key = SessionKeyOf(client), others = SessionKeyOf(other);
  REQUIRE(key.size() == 8);
  CHECK(key.substr(0, 4) != others.substr(0, 4));
  CHECK(key.substr(4) != others.substr(4));
  std::string wrong = key, nobodys = key;
  wrong[7] = static_cast<char>(wrong[7] ^ 1);
  nobodys[0] = '\x7f';
  for (const std::string& bad : {wrong, nobodys, others}) {
    Peer& cancel = w.Connect(w.front.port());
    cancel.Say(CancelBytes(bad));
    w.Until([&] { return cancel.ended; });
    CHECK(cancel.bytes.empty());
  }
  CHECK(w.proxy.open() == 1);
  server.peers.back()->Say(Row("v"));
  w.Until([&] { return client.Types().ends_with("TDCZ"); });
}

TEST_CASE("a cancel that crosses the answer does not hit the next request of that connection") {
  SimulatedFleet w;
  DataServer& server = w.Serve(kSilent);
  w.List();
  Peer& client = w.Client({Ask("any", "1", kLong), Ask("any", "2", kLong)});
  w.Until([&] { return server.queries.size() == 1; });
  // On its way while the first is out; its bytes come when the second is.
  Peer& cancel = w.Connect(w.front.port());
  w.Until([&] { return w.front.sessions() == 2; });
  for (const auto& peer : server.peers) peer->Say(Row("1"));
  w.Until([&] { return server.queries.size() == 2; });
  cancel.Say(CancelBytes(SessionKeyOf(client)));
  w.Until([&] { return cancel.ended; });
  CHECK(w.proxy.open() == 1);
  for (const auto& peer : server.peers) peer->Say(Row("2"));
  w.Until([&] { return client.Types().ends_with("TDCZTDCZ"); });
}

TEST_CASE("a client that sends more than the ring holds and goes is missed at once") {
  SimulatedFleet w;
  DataServer& server = w.Serve(kSilent);
  w.List();
  std::string much;
  for (int i = 0; i < 8000; ++i) much += Query(Ask("any", "k", kLong));
  REQUIRE(much.size() > 2 * pg::kMaxBufferBytes);
  Bare client(w.front.port());
  w.Until([&] { return client.Saw("Z"); });
  client.Say(Query(Ask("any", "k", kLong)));
  w.Until([&] { return server.queries.size() == 1; });
  client.SayMuch(much);
  // Until the ring is full and nothing is read any more.
  const TimePoint from = w.loop.Now();
  w.Until([&] { return w.loop.Now() - from > Duration(50000); });
  client.Read();  // or the kernel would reset at once
  client.Close();
  w.Until([&] { return w.proxy.counts().withdrawn == 1; });
  w.Until([&] { return w.front.sessions() == 0; });
  CHECK(server.queries.size() == 1);
}

TEST_CASE("a client that has ended its sending is told from one that closes after that") {
  SimulatedFleet w;
  DataServer& server = w.Serve(kSilent);
  w.List();
  Peer& stays = w.Client({Ask("any", "1", kLong)});
  Peer& goes = w.Client({Ask("any", "2", kLong)});
  w.Until([&] { return server.queries.size() == 2; });
  for (Peer* peer : {&stays, &goes}) shutdown(peer->connection->descriptor(), SHUT_WR);
  w.Until([&] { return stays.Saw("still at work") && goes.Saw("still at work"); });
  goes.connection->Close();
  w.Until([&] { return w.proxy.counts().withdrawn == 1; });
  for (const auto& peer : server.peers) {
    if (!peer->ended) peer->Say(Row("v"));
  }
  w.Until([&] { return stays.Types().ends_with("TDCZ"); });
}

TEST_CASE("a write that waits for its primary is not sent on once its client has closed") {
  Settings patient = Usual();
  patient.classes[2].latency_objective = 30 * kSecond;
  SimulatedFleet w(200, patient);
  DataServer& server = w.Serve([](Peer& p, const std::string&) { p.Say(Error("25006")); });
  w.List();
  Peer& client = w.Client({Ask("write", "gone", kLong)});
  w.Until([&] { return !server.queries.empty() && w.proxy.open() == 1; });
  client.connection->Close();
  w.Until([&] { return w.proxy.counts().withdrawn == 1; });
  const std::size_t before = server.queries.size();
  server.report = "x1=1,x0=" + std::to_string(w.loop.Now().time_since_epoch().count() / 1000000);
  server.script = [](Peer& p, const std::string&) { p.Say(Row("v", "primary")); };
  Peer& other = w.Client({Ask("write", "here", kLong)});
  w.Until([&] { return other.Types().ends_with("TDCZ"); });
  for (std::size_t i = before; i < server.queries.size(); ++i)
    CHECK(server.queries[i].find("'gone'") == std::string::npos);
}

// Where nothing may be called off, what has not begun must not begin all the same.
TEST_CASE("an attempt whose connection comes up after its client has closed is not written") {
  for (const bool may_cancel : {false, true}) {
    CAPTURE(may_cancel);
    Settings settings = Usual();
    settings.may_cancel = may_cancel;
    settings.load_reporting = LoadReporting::kNone;
    SimulatedFleet w(200, settings);
    DataServer& server = w.Serve(kAnswer);
    server.greets = false;
    w.List();
    Peer& client = w.Client({Ask("any", "k", kLong)});
    w.Until([&] { return !server.peers.empty() && server.peers[0]->started; });
    client.connection->Close();
    w.Until([&] { return w.proxy.counts().withdrawn == 1; });
    for (const auto& peer : server.peers) peer->Say(Hello());
    server.greets = true;
    Peer& other = w.Client({Ask("any", "2", kLong)});  // comes after, on the same connection or a new one
    w.Until([&] { return other.Types().ends_with("TDCZ"); });
    CHECK(server.queries.size() == 1);
  }
}

TEST_CASE(
    "a message that trickles on without an end is closed in time, though something has always just come") {
  SimulatedFleet w;
  w.Serve(kAnswer);
  w.List();
  Peer& client = w.Client({});
  client.Say("Q\0\2\0\0"s + "/* id=");
  net::Timer more(w.loop);
  std::function<void()> say = [&] {
    if (client.ended) return;
    client.Say("x");
    more.ScheduleAfter(Duration(100), say);  // so that a byte lies unread at every sweep
  };
  say();
  w.Until([&] { return client.ended; });
  CHECK(client.Saw("08P01"));
}

TEST_CASE("hundreds of connections that send much and go in one segment cost the others nothing") {
  SimulatedFleet w(1000);
  DataServer& server = w.Serve([](Peer& p, const std::string& text) {
    if (text.find("'g'") != std::string::npos) p.Say(Row("g"));  // the others' never come back
  });
  w.List();
  const std::uint16_t port = w.front.port();
  for (int i = 0; i < 300; ++i) {
    Bare flood(port, Query(Ask("any", "f", kLong)) + Query(Ask("any", "f", kLong)) + Query("SET x"));
  }
  // Refused with advice while the flood stands, served once it has gone.
  Peer& good = w.Client({""});
  std::size_t heard = 0;
  w.Until([&] {
    const std::string types = good.Types();
    if (types.ends_with("Z") && !types.ends_with("DCZ") && types.size() > heard) {
      heard = types.size();
      good.Say(Query(Ask("any", "g", kLong)));
    }
    return types.ends_with("TDCZ");
  });
  w.Until([&] { return w.proxy.open() == 0 && w.front.sessions() == 1; });
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
  w.Until([&] { return w.loop.Now() - from >= Duration(720000); });
}

TEST_CASE("a stop answers what was read behind an answer, and what is sent later is not sent on") {
  SimulatedFleet w(200, Short());
  DataServer& server = w.Serve(kSilent);
  w.List();
  bool done = false;
  w.front.StartDrain([&] { done = true; });
  const TimePoint from = w.loop.Now();
  w.Until([&] { return w.loop.Now() - from >= Duration(600000); });
  Peer& client = w.Client({Ask("any", "1", kLong), Ask("any", "2", kLong)});
  w.Until([&] { return server.queries.size() == 1; });
  UntilLeaving(w, from);
  server.script = kAnswer;
  for (const auto& peer : server.peers) peer->Say(Row("1"));
  w.Until([&] { return client.ended; });
  CHECK(Answered(client.Types(), 2));
  CHECK_FALSE(client.reset);
  const std::size_t before = server.queries.size();
  client.Say(Query(Ask("any", "3", kLong)));
  w.Until([&] { return client.connection->all_written(); });
  CHECK_FALSE(done);  // while the client has not closed, what it sends is thrown away
  client.connection->Close();
  w.Until([&] { return done; });
  CHECK(server.queries.size() == before);
}

TEST_CASE("a request that crosses the close of a resting connection is not sent on, and draws no reset") {
  Settings patient = Short();
  for (RequestClass& kind : patient.classes)
    kind.latency_objective = 30 * kSecond;  // or it might be refused for its time
  SimulatedFleet w(200, patient);
  DataServer& server = w.Serve(kAnswer);
  w.List();
  Bare resting(w.front.port(), Query(""));
  w.Until([&] { return resting.Saw("I"); });
  w.front.StartDrain([] {});
  w.Until([&] {
    resting.Read();
    return resting.ended;
  });
  resting.Say(Query(Ask("any", "k", kLong)));
  w.Until([&] { return w.front.sessions() == 0; });
  CHECK(server.queries.empty());
  CHECK(resting.Fault() == 0);
}

TEST_CASE("a client that asks again at each answer is told the end by a stop all the same") {
  Settings patient = Short();
  for (RequestClass& kind : patient.classes) kind.latency_objective = 30 * kSecond;
  SimulatedFleet w(200, patient);
  std::vector<std::unique_ptr<net::Timer>> timers;
  DataServer& server = w.Serve([&](Peer& p, const std::string&) {  // hardly a moment between two requests
    timers.push_back(std::make_unique<net::Timer>(w.loop));
    timers.back()->ScheduleAfter(Duration(15000), [&p] { p.Say(Row("v")); });
  });
  w.List();
  Peer& client = w.Client({Ask("any", "k", kLong)});
  bool done = false;
  w.front.StartDrain([&] { done = true; });
  const TimePoint from = w.loop.Now();
  std::size_t heard = 0, at_stop = 0;
  w.Until([&] {
    if (w.loop.Now() - from >= Duration(720000) && at_stop == 0) at_stop = server.queries.size();
    const std::size_t types = client.Types().size();
    if (!client.ended && types > heard && client.Types().ends_with("CZ")) {
      client.Say(Query(Ask("any", "k", kLong)));
    }
    heard = types;
    return client.ended;
  });
  CHECK((at_stop == 0 || server.queries.size() <= at_stop + 1));
  client.connection->Close();
  w.Until([&] { return done; });
}

TEST_CASE("half a request at a stop is refused with 57P03, or answered if its rest comes") {
  SimulatedFleet w(200, Short());
  w.Serve(kAnswer);
  w.List();
  w.front.StartDrain([] {});
  const TimePoint from = w.loop.Now();
  w.Until([&] { return w.loop.Now() - from >= Duration(650000); });
  const std::string query = Query(Ask("any", "v", kLong));
  Peer& half = w.Client({""});
  Peer& whole = w.Client({""});
  w.Until([&] { return half.Saw("I") && whole.Saw("I"); });
  for (Peer* peer : {&half, &whole}) peer->Say(query.substr(0, 30));
  UntilLeaving(w, from);
  whole.Say(query.substr(30));
  w.Until([&] { return whole.ended && half.ended; });
  CHECK(Answered(whole.Types(), 1));
  CHECK(half.Saw("57P03"));
  CHECK_FALSE(half.reset);
  CHECK_FALSE(whole.reset);
}

TEST_CASE("a connection that waits in the queue as the listener closes has its request answered") {
  SimulatedFleet w(200, Short());
  w.Serve(kAnswer);
  w.List();
  w.front.StartDrain([] {});
  const TimePoint from = w.loop.Now();
  w.Until([&] { return w.loop.Now() - from >= Duration(600000); });
  // The loop stands still until the listener is due to close: the connection and its request come meanwhile.
  Bare queued(w.front.port(), Query(Ask("any", "v", kLong)));
  while (w.loop.PreciseNow() - from < Duration(705000))
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  w.Until([&] { return queued.Saw("SELECT 1") || queued.Saw("53300"); });
  w.Until([&] {
    queued.Read();
    return queued.ended;
  });
}

TEST_CASE("what is owed is answered before the earliest kill, whatever its deadline") {
  SimulatedFleet w(200, Short());
  DataServer& server = w.Serve(kSilent);
  w.List();
  Peer& out = w.Client({Ask("any", "1", kLong)});
  w.Until([&] { return server.queries.size() == 1; });
  server.script = [](Peer& p, const std::string&) { p.Say(Error("25006")); };
  Peer& held = w.Client({Ask("write", "2", kLong)});
  w.Until([&] { return w.proxy.open() == 2; });
  bool done = false;
  w.front.StartDrain([&] { done = true; });
  w.front.StartDrain([&] { FAIL("a second stop is none of its own"); });
  const TimePoint from = w.loop.Now();
  w.Until([&] { return out.Types().ends_with("EZ") && held.Types().ends_with("EZ"); });
  // The loop's own times: this is the moment that was chosen, not how fast the machine is.
  CHECK(w.loop.Now() - from >= Duration(850000));
  CHECK(out.Saw("58000"));
  w.Until([&] { return done || (out.ended && held.ended); });
}

TEST_CASE("an answer larger than the client's window at the stop arrives whole, and then the end") {
  SimulatedFleet w(200, Short());
  const std::string large(60000, 'x');
  DataServer& server = w.Serve([&](Peer& p, const std::string&) {
    std::string out;
    pg::AppendMessage(out, 'T', kColumn);
    std::string row("\0\1\0\0", 4);
    row += static_cast<char>(large.size() >> 8);
    row += static_cast<char>(large.size() & 0xff);
    pg::AppendMessage(out, 'D', row + large);
    pg::AppendCommandComplete(out, "SELECT 1");
    pg::AppendReadyForQuery(out);
    p.Say(out);
  });
  w.List();
  Peer& client = w.Connect(w.front.port());
  const int small = 65536;
  setsockopt(client.connection->descriptor(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  client.connection->PauseReading();
  std::string out;
  pg::AppendStartupMessage(out, "worker", "catalog");
  for (int i = 0; i < 60; ++i) pg::AppendQuery(out, Ask("any", "k", kLong));
  client.Say(out);
  w.Until([&] { return !server.queries.empty(); });
  w.front.StartDrain([] {});
  const TimePoint from = w.loop.Now();
  UntilLeaving(w, from);
  client.connection->ResumeReading();
  w.Until([&] { return client.ended; });
  CHECK_FALSE(client.reset);
  // Every answer that was begun is whole.
  std::string rest = client.bytes;
  for (pg::Frame f; (f = pg::ReadFrame(rest)).framing == pg::Framing::kComplete;) rest.erase(0, f.size);
  CHECK(rest.empty());
  CHECK(client.Types().ends_with("Z"));
}

TEST_CASE("an idle client that is closed for its age reads the end; its next request is not run, nor reset") {
  SimulatedFleet w(100);
  DataServer& server = w.Serve(kAnswer);
  w.List();
  Bare first(w.front.port(), Query(""));
  w.Until([&] { return first.Saw("I"); });
  for (int i = 0; i < 20; ++i) w.Client({""});  // more than a quarter of what clients may hold
  w.Until([&] {
    first.Read();
    return first.ended;
  });
  first.Say(Query(Ask("any")));
  first.ShutdownSending();
  w.Until([&] { return w.front.sessions() == 0; });
  CHECK(server.queries.empty());
  CHECK(first.Fault() == 0);
}

// ---- Data servers that end -------------------------------------------------------------------------------

struct Ends final : proxy::BackendEvents {
  std::vector<proxy::AttemptEnd> attempts;
  void OnAttemptEnd(proxy::AttemptEnd end) override { attempts.push_back(std::move(end)); }
  void OnProbeEnd(const HealthCheckEvent&) override {}
};

struct Text final : proxy::Work {
  std::string TextFor(Duration) const override { return Ask("write"); }
};

// The window was open when the repeat was decided; its connection comes up when it is not any more.
TEST_CASE("a repeat whose connection comes up after its window has closed is not written") {
  net::Loop loop;
  net::DescriptorBudget budget(100);
  upstream::ConnectionPool pool(loop, {.connect_timeout = Duration(5000000)}, budget, [] { return false; });
  Ends ends;
  pool.SetEvents(ends);
  std::vector<std::unique_ptr<Peer>> peers;
  Texts queries;
  net::Listener listener(
      loop, [] { return true; },
      [&](net::ObjectPtr<GSocket> socket) {
        peers.push_back(std::make_unique<Peer>());
        Peer& peer = *peers.back();
        peer.server = true;
        peer.script = [&](Peer&, const std::string& text) { queries.push_back(text); };
        peer.connection = Connection::Adopt(loop, std::move(socket), peer, 65536, 65536);
      });
  REQUIRE(listener.Open({"127.0.0.1", 0}));
  const auto until = [&](const std::function<bool()>& holds) {
    while (!holds()) g_main_context_iteration(nullptr, TRUE);
  };
  pool.SetAddress(ServerId(1), {"127.0.0.1", listener.port()});
  const auto work = std::make_shared<Text>();
  pool.Send(RequestId(1), 1, ServerId(1), work, {Duration(4000000), Duration(30000)});
  until([&] { return queries.size() == 1; });  // the hello
  until([&] { return ends.attempts.size() == 1; });
  CHECK(ends.attempts[0].outcome == Outcome::kUnreachable);
  peers[0]->Say(Hello());
  // Up now, for one that may still be written, and for one whose time passes while the loop stands still.
  pool.Send(RequestId(2), 0, ServerId(1), work, {Duration(4000000)});
  until([&] { return queries.size() == 2; });
  peers[0]->Say(Row("v"));
  until([&] { return ends.attempts.size() == 2; });
  CHECK(ends.attempts[1].outcome == Outcome::kOk);
  pool.Send(RequestId(3), 1, ServerId(1), work, {Duration(4000000), Duration(0)});
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
    Settings settings = Usual();
    settings.classes[2].idempotency = c.idempotency;
    settings.classes[2].idempotency_window = c.window;
    SimulatedFleet w(200, settings);
    DataServer& server = w.Serve([](Peer& p, const std::string&) { p.connection->Close(); });
    server.report = "x1=1,x0=1";
    w.List();
    Peer& client = w.Client({Ask("write", "k", 2000)});
    w.Until([&] { return client.Types().ends_with("EZ"); });
    CHECK(server.queries.size() >= c.least);
    CHECK(server.queries.size() <= c.most);
    CHECK(client.Saw("53300") == (c.idempotency == Idempotency::kIdempotent));
  }
}

TEST_CASE("an answer and a reset in one turn is an answer, and one that is cut is none") {
  for (const bool whole : {true, false}) {
    CAPTURE(whole);
    SimulatedFleet w;
    int asked = 0;
    const auto reset = [](Peer& p) {
      const linger now{1, 0};
      setsockopt(p.connection->descriptor(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
      p.connection->Close();
    };
    w.Serve([&](Peer& p, const std::string&) {
      if (++asked > 1) return p.Say(Row("2"));
      p.Say(whole ? Row("1") : Row("1").substr(0, 20));
      reset(p);
    });
    w.List();
    Peer& client = w.Client({Ask("any", "k", kLong)});
    w.Until([&] { return client.Types().ends_with("TDCZ"); });
    CHECK(client.Types().ends_with("KZTDCZ"));  // once
    // A reset may overtake an answer in the kernel: then it was none, and the second is given.
    CHECK((client.Saw("\0011C") || client.Saw("\0012C")));
    if (!whole) CHECK(client.Saw("\0012C"));
    CHECK(w.proxy.open() == 0);
  }
}

TEST_CASE("an answer that goes on for ever is cut, and its request tried again") {
  Settings patient = Usual();
  // Or it might be refused for the time it has lost.
  for (RequestClass& kind : patient.classes) kind.latency_objective = 30 * kSecond;
  SimulatedFleet w(200, patient);
  Peer* endless = nullptr;
  w.Serve([&](Peer& p, const std::string&) {
    if (endless != nullptr) return p.Say(Row("v"));
    endless = &p;
  });
  w.List();
  net::Timer more(w.loop);
  std::function<void()> say = [&] {
    std::string notice;
    pg::AppendNoticeResponse(notice, "more to come");
    if (endless != nullptr && !endless->ended) endless->Say(notice);
    more.ScheduleAfter(Duration(0), say);  // so that something is unread at every moment
  };
  say();
  Peer& client = w.Client({Ask("any", "k", kLong)});
  w.Until([&] { return client.Types().ends_with("TDCZ"); });
  w.Until([&] { return endless->ended; });
}

TEST_CASE("a data server that drained and is back under its id, with a new start, is used again") {
  SimulatedFleet w;
  DataServer& server = w.Serve(kAnswer);
  w.List();
  w.List(ListKind::kPartial, Lifecycle::kDraining);
  Peer& refused = w.Client({Ask("any", "k", 300)});
  w.Until([&] { return refused.Saw("53300"); });
  ListEvent back{ListKind::kPartial, {}};
  back.entries.push_back({.server = ServerId(1), .group = GroupId(2), .started = w.loop.Now()});
  w.proxy.ListChanged(back);
  Peer& served = w.Client({Ask("any", "k", 3000)});
  w.Until([&] { return served.Types().ends_with("TDCZ"); });
  CHECK(server.queries.size() == 1);
}

// ---- Discovery that goes quiet ---------------------------------------------------------------------------

// An agent that answers each call by its number, and a watch on it.
struct Watched {
  using Answer = std::function<void(Peer&, std::size_t)>;
  explicit Watched(Answer answer, discovery::DiscoveryService service = {.drain_grace = 2 * kSecond})
      : listener(
            loop, [] { return true; },
            [this, answer = std::move(answer)](net::ObjectPtr<GSocket> socket) {
              peers.push_back(std::make_unique<Peer>());
              Peer& peer = *peers.back();
              peer.connection = Connection::Adopt(loop, std::move(socket), peer, 65536, 65536);
              answer(peer, peers.size());
            }),
        reader({"a"}) {
    REQUIRE(listener.Open({"127.0.0.1", 0}));
    watch.emplace(loop, net::Address{"127.0.0.1", listener.port()}, reader, 41, 1, service,
                  [this](const discovery::EndpointListUpdate& change) { changes.push_back(change); });
    watch->Start();
  }
  // The time limit is for a test that hangs, not a measure of speed.
  void Until(const std::function<bool()>& holds) {
    bool late = false;
    net::Timer limit(loop);
    limit.ScheduleAfter(10 * kSecond, [&] { late = true; });
    while (!holds() && !late) g_main_context_iteration(nullptr, TRUE);
    REQUIRE(holds());
  }
  net::Loop loop;
  net::Listener listener;
  discovery::EndpointListReader reader;
  std::vector<std::unique_ptr<Peer>> peers;
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
  Watched w([](Peer& p, std::size_t call) { p.Say(kOpenEnded + (call == 1 ? "{" : Listing("43") + "\n")); });
  net::Timer trickle(w.loop);
  std::function<void()> drop = [&] {
    if (!w.peers.empty() && !w.peers[0]->ended) w.peers[0]->Say(" ");
    trickle.ScheduleAfter(Duration(50000), drop);
  };
  drop();
  w.Until([&] { return w.changes.size() == 1; });
  CHECK(w.peers.size() == 2);
  CHECK(w.peers[1]->Saw("since=41 "));
}

TEST_CASE("a list that comes indented over several lines is one list") {
  const std::string indented =
      "{\n  \"rev\": 43,\n  \"all\": true,\n  \"targets\": [\n    " + kDrains + "\n  ]\n}\n\n";
  Watched w([&](Peer& p, std::size_t) { p.Say(kOpenEnded + indented); });
  w.Until([&] { return !w.changes.empty(); });
  REQUIRE(w.changes[0].endpoints.size() == 1);
  CHECK(w.changes[0].revision == 43);
  CHECK(w.changes[0].endpoints[0].entry.lifecycle == Lifecycle::kDraining);
  CHECK(w.peers.size() == 1);
}

TEST_CASE("an answer without a length that is reset is no list, and one that ends is") {
  for (const bool reset : {true, false}) {
    CAPTURE(reset);
    const std::string list = Listing("43");
    Watched w([&](Peer& p, std::size_t call) {
      if (call > 1) return p.Say(kOpenEnded + Listing("44") + "\n");
      p.Say(kOpenEnded + (reset ? list.substr(0, list.size() - 2) : list));  // without a line's end
      if (!reset) return p.connection->ShutdownSending();
    });
    w.Until([&] { return !w.peers.empty() && w.peers[0]->Saw("\r\n\r\n"); });
    if (reset) {
      const linger now{1, 0};
      setsockopt(w.peers[0]->connection->descriptor(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
      w.peers[0]->connection->Close();
    }
    w.Until([&] { return w.peers.size() == 2 && w.peers[1]->Saw("\r\n\r\n"); });
    CHECK(w.peers[1]->Saw(reset ? "since=41 " : "since=43 "));
    w.Until([&] { return w.changes.size() == (reset ? 1 : 2); });
    CHECK(w.changes.back().revision == 44);
  }
}

// The next change would build on it: what it told would never be known.
TEST_CASE("a spoilt line on a watch is asked for again at once") {
  for (const std::string spoilt : {"{\"rev\":42,\"all\":fal\n", "{\"rev\":42,\"all\"\n\n", "noise\n"}) {
    CAPTURE(spoilt);
    Watched w([&](Peer& p, std::size_t call) {
      p.Say(kOpenEnded +
            (call == 1 ? spoilt + R"({"rev":43,"all":false,"targets":[]})" + "\n" : Listing("43") + "\n"));
    });
    w.Until([&] { return !w.changes.empty(); });
    CHECK(w.peers.size() == 2);
    CHECK(w.changes[0].complete);
    CHECK(w.peers[1]->Saw("since=41 "));
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
  Agent first(w.loop), second(w.loop);
  first.line = second.line = std::string(kNoList) + "\n";
  Program program(w);
  const std::string path = program.folder + "/config.json";
  REQUIRE(mkfifo(path.c_str(), 0600) == 0);
  program.Start();
  FILE* pipe = nullptr;
  std::thread opener([&] { pipe = std::fopen(path.c_str(), "w"); });  // returns once it is being read
  opener.join();
  REQUIRE(pipe != nullptr);
  g_subprocess_send_signal(program.process.get(), SIGHUP);
  const std::string text = program.PlatformConfig(first.Where(), kNoList);
  std::remove(path.c_str());
  program.Configure(program.PlatformConfig(second.Where(), kNoList));
  std::fwrite(text.data(), 1, text.size(), pipe);
  std::fclose(pipe);
  w.Until([&] { return program.over || second.Asked("GET "); });
  CHECK_FALSE(program.over);
}

TEST_CASE("a malformed field of the configuration ends the start with one sentence that names it") {
  SimulatedFleet w;
  Program program(w);
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
  Program program(w);
  program.Configure(program.PlatformConfig("127.0.0.1:" + std::to_string(closed), kNoList));
  program.Start();
  // On one connection, once it is taken in: one for each look were more than this process may hold.
  Peer* client = nullptr;
  for (bool ready = false; !ready;) {
    if (client == nullptr || client->ended) {
      client = &program.Client({""});
    } else {
      client->bytes.clear();
      client->Say(Query(""));
    }
    w.Until(
        [&] { return client->ended || client->Types().ends_with("EZ") || client->Types().ends_with("IZ"); });
    ready = client->Types().ends_with("IZ");
    REQUIRE_FALSE(program.over);
  }
  client->Say(Query(Ask("any")));
  w.Until([&] { return client->Types().ends_with("EZ"); });
  CHECK(client->Saw("53300"));
}

TEST_CASE("SIGTERM twice, and before it is ready, ends the program in order") {
  SimulatedFleet w;
  Agent silent(w.loop);
  Program program(w);
  std::string config = program.PlatformConfig(silent.Where(), kNoList);
  config.replace(config.find("4000000"), 7, "400000");
  program.Configure(config);
  program.Start();
  w.Until([&] { return silent.Asked("GET "); });
  Peer& early = program.Client({""});
  w.Until([&] { return early.Saw("57P03"); });
  for (int i = 0; i < 2; ++i) g_subprocess_send_signal(program.process.get(), SIGTERM);
  w.Until([&] { return program.over; });
  REQUIRE(g_subprocess_get_if_exited(program.process.get()));
  CHECK(g_subprocess_get_exit_status(program.process.get()) == 0);
}

// The process may hold no more descriptors than its configuration says, and idle clients ask for all of them.
TEST_CASE(
    "clients that fill the descriptors while discovery is down do not keep its word out at its return") {
  SimulatedFleet w(2000);
  DataServer& server = w.Serve(kAnswer);
  const std::uint16_t port = ClosedPort(w.loop);
  const std::string known = R"({"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:)" +
                            std::to_string(server.listener.port()) +
                            R"(","az":"a","pod_group":2,"state":"Ready"}]})";
  std::string now = known;
  now.replace(now.find("Ready"), 5, "Terminating");
  Program program(w);
  std::string config = program.PlatformConfig("127.0.0.1:" + std::to_string(port), known);
  config.replace(config.find(R"("seed")"), 6, R"("limits":{"sockets":100},"seed")");
  program.Configure(config);
  program.Start();
  for (bool ready = false; !ready;) {
    Peer& client = program.Client({""});
    w.Until([&] { return client.ended || client.Types().ends_with("EZ") || client.Types().ends_with("IZ"); });
    ready = client.Types().ends_with("IZ");
  }
  const rlimit most{100, 100};
  const pid_t pid = std::stoi(g_subprocess_get_identifier(program.process.get()));
  REQUIRE(prlimit(pid, RLIMIT_NOFILE, &most, nullptr) == 0);
  for (int i = 0; i < 150; ++i) program.Client({""});
  w.Until([&] { return program.world.clients.back()->Types().ends_with("IZ"); });
  Peer& before = program.Client({Ask("any")});
  w.Until([&] { return before.Types().ends_with("TDCZ"); });
  // What clients cannot have stays free for the watch, and for the program's own.
  const auto held = std::distance(std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd"),
                                  std::filesystem::directory_iterator());
  CHECK(held <= 90);
  // It returns, while clients go on to fill what is free.
  std::vector<std::unique_ptr<Peer>> agents;
  net::Listener agent(
      w.loop, [] { return true; },
      [&](net::ObjectPtr<GSocket> socket) {
        agents.push_back(std::make_unique<Peer>());
        agents.back()->connection =
            Connection::Adopt(w.loop, std::move(socket), *agents.back(), 65536, 65536);
        agents.back()->Say(kOpenEnded + now + "\n");
      });
  REQUIRE(agent.Open({"127.0.0.1", port}));
  for (int i = 0; i < 150; ++i) program.Client({""});
  w.Until([&] { return !agents.empty() && agents.back()->Saw("\r\n\r\n"); });
  for (bool told = false; !told;) {
    Peer& client = program.Client({Ask("any", "k", 300)});
    w.Until([&] { return client.ended || client.Types().ends_with("EZ") || client.Types().ends_with("CZ"); });
    told = client.Saw("53300");
  }
  CHECK_FALSE(program.over);
}

}  // namespace
}  // namespace lynxgrade
