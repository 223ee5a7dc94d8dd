// The pooler on real sockets, with data servers, clients and discovery under the test's control in the same
// loop.
#include "support/simulated_fleet.h"

namespace lynxgrade {
namespace {

TEST_CASE("a request is served with the data server's value; only d changes in its statement") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  std::string request = RequestText("any", "x");
  TestConnection& client = fleet.ConnectClient({request});
  fleet.RunUntil([&] { return client.HasReceived("SELECT 1"); });
  CHECK(client.MessageTypes() == "RSSSSKZTDCZ");
  REQUIRE(server.queries.size() == 1);
  std::string sent = server.queries[0];
  sent.erase(sent.find(",d=") + 3, sent.find(",k=") - sent.find(",d=") - 3);
  request.erase(request.find(",d=") + 3, 4);
  CHECK(sent == request);
}

TEST_CASE("pipelined queries are answered in order, including invalid ones") {
  SimulatedFleet fleet;
  fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  TestConnection& client = fleet.ConnectClient(
      {RequestText("any", "1"), RequestText("nobody"), "SELECT 1", "", RequestText("any", "2")});
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("TDCZEZEZIZTDCZ"); });
  CHECK(client.received.find("1C") < client.received.find("2C"));
}

TEST_CASE("rule 1: a request that no data server answers gets one final response before its deadline") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kNoResponse);
  fleet.ApplyEndpointList();
  TestConnection& client = fleet.ConnectClient({RequestText("any", "k", 300)});
  fleet.RunUntil([&] { return client.HasReceived("53300"); });
  CHECK(client.MessageTypes() == "RSSSSKZEZ");
  fleet.RunUntil([&] {
    return server.connections[0]->peer_closed || server.connections.back()->peer_closed;
  });  // the attempt was cancelled
  CHECK(fleet.proxy.requests_in_flight() == 0);
}

TEST_CASE("rule 2: a write that may have been executed fails instead of being rejected") {
  SimulatedFleet fleet;
  DataServer& server =
      fleet.AddServer([](TestConnection& peer, const std::string&) { peer.connection->Close(); });
  server.load_report = "x1=1,x0=1";
  fleet.ApplyEndpointList();
  TestConnection& client = fleet.ConnectClient({RequestText("write", "k", 1500)});
  fleet.RunUntil([&] { return client.HasReceived("58000"); });
  CHECK(client.MessageTypes() == "RSSSSKZEZ");
  CHECK_FALSE(client.HasReceived("53300"));
  CHECK(server.queries.size() >= 1);
}

TEST_CASE("rule 2: a write that was not executed may be rejected, with a Retry-After") {
  SimulatedFleet fleet;
  DataServer& server =
      fleet.AddServer([](TestConnection& peer, const std::string&) { peer.Send(ErrorResponse("25006")); });
  server.load_report = "x1=1,x0=1";
  fleet.ApplyEndpointList();
  TestConnection& client = fleet.ConnectClient({RequestText("write", "k", 400)});
  fleet.RunUntil([&] { return client.HasReceived("53300"); });
  CHECK(client.HasReceived(std::string("\0D50\0", 5)));
}

TEST_CASE("rule 3: no new request is sent to a draining data server") {
  SimulatedFleet fleet;
  DataServer& draining = fleet.AddServer(kEchoValue);
  DataServer& other = fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  fleet.ApplyEndpointList(EndpointListKind::kPartial, Lifecycle::kDraining);
  TestConnection& client = fleet.ConnectClient(RequestTexts(20));
  fleet.RunUntil([&] { return other.queries.size() == 20 && client.MessageTypes().ends_with("TDCZ"); });
  CHECK(draining.queries.empty());
}

TEST_CASE("rule 5: a read rejected by a lagging replica is retried, not answered from old data") {
  SimulatedFleet fleet;
  int attempts = 0;
  const QueryHandler lagging = [&](TestConnection& peer, const std::string&) {
    if (++attempts <= 2) return peer.Send(ErrorResponse("72000"));
    peer.Send(RowResponse("z"));
  };
  fleet.AddServer(lagging);
  fleet.AddServer(lagging);
  fleet.ApplyEndpointList();
  TestConnection& client = fleet.ConnectClient({RequestText("own")});
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
  CHECK(attempts == 3);
}

TEST_CASE("a client's close cancels its attempt; a client that only shut down sending is answered") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kNoResponse);
  fleet.ApplyEndpointList();
  TestConnection& closed = fleet.ConnectClient({RequestText("any")});
  TestConnection& half_closed = fleet.ConnectClient({RequestText("any")});
  fleet.RunUntil([&] { return server.queries.size() == 2; });
  shutdown(half_closed.connection->descriptor(), SHUT_WR);
  closed.connection->Close();
  fleet.RunUntil([&] { return fleet.proxy.counts().cancelled == 1; });
  for (const auto& peer : server.connections) {
    if (!peer->peer_closed && !peer->connection->closed()) peer->Send(RowResponse("h"));
  }
  fleet.RunUntil([&] { return half_closed.MessageTypes().ends_with("TDCZ"); });
  CHECK(fleet.proxy.counts().cancelled == 1);
}

TEST_CASE("malformed input closes its connection with the matching SQLSTATE") {
  SimulatedFleet fleet;
  fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  const struct {
    std::string bytes;
    const char* code;
  } cases[] = {
      {"?", "08P01"},
      {std::string("Q\3\x93\x87\0", 5), "08P01"},  // 60 MB, rejected by the header alone
      {std::string("Q\xff\xff\xff\xff", 5), "08P01"},
      {std::string("Q\0\0\0\4", 5), "08P01"},
      {std::string("P\0\0\0\4", 5), "0A000"},
  };
  for (const auto& c : cases) {
    TestConnection& client = fleet.ConnectClient({});
    client.Send(c.bytes + std::string(200000, 'x'));  // still sending when the error arrives
    fleet.RunUntil([&] { return client.peer_closed; });
    CHECK(client.HasReceived(c.code));
  }
  TestConnection& other = fleet.ConnectClient({RequestText("any")});
  fleet.RunUntil([&] { return other.MessageTypes().ends_with("TDCZ"); });
}

TEST_CASE("an unsolicited response closes the connection to the data server, and has no other effect") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(
      [](TestConnection& peer, const std::string&) { peer.Send(RowResponse("a") + RowResponse("b")); });
  fleet.ApplyEndpointList();
  TestConnection& client = fleet.ConnectClient(RequestTexts(8));
  fleet.RunUntil([&] { return server.queries.size() == 8 && client.MessageTypes().ends_with("TDCZ"); });
  CHECK_FALSE(client.HasReceived("1b"));
  CHECK(std::ranges::count_if(server.connections,
                              [](const auto& connection) { return connection->peer_closed; }) >= 7);
}

// A response is forwarded unchanged or not at all: each of these requests is retried on another connection.
TEST_CASE("a malformed or incomplete response fails the attempt and closes its connection") {
  const std::string valid = RowResponse("w");
  const std::string huge = std::string("D\xb2\xd0\x5e\0", 5) + "keeps coming";  // 3 GB
  std::string no_tag = valid, no_row = valid, no_description = valid, null_row = valid, two_rows = valid;
  const auto message = [&](char type) {
    std::size_t offset = 0;
    while (valid[offset] != type) offset += pg::ReadFrame(valid.substr(offset)).size;
    return std::pair(offset, pg::ReadFrame(valid.substr(offset)).size);
  };
  no_tag.erase(message('C').first, message('C').second);
  no_row.erase(message('D').first, message('D').second);
  no_description.erase(message('T').first, message('T').second);
  null_row.replace(message('D').first, message('D').second,
                   std::string("D\0\0\0\x0a\0\1\xff\xff\xff\xff", 11));
  two_rows.insert(message('D').first, valid.substr(message('D').first, message('D').second));
  const Strings malformed = {"\x7fnoise\n", huge,           no_tag,
                             no_row,        no_description, null_row,
                             two_rows,      "T\0"s + valid, valid.substr(0, message('C').first)};
  for (const std::string& bytes : malformed) {
    CAPTURE(bytes);
    SimulatedFleet fleet;
    int attempts = 0;
    DataServer& server = fleet.AddServer([&](TestConnection& peer, const std::string&) {
      peer.Send(++attempts == 1 ? bytes : RowResponse("v"));
    });
    fleet.ApplyEndpointList();
    TestConnection& client = fleet.ConnectClient({RequestText("any")});
    fleet.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
    CHECK(client.HasReceived("\1vC"));
    CHECK_FALSE(client.HasReceived("w"s + "C"));
    CHECK(attempts == 2);
    fleet.RunUntil([&] {
      return std::ranges::any_of(server.connections,
                                 [](const auto& connection) { return connection->peer_closed; });
    });
  }
}

TEST_CASE("a statement that a data server rejects as invalid is not retried and does not eject the server") {
  SimulatedFleet fleet;
  std::size_t attempts = 0;
  const QueryHandler rejects_statement = [&](TestConnection& peer, const std::string& text) {
    ++attempts;
    if (text.find("SELECT 'x'") != std::string::npos) return peer.Send(ErrorResponse("42601"));
    peer.Send(RowResponse("v"));
  };
  fleet.AddServer(rejects_statement);
  fleet.ApplyEndpointList();
  for (int i = 0; i < 12; ++i) {
    TestConnection& invalid = fleet.ConnectClient({RequestText("any", "x")});
    fleet.RunUntil([&] { return invalid.MessageTypes().ends_with("EZ"); });
    CHECK(invalid.HasReceived("42601"));
  }
  CHECK(attempts == 12);
  TestConnection& client = fleet.ConnectClient({RequestText("any")});
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
  CHECK(attempts == 13);
}

// Guards against a request whose response cannot be told from that to an empty query of the pooler's own.
TEST_CASE("a statement that is empty after its comment is rejected, and not sent to a data server") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  std::string empty = RequestText("any");
  empty.resize(empty.find("*/") + 2);
  TestConnection& client = fleet.ConnectClient({empty, empty + " ;\n", RequestText("any")});
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("EZEZTDCZ"); });
  CHECK(client.CountOf("42601") == 2);
  CHECK(server.queries.size() == 1);
}

// A data server may close a connection right after a response. A query that crosses that close is lost to a
// reset.
TEST_CASE("a connection that has just delivered a response is not reused if another one is idle") {
  SimulatedFleet fleet;
  std::vector<TestConnection*> used;
  DataServer& server =
      fleet.AddServer([&](TestConnection& peer, const std::string&) { used.push_back(&peer); });
  fleet.ApplyEndpointList();
  TestConnection& first = fleet.ConnectClient({RequestText("any")});
  TestConnection& second = fleet.ConnectClient({RequestText("any")});
  fleet.RunUntil([&] { return used.size() == 2; });
  for (TestConnection* peer : used) peer->Send(RowResponse("v"));
  fleet.RunUntil(
      [&] { return first.MessageTypes().ends_with("TDCZ") && second.MessageTypes().ends_with("TDCZ"); });
  const TimePoint start = fleet.loop.Now();
  fleet.RunUntil([&] { return fleet.loop.Now() - start > Duration(20000); });
  used.clear();
  server.on_query = [&](TestConnection& peer, const std::string&) {
    used.push_back(&peer);
    peer.Send(RowResponse("v"));
  };
  fleet.ConnectClient(RequestTexts(2));
  fleet.RunUntil([&] { return used.size() == 2; });
  CHECK(used[0] != used[1]);
}

TEST_CASE("a response with a malformed load report is served") {
  SimulatedFleet fleet;
  fleet.AddServer([](TestConnection& peer, const std::string&) {
    std::string report, row = RowResponse("v");
    pg::AppendParameterStatus(report, "pressure", "util=much,,\x01");
    peer.Send(row.insert(row.size() - 6, report));
  });
  fleet.ApplyEndpointList();
  TestConnection& client = fleet.ConnectClient({RequestText("any")});
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
}

TEST_CASE("deleted data servers are removed from the pool, and added again when they return") {
  SimulatedFleet fleet;
  fleet.AddServer(kEchoValue);
  fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  TestConnection& client = fleet.ConnectClient(RequestTexts(4));
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("TDCZTDCZTDCZTDCZ"); });
  fleet.ApplyEndpointList(EndpointListKind::kPartial, Lifecycle::kDeleted);
  fleet.pool.RemoveServer(ServerId(1));
  fleet.RunUntil([&] { return fleet.pool.servers() == 1; });
  fleet.ApplyEndpointList(EndpointListKind::kPartial);
  CHECK(fleet.pool.servers() == 2);
}

TEST_CASE("an empty query gets its response only once requests can be served; SSL is declined") {
  SimulatedFleet fleet;
  fleet.AddServer(kEchoValue);
  TestConnection& early = fleet.ConnectClient({""});
  fleet.RunUntil([&] { return early.HasReceived("57P03"); });
  fleet.ApplyEndpointList();
  TestConnection& later = fleet.ConnectClient({""});
  fleet.RunUntil([&] { return later.MessageTypes().ends_with("IZ"); });
  fleet.clients.push_back(std::make_unique<TestConnection>());
  TestConnection& ssl = *fleet.clients.back();
  bool descriptors_exhausted = false;
  ssl.connection = Connection::Connect(fleet.loop, {"127.0.0.1", fleet.frontend.port()}, ssl, 4096, 4096,
                                       &descriptors_exhausted);
  ssl.Send(std::string("\0\0\0\x08\x04\xd2\x16\x2f", 8));
  fleet.RunUntil([&] { return ssl.received == "N"; });
}

TEST_CASE("a graceful shutdown serves for a while, completes requests in flight and closes the clients") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kNoResponse);
  fleet.ApplyEndpointList();
  TestConnection& idle = fleet.ConnectClient({""});
  TestConnection& busy = fleet.ConnectClient({RequestText("any")});
  fleet.RunUntil([&] { return server.queries.size() == 1 && idle.HasReceived("I"); });
  bool drained = false;
  fleet.frontend.StartDrain([&] { drained = true; });
  const TimePoint start = fleet.loop.Now();
  TestConnection& late = fleet.ConnectClient({""});  // new connections are still accepted
  fleet.RunUntil([&] { return late.MessageTypes().ends_with("IZ"); });
  // Connected clients are served until another pooler that is restarting can have been added to the load
  // balancer.
  fleet.RunUntil([&] { return fleet.loop.Now() - start > Duration(900000); });
  std::string query;
  pg::AppendQuery(query, "");
  idle.Send(query);
  fleet.RunUntil([&] { return idle.MessageTypes().ends_with("IZIZ"); });
  fleet.RunUntil([&] { return late.peer_closed; });
  CHECK_FALSE(drained);
  for (const auto& peer : server.connections) peer->Send(RowResponse("v"));
  fleet.RunUntil([&] { return drained && busy.MessageTypes().ends_with("TDCZ"); });
}

// The process may be killed 3.7 s after SIGTERM; requests not answered by then would be lost.
TEST_CASE("a request received during the shutdown is answered before the process may be killed") {
  SimulatedFleet fleet;
  fleet.AddServer(kNoResponse);
  fleet.ApplyEndpointList();
  TestConnection& client = fleet.ConnectClient({""});
  fleet.RunUntil([&] { return client.HasReceived("I"); });
  fleet.frontend.StartDrain([] {});
  const TimePoint start = fleet.loop.Now();
  std::string query;
  pg::AppendQuery(query, RequestText("any", "k", 60000));
  client.Send(query);
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("EZ"); });
  CHECK(fleet.loop.Now() - start < Duration(3700000));
}

TEST_CASE("silent clients and partial messages are closed within 3 s; idle and waiting clients stay") {
  SimulatedFleet fleet;
  fleet.AddServer(kNoResponse);
  fleet.ApplyEndpointList();
  TestConnection& idle = fleet.ConnectClient({""});
  TestConnection& waiting = fleet.ConnectClient({RequestText("any", "k", 9000)});
  TestConnection& partial = fleet.ConnectClient({});
  partial.Send(std::string("Q\0\0\2\0", 5) + "/* id=");
  TestConnection& silent = fleet.OpenConnection(fleet.frontend.port());
  const TimePoint start = fleet.loop.Now();
  fleet.RunUntil([&] { return partial.peer_closed && silent.peer_closed; });
  CHECK(fleet.loop.Now() - start < Duration(3000000));
  CHECK(partial.HasReceived("08P01"));
  CHECK_FALSE(idle.peer_closed);
  CHECK_FALSE(waiting.peer_closed);
}

TEST_CASE("silent connections are closed to free descriptors before idle clients are") {
  SimulatedFleet fleet(100);  // 60 are shared, 15 of them for data servers
  fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  std::vector<TestConnection*> idle;
  for (int i = 0; i < 10; ++i) {
    idle.push_back(&fleet.ConnectClient({""}));
    fleet.RunUntil([&] { return idle.back()->HasReceived("I"); });
  }
  std::vector<TestConnection*> silent;
  silent.reserve(60);
  for (int i = 0; i < 60; ++i) silent.push_back(&fleet.OpenConnection(fleet.frontend.port()));
  fleet.RunUntil([&] {
    return std::ranges::count_if(silent,
                                 [](TestConnection* connection) { return connection->peer_closed; }) >= 20;
  });
  TestConnection& client = fleet.ConnectClient({RequestText("any")});
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
  CHECK(std::ranges::none_of(idle, [](TestConnection* connection) { return connection->peer_closed; }));
}

// Idle clients hold descriptors that new clients need.
TEST_CASE("the idle timeout of clients is shorter while there are many") {
  SimulatedFleet fleet(100);  // 60 are shared; 20 clients hold more than a quarter
  fleet.ApplyEndpointList();
  for (int i = 0; i < 20; ++i) fleet.ConnectClient({""});
  const TimePoint start = fleet.loop.Now();
  fleet.RunUntil([&] {
    return std::ranges::any_of(fleet.clients, [](const auto& connection) { return connection->peer_closed; });
  });
  CHECK(fleet.loop.Now() - start < Duration(2000000));
}

TEST_CASE("a client that pipelines hundreds of queries does not delay another client") {
  SimulatedFleet fleet;
  fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  TestConnection& flood = fleet.ConnectClient(Strings(1500, "SELECT 1"));
  TestConnection& client = fleet.ConnectClient({RequestText("any")});
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
  CHECK(flood.CountOf("42601") < 1000);
  fleet.RunUntil([&] { return flood.CountOf("42601") == 1500; });
}

TEST_CASE("a request whose id is in flight gets an error; the one in flight gets its response") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kNoResponse);
  fleet.ApplyEndpointList();
  const std::string query = RequestText("any");
  TestConnection& first = fleet.ConnectClient({query});
  fleet.RunUntil([&] { return server.queries.size() == 1; });
  TestConnection& second = fleet.ConnectClient({query});
  fleet.RunUntil([&] { return second.MessageTypes().ends_with("EZ"); });
  CHECK(second.HasReceived("22023"));
  for (const auto& peer : server.connections) peer->Send(RowResponse("v"));
  fleet.RunUntil([&] { return first.MessageTypes().ends_with("TDCZ"); });
  CHECK(server.queries.size() == 1);
  TestConnection& third = fleet.ConnectClient({query});  // the id is no longer in flight
  fleet.RunUntil([&] { return server.queries.size() == 2 && !third.peer_closed; });
}

TEST_CASE("a request for an unknown group is rejected at once") {
  SimulatedFleet fleet;
  fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  std::string query = RequestText("any");
  query.replace(query.find("cluster=2"), 9, "cluster=9");
  TestConnection& client = fleet.ConnectClient({query});
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("EZ"); });
  CHECK(client.HasReceived("53300"));
}

TEST_CASE("a client beyond the descriptor budget replaces an idle one") {
  SimulatedFleet fleet(100);  // 60 are shared, 15 of them for data servers
  fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  for (int i = 0; i < 70; ++i) fleet.ConnectClient({""});
  fleet.RunUntil([&] { return fleet.clients.back()->MessageTypes().ends_with("IZ"); });
  CHECK(fleet.budget.clients() <= 45);
  TestConnection& client = fleet.ConnectClient({RequestText("any")});
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
}

TEST_CASE("the discovery watch resumes from the last revision when its connection ends") {
  net::Loop loop;
  std::vector<std::unique_ptr<TestConnection>> connections;
  net::Listener agent(
      loop, [] { return true; },
      [&](net::ObjectPtr<GSocket> socket) {
        connections.push_back(std::make_unique<TestConnection>());
        TestConnection& peer = *connections.back();
        peer.connection = Connection::Adopt(loop, std::move(socket), peer, 65536, 65536);
      });
  REQUIRE(agent.Open({"127.0.0.1", 0}));
  discovery::EndpointListReader reader({"a"});
  std::vector<std::int64_t> revisions;
  discovery::DiscoveryWatch watch(
      loop, {"127.0.0.1", agent.port()}, reader, 41, 1, {},
      [&](const discovery::EndpointListUpdate& update) { revisions.push_back(update.revision); });
  watch.Start();
  const auto run_until = [&](const std::function<bool()>& condition) {
    while (!condition()) g_main_context_iteration(nullptr, TRUE);
  };
  run_until([&] { return connections.size() == 1 && connections[0]->HasReceived("\r\n\r\n"); });
  CHECK(connections[0]->HasReceived("GET /registry/instances?follow=1&since=41 HTTP/1.1\r\n"));
  const std::string line = R"({"rev":43,"all":false,"targets":[{"uid":1}]})"
                           "\n";  // the entry is malformed
  connections[0]->Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n2d\r\n" + line +
                       "\r\n");
  run_until([&] { return revisions.size() == 1; });
  connections[0]->connection->Close();
  run_until([&] { return connections.size() == 2 && connections[1]->HasReceived("\r\n\r\n"); });
  CHECK(connections[1]->HasReceived("since=43 "));
}

// 300 instances start together, or are given a new address at the same time. A local agent is called at once,
// since what it knows counts as known to the pooler. Calls to a service shared by all instances are spread
// over time.
TEST_CASE("a local agent is called at once, a shared service within the time left to obey a drain") {
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

// Discovery rejects a request, truncates the header or a list, sends malformed lists, or does not answer.
// Requests are served by the known list, and the first valid update is applied.
TEST_CASE("discovery failures fail no request and are logged once; the next valid update is applied") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
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
  std::size_t requests = 0;
  std::vector<std::unique_ptr<TestConnection>> connections;
  net::Listener agent(
      fleet.loop, [] { return true; },
      [&](net::ObjectPtr<GSocket> socket) {
        connections.push_back(std::make_unique<TestConnection>());
        TestConnection& peer = *connections.back();
        peer.connection = Connection::Adopt(fleet.loop, std::move(socket), peer, 65536, 65536);
        const std::size_t request = requests++;
        if (request < failures.size()) {
          peer.Send(failures[request]);
          if (!failures[request].empty()) peer.connection->ShutdownSending();
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
  bool updated = false;
  discovery::DiscoveryWatch watch(fleet.loop, {"127.0.0.1", agent.port()}, reader, 41, 1, {},
                                  [&](const discovery::EndpointListUpdate&) {
                                    updated = true;
                                    fleet.ApplyEndpointList(EndpointListKind::kPartial, Lifecycle::kDraining);
                                  });
  watch.Start();
  for (std::size_t i = 0; i < failures.size(); ++i) {
    fleet.RunUntil([&] { return requests > i; });
    TestConnection& client = fleet.ConnectClient({RequestText("any")});
    fleet.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
  }
  fleet.RunUntil([&] { return updated; });
  const std::size_t queries_before = server.queries.size();
  TestConnection& client = fleet.ConnectClient({RequestText("any")});
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("EZ"); });
  CHECK(client.HasReceived("53300"));
  CHECK(server.queries.size() == queries_before);
  CHECK(queries_before == failures.size());
  CHECK(log.CountOf("watch interrupted") == 1);
  CHECK(connections.back()->HasReceived("since=41 "));
}

TEST_CASE("refused connections to discovery are logged once, and requests are still served") {
  SimulatedFleet fleet;
  fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  const std::uint16_t closed = ClosedPort(fleet.loop);
  discovery::EndpointListReader reader({"a"});
  const LogCapture log;
  discovery::DiscoveryWatch watch(fleet.loop, {"127.0.0.1", closed}, reader, 41, 1, {},
                                  [](const discovery::EndpointListUpdate&) {});
  watch.Start();
  std::set<TimePoint> request_times;  // the times at which requests are scheduled
  fleet.RunUntil([&] {
    if (watch.next_request_at()) request_times.insert(*watch.next_request_at());
    return request_times.size() >= 4;
  });
  TestConnection& client = fleet.ConnectClient({RequestText("any")});
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
  CHECK(log.CountOf("watch interrupted") == 1);
  CHECK_FALSE(watch.has_received_update());
}

// The agent knows that the only data server is draining; the list in the configuration is older. The agent is
// called before the first client gets a response, however many instances start, so its list has to be
// applied.
TEST_CASE("a pooler that starts with an outdated list obeys a drain that its agent knows of") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kEchoValue);
  DiscoveryAgent agent(fleet.loop);
  const auto list = [&](const char* revision, const char* state) {
    return R"({"rev":)" + std::string(revision) +
           R"(,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:)" +
           std::to_string(server.listener.port()) + R"(","az":"a","pod_group":2,"state":")" + state +
           R"("}]})";
  };
  agent.response = list("42", "Terminating") + "\n";
  PoolerProcess pooler(fleet);
  std::string config = pooler.PlatformConfig(agent.Address(), list("41", "Ready"));
  config.replace(config.find(R"("settings":{)"), 12,
                 R"("settings":{"peers_total":300,"discovery":"push",)"
                 R"("rules":{"drain_grace_us":2000000},)");
  pooler.Configure(config);
  pooler.Start();
  for (TestConnection* first = nullptr; first == nullptr || first->peer_closed;) {
    first = &pooler.ConnectClient({""});
    fleet.RunUntil([&] { return first->peer_closed || first->MessageTypes().ends_with("IZ"); });
  }
  g_main_context_iteration(nullptr, FALSE);
  REQUIRE(agent.connections.size() == 1);
  fleet.RunUntil([&] { return agent.HasReceived("since=41 "); });
  TestConnection& client = pooler.ConnectClient({RequestText("any")});
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("EZ"); });
  CHECK(client.HasReceived("53300"));
  CHECK(server.queries.empty());
}

TEST_CASE("SIGHUP changes the address of discovery only; an invalid file changes nothing") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kNoResponse);
  DiscoveryAgent first(fleet.loop), second(fleet.loop);
  const std::string target = R"({"uid":"s-1","endpoint":"127.0.0.1:)" +
                             std::to_string(server.listener.port()) +
                             R"(","az":"a","pod_group":2,"state":"Ready"})";
  const std::string known = R"({"rev":41,"all":true,"targets":[)" + target + "]}";
  first.response = known + "\n";
  second.response = R"({"rev":7,"all":true,"targets":[]})"
                    "\n";  // a complete list, with its own revision numbers
  PoolerProcess pooler(fleet);
  pooler.Configure(pooler.PlatformConfig(first.Address(), known));
  pooler.Start();
  fleet.RunUntil([&] { return first.HasReceived("since=41 "); });
  TestConnection& client = pooler.ConnectClient({RequestText("any")});
  fleet.RunUntil([&] { return server.queries.size() == 1; });
  for (const char* invalid : {"{", "{}"}) {
    pooler.Configure(invalid);
    g_subprocess_send_signal(pooler.process.get(), SIGHUP);
    TestConnection& alive = pooler.ConnectClient({""});
    fleet.RunUntil([&] { return alive.MessageTypes().ends_with("IZ"); });
  }
  CHECK_FALSE(first.connections[0]->peer_closed);
  pooler.Configure(pooler.PlatformConfig(second.Address(), known));
  g_subprocess_send_signal(pooler.process.get(), SIGHUP);
  fleet.RunUntil([&] { return second.HasReceived("since=41 ") && first.connections[0]->peer_closed; });
  second.connections[0]->connection->Close();
  fleet.RunUntil(
      [&] { return second.HasReceived("since=7 "); });  // the list was applied although its revision is lower
  server.connections.back()->Send(RowResponse("v"));
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
  g_subprocess_send_signal(pooler.process.get(), SIGTERM);
  g_subprocess_send_signal(pooler.process.get(), SIGHUP);
  fleet.RunUntil([&] { return pooler.exited; });
  REQUIRE(g_subprocess_get_if_exited(pooler.process.get()));
  CHECK(g_subprocess_get_exit_status(pooler.process.get()) == 0);
}

}  // namespace
}  // namespace lynxgrade
