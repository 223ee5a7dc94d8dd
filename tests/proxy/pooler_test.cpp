// The pooler's parts on real sockets: scripted data servers and clients in the same loop, ports by the
// kernel.
#include "support/simulated_fleet.h"

namespace lynxgrade {
namespace {

TEST_CASE("a request is served with the data server's value; its statement changes in d alone") {
  SimulatedFleet w;
  DataServer& server = w.AddServer(kEchoValue);
  w.ApplyEndpointList();
  std::string asked = RequestText("any", "x");
  TestConnection& client = w.ConnectClient({asked});
  w.RunUntil([&] { return client.HasReceived("SELECT 1"); });
  CHECK(client.MessageTypes() == "RSSSSKZTDCZ");
  REQUIRE(server.queries.size() == 1);
  std::string sent = server.queries[0];
  sent.erase(sent.find(",d=") + 3, sent.find(",k=") - sent.find(",d=") - 3);
  asked.erase(asked.find(",d=") + 3, 4);
  CHECK(sent == asked);
}

TEST_CASE("pipelined queries are answered in their order, a bad one between them too") {
  SimulatedFleet w;
  w.AddServer(kEchoValue);
  w.ApplyEndpointList();
  TestConnection& client = w.ConnectClient(
      {RequestText("any", "1"), RequestText("nobody"), "SELECT 1", "", RequestText("any", "2")});
  w.RunUntil([&] { return client.MessageTypes().ends_with("TDCZEZEZIZTDCZ"); });
  CHECK(client.received.find("1C") < client.received.find("2C"));
}

TEST_CASE("rule 1: a request that no data server answers gets one final answer, before its deadline") {
  SimulatedFleet w;
  DataServer& server = w.AddServer(kNoResponse);
  w.ApplyEndpointList();
  TestConnection& client = w.ConnectClient({RequestText("any", "k", 300)});
  w.RunUntil([&] { return client.HasReceived("53300"); });
  CHECK(client.MessageTypes() == "RSSSSKZEZ");
  w.RunUntil([&] {
    return server.connections[0]->peer_closed || server.connections.back()->peer_closed;
  });  // the attempt was called off
  CHECK(w.proxy.requests_in_flight() == 0);
}

TEST_CASE("rule 2: a write that may have run is not refused, and not sent beyond its window") {
  SimulatedFleet w;
  DataServer& server = w.AddServer([](TestConnection& p, const std::string&) { p.connection->Close(); });
  server.load_report = "x1=1,x0=1";
  w.ApplyEndpointList();
  TestConnection& client = w.ConnectClient({RequestText("write", "k", 1500)});
  w.RunUntil([&] { return client.HasReceived("58000"); });
  CHECK(client.MessageTypes() == "RSSSSKZEZ");
  CHECK_FALSE(client.HasReceived("53300"));
  CHECK(server.queries.size() >= 1);
}

TEST_CASE("rule 2: a write that was turned away untouched may be refused, with a time to come back") {
  SimulatedFleet w;
  DataServer& server =
      w.AddServer([](TestConnection& p, const std::string&) { p.Send(ErrorResponse("25006")); });
  server.load_report = "x1=1,x0=1";
  w.ApplyEndpointList();
  TestConnection& client = w.ConnectClient({RequestText("write", "k", 400)});
  w.RunUntil([&] { return client.HasReceived("53300"); });
  CHECK(client.HasReceived(std::string("\0D50\0", 5)));
}

TEST_CASE("rule 3: nothing new goes to a data server that drains") {
  SimulatedFleet w;
  DataServer& draining = w.AddServer(kEchoValue);
  DataServer& other = w.AddServer(kEchoValue);
  w.ApplyEndpointList();
  w.ApplyEndpointList(EndpointListKind::kPartial, Lifecycle::kDraining);
  TestConnection& client = w.ConnectClient(RequestTexts(20));
  w.RunUntil([&] { return other.queries.size() == 20 && client.MessageTypes().ends_with("TDCZ"); });
  CHECK(draining.queries.empty());
}

TEST_CASE("rule 5: a read that a replica is too far behind for is sent again, not answered from old data") {
  SimulatedFleet w;
  int turned_away = 0;
  const QueryHandler behind = [&](TestConnection& p, const std::string&) {
    if (++turned_away <= 2) return p.Send(ErrorResponse("72000"));
    p.Send(RowResponse("z"));
  };
  w.AddServer(behind);
  w.AddServer(behind);
  w.ApplyEndpointList();
  TestConnection& client = w.ConnectClient({RequestText("own")});
  w.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
  CHECK(turned_away == 3);
}

TEST_CASE("a client that closes calls its attempt off; one that only ended its sending is answered") {
  SimulatedFleet w;
  DataServer& server = w.AddServer(kNoResponse);
  w.ApplyEndpointList();
  TestConnection& gone = w.ConnectClient({RequestText("any")});
  TestConnection& half = w.ConnectClient({RequestText("any")});
  w.RunUntil([&] { return server.queries.size() == 2; });
  shutdown(half.connection->descriptor(), SHUT_WR);
  gone.connection->Close();
  w.RunUntil([&] { return w.proxy.counts().cancelled == 1; });
  for (const auto& peer : server.connections) {
    if (!peer->peer_closed && !peer->connection->closed()) peer->Send(RowResponse("h"));
  }
  w.RunUntil([&] { return half.MessageTypes().ends_with("TDCZ"); });
  CHECK(w.proxy.counts().cancelled == 1);
}

TEST_CASE("what is malformed costs its own connection, with the SQLSTATE for it") {
  SimulatedFleet w;
  w.AddServer(kEchoValue);
  w.ApplyEndpointList();
  const struct {
    std::string bytes;
    const char* code;
  } cases[] = {
      {"?", "08P01"},
      {std::string("Q\3\x93\x87\0", 5), "08P01"},  // 60 MB: from the head alone
      {std::string("Q\xff\xff\xff\xff", 5), "08P01"},
      {std::string("Q\0\0\0\4", 5), "08P01"},
      {std::string("P\0\0\0\4", 5), "0A000"},
  };
  for (const auto& c : cases) {
    TestConnection& bad = w.ConnectClient({});
    bad.Send(c.bytes + std::string(200000, 'x'));  // still sending when the error comes
    w.RunUntil([&] { return bad.peer_closed; });
    CHECK(bad.HasReceived(c.code));
  }
  TestConnection& good = w.ConnectClient({RequestText("any")});
  w.RunUntil([&] { return good.MessageTypes().ends_with("TDCZ"); });
}

TEST_CASE("an answer that nobody asked for costs the data server its connection, and nothing else") {
  SimulatedFleet w;
  DataServer& server =
      w.AddServer([](TestConnection& p, const std::string&) { p.Send(RowResponse("a") + RowResponse("b")); });
  w.ApplyEndpointList();
  TestConnection& client = w.ConnectClient(RequestTexts(8));
  w.RunUntil([&] { return server.queries.size() == 8 && client.MessageTypes().ends_with("TDCZ"); });
  CHECK_FALSE(client.HasReceived("1b"));
  CHECK(std::ranges::count_if(server.connections, [](const auto& p) { return p->peer_closed; }) >= 7);
}

// An answer is served as it came or has failed: each of these is read again elsewhere, on another connection.
TEST_CASE("a spoilt answer has failed, and costs its connection at once") {
  const std::string good = RowResponse("w");
  const std::string huge = std::string("D\xb2\xd0\x5e\0", 5) + "keeps coming";  // 3 GB
  std::string no_tag = good, no_row = good, no_description = good, null_row = good, two_rows = good;
  const auto message = [&](char type) {
    std::size_t from = 0;
    while (good[from] != type) from += pg::ReadFrame(good.substr(from)).size;
    return std::pair(from, pg::ReadFrame(good.substr(from)).size);
  };
  no_tag.erase(message('C').first, message('C').second);
  no_row.erase(message('D').first, message('D').second);
  no_description.erase(message('T').first, message('T').second);
  null_row.replace(message('D').first, message('D').second,
                   std::string("D\0\0\0\x0a\0\1\xff\xff\xff\xff", 11));
  two_rows.insert(message('D').first, good.substr(message('D').first, message('D').second));
  const Strings spoilt = {"\x7fnoise\n", huge,           no_tag,
                          no_row,        no_description, null_row,
                          two_rows,      "T\0"s + good,  good.substr(0, message('C').first)};
  for (const std::string& bytes : spoilt) {
    CAPTURE(bytes);
    SimulatedFleet w;
    int asked = 0;
    DataServer& server = w.AddServer(
        [&](TestConnection& p, const std::string&) { p.Send(++asked == 1 ? bytes : RowResponse("v")); });
    w.ApplyEndpointList();
    TestConnection& client = w.ConnectClient({RequestText("any")});
    w.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
    CHECK(client.HasReceived("\1vC"));
    CHECK_FALSE(client.HasReceived("w"s + "C"));
    CHECK(asked == 2);
    w.RunUntil([&] {
      return std::ranges::any_of(server.connections, [](const auto& p) { return p->peer_closed; });
    });
  }
}

TEST_CASE(
    "a statement that a data server cannot use is not tried elsewhere, and not held against that server") {
  SimulatedFleet w;
  std::size_t asked = 0;
  const QueryHandler picky = [&](TestConnection& p, const std::string& text) {
    ++asked;
    if (text.find("SELECT 'x'") != std::string::npos) return p.Send(ErrorResponse("42601"));
    p.Send(RowResponse("v"));
  };
  w.AddServer(picky);
  w.ApplyEndpointList();
  for (int i = 0; i < 12; ++i) {
    TestConnection& bad = w.ConnectClient({RequestText("any", "x")});
    w.RunUntil([&] { return bad.MessageTypes().ends_with("EZ"); });
    CHECK(bad.HasReceived("42601"));
  }
  CHECK(asked == 12);
  TestConnection& client = w.ConnectClient({RequestText("any")});
  w.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
  CHECK(asked == 13);
}

// What crosses a data server's close behind its answer is lost as a reset, though nothing is wrong there.
TEST_CASE("a connection that has only just answered is left alone where there is another") {
  SimulatedFleet w;
  std::vector<TestConnection*> asked;
  DataServer& server = w.AddServer([&](TestConnection& p, const std::string&) { asked.push_back(&p); });
  w.ApplyEndpointList();
  TestConnection& one = w.ConnectClient({RequestText("any")});
  TestConnection& two = w.ConnectClient({RequestText("any")});
  w.RunUntil([&] { return asked.size() == 2; });
  for (TestConnection* peer : asked) peer->Send(RowResponse("v"));
  w.RunUntil([&] { return one.MessageTypes().ends_with("TDCZ") && two.MessageTypes().ends_with("TDCZ"); });
  const TimePoint from = w.loop.Now();
  w.RunUntil([&] { return w.loop.Now() - from > Duration(20000); });
  asked.clear();
  server.on_query = [&](TestConnection& p, const std::string&) {
    asked.push_back(&p);
    p.Send(RowResponse("v"));
  };
  w.ConnectClient(RequestTexts(2));
  w.RunUntil([&] { return asked.size() == 2; });
  CHECK(asked[0] != asked[1]);
}

TEST_CASE("an answer is as good with a load report that cannot be read as with none") {
  SimulatedFleet w;
  w.AddServer([](TestConnection& p, const std::string&) {
    std::string report, row = RowResponse("v");
    pg::AppendParameterStatus(report, "pressure", "util=much,,\x01");
    p.Send(row.insert(row.size() - 6, report));
  });
  w.ApplyEndpointList();
  TestConnection& client = w.ConnectClient({RequestText("any")});
  w.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
}

TEST_CASE("data servers that are gone are forgotten, and known again when they come back") {
  SimulatedFleet w;
  w.AddServer(kEchoValue);
  w.AddServer(kEchoValue);
  w.ApplyEndpointList();
  TestConnection& client = w.ConnectClient(RequestTexts(4));
  w.RunUntil([&] { return client.MessageTypes().ends_with("TDCZTDCZTDCZTDCZ"); });
  w.ApplyEndpointList(EndpointListKind::kPartial, Lifecycle::kDeleted);
  w.pool.RemoveServer(ServerId(1));
  w.RunUntil([&] { return w.pool.servers() == 1; });
  w.ApplyEndpointList(EndpointListKind::kPartial);
  CHECK(w.pool.servers() == 2);
}

TEST_CASE("an empty query is answered as such only once requests can be served; SSL is declined") {
  SimulatedFleet w;
  w.AddServer(kEchoValue);
  TestConnection& early = w.ConnectClient({""});
  w.RunUntil([&] { return early.HasReceived("57P03"); });
  w.ApplyEndpointList();
  TestConnection& later = w.ConnectClient({""});
  w.RunUntil([&] { return later.MessageTypes().ends_with("IZ"); });
  w.clients.push_back(std::make_unique<TestConnection>());
  TestConnection& ssl = *w.clients.back();
  bool full = false;
  ssl.connection = Connection::Connect(w.loop, {"127.0.0.1", w.frontend.port()}, ssl, 4096, 4096, &full);
  ssl.Send(std::string("\0\0\0\x08\x04\xd2\x16\x2f", 8));
  w.RunUntil([&] { return ssl.received == "N"; });
}

TEST_CASE("a stop serves on for a while, finishes what was taken, closes clients between requests and ends") {
  SimulatedFleet w;
  DataServer& server = w.AddServer(kNoResponse);
  w.ApplyEndpointList();
  TestConnection& idle = w.ConnectClient({""});
  TestConnection& busy = w.ConnectClient({RequestText("any")});
  w.RunUntil([&] { return server.queries.size() == 1 && idle.HasReceived("I"); });
  bool done = false;
  w.frontend.StartDrain([&] { done = true; });
  const TimePoint from = w.loop.Now();
  TestConnection& late = w.ConnectClient({""});  // connections still come for a while
  w.RunUntil([&] { return late.MessageTypes().ends_with("IZ"); });
  // The front layer has let go of this pooler, and another may not be back: who is connected is served on.
  w.RunUntil([&] { return w.loop.Now() - from > Duration(900000); });
  std::string query;
  pg::AppendQuery(query, "");
  idle.Send(query);
  w.RunUntil([&] { return idle.MessageTypes().ends_with("IZIZ"); });
  w.RunUntil([&] { return late.peer_closed; });
  CHECK_FALSE(done);
  for (const auto& peer : server.connections) peer->Send(RowResponse("v"));
  w.RunUntil([&] { return done && busy.MessageTypes().ends_with("TDCZ"); });
}

// The program may be killed 3.7 s after it was told to stop: what it has then not answered would be lost.
TEST_CASE("what is asked during a stop is answered before the program may be killed") {
  SimulatedFleet w;
  w.AddServer(kNoResponse);
  w.ApplyEndpointList();
  TestConnection& client = w.ConnectClient({""});
  w.RunUntil([&] { return client.HasReceived("I"); });
  w.frontend.StartDrain([] {});
  const TimePoint from = w.loop.Now();
  std::string query;
  pg::AppendQuery(query, RequestText("any", "k", 60000));
  client.Send(query);
  w.RunUntil([&] { return client.MessageTypes().ends_with("EZ"); });
  CHECK(w.loop.Now() - from < Duration(3700000));
}

TEST_CASE("silent clients and unfinished messages are closed in time, idle and served clients stay") {
  SimulatedFleet w;
  w.AddServer(kNoResponse);
  w.ApplyEndpointList();
  TestConnection& idle = w.ConnectClient({""});
  TestConnection& served = w.ConnectClient({RequestText("any", "k", 9000)});
  TestConnection& begun = w.ConnectClient({});
  begun.Send(std::string("Q\0\0\2\0", 5) + "/* id=");
  TestConnection& silent = w.OpenConnection(w.frontend.port());
  const TimePoint from = w.loop.Now();
  w.RunUntil([&] { return begun.peer_closed && silent.peer_closed; });
  CHECK(w.loop.Now() - from < Duration(3000000));
  CHECK(begun.HasReceived("08P01"));
  CHECK_FALSE(idle.peer_closed);
  CHECK_FALSE(served.peer_closed);
}

TEST_CASE("connections that say nothing make room before clients that are of use") {
  SimulatedFleet w(100);  // 60 to share, 15 of them for backends
  w.AddServer(kEchoValue);
  w.ApplyEndpointList();
  std::vector<TestConnection*> useful;
  for (int i = 0; i < 10; ++i) {
    useful.push_back(&w.ConnectClient({""}));
    w.RunUntil([&] { return useful.back()->HasReceived("I"); });
  }
  std::vector<TestConnection*> silent;
  silent.reserve(60);
  for (int i = 0; i < 60; ++i) silent.push_back(&w.OpenConnection(w.frontend.port()));
  w.RunUntil(
      [&] { return std::ranges::count_if(silent, [](TestConnection* p) { return p->peer_closed; }) >= 20; });
  TestConnection& asks = w.ConnectClient({RequestText("any")});
  w.RunUntil([&] { return asks.MessageTypes().ends_with("TDCZ"); });
  CHECK(std::ranges::none_of(useful, [](TestConnection* p) { return p->peer_closed; }));
}

// Those that asked once and stay hold what others need to ask at all.
TEST_CASE("idle clients go the sooner, the more there are") {
  SimulatedFleet w(100);  // 60 to share: 20 clients are over a quarter
  w.ApplyEndpointList();
  for (int i = 0; i < 20; ++i) w.ConnectClient({""});
  const TimePoint from = w.loop.Now();
  w.RunUntil([&] { return std::ranges::any_of(w.clients, [](const auto& p) { return p->peer_closed; }); });
  CHECK(w.loop.Now() - from < Duration(2000000));
}

TEST_CASE("hundreds of queries at once do not keep another client waiting") {
  SimulatedFleet w;
  w.AddServer(kEchoValue);
  w.ApplyEndpointList();
  TestConnection& flood = w.ConnectClient(Strings(1500, "SELECT 1"));
  TestConnection& asks = w.ConnectClient({RequestText("any")});
  w.RunUntil([&] { return asks.MessageTypes().ends_with("TDCZ"); });
  CHECK(flood.CountOf("42601") < 1000);
  w.RunUntil([&] { return flood.CountOf("42601") == 1500; });
}

TEST_CASE("an id that is open elsewhere gets an error, and the open request its answer") {
  SimulatedFleet w;
  DataServer& server = w.AddServer(kNoResponse);
  w.ApplyEndpointList();
  const std::string query = RequestText("any");
  TestConnection& first = w.ConnectClient({query});
  w.RunUntil([&] { return server.queries.size() == 1; });
  TestConnection& second = w.ConnectClient({query});
  w.RunUntil([&] { return second.MessageTypes().ends_with("EZ"); });
  CHECK(second.HasReceived("22023"));
  for (const auto& peer : server.connections) peer->Send(RowResponse("v"));
  w.RunUntil([&] { return first.MessageTypes().ends_with("TDCZ"); });
  CHECK(server.queries.size() == 1);
  TestConnection& third = w.ConnectClient({query});  // it is not open any more
  w.RunUntil([&] { return server.queries.size() == 2 && !third.peer_closed; });
}

TEST_CASE("a group that nobody knows is refused at once") {
  SimulatedFleet w;
  w.AddServer(kEchoValue);
  w.ApplyEndpointList();
  std::string query = RequestText("any");
  query.replace(query.find("cluster=2"), 9, "cluster=9");
  TestConnection& client = w.ConnectClient({query});
  w.RunUntil([&] { return client.MessageTypes().ends_with("EZ"); });
  CHECK(client.HasReceived("53300"));
}

TEST_CASE("clients beyond the budget are taken in for idle ones") {
  SimulatedFleet w(100);  // 60 to share, 15 of them for backends
  w.AddServer(kEchoValue);
  w.ApplyEndpointList();
  for (int i = 0; i < 70; ++i) w.ConnectClient({""});
  w.RunUntil([&] { return w.clients.back()->MessageTypes().ends_with("IZ"); });
  CHECK(w.budget.clients() <= 45);
  TestConnection& asks = w.ConnectClient({RequestText("any")});
  w.RunUntil([&] { return asks.MessageTypes().ends_with("TDCZ"); });
}

TEST_CASE("the watch goes on from the version it has reached when its connection ends") {
  net::Loop loop;
  Strings asked;
  std::vector<std::unique_ptr<TestConnection>> peers;
  net::Listener agent(
      loop, [] { return true; },
      [&](net::ObjectPtr<GSocket> socket) {
        peers.push_back(std::make_unique<TestConnection>());
        TestConnection& peer = *peers.back();
        peer.connection = Connection::Adopt(loop, std::move(socket), peer, 65536, 65536);
      });
  REQUIRE(agent.Open({"127.0.0.1", 0}));
  discovery::EndpointListReader reader({"a"});
  std::vector<std::int64_t> versions;
  discovery::DiscoveryWatch watch(
      loop, {"127.0.0.1", agent.port()}, reader, 41, 1, {},
      [&](const discovery::EndpointListUpdate& change) { versions.push_back(change.revision); });
  watch.Start();
  const auto until = [&](const std::function<bool()>& holds) {
    while (!holds()) g_main_context_iteration(nullptr, TRUE);
  };
  until([&] { return peers.size() == 1 && peers[0]->HasReceived("\r\n\r\n"); });
  CHECK(peers[0]->HasReceived("GET /registry/instances?follow=1&since=41 HTTP/1.1\r\n"));
  const std::string line = R"({"rev":43,"all":false,"targets":[{"uid":1}]})"
                           "\n";  // its entry is malformed
  peers[0]->Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n2d\r\n" + line + "\r\n");
  until([&] { return versions.size() == 1; });
  peers[0]->connection->Close();
  until([&] { return peers.size() == 2 && peers[1]->HasReceived("\r\n\r\n"); });
  CHECK(peers[1]->HasReceived("since=43 "));
}

// 300 instances start together, or are told of a new address at once. An agent of their own is called at
// once: what it has counts as told. Calls to one service for all are spread, within what the first may wait.
TEST_CASE("an agent is called at once, a shared service within the time that is left to obey a drain") {
  net::Loop loop;
  net::Listener agent(
      loop, [] { return true; }, [](net::ObjectPtr<GSocket>) {});
  REQUIRE(agent.Open({"127.0.0.1", 0}));
  discovery::EndpointListReader reader({"a"});
  for (const bool shared : {false, true}) {
    CAPTURE(shared);
    std::set<std::int64_t> tenths;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      discovery::DiscoveryWatch watch(loop, {"127.0.0.1", agent.port()}, reader, 41, seed * 7919,
                                      {shared, 300, Duration(2000000)},
                                      [](const discovery::EndpointListUpdate&) {});
      watch.Start();
      tenths.insert((*watch.next_request_at() - loop.Now()).count() / 100000);
      watch.MoveTo({"127.0.0.2", agent.port()});
      tenths.insert((*watch.next_request_at() - loop.Now()).count() / 100000);
    }
    CHECK(tenths.size() == (shared ? 10 : 1));
    CHECK(*tenths.begin() == 0);
    CHECK(*tenths.rbegin() == (shared ? 9 : 0));
  }
}

// Discovery that is of no use: it turns calls away, cuts its answer in the head and in a list, answers what
// is none, and says nothing at all. What is known serves on, and the first word that can be used binds.
TEST_CASE("discovery that fails in each way costs no answer, one line an episode, and its next word counts") {
  SimulatedFleet w;
  DataServer& server = w.AddServer(kEchoValue);
  w.ApplyEndpointList();
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto chunk = [](const std::string& line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    return size + line + "\r\n";
  };
  const Strings failures = {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                            "HTTP/1.1 20",
                            head + "40\r\n{\"rev\":44,\"all\":true,\"targ",
                            head + chunk("{\"rev\":44,\"all\"\n"),
                            head + chunk("[1,2]\n"),
                            ""};
  std::size_t calls = 0;
  std::vector<std::unique_ptr<TestConnection>> peers;
  net::Listener agent(
      w.loop, [] { return true; },
      [&](net::ObjectPtr<GSocket> socket) {
        peers.push_back(std::make_unique<TestConnection>());
        TestConnection& peer = *peers.back();
        peer.connection = Connection::Adopt(w.loop, std::move(socket), peer, 65536, 65536);
        const std::size_t call = calls++;
        if (call < failures.size()) {
          peer.Send(failures[call]);
          if (!failures[call].empty()) peer.connection->ShutdownSending();
        } else {
          peer.Send(head + chunk(R"({"rev":45,"all":false,"targets":[{"uid":"s-1",)"
                                 R"("endpoint":"127.0.0.1:)" +
                                 std::to_string(server.listener.port()) +
                                 R"(","az":"a","pod_group":2,"state":"Terminating"}]})"
                                 "\n"));
        }
      });
  REQUIRE(agent.Open({"127.0.0.1", 0}));
  discovery::EndpointListReader reader({"a"});
  const LogCapture log;
  bool told = false;
  discovery::DiscoveryWatch watch(w.loop, {"127.0.0.1", agent.port()}, reader, 41, 1, {},
                                  [&](const discovery::EndpointListUpdate&) {
                                    told = true;
                                    w.ApplyEndpointList(EndpointListKind::kPartial, Lifecycle::kDraining);
                                  });
  watch.Start();
  for (std::size_t i = 0; i < failures.size(); ++i) {
    w.RunUntil([&] { return calls > i; });
    TestConnection& client = w.ConnectClient({RequestText("any")});
    w.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
  }
  w.RunUntil([&] { return told; });
  const std::size_t before = server.queries.size();
  TestConnection& client = w.ConnectClient({RequestText("any")});
  w.RunUntil([&] { return client.MessageTypes().ends_with("EZ"); });
  CHECK(client.HasReceived("53300"));
  CHECK(server.queries.size() == before);
  CHECK(before == failures.size());
  CHECK(log.CountOf("watch interrupted") == 1);
  CHECK(peers.back()->HasReceived("since=41 "));
}

TEST_CASE("discovery whose connections are refused is logged once an episode, and requests are served on") {
  SimulatedFleet w;
  w.AddServer(kEchoValue);
  w.ApplyEndpointList();
  const std::uint16_t closed = ClosedPort(w.loop);
  discovery::EndpointListReader reader({"a"});
  const LogCapture log;
  discovery::DiscoveryWatch watch(w.loop, {"127.0.0.1", closed}, reader, 41, 1, {},
                                  [](const discovery::EndpointListUpdate&) {});
  watch.Start();
  std::set<TimePoint> calls;  // each time for which a call is put off
  w.RunUntil([&] {
    if (watch.next_request_at()) calls.insert(*watch.next_request_at());
    return calls.size() >= 4;
  });
  TestConnection& client = w.ConnectClient({RequestText("any")});
  w.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
  CHECK(log.CountOf("watch interrupted") == 1);
  CHECK_FALSE(watch.has_received_update());
}

// The agent has known for long that the only data server drains; the list in the configuration is older. The
// agent is called before the first client has its answer, however many instances start: what it tells binds.
TEST_CASE("a pooler of 300 that starts with an old list obeys a drain that its agent knows of") {
  SimulatedFleet w;
  DataServer& server = w.AddServer(kEchoValue);
  DiscoveryAgent agent(w.loop);
  const auto list = [&](const char* revision, const char* state) {
    return R"({"rev":)" + std::string(revision) +
           R"(,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:)" +
           std::to_string(server.listener.port()) + R"(","az":"a","pod_group":2,"state":")" + state +
           R"("}]})";
  };
  agent.response = list("42", "Terminating") + "\n";
  PoolerProcess program(w);
  std::string config = program.PlatformConfig(agent.Address(), list("41", "Ready"));
  config.replace(config.find(R"("settings":{)"), 12,
                 R"("settings":{"peers_total":300,"discovery":"push",)"
                 R"("rules":{"drain_grace_us":2000000},)");
  program.Configure(config);
  program.Start();
  for (TestConnection* first = nullptr; first == nullptr || first->peer_closed;) {
    first = &program.ConnectClient({""});
    w.RunUntil([&] { return first->peer_closed || first->MessageTypes().ends_with("IZ"); });
  }
  g_main_context_iteration(nullptr, FALSE);
  REQUIRE(agent.connections.size() == 1);
  w.RunUntil([&] { return agent.HasReceived("since=41 "); });
  TestConnection& client = program.ConnectClient({RequestText("any")});
  w.RunUntil([&] { return client.MessageTypes().ends_with("EZ"); });
  CHECK(client.HasReceived("53300"));
  CHECK(server.queries.empty());
}

TEST_CASE("SIGHUP moves the watch and nothing else; a file that cannot be used changes nothing") {
  SimulatedFleet w;
  DataServer& server = w.AddServer(kNoResponse);
  DiscoveryAgent first(w.loop), second(w.loop);
  const std::string target = R"({"uid":"s-1","endpoint":"127.0.0.1:)" +
                             std::to_string(server.listener.port()) +
                             R"(","az":"a","pod_group":2,"state":"Ready"})";
  const std::string known = R"({"rev":41,"all":true,"targets":[)" + target + "]}";
  first.response = known + "\n";
  second.response = R"({"rev":7,"all":true,"targets":[]})"
                    "\n";  // a whole list, of a count of its own
  PoolerProcess program(w);
  program.Configure(program.PlatformConfig(first.Address(), known));
  program.Start();
  w.RunUntil([&] { return first.HasReceived("since=41 "); });
  TestConnection& client = program.ConnectClient({RequestText("any")});
  w.RunUntil([&] { return server.queries.size() == 1; });
  for (const char* bad : {"{", "{}"}) {
    program.Configure(bad);
    g_subprocess_send_signal(program.process.get(), SIGHUP);
    TestConnection& alive = program.ConnectClient({""});
    w.RunUntil([&] { return alive.MessageTypes().ends_with("IZ"); });
  }
  CHECK_FALSE(first.connections[0]->peer_closed);
  program.Configure(program.PlatformConfig(second.Address(), known));
  g_subprocess_send_signal(program.process.get(), SIGHUP);
  w.RunUntil([&] { return second.HasReceived("since=41 ") && first.connections[0]->peer_closed; });
  second.connections[0]->connection->Close();
  w.RunUntil(
      [&] { return second.HasReceived("since=7 "); });  // the list was taken, though its number is lower
  server.connections.back()->Send(RowResponse("v"));
  w.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
  g_subprocess_send_signal(program.process.get(), SIGTERM);
  g_subprocess_send_signal(program.process.get(), SIGHUP);
  w.RunUntil([&] { return program.exited; });
  REQUIRE(g_subprocess_get_if_exited(program.process.get()));
  CHECK(g_subprocess_get_exit_status(program.process.get()) == 0);
}

}  // namespace
}  // namespace lynxgrade
