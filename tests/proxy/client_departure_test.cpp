// Clients that leave: what they sent before is not sent on later than 0.1 s after the close, however long the
// pooler was held up, and no id runs twice. Real sockets; the pooler in this process, and as one of its own.
#include <thread>

#include "support/simulated_fleet.h"

namespace lynxgrade {
namespace {

constexpr int kLongBudgetMs = 60000;  // longer than any test, so that no request ends by its deadline
constexpr auto kHeldUp =
    std::chrono::milliseconds(150);  // the longest time for which a pooler may be held up

std::string RequestWithId(const char* id, const char* request_class = "any", const char* object = "k") {
  return "/* id="s + id + ",c=" + request_class + ",t=acme,d=3000,k=5c,cluster=2 */ SELECT '" + object + "'";
}

// Lets everything happen that was caused so far: further attempts would be sent by then.
void RunFor(SimulatedFleet& fleet, Duration duration) {
  const TimePoint until = fleet.loop.Now() + duration;
  fleet.RunUntil([&] { return fleet.loop.Now() >= until; });
}

TEST_CASE("a request that is read long after its client has closed is not sent") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  RawClient client(fleet.frontend.port());
  // The first request leaves an idle connection to the data server, on which the second could be sent at
  // once.
  client.Send(QueryMessage(RequestText("any")));
  fleet.RunUntil([&] { return client.HasReceived("SELECT 1") && fleet.pool.idle() == 1; });
  client.Send(QueryMessage(RequestText("any")));
  client.Close();
  std::this_thread::sleep_for(kHeldUp);
  fleet.RunUntil([&] { return fleet.frontend.sessions() == 0; });
  RunFor(fleet, Duration(100000));
  CHECK(server.queries.size() == 1);
  CHECK(fleet.proxy.requests_in_flight() == 0);
}

TEST_CASE("a queued request is not sent if its client has closed while the pooler was held up") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kNoResponse);
  fleet.ApplyEndpointList();
  RawClient client(fleet.frontend.port());
  fleet.RunUntil([&] { return client.HasReceived("Z"); });
  std::string requests;
  for (int i = 0; i < 3; ++i) requests += QueryMessage(RequestText("any", "k", kLongBudgetMs));
  client.Send(requests);
  fleet.RunUntil([&] { return server.queries.size() == 1; });
  server.connections.back()->Send(RowResponse("1"));
  client.Close();
  std::this_thread::sleep_for(kHeldUp);
  fleet.RunUntil([&] { return fleet.frontend.sessions() == 0; });
  RunFor(fleet, Duration(100000));
  CHECK(server.queries.size() == 1);
}

TEST_CASE("a request that waits for a connection is not sent if its client has closed meanwhile") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kNoResponse);
  server.accepts_startup = false;
  fleet.ApplyEndpointList();
  RawClient client(fleet.frontend.port());
  fleet.RunUntil([&] { return client.HasReceived("Z"); });
  client.Send(QueryMessage(RequestText("any", "k", kLongBudgetMs)));
  fleet.RunUntil([&] { return !server.connections.empty() && server.connections.back()->startup_received; });
  server.connections.back()->Send(StartupResponse());
  client.Close();
  std::this_thread::sleep_for(kHeldUp);
  fleet.RunUntil([&] { return fleet.frontend.sessions() == 0; });
  RunFor(fleet, Duration(100000));
  CHECK(server.queries.empty());
}

TEST_CASE(
    "a client that has only shut down its sending side is served, also after a pooler that was held up") {
  SimulatedFleet fleet(200, LongDeadlineSettings());
  DataServer& server = fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  RawClient client(fleet.frontend.port());
  fleet.RunUntil([&] { return client.HasReceived("Z"); });
  std::string requests;
  for (int i = 0; i < 3; ++i) requests += QueryMessage(RequestText("any", "k", kLongBudgetMs));
  client.Send(requests);
  client.ShutdownSending();
  std::this_thread::sleep_for(kHeldUp);
  fleet.RunUntil([&] {
    client.ReadAvailable();
    return client.peer_closed;
  });
  CHECK(server.queries.size() == 3);
  CHECK(fleet.proxy.counts().served == 3);
}

TEST_CASE("a request that was cancelled while the pooler was held up is not sent again") {
  SimulatedFleet fleet(200, LongDeadlineSettings());
  for (int i = 0; i < 2; ++i) fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  TestConnection& client = fleet.ConnectClient({});
  // Idle connections to both data servers, so that the retry could be sent at once.
  const auto is_warm = [](const auto& server) { return !server->queries.empty(); };
  while (!std::ranges::all_of(fleet.servers, is_warm)) {
    client.received.clear();
    client.Send(QueryMessage(RequestText("any")));
    fleet.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
  }
  fleet.RunUntil([&] { return fleet.pool.idle() >= 2; });
  TestConnection& cancelled = fleet.ConnectClient({});
  fleet.RunUntil([&] { return cancelled.HasReceived("Z"); });
  DataServer* asked = nullptr;
  for (const auto& server : fleet.servers) {
    server->queries.clear();
    server->on_query = [&, server = server.get()](TestConnection&, const std::string&) { asked = server; };
  }
  cancelled.Send(QueryMessage(RequestText("any", "k", kLongBudgetMs)));
  fleet.RunUntil([&] { return asked != nullptr; });
  const auto cancelling = RawClient::WithoutStartup(fleet.frontend.port());
  cancelling->Send(CancelRequestMessage(CancelKeyOf(cancelled)));
  for (const auto& connection : asked->connections)
    connection->Send(ErrorResponse("XX000"));  // a retry is due
  std::this_thread::sleep_for(kHeldUp);
  fleet.RunUntil([&] { return cancelled.HasReceived("57014"); });
  RunFor(fleet, Duration(100000));
  CHECK(fleet.servers[0]->queries.size() + fleet.servers[1]->queries.size() == 1);
}

TEST_CASE("an id whose client has left while it may have run does not run again") {
  for (const char* request_class : {"any", "write"}) {
    CAPTURE(request_class);
    SimulatedFleet fleet;
    DataServer& server = fleet.AddServer(kNoResponse);
    server.load_report = "x1=1,x0=1";
    fleet.ApplyEndpointList();
    RawClient client(fleet.frontend.port());
    fleet.RunUntil([&] { return client.HasReceived("Z"); });
    client.Send(QueryMessage(RequestWithId("a1", request_class)));
    fleet.RunUntil([&] { return server.queries.size() == 1; });
    client.Close();
    fleet.RunUntil([&] { return fleet.proxy.counts().cancelled == 1; });
    server.on_query = kEchoValue;
    TestConnection& other = fleet.ConnectClient({RequestWithId("a1", request_class)});
    fleet.RunUntil([&] { return other.MessageTypes().ends_with("ZEZ"); });
    CHECK(other.HasReceived("22023"));
    CHECK(server.queries.size() == 1);
    other.Send(QueryMessage(RequestWithId("a2", request_class)));
    fleet.RunUntil([&] { return other.MessageTypes().ends_with("TDCZ"); });
  }
}

TEST_CASE("the id of a write that was served does not run again") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kEchoValue);
  server.load_report = "x1=1,x0=1";
  fleet.ApplyEndpointList();
  TestConnection& client = fleet.ConnectClient({RequestWithId("b1", "write"), RequestWithId("b1", "write")});
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("TDCZEZ"); });
  CHECK(client.HasReceived("22023"));
  CHECK(server.queries.size() == 1);
}

TEST_CASE("an id that was rejected unsent may come again") {
  SimulatedFleet fleet;
  fleet.ApplyEndpointList();
  TestConnection& client = fleet.ConnectClient({RequestWithId("c1")});
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("ZEZ"); });
  CHECK(client.HasReceived("53300"));
  DataServer& server = fleet.AddServer(kEchoValue);
  fleet.ApplyEndpointList();
  client.Send(QueryMessage(RequestWithId("c1")));
  fleet.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
  CHECK(server.queries.size() == 1);
}

TEST_CASE("a stopped pooler process sends no request of a client that has closed meanwhile") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kNoResponse);
  const std::string known = R"({"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:)" +
                            std::to_string(server.listener.port()) +
                            R"(","az":"a","pod_group":2,"state":"Ready"}]})";
  PoolerProcess pooler(fleet);
  pooler.Configure(pooler.PlatformConfig("127.0.0.1:" + std::to_string(ClosedPort(fleet.loop)), known));
  pooler.Start();
  for (bool ready = false; !ready;) {
    TestConnection& probe = pooler.ConnectClient({""});
    fleet.RunUntil([&] { return probe.peer_closed || probe.HasReceived("Z"); });
    ready = probe.MessageTypes().ends_with("IZ");
  }
  RawClient client(pooler.port);
  fleet.RunUntil([&] { return client.HasReceived("Z"); });
  std::string requests;
  for (int i = 0; i < 3; ++i) requests += QueryMessage(RequestText("any", "k", kLongBudgetMs));
  client.Send(requests);
  fleet.RunUntil([&] { return server.queries.size() == 1; });
  g_subprocess_send_signal(pooler.process.get(), SIGSTOP);
  server.connections.back()->Send(RowResponse("1"));
  client.Close();
  std::this_thread::sleep_for(kHeldUp);
  g_subprocess_send_signal(pooler.process.get(), SIGCONT);
  RunFor(fleet, Duration(300000));
  CHECK(server.queries.size() == 1);
  CHECK_FALSE(pooler.exited);
}

}  // namespace
}  // namespace lynxgrade
