// The pooler's parts on real sockets: scripted data servers and clients in the same loop, ports by the
// kernel.
#include "support/simulated_fleet.h"

namespace lynxgrade {
namespace {

TEST_CASE("a request is served with the data server's value; its statement changes in d alone") {
  SimulatedFleet w;
  DataServer& server = w.Serve(kAnswer);
  w.List();
  std::string asked = Ask("any", "x");
  Peer& client = w.Client({asked});
  w.Until([&] { return client.Saw("SELECT 1"); });
  CHECK(client.Types() == "RSSSSKZTDCZ");
  REQUIRE(server.queries.size() == 1);
  std::string sent = server.queries[0];
  sent.erase(sent.find(",d=") + 3, sent.find(",k=") - sent.find(",d=") - 3);
  asked.erase(asked.find(",d=") + 3, 4);
  CHECK(sent == asked);
}

TEST_CASE("pipelined queries are answered in their order, a bad one between them too") {
  SimulatedFleet w;
  w.Serve(kAnswer);
  w.List();
  Peer& client = w.Client({Ask("any", "1"), Ask("nobody"), "SELECT 1", "", Ask("any", "2")});
  w.Until([&] { return client.Types().ends_with("TDCZEZEZIZTDCZ"); });
  CHECK(client.bytes.find("1C") < client.bytes.find("2C"));
}

TEST_CASE("rule 1: a request that no data server answers gets one final answer, before its deadline") {
  SimulatedFleet w;
  DataServer& server = w.Serve(kSilent);
  w.List();
  Peer& client = w.Client({Ask("any", "k", 300)});
  w.Until([&] { return client.Saw("53300"); });
  CHECK(client.Types() == "RSSSSKZEZ");
  w.Until(
      [&] { return server.peers[0]->ended || server.peers.back()->ended; });  // the attempt was called off
  CHECK(w.proxy.open() == 0);
}

TEST_CASE("rule 2: a write that may have run is not refused, and not sent beyond its window") {
  SimulatedFleet w;
  DataServer& server = w.Serve([](Peer& p, const std::string&) { p.connection->Close(); });
  server.report = "x1=1,x0=1";
  w.List();
  Peer& client = w.Client({Ask("write", "k", 1500)});
  w.Until([&] { return client.Saw("58000"); });
  CHECK(client.Types() == "RSSSSKZEZ");
  CHECK_FALSE(client.Saw("53300"));
  CHECK(server.queries.size() >= 1);
}

TEST_CASE("rule 2: a write that was turned away untouched may be refused, with a time to come back") {
  SimulatedFleet w;
  DataServer& server = w.Serve([](Peer& p, const std::string&) { p.Say(Error("25006")); });
  server.report = "x1=1,x0=1";
  w.List();
  Peer& client = w.Client({Ask("write", "k", 400)});
  w.Until([&] { return client.Saw("53300"); });
  CHECK(client.Saw(std::string("\0D50\0", 5)));
}

TEST_CASE("rule 3: nothing new goes to a data server that drains") {
  SimulatedFleet w;
  DataServer& draining = w.Serve(kAnswer);
  DataServer& other = w.Serve(kAnswer);
  w.List();
  w.List(ListKind::kPartial, Lifecycle::kDraining);
  Peer& client = w.Client(Asks(20));
  w.Until([&] { return other.queries.size() == 20 && client.Types().ends_with("TDCZ"); });
  CHECK(draining.queries.empty());
}

TEST_CASE("rule 5: a read that a replica is too far behind for is sent again, not answered from old data") {
  SimulatedFleet w;
  int turned_away = 0;
  const Script behind = [&](Peer& p, const std::string&) {
    if (++turned_away <= 2) return p.Say(Error("72000"));
    p.Say(Row("z"));
  };
  w.Serve(behind);
  w.Serve(behind);
  w.List();
  Peer& client = w.Client({Ask("own")});
  w.Until([&] { return client.Types().ends_with("TDCZ"); });
  CHECK(turned_away == 3);
}

TEST_CASE("a client that closes calls its attempt off; one that only ended its sending is answered") {
  SimulatedFleet w;
  DataServer& server = w.Serve(kSilent);
  w.List();
  Peer& gone = w.Client({Ask("any")});
  Peer& half = w.Client({Ask("any")});
  w.Until([&] { return server.queries.size() == 2; });
  shutdown(half.connection->descriptor(), SHUT_WR);
  gone.connection->Close();
  w.Until([&] { return w.proxy.counts().withdrawn == 1; });
  for (const auto& peer : server.peers) {
    if (!peer->ended && !peer->connection->closed()) peer->Say(Row("h"));
  }
  w.Until([&] { return half.Types().ends_with("TDCZ"); });
  CHECK(w.proxy.counts().withdrawn == 1);
}

TEST_CASE("what is malformed costs its own connection, with the SQLSTATE for it") {
  SimulatedFleet w;
  w.Serve(kAnswer);
  w.List();
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
    Peer& bad = w.Client({});
    bad.Say(c.bytes + std::string(200000, 'x'));  // still sending when the error comes
    w.Until([&] { return bad.ended; });
    CHECK(bad.Saw(c.code));
  }
  Peer& good = w.Client({Ask("any")});
  w.Until([&] { return good.Types().ends_with("TDCZ"); });
}

TEST_CASE("an answer that nobody asked for costs the data server its connection, and nothing else") {
  SimulatedFleet w;
  DataServer& server = w.Serve([](Peer& p, const std::string&) { p.Say(Row("a") + Row("b")); });
  w.List();
  Peer& client = w.Client(Asks(8));
  w.Until([&] { return server.queries.size() == 8 && client.Types().ends_with("TDCZ"); });
  CHECK_FALSE(client.Saw("1b"));
  CHECK(std::ranges::count_if(server.peers, [](const auto& p) { return p->ended; }) >= 7);
}

// An answer is served as it came or has failed: each of these is read again elsewhere, on another connection.
TEST_CASE("a spoilt answer has failed, and costs its connection at once") {
  const std::string good = Row("w");
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
  const Texts spoilt = {"\x7fnoise\n", huge,           no_tag,
                        no_row,        no_description, null_row,
                        two_rows,      "T\0"s + good,  good.substr(0, message('C').first)};
  for (const std::string& bytes : spoilt) {
    CAPTURE(bytes);
    SimulatedFleet w;
    int asked = 0;
    DataServer& server =
        w.Serve([&](Peer& p, const std::string&) { p.Say(++asked == 1 ? bytes : Row("v")); });
    w.List();
    Peer& client = w.Client({Ask("any")});
    w.Until([&] { return client.Types().ends_with("TDCZ"); });
    CHECK(client.Saw("\1vC"));
    CHECK_FALSE(client.Saw("w"s + "C"));
    CHECK(asked == 2);
    w.Until([&] { return std::ranges::any_of(server.peers, [](const auto& p) { return p->ended; }); });
  }
}

TEST_CASE(
    "a statement that a data server cannot use is not tried elsewhere, and not held against that server") {
  SimulatedFleet w;
  std::size_t asked = 0;
  const Script picky = [&](Peer& p, const std::string& text) {
    ++asked;
    if (text.find("SELECT 'x'") != std::string::npos) return p.Say(Error("42601"));
    p.Say(Row("v"));
  };
  w.Serve(picky);
  w.List();
  for (int i = 0; i < 12; ++i) {
    Peer& bad = w.Client({Ask("any", "x")});
    w.Until([&] { return bad.Types().ends_with("EZ"); });
    CHECK(bad.Saw("42601"));
  }
  CHECK(asked == 12);
  Peer& client = w.Client({Ask("any")});
  w.Until([&] { return client.Types().ends_with("TDCZ"); });
  CHECK(asked == 13);
}

// What crosses a data server's close behind its answer is lost as a reset, though nothing is wrong there.
TEST_CASE("a connection that has only just answered is left alone where there is another") {
  SimulatedFleet w;
  std::vector<Peer*> asked;
  DataServer& server = w.Serve([&](Peer& p, const std::string&) { asked.push_back(&p); });
  w.List();
  Peer& one = w.Client({Ask("any")});
  Peer& two = w.Client({Ask("any")});
  w.Until([&] { return asked.size() == 2; });
  for (Peer* peer : asked) peer->Say(Row("v"));
  w.Until([&] { return one.Types().ends_with("TDCZ") && two.Types().ends_with("TDCZ"); });
  const TimePoint from = w.loop.Now();
  w.Until([&] { return w.loop.Now() - from > Duration(20000); });
  asked.clear();
  server.script = [&](Peer& p, const std::string&) {
    asked.push_back(&p);
    p.Say(Row("v"));
  };
  w.Client(Asks(2));
  w.Until([&] { return asked.size() == 2; });
  CHECK(asked[0] != asked[1]);
}

TEST_CASE("an answer is as good with a load report that cannot be read as with none") {
  SimulatedFleet w;
  w.Serve([](Peer& p, const std::string&) {
    std::string report, row = Row("v");
    pg::AppendParameterStatus(report, "pressure", "util=much,,\x01");
    p.Say(row.insert(row.size() - 6, report));
  });
  w.List();
  Peer& client = w.Client({Ask("any")});
  w.Until([&] { return client.Types().ends_with("TDCZ"); });
}

TEST_CASE("data servers that are gone are forgotten, and known again when they come back") {
  SimulatedFleet w;
  w.Serve(kAnswer);
  w.Serve(kAnswer);
  w.List();
  Peer& client = w.Client(Asks(4));
  w.Until([&] { return client.Types().ends_with("TDCZTDCZTDCZTDCZ"); });
  w.List(ListKind::kPartial, Lifecycle::kDeleted);
  w.pool.RemoveServer(ServerId(1));
  w.Until([&] { return w.pool.servers() == 1; });
  w.List(ListKind::kPartial);
  CHECK(w.pool.servers() == 2);
}

TEST_CASE("an empty query is answered as such only once requests can be served; SSL is declined") {
  SimulatedFleet w;
  w.Serve(kAnswer);
  Peer& early = w.Client({""});
  w.Until([&] { return early.Saw("57P03"); });
  w.List();
  Peer& later = w.Client({""});
  w.Until([&] { return later.Types().ends_with("IZ"); });
  w.clients.push_back(std::make_unique<Peer>());
  Peer& ssl = *w.clients.back();
  bool full = false;
  ssl.connection = Connection::Connect(w.loop, {"127.0.0.1", w.front.port()}, ssl, 4096, 4096, &full);
  ssl.Say(std::string("\0\0\0\x08\x04\xd2\x16\x2f", 8));
  w.Until([&] { return ssl.bytes == "N"; });
}

TEST_CASE("a stop serves on for a while, finishes what was taken, closes clients between requests and ends") {
  SimulatedFleet w;
  DataServer& server = w.Serve(kSilent);
  w.List();
  Peer& idle = w.Client({""});
  Peer& busy = w.Client({Ask("any")});
  w.Until([&] { return server.queries.size() == 1 && idle.Saw("I"); });
  bool done = false;
  w.front.StartDrain([&] { done = true; });
  const TimePoint from = w.loop.Now();
  Peer& late = w.Client({""});  // connections still come for a while
  w.Until([&] { return late.Types().ends_with("IZ"); });
  // The front layer has let go of this pooler, and another may not be back: who is connected is served on.
  w.Until([&] { return w.loop.Now() - from > Duration(900000); });
  std::string query;
  pg::AppendQuery(query, "");
  idle.Say(query);
  w.Until([&] { return idle.Types().ends_with("IZIZ"); });
  w.Until([&] { return late.ended; });
  CHECK_FALSE(done);
  for (const auto& peer : server.peers) peer->Say(Row("v"));
  w.Until([&] { return done && busy.Types().ends_with("TDCZ"); });
}

// The program may be killed 3.7 s after it was told to stop: what it has then not answered would be lost.
TEST_CASE("what is asked during a stop is answered before the program may be killed") {
  SimulatedFleet w;
  w.Serve(kSilent);
  w.List();
  Peer& client = w.Client({""});
  w.Until([&] { return client.Saw("I"); });
  w.front.StartDrain([] {});
  const TimePoint from = w.loop.Now();
  std::string query;
  pg::AppendQuery(query, Ask("any", "k", 60000));
  client.Say(query);
  w.Until([&] { return client.Types().ends_with("EZ"); });
  CHECK(w.loop.Now() - from < Duration(3700000));
}

TEST_CASE("silent clients and unfinished messages are closed in time, idle and served clients stay") {
  SimulatedFleet w;
  w.Serve(kSilent);
  w.List();
  Peer& idle = w.Client({""});
  Peer& served = w.Client({Ask("any", "k", 9000)});
  Peer& begun = w.Client({});
  begun.Say(std::string("Q\0\0\2\0", 5) + "/* id=");
  Peer& silent = w.Connect(w.front.port());
  const TimePoint from = w.loop.Now();
  w.Until([&] { return begun.ended && silent.ended; });
  CHECK(w.loop.Now() - from < Duration(3000000));
  CHECK(begun.Saw("08P01"));
  CHECK_FALSE(idle.ended);
  CHECK_FALSE(served.ended);
}

TEST_CASE("connections that say nothing make room before clients that are of use") {
  SimulatedFleet w(100);  // 60 to share, 15 of them for backends
  w.Serve(kAnswer);
  w.List();
  std::vector<Peer*> useful;
  for (int i = 0; i < 10; ++i) {
    useful.push_back(&w.Client({""}));
    w.Until([&] { return useful.back()->Saw("I"); });
  }
  std::vector<Peer*> silent;
  silent.reserve(60);
  for (int i = 0; i < 60; ++i) silent.push_back(&w.Connect(w.front.port()));
  w.Until([&] { return std::ranges::count_if(silent, [](Peer* p) { return p->ended; }) >= 20; });
  Peer& asks = w.Client({Ask("any")});
  w.Until([&] { return asks.Types().ends_with("TDCZ"); });
  CHECK(std::ranges::none_of(useful, [](Peer* p) { return p->ended; }));
}

// Those that asked once and stay hold what others need to ask at all.
TEST_CASE("idle clients go the sooner, the more there are") {
  SimulatedFleet w(100);  // 60 to share: 20 clients are over a quarter
  w.List();
  for (int i = 0; i < 20; ++i) w.Client({""});
  const TimePoint from = w.loop.Now();
  w.Until([&] { return std::ranges::any_of(w.clients, [](const auto& p) { return p->ended; }); });
  CHECK(w.loop.Now() - from < Duration(2000000));
}

TEST_CASE("hundreds of queries at once do not keep another client waiting") {
  SimulatedFleet w;
  w.Serve(kAnswer);
  w.List();
  Peer& flood = w.Client(Texts(1500, "SELECT 1"));
  Peer& asks = w.Client({Ask("any")});
  w.Until([&] { return asks.Types().ends_with("TDCZ"); });
  CHECK(flood.Count("42601") < 1000);
  w.Until([&] { return flood.Count("42601") == 1500; });
}

TEST_CASE("an id that is open elsewhere gets an error, and the open request its answer") {
  SimulatedFleet w;
  DataServer& server = w.Serve(kSilent);
  w.List();
  const std::string query = Ask("any");
  Peer& first = w.Client({query});
  w.Until([&] { return server.queries.size() == 1; });
  Peer& second = w.Client({query});
  w.Until([&] { return second.Types().ends_with("EZ"); });
  CHECK(second.Saw("22023"));
  for (const auto& peer : server.peers) peer->Say(Row("v"));
  w.Until([&] { return first.Types().ends_with("TDCZ"); });
  CHECK(server.queries.size() == 1);
  Peer& third = w.Client({query});  // it is not open any more
  w.Until([&] { return server.queries.size() == 2 && !third.ended; });
}

TEST_CASE("a group that nobody knows is refused at once") {
  SimulatedFleet w;
  w.Serve(kAnswer);
  w.List();
  std::string query = Ask("any");
  query.replace(query.find("cluster=2"), 9, "cluster=9");
  Peer& client = w.Client({query});
  w.Until([&] { return client.Types().ends_with("EZ"); });
  CHECK(client.Saw("53300"));
}

TEST_CASE("clients beyond the budget are taken in for idle ones") {
  SimulatedFleet w(100);  // 60 to share, 15 of them for backends
  w.Serve(kAnswer);
  w.List();
  for (int i = 0; i < 70; ++i) w.Client({""});
  w.Until([&] { return w.clients.back()->Types().ends_with("IZ"); });
  CHECK(w.budget.clients() <= 45);
  Peer& asks = w.Client({Ask("any")});
  w.Until([&] { return asks.Types().ends_with("TDCZ"); });
}

TEST_CASE("the watch goes on from the version it has reached when its connection ends") {
  net::Loop loop;
  Texts asked;
  std::vector<std::unique_ptr<Peer>> peers;
  net::Listener agent(
      loop, [] { return true; },
      [&](net::ObjectPtr<GSocket> socket) {
        peers.push_back(std::make_unique<Peer>());
        Peer& peer = *peers.back();
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
  until([&] { return peers.size() == 1 && peers[0]->Saw("\r\n\r\n"); });
  CHECK(peers[0]->Saw("GET /registry/instances?follow=1&since=41 HTTP/1.1\r\n"));
  const std::string line = R"({"rev":43,"all":false,"targets":[{"uid":1}]})"
                           "\n";  // its entry is malformed
  peers[0]->Say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n2d\r\n" + line + "\r\n");
  until([&] { return versions.size() == 1; });
  peers[0]->connection->Close();
  until([&] { return peers.size() == 2 && peers[1]->Saw("\r\n\r\n"); });
  CHECK(peers[1]->Saw("since=43 "));
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
  DataServer& server = w.Serve(kAnswer);
  w.List();
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto chunk = [](const std::string& line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    return size + line + "\r\n";
  };
  const Texts failures = {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                          "HTTP/1.1 20",
                          head + "40\r\n{\"rev\":44,\"all\":true,\"targ",
                          head + chunk("{\"rev\":44,\"all\"\n"),
                          head + chunk("[1,2]\n"),
                          ""};
  std::size_t calls = 0;
  std::vector<std::unique_ptr<Peer>> peers;
  net::Listener agent(
      w.loop, [] { return true; },
      [&](net::ObjectPtr<GSocket> socket) {
        peers.push_back(std::make_unique<Peer>());
        Peer& peer = *peers.back();
        peer.connection = Connection::Adopt(w.loop, std::move(socket), peer, 65536, 65536);
        const std::size_t call = calls++;
        if (call < failures.size()) {
          peer.Say(failures[call]);
          if (!failures[call].empty()) peer.connection->ShutdownSending();
        } else {
          peer.Say(head + chunk(R"({"rev":45,"all":false,"targets":[{"uid":"s-1",)"
                                R"("endpoint":"127.0.0.1:)" +
                                std::to_string(server.listener.port()) +
                                R"(","az":"a","pod_group":2,"state":"Terminating"}]})"
                                "\n"));
        }
      });
  REQUIRE(agent.Open({"127.0.0.1", 0}));
  discovery::EndpointListReader reader({"a"});
  const Logged logged;
  bool told = false;
  discovery::DiscoveryWatch watch(w.loop, {"127.0.0.1", agent.port()}, reader, 41, 1, {},
                                  [&](const discovery::EndpointListUpdate&) {
                                    told = true;
                                    w.List(ListKind::kPartial, Lifecycle::kDraining);
                                  });
  watch.Start();
  for (std::size_t i = 0; i < failures.size(); ++i) {
    w.Until([&] { return calls > i; });
    Peer& client = w.Client({Ask("any")});
    w.Until([&] { return client.Types().ends_with("TDCZ"); });
  }
  w.Until([&] { return told; });
  const std::size_t before = server.queries.size();
  Peer& client = w.Client({Ask("any")});
  w.Until([&] { return client.Types().ends_with("EZ"); });
  CHECK(client.Saw("53300"));
  CHECK(server.queries.size() == before);
  CHECK(before == failures.size());
  CHECK(logged.Count("watch interrupted") == 1);
  CHECK(peers.back()->Saw("since=41 "));
}

TEST_CASE("discovery whose connections are refused is logged once an episode, and requests are served on") {
  SimulatedFleet w;
  w.Serve(kAnswer);
  w.List();
  const std::uint16_t closed = ClosedPort(w.loop);
  discovery::EndpointListReader reader({"a"});
  const Logged logged;
  discovery::DiscoveryWatch watch(w.loop, {"127.0.0.1", closed}, reader, 41, 1, {},
                                  [](const discovery::EndpointListUpdate&) {});
  watch.Start();
  std::set<TimePoint> calls;  // each time for which a call is put off
  w.Until([&] {
    if (watch.next_request_at()) calls.insert(*watch.next_request_at());
    return calls.size() >= 4;
  });
  Peer& client = w.Client({Ask("any")});
  w.Until([&] { return client.Types().ends_with("TDCZ"); });
  CHECK(logged.Count("watch interrupted") == 1);
  CHECK_FALSE(watch.has_received_update());
}

// The agent has known for long that the only data server drains; the list in the configuration is older. The
// agent is called before the first client has its answer, however many instances start: what it tells binds.
TEST_CASE("a pooler of 300 that starts with an old list obeys a drain that its agent knows of") {
  SimulatedFleet w;
  DataServer& server = w.Serve(kAnswer);
  Agent agent(w.loop);
  const auto list = [&](const char* revision, const char* state) {
    return R"({"rev":)" + std::string(revision) +
           R"(,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:)" +
           std::to_string(server.listener.port()) + R"(","az":"a","pod_group":2,"state":")" + state +
           R"("}]})";
  };
  agent.line = list("42", "Terminating") + "\n";
  Program program(w);
  std::string config = program.PlatformConfig(agent.Where(), list("41", "Ready"));
  config.replace(config.find(R"("settings":{)"), 12,
                 R"("settings":{"peers_total":300,"discovery":"push",)"
                 R"("rules":{"drain_grace_us":2000000},)");
  program.Configure(config);
  program.Start();
  for (Peer* first = nullptr; first == nullptr || first->ended;) {
    first = &program.Client({""});
    w.Until([&] { return first->ended || first->Types().ends_with("IZ"); });
  }
  g_main_context_iteration(nullptr, FALSE);
  REQUIRE(agent.peers.size() == 1);
  w.Until([&] { return agent.Asked("since=41 "); });
  Peer& client = program.Client({Ask("any")});
  w.Until([&] { return client.Types().ends_with("EZ"); });
  CHECK(client.Saw("53300"));
  CHECK(server.queries.empty());
}

TEST_CASE("SIGHUP moves the watch and nothing else; a file that cannot be used changes nothing") {
  SimulatedFleet w;
  DataServer& server = w.Serve(kSilent);
  Agent first(w.loop), second(w.loop);
  const std::string target = R"({"uid":"s-1","endpoint":"127.0.0.1:)" +
                             std::to_string(server.listener.port()) +
                             R"(","az":"a","pod_group":2,"state":"Ready"})";
  const std::string known = R"({"rev":41,"all":true,"targets":[)" + target + "]}";
  first.line = known + "\n";
  second.line = R"({"rev":7,"all":true,"targets":[]})"
                "\n";  // a whole list, of a count of its own
  Program program(w);
  program.Configure(program.PlatformConfig(first.Where(), known));
  program.Start();
  w.Until([&] { return first.Asked("since=41 "); });
  Peer& client = program.Client({Ask("any")});
  w.Until([&] { return server.queries.size() == 1; });
  for (const char* bad : {"{", "{}"}) {
    program.Configure(bad);
    g_subprocess_send_signal(program.process.get(), SIGHUP);
    Peer& alive = program.Client({""});
    w.Until([&] { return alive.Types().ends_with("IZ"); });
  }
  CHECK_FALSE(first.peers[0]->ended);
  program.Configure(program.PlatformConfig(second.Where(), known));
  g_subprocess_send_signal(program.process.get(), SIGHUP);
  w.Until([&] { return second.Asked("since=41 ") && first.peers[0]->ended; });
  second.peers[0]->connection->Close();
  w.Until([&] { return second.Asked("since=7 "); });  // the list was taken, though its number is lower
  server.peers.back()->Say(Row("v"));
  w.Until([&] { return client.Types().ends_with("TDCZ"); });
  g_subprocess_send_signal(program.process.get(), SIGTERM);
  g_subprocess_send_signal(program.process.get(), SIGHUP);
  w.Until([&] { return program.over; });
  REQUIRE(g_subprocess_get_if_exited(program.process.get()));
  CHECK(g_subprocess_get_exit_status(program.process.get()) == 0);
}

}  // namespace
}  // namespace lynxgrade
