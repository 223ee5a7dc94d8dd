// Fixtures of the tests that use real sockets: the parts of the pooler, and data servers, clients and
// discovery under the test's control, all in one event loop; and the pooler as a separate process. The kernel
// assigns the ports.
#pragma once

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <functional>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "discovery/discovery_watch.h"
#include "frontend/frontend.h"
#include "net/listener.h"
#include "pg/message.h"
#include "proxy/proxy.h"
#include "upstream/connection_pool.h"

namespace lynxgrade {

using namespace std::string_literals;
using net::Connection;
using Strings = std::vector<std::string>;

inline const std::string kStartup = "startup";

constexpr std::size_t kRingBytes = std::size_t{1} << 18;  // of both ring buffers of a test connection

struct TestConnection;
using QueryHandler = std::function<void(TestConnection&, const std::string&)>;

// One end of a connection under the test's control. On the server side, `on_query` is called with the text of
// each query, and first with kStartup for the startup packet.
struct TestConnection final : Connection::Owner {
  QueryHandler on_query;
  bool is_server = false;
  bool startup_received = false;
  bool peer_closed = false;
  bool was_reset = false;
  std::string received;  // on the server side, without the queries that were handled
  std::shared_ptr<Connection> connection;

  void OnReadable() override {
    received += connection->input().Linearize();
    connection->input().Consume(connection->input().size());
    while (is_server) {
      const pg::Frame frame = startup_received ? pg::ReadFrame(received) : pg::ReadStartupFrame(received);
      if (frame.framing != pg::Framing::kComplete) return;
      const std::string text(frame.body);
      received.erase(0, frame.size);
      const bool first = !std::exchange(startup_received, true);
      on_query(*this, first ? kStartup : text.substr(0, text.size() - 1));
    }
  }
  void OnEndOfStream() override { peer_closed = true; }
  void OnDisconnected() override { peer_closed = was_reset = true; }
  void Send(const std::string& text) { connection->Write(text); }
  // The type bytes of the complete messages received.
  std::string MessageTypes() const {
    std::string types;
    std::string rest = received;
    for (pg::Frame frame; (frame = pg::ReadFrame(rest)).framing == pg::Framing::kComplete;
         rest.erase(0, frame.size)) {
      types += frame.type;
    }
    return types;
  }
  int CountOf(const std::string& text) const {
    int count = 0;
    for (std::size_t at = 0; (at = received.find(text, at)) != std::string::npos; ++at) ++count;
    return count;
  }
  bool HasReceived(const std::string& text) const { return received.find(text) != std::string::npos; }
};

inline std::string StartupResponse() {
  std::string out;
  pg::AppendAuthenticationOk(out);
  pg::AppendReadyForQuery(out);
  return out;
}

inline const std::string kRowDescription = std::string("\0\1body\0", 7) + std::string(18, '\0');

inline std::string RowResponse(const std::string& value, const char* role = "standby",
                               const char* position = "0") {
  std::string out;
  pg::AppendMessage(out, 'T', kRowDescription);
  pg::AppendMessage(out, 'D', std::string("\0\1\0\0\0", 5) + static_cast<char>(value.size()) + value);
  pg::AppendCommandComplete(out, "SELECT 1");
  pg::AppendParameterStatus(out, "replication_role", role);
  pg::AppendParameterStatus(out, "log_position", position);
  pg::AppendReadyForQuery(out);
  return out;
}

inline std::string ErrorResponse(const char* code) {
  std::string out;
  pg::AppendErrorResponse(out, "ERROR", code, "no");
  pg::AppendReadyForQuery(out);
  return out;
}

inline std::string EmptyQueryResponse() {
  std::string out;
  pg::AppendEmptyQueryResponse(out);
  pg::AppendReadyForQuery(out);
  return out;
}

// A data server that answers each query by `on_query`, health checks by `load_report`, and empty queries by
// `on_empty_query`. Keeps the queries that it received, without health checks and empty ones.
struct DataServer {
  DataServer(net::Loop& loop, QueryHandler query_handler)
      : loop(loop),
        on_query(std::move(query_handler)),
        listener(
            loop, [] { return true; },
            [this](net::ObjectPtr<GSocket> socket) { Accept(std::move(socket)); }) {
    REQUIRE(listener.Open({"127.0.0.1", 0}));
  }
  void Accept(net::ObjectPtr<GSocket> socket) {
    auto accepted = std::make_unique<TestConnection>();
    accepted->is_server = true;
    accepted->on_query = [this](TestConnection& connection, const std::string& text) {
      if (text == kStartup) return accepts_startup ? connection.Send(StartupResponse()) : void();
      if (before_response) before_response(connection, text);
      if (text.empty()) return on_empty_query(connection, text);
      if (text == "SHOW pressure") return connection.Send(RowResponse(load_report));
      queries.push_back(text);
      on_query(connection, text);
    };
    accepted->connection = Connection::Adopt(loop, std::move(socket), *accepted, kRingBytes, kRingBytes);
    connections.push_back(std::move(accepted));
  }
  net::Loop& loop;
  QueryHandler on_query;
  QueryHandler on_empty_query = [](TestConnection& connection, const std::string&) {
    connection.Send(EmptyQueryResponse());
  };
  QueryHandler before_response;  // called with each query of any kind before its response is sent
  net::Listener listener;
  bool accepts_startup = true;  // if false, the test sends StartupResponse itself
  std::string load_report = "x1=0,x0=1";
  std::vector<std::unique_ptr<TestConnection>> connections;
  Strings queries;
};

inline Settings DefaultSettings() {
  Settings settings;
  const auto make_class = [](AccessKind kind, Idempotency idempotency) {
    RequestClass request_class;
    request_class.kind = kind;
    request_class.idempotency = idempotency;
    request_class.latency_objective = Duration(400000);
    request_class.deadline = Duration(4000000);
    request_class.idempotency_window = Duration(3000000);
    request_class.deduplicated_everywhere = false;
    return request_class;
  };
  settings.classes = {make_class(AccessKind::kEventualRead, Idempotency::kIdempotent),
                      make_class(AccessKind::kSessionRead, Idempotency::kIdempotent),
                      make_class(AccessKind::kWrite, Idempotency::kIdempotencyKey)};
  settings.position_check = PositionCheck::kWait;
  settings.responses_report_position = true;
  settings.clients_carry_watermarks = false;
  settings.load_reporting = LoadReporting::kOnHealthCheck;
  settings.may_cancel = settings.may_health_check = settings.clients_honor_retry_after = true;
  settings.max_retry_after = Duration(500000);
  settings.max_attempts = 8;
  return settings;
}

// No request is rejected for being late: deadlines are long, and a response has its full value up to the
// deadline.
inline Settings LongDeadlineSettings() {
  Settings settings = DefaultSettings();
  for (RequestClass& request_class : settings.classes) {
    request_class.latency_objective = Duration(40000);
    request_class.deadline = Duration(60000000);
    request_class.late_response_value = 1;
  }
  return settings;
}

struct SimulatedFleet {
  explicit SimulatedFleet(std::size_t descriptors = 200, const Settings& settings = DefaultSettings())
      : budget(descriptors),
        pool(loop, {}, budget, memory, [this] { return frontend.CloseLeastActive(); }),
        proxy(loop, settings, 7, pool),
        frontend(loop, proxy, budget, memory, {"any", "own", "write"}, {"acme"}, settings,
                 [this] { return pool.CloseLongestIdle(); }) {
    pool.SetEvents(proxy);
    REQUIRE(frontend.Listen({"127.0.0.1", 0}));
  }
  DataServer& AddServer(QueryHandler query_handler) {
    servers.push_back(std::make_unique<DataServer>(loop, std::move(query_handler)));
    return *servers.back();
  }
  // Lists all servers as members of group 2, the first of them in the given lifecycle.
  void ApplyEndpointList(EndpointListKind kind = EndpointListKind::kPersisted,
                         Lifecycle first = Lifecycle::kServing) {
    EndpointListEvent event{kind, {}};
    for (std::size_t i = 0; i < servers.size(); ++i) {
      const auto id = static_cast<ServerId>(i + 1);
      pool.SetAddress(id, {"127.0.0.1", servers[i]->listener.port()});
      event.entries.push_back(
          {.server = id, .group = GroupId(2), .lifecycle = i == 0 ? first : Lifecycle::kServing});
    }
    proxy.ApplyEndpointList(event);
    frontend.SetReady();
  }
  // Connects a client that sends its startup packet and all `queries` in one segment.
  TestConnection& ConnectClient(const Strings& queries) { return ConnectClient(queries, frontend.port()); }
  // Connects a client that sends nothing yet.
  TestConnection& OpenConnection(std::uint16_t port) {
    clients.push_back(std::make_unique<TestConnection>());
    TestConnection& client = *clients.back();
    bool descriptors_exhausted = false;
    client.connection = Connection::Connect(loop, {"127.0.0.1", port}, client, kRingBytes, kRingBytes,
                                            &descriptors_exhausted);
    REQUIRE(client.connection != nullptr);
    return client;
  }
  TestConnection& ConnectClient(const Strings& queries, std::uint16_t port) {
    TestConnection& client = OpenConnection(port);
    std::string out;
    pg::AppendStartupMessage(out, "worker", "catalog");
    for (const std::string& query : queries) pg::AppendQuery(out, query);
    client.Send(out);
    return client;
  }
  // Runs the loop until the condition holds. The time limit is for a test that hangs, not a measure of speed.
  void RunUntil(const std::function<bool()>& condition) {
    bool timed_out = false;
    net::Timer timeout(loop), poll(loop);
    timeout.ScheduleAfter(Duration(10000000), [&] { timed_out = true; });
    std::function<void()> poll_again = [&] { poll.ScheduleAfter(Duration(1000), poll_again); };
    poll_again();
    while (!condition() && !timed_out) g_main_context_iteration(nullptr, TRUE);
    REQUIRE(condition());
  }

  net::Loop loop;
  net::DescriptorBudget budget;
  limits::MemoryBudget memory;
  upstream::ConnectionPool pool;
  proxy::Proxy proxy;
  frontend::Frontend frontend;
  std::vector<std::unique_ptr<DataServer>> servers;
  std::vector<std::unique_ptr<TestConnection>> clients;
};

// The text of a request with a new id.
inline std::string RequestText(const char* request_class, const char* object = "k", int budget_ms = 3000) {
  static int last_id = 0;
  return "/* id=" + std::to_string(++last_id) + ",c=" + request_class +
         ",t=acme,d=" + std::to_string(budget_ms) + ",k=5c,cluster=2 */ SELECT '" + object + "'";
}

inline Strings RequestTexts(int count) {
  Strings requests;
  while (count-- > 0) requests.push_back(RequestText("any"));
  return requests;
}

inline const QueryHandler kNoResponse = [](TestConnection&, const std::string&) {};
// Responds with the last character of the requested object.
inline const QueryHandler kEchoValue = [](TestConnection& connection, const std::string& text) {
  connection.Send(RowResponse(text.substr(text.rfind('\'') - 1, 1)));
};

inline std::string QueryMessage(const std::string& text) {
  std::string out;
  pg::AppendQuery(out, text);
  return out;
}

// A client on a plain socket, whose calls take effect while the event loop is blocked. Sends the startup
// packet when it connects.
class RawClient {
 public:
  explicit RawClient(std::uint16_t port, const std::string& bytes = {}) : RawClient(port, kWithoutStartup) {
    std::string out;
    pg::AppendStartupMessage(out, "worker", "catalog");
    Send(out + bytes);
  }
  // Connects without sending anything.
  static std::unique_ptr<RawClient> WithoutStartup(std::uint16_t port) {
    return std::unique_ptr<RawClient>(new RawClient(port, kWithoutStartup));
  }
  ~RawClient() { Close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;
  void Send(const std::string& bytes) {
    REQUIRE(send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
  }
  // Sends as much as fits the kernel's send buffer.
  void SendNonBlocking(const std::string& bytes) {
    send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }
  void Close() {
    if (socket_ >= 0) close(socket_);
    socket_ = -1;
  }
  // Returns all input so far, and sets `peer_closed` at its end.
  std::string ReadAvailable() {
    char block[4096];
    for (ssize_t count = 0; (count = recv(socket_, block, sizeof block, MSG_DONTWAIT)) >= 0;) {
      if (count == 0) peer_closed = true;
      if (count == 0) break;
      received.append(block, static_cast<std::size_t>(count));
    }
    return received;
  }
  // The pending error of the socket, or 0.
  int SocketError() const {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
  }
  void ShutdownSending() { shutdown(socket_, SHUT_WR); }
  bool HasReceived(const std::string& text) { return ReadAvailable().find(text) != std::string::npos; }
  std::string received;
  bool peer_closed = false;

 private:
  enum StartupMode { kWithoutStartup };
  RawClient(std::uint16_t port, StartupMode) : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
  }
  int socket_;
};

// The body of the BackendKeyData message that a client has received, which is also that of its CancelRequest.
inline std::string CancelKeyOf(const TestConnection& client) {
  std::string rest = client.received;
  for (pg::Frame frame; (frame = pg::ReadFrame(rest)).framing == pg::Framing::kComplete;
       rest.erase(0, frame.size)) {
    if (frame.type == 'K') return std::string(frame.body);
  }
  return {};
}

inline std::string CancelRequestMessage(const std::string& key) {
  return std::string("\0\0\0\x10\x04\xd2\x16\x2e", 8) + key;
}

// Returns a port on which connections are refused.
inline std::uint16_t ClosedPort(net::Loop& loop) {
  net::Listener listener(
      loop, [] { return true; }, [](net::ObjectPtr<GSocket>) {});
  REQUIRE(listener.Open({"127.0.0.1", 0}));
  return listener.port();
}

// An agent of discovery: keeps the request of each watch, and answers each with `response`.
struct DiscoveryAgent {
  explicit DiscoveryAgent(net::Loop& loop)
      : loop(loop),
        listener(
            loop, [] { return true; },
            [this](net::ObjectPtr<GSocket> socket) { Accept(std::move(socket)); }) {
    REQUIRE(listener.Open({"127.0.0.1", 0}));
  }
  void Accept(net::ObjectPtr<GSocket> socket) {
    connections.push_back(std::make_unique<TestConnection>());
    connections.back()->connection =
        Connection::Adopt(loop, std::move(socket), *connections.back(), 65536, 65536);
    connections.back()->Send("HTTP/1.1 200 OK\r\n\r\n" + response);
  }
  std::string Address() const { return "127.0.0.1:" + std::to_string(listener.port()); }
  bool HasReceived(const std::string& text) const {
    return !connections.empty() && connections.back()->HasReceived(text);
  }
  net::Loop& loop;
  net::Listener listener;
  std::string response;
  std::vector<std::unique_ptr<TestConnection>> connections;
};

// Captures the log output during its lifetime.
struct LogCapture {
  LogCapture() : previous_logger(spdlog::default_logger()) {
    auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(text);
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("test", sink));
  }
  ~LogCapture() { spdlog::set_default_logger(previous_logger); }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;
  int CountOf(const std::string& phrase) const {
    int count = 0;
    const std::string log = text.str();
    for (std::size_t at = 0; (at = log.find(phrase, at)) != std::string::npos; ++at) ++count;
    return count;
  }
  std::ostringstream text;
  std::shared_ptr<spdlog::logger> previous_logger;
};

// The pooler as a process of its own, on a port that was free shortly before.
struct PoolerProcess {
  explicit PoolerProcess(SimulatedFleet& fleet) : fleet(fleet) {
    gchar* path = g_dir_make_tmp("lynxgrade-XXXXXX", nullptr);
    folder = path;
    g_free(path);
    net::Listener listener(
        fleet.loop, [] { return true; }, [](net::ObjectPtr<GSocket>) {});
    REQUIRE(listener.Open({"127.0.0.1", 0}));
    port = listener.port();
  }
  PoolerProcess(const PoolerProcess&) = delete;
  PoolerProcess& operator=(const PoolerProcess&) = delete;
  ~PoolerProcess() {
    if (process != nullptr) g_subprocess_force_exit(process.get());
    // The exit is reported to this object, so wait for it: the loop of a later test would write to freed
    // memory.
    while (process != nullptr && !exited) g_main_context_iteration(nullptr, TRUE);
    std::remove((folder + "/config.json").c_str());
    std::remove(folder.c_str());
  }
  void Configure(const std::string& text) {
    g_file_set_contents((folder + "/config.json").c_str(), text.c_str(), -1, nullptr);
  }
  std::string PlatformConfig(const std::string& discovery, const std::string& known) const {
    return R"({"name":"n","listen":"127.0.0.1:)" + std::to_string(port) + R"(","discovery":")" + discovery +
           R"(","seed":"1f","known":)" + known + R"(,"settings":{"customers":[{"name":"acme"}],"classes":[)" +
           R"({"name":"any","deadline_us":4000000,"objective_us":400000,"effect":"idempotent"}],)" +
           R"("extra":{"class_read":["eventual"]},"limits":{"max_attempts":8}}})";
  }
  void Start() {
    g_setenv("RELAY_CONFIG", (folder + "/config.json").c_str(), TRUE);
    process.reset(g_subprocess_new(G_SUBPROCESS_FLAGS_STDOUT_SILENCE, nullptr, POOLER, nullptr));
    REQUIRE(process != nullptr);
    g_subprocess_wait_async(
        process.get(), nullptr,
        [](GObject*, GAsyncResult*, gpointer exited) { *static_cast<bool*>(exited) = true; }, &exited);
  }
  TestConnection& ConnectClient(const Strings& queries) { return fleet.ConnectClient(queries, port); }
  SimulatedFleet& fleet;
  std::string folder;
  std::uint16_t port = 0;
  net::ObjectPtr<GSubprocess> process;
  bool exited = false;
};

}  // namespace lynxgrade
