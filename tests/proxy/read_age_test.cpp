// Reads that must not be answered from data older than their class allows, in the whole pooler on real
// sockets: what is sent is judged by what is known when it is sent, and what is answered by the role that the
// answer names.
#include <sys/syscall.h>
#include <unistd.h>

#include <ctime>

#include "support/event_loop_steps.h"
#include "support/simulated_fleet.h"

namespace {

std::time_t wall_clock_step_seconds = 0;

}  // namespace

// Replaces the C library's function in this program, so that a test can step the wall clock of the process.
// The declaration has reserved names. NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name)
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
  if (result == 0 && clock == CLOCK_REALTIME) time->tv_sec += wall_clock_step_seconds;
  return result;
}

namespace lynxgrade {
namespace {

constexpr Duration kBound = 100 * kMs;  // shorter than the connect timeout

// Servers that do not check positions; the class "any" is of the given kind.
Settings UncheckedSettings(AccessKind kind) {
  Settings settings = LongDeadlineSettings();
  settings.classes[0].kind = kind;
  settings.classes[0].staleness_bound = kBound;
  settings.position_check = PositionCheck::kNone;
  settings.responses_report_position = false;
  return settings;
}

// A load report with the role and the position.
std::string Report(bool primary, TimePoint position) {
  return "x1=" + std::to_string(primary ? 1 : 0) +
         ",x0=" + std::to_string(static_cast<double>(position.time_since_epoch().count()) / 1e6);
}

// Answers each query with the value and the role.
QueryHandler Answer(const char* value, const char* role) {
  return [=](TestConnection& connection, const std::string&) { connection.Send(RowResponse(value, role)); };
}

struct ReadFleet : SimulatedFleet {
  explicit ReadFleet(AccessKind kind) : SimulatedFleet(200, UncheckedSettings(kind)) {}
  // Has the server report its role and the present time as its position at each health check.
  void ReportPresent(DataServer& server, bool primary) {
    server.before_response = [this, &server, primary](TestConnection&, const std::string& text) {
      if (text == "SHOW pressure") server.load_report = Report(primary, loop.PreciseNow() - 1 * kMs);
    };
  }
  // Closes the server's connections; further ones do not come up until AcceptConnections.
  void HoldConnections(DataServer& server) {
    server.accepts_startup = false;
    for (auto& connection : server.connections) connection->connection->Close();
    held_from = server.connections.size();
    RunUntil([&] { return pool.idle() == 0; });
  }
  void AcceptConnections(DataServer& server) {
    server.accepts_startup = true;
    for (std::size_t i = held_from; i < server.connections.size(); ++i) {
      TestConnection& connection = *server.connections[i];
      if (connection.startup_received && !connection.peer_closed) connection.Send(StartupResponse());
    }
  }
  // Has a read served with the value, so that the position or role of a server has been reported.
  void CompleteRead(const std::string& value) {
    AwaitServedRead();
    CHECK(clients.back()->HasReceived(value));
    RunUntil([&] { return pool.idle() > 0; });
  }
  // Sends reads, which may be rejected, until one is served.
  void AwaitServedRead() {
    bool served = false;
    for (int i = 0; i < 100 && !served; ++i) {
      TestConnection& client = ConnectClient({RequestText("any", "k", 60000)});
      RunUntil([&] { return client.HasReceived("SELECT 1") || client.HasReceived("53300"); });
      served = client.HasReceived("SELECT 1");
      RunFor(20 * kMs);
    }
    CHECK(served);
  }
  void RunFor(Duration duration) { RunLoopFor(loop, static_cast<int>(duration / kMs)); }
  std::size_t held_from = 0;
};

// A primary that has answered a strong read, and the replica that is going to take over.
struct FailoverFleet : ReadFleet {
  FailoverFleet()
      : ReadFleet(AccessKind::kStrongRead),
        former(AddServer(Answer("former", "primary"))),
        successor(AddServer(Answer("successor", "primary"))) {
    ReportPresent(former, true);
    ReportPresent(successor, false);
    ApplyEndpointList();
    CompleteRead("former");
  }
  DataServer& former;
  DataServer& successor;
};

// Guards against a bounded read that is routed to recent data and sent when they are too old, since its
// connection came up late.
TEST_CASE(
    "a bounded read whose connection comes up after its bound waits for "
    "a newer position") {
  ReadFleet fleet(AccessKind::kBoundedRead);
  DataServer& server = fleet.AddServer(Answer("value", "standby"));
  fleet.ReportPresent(server, false);
  fleet.ApplyEndpointList();
  fleet.CompleteRead("value");
  server.load_report = Report(false, fleet.loop.PreciseNow());
  server.before_response = nullptr;  // its position stands still from now on
  const std::size_t queries = server.queries.size();
  fleet.HoldConnections(server);
  TestConnection& client = fleet.ConnectClient({RequestText("any", "k", 60000)});
  fleet.RunUntil([&] { return fleet.proxy.requests_in_flight() == 1; });
  fleet.RunFor(kBound + 30 * kMs);
  fleet.AcceptConnections(server);
  fleet.RunFor(200 * kMs);
  CHECK(server.queries.size() == queries);
  CHECK_FALSE(client.HasReceived("SELECT 1"));
  fleet.ReportPresent(server, false);
  fleet.AwaitServedRead();
}

// Guards against a strong read that is sent to its former primary, since its connection came up late.
TEST_CASE("a strong read that waits for its connection follows a change of primary") {
  FailoverFleet fleet;
  DataServer& former = fleet.former;
  DataServer& successor = fleet.successor;
  fleet.HoldConnections(former);
  TestConnection& client = fleet.ConnectClient({RequestText("any", "k", 60000)});
  fleet.RunUntil([&] { return former.connections.size() > fleet.held_from; });
  const std::size_t queries = former.queries.size();
  fleet.ReportPresent(former, false);
  bool reported = false, heard = false;  // the barrier query follows once the report has been read
  successor.before_response = [&](TestConnection&, const std::string& text) {
    if (text == "SHOW pressure") successor.load_report = Report(true, fleet.loop.PreciseNow());
    heard = heard || (reported && text.empty());
    reported = reported || text == "SHOW pressure";
  };
  fleet.RunUntil([&] { return heard; });
  fleet.AcceptConnections(former);
  fleet.RunUntil([&] { return client.HasReceived("SELECT 1") || client.HasReceived("53300"); });
  fleet.CompleteRead("successor");
  CHECK(former.queries.size() == queries);
}

// Guards against the answer of a former primary that had been replaced before the pooler heard of it.
TEST_CASE("a strong read that is answered by a replica is sent to the new primary") {
  FailoverFleet fleet;
  DataServer& former = fleet.former;
  DataServer& successor = fleet.successor;
  former.on_query = Answer("outdated", "standby");
  fleet.ReportPresent(former, false);
  fleet.ReportPresent(successor, true);
  TestConnection& client = fleet.ConnectClient({RequestText("any", "k", 60000)});
  fleet.RunUntil([&] { return client.HasReceived("SELECT 1") || client.HasReceived("53300"); });
  CHECK_FALSE(client.HasReceived("outdated"));
  fleet.CompleteRead("successor");
}

// Guards against positions that are compared with a wall clock which has been stepped since the start.
TEST_CASE("a step of the wall clock changes neither what is served nor what is not") {
  for (const std::time_t step : {std::time_t{3600}, std::time_t{-3600}}) {
    CAPTURE(step);
    ReadFleet fleet(AccessKind::kBoundedRead);
    DataServer& server = fleet.AddServer(Answer("value", "standby"));
    fleet.ReportPresent(server, false);
    fleet.ApplyEndpointList();
    fleet.CompleteRead("value");
    const TimePoint before = fleet.loop.PreciseNow();
    wall_clock_step_seconds = step;
    REQUIRE(std::time(nullptr) != 0);
    CHECK(fleet.loop.PreciseNow() >= before);
    CHECK(fleet.loop.PreciseNow() - before < 60000 * kMs);
    fleet.AwaitServedRead();
    server.before_response = nullptr;
    server.load_report = Report(false, fleet.loop.PreciseNow() - 2 * kBound);
    fleet.RunFor(kBound + 30 * kMs);
    const std::size_t queries = server.queries.size();
    TestConnection& client = fleet.ConnectClient({RequestText("any", "k", 60000)});
    fleet.RunFor(200 * kMs);
    CHECK(server.queries.size() == queries);
    CHECK_FALSE(client.HasReceived("SELECT 1"));
    wall_clock_step_seconds = 0;
  }
}

// Guards against stale data that look recent since the wall clock was wrong when the process started.
TEST_CASE("a wall clock that was behind at the start does not make old data recent") {
  wall_clock_step_seconds = -3600;
  ReadFleet fleet(AccessKind::kBoundedRead);
  wall_clock_step_seconds = 0;
  static constexpr Duration kBehind = 3600 * 1000 * kMs;
  DataServer& primary = fleet.AddServer(Answer("primary value", "primary"));
  DataServer& replica = fleet.AddServer(Answer("replica value", "standby"));
  const auto report_at = [&fleet](DataServer& server, bool is_primary, Duration age) {
    server.before_response = [&fleet, &server, is_primary, age](TestConnection&, const std::string& text) {
      if (text == "SHOW pressure") {
        server.load_report = Report(is_primary, fleet.loop.PreciseNow() + kBehind - age);
      }
    };
  };
  report_at(primary, true, Duration{0});
  report_at(replica, false, 5 * kBound);
  fleet.ApplyEndpointList();
  fleet.RunFor(600 * kMs);
  TestConnection& client = fleet.ConnectClient({RequestText("any", "k", 60000)});
  fleet.RunFor(300 * kMs);
  CHECK(replica.queries.empty());
  CHECK_FALSE(client.HasReceived("SELECT 1"));
  report_at(replica, false, 5 * kMs);
  fleet.AwaitServedRead();
  CHECK_FALSE(replica.queries.empty());
}

}  // namespace
}  // namespace lynxgrade
