// What the socket tests share: scripted data servers, clients and discovery in one loop with the parts of the
// pooler, ports by the kernel; and the program itself as a process.
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

struct TestConnection;
using QueryHandler = std::function<void(TestConnection&, const std::string&)>;

// One end of a connection under a test's control; calls its script with each query or line of bytes.
struct TestConnection final : Connection::Owner {
  QueryHandler on_query;
  bool is_server = false, startup_received = false, peer_closed = false, was_reset = false;
  std::string received;  // what came and is not taken apart here
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
      on_query(*this, first ? "hello" : text.substr(0, text.size() - 1));
    }
  }
  void OnEndOfStream() override { peer_closed = true; }
  void OnDisconnected() override { peer_closed = was_reset = true; }
  void Send(const std::string& text) { connection->Write(text); }
  // The codes of the messages that came, as letters.
  std::string MessageTypes() const {
    std::string types, rest = received;
    for (pg::Frame f; (f = pg::ReadFrame(rest)).framing == pg::Framing::kComplete; rest.erase(0, f.size))
      types += f.type;
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

// A data server that answers by its script; the queries that came are kept, probes apart.
struct DataServer {
  DataServer(net::Loop& loop, QueryHandler query_handler)
      : loop(loop),
        on_query(std::move(query_handler)),
        listener(
            loop, [] { return true; }, [this](net::ObjectPtr<GSocket> s) { Accept(std::move(s)); }) {
    REQUIRE(listener.Open({"127.0.0.1", 0}));
  }
  void Accept(net::ObjectPtr<GSocket> socket) {
    auto peer = std::make_unique<TestConnection>();
    peer->is_server = true;
    peer->on_query = [this](TestConnection& p, const std::string& text) {
      if (text == "hello") return accepts_startup ? p.Send(StartupResponse()) : void();
      if (text == "SHOW pressure") return p.Send(RowResponse(load_report));
      queries.push_back(text);
      on_query(p, text);
    };
    peer->connection = Connection::Adopt(loop, std::move(socket), *peer, 1 << 18, 1 << 18);
    connections.push_back(std::move(peer));
  }
  net::Loop& loop;
  QueryHandler on_query;
  net::Listener listener;
  bool accepts_startup = true;  // else its connections come up when the test says so
  std::string load_report = "x1=0,x0=1";
  std::vector<std::unique_ptr<TestConnection>> connections;
  Strings queries;
};

inline Settings DefaultSettings() {
  Settings s;
  const auto cls = [](AccessKind kind, Idempotency effect) {
    RequestClass c;
    c.kind = kind;
    c.idempotency = effect;
    c.latency_objective = Duration(400000);
    c.deadline = Duration(4000000);
    c.idempotency_window = Duration(3000000);
    c.deduplicated_everywhere = false;
    return c;
  };
  s.classes = {cls(AccessKind::kEventualRead, Idempotency::kIdempotent),
               cls(AccessKind::kSessionRead, Idempotency::kIdempotent),
               cls(AccessKind::kWrite, Idempotency::kIdempotencyKey)};
  s.position_check = PositionCheck::kWait;
  s.responses_report_position = true;
  s.clients_carry_watermarks = false;
  s.load_reporting = LoadReporting::kOnHealthCheck;
  s.may_cancel = s.may_health_check = s.clients_honor_retry_after = true;
  s.max_retry_after = Duration(500000);
  s.max_attempts = 8;
  return s;
}

// Nothing is turned away for being late: an answer is worth as much up to its deadline, and is expected soon.
inline Settings LongDeadlineSettings() {
  Settings s = DefaultSettings();
  for (RequestClass& kind : s.classes) {
    kind.latency_objective = Duration(40000);
    kind.deadline = Duration(60000000);
    kind.late_response_value = 1;
  }
  return s;
}

struct SimulatedFleet {
  explicit SimulatedFleet(std::size_t descriptors = 200, const Settings& settings = DefaultSettings())
      : budget(descriptors),
        pool(loop, {}, budget, [this] { return frontend.CloseLeastActive(); }),
        proxy(loop, settings, 7, pool),
        frontend(loop, proxy, budget, {"any", "own", "write"}, {"acme"}, settings,
                 [this] { return pool.CloseLongestIdle(); }) {
    pool.SetEvents(proxy);
    REQUIRE(frontend.Listen({"127.0.0.1", 0}));
  }
  DataServer& AddServer(QueryHandler query_handler) {
    servers.push_back(std::make_unique<DataServer>(loop, std::move(query_handler)));
    return *servers.back();
  }
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
  // A client that says who it is and sends all of `queries` in one segment.
  TestConnection& ConnectClient(const Strings& queries) { return ConnectClient(queries, frontend.port()); }
  TestConnection& OpenConnection(std::uint16_t port) {
    clients.push_back(std::make_unique<TestConnection>());
    TestConnection& peer = *clients.back();
    bool full = false;
    peer.connection = Connection::Connect(loop, {"127.0.0.1", port}, peer, 1 << 18, 1 << 18, &full);
    REQUIRE(peer.connection != nullptr);
    return peer;
  }
  TestConnection& ConnectClient(const Strings& queries, std::uint16_t port) {
    TestConnection& peer = OpenConnection(port);
    std::string out;
    pg::AppendStartupMessage(out, "worker", "catalog");
    for (const std::string& query : queries) pg::AppendQuery(out, query);
    peer.Send(out);
    return peer;
  }
  // Runs until it holds. The time limit is for a test that hangs, not a measure of speed.
  void RunUntil(const std::function<bool()>& holds) {
    bool late = false;
    net::Timer limit(loop), look(loop);
    limit.ScheduleAfter(Duration(10000000), [&] { late = true; });
    std::function<void()> again = [&] { look.ScheduleAfter(Duration(1000), again); };
    again();
    while (!holds() && !late) g_main_context_iteration(nullptr, TRUE);
    REQUIRE(holds());
  }

  net::Loop loop;
  net::DescriptorBudget budget;
  upstream::ConnectionPool pool;
  proxy::Proxy proxy;
  frontend::Frontend frontend;
  std::vector<std::unique_ptr<DataServer>> servers;
  std::vector<std::unique_ptr<TestConnection>> clients;
};

inline std::string RequestText(const char* cls, const char* object = "k", int budget = 3000) {
  static int last = 0;
  return "/* id=" + std::to_string(++last) + ",c=" + cls + ",t=acme,d=" + std::to_string(budget) +
         ",k=5c,cluster=2 */ SELECT '" + object + "'";
}

inline Strings RequestTexts(int count) {
  Strings asks;
  while (count-- > 0) asks.push_back(RequestText("any"));
  return asks;
}

inline const QueryHandler kNoResponse = [](TestConnection&, const std::string&) {};
inline const QueryHandler kEchoValue = [](TestConnection& p, const std::string& text) {
  p.Send(RowResponse(text.substr(text.rfind('\'') - 1, 1)));
};

inline std::string QueryMessage(const std::string& text) {
  std::string out;
  pg::AppendQuery(out, text);
  return out;
}

// A client that has said who it is, as a bare socket: what it does happens while the loop stands still.
class RawClient {
 public:
  explicit RawClient(std::uint16_t port, const std::string& bytes = {}) : RawClient(port, kWithoutStartup) {
    std::string out;
    pg::AppendStartupMessage(out, "worker", "catalog");
    Send(out + bytes);
  }
  // One that has said nothing yet.
  static std::unique_ptr<RawClient> WithoutStartup(std::uint16_t port) {
    return std::unique_ptr<RawClient>(new RawClient(port, kWithoutStartup));
  }
  ~RawClient() { Close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;
  void Send(const std::string& bytes) {
    REQUIRE(send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
  }
  // As much as the kernel takes.
  void SendNonBlocking(const std::string& bytes) {
    send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }
  void Close() {
    if (socket_ >= 0) close(socket_);
    socket_ = -1;
  }
  // What has come so far; `ended` where the end has.
  std::string ReadAvailable() {
    char block[4096];
    for (ssize_t count = 0; (count = recv(socket_, block, sizeof block, MSG_DONTWAIT)) >= 0;) {
      if (count == 0) peer_closed = true;
      if (count == 0) break;
      received.append(block, static_cast<std::size_t>(count));
    }
    return received;
  }
  // What the connection has come to, or 0.
  int SocketError() const {
    int fault = 0;
    socklen_t size = sizeof fault;
    getsockopt(socket_, SOL_SOCKET, SO_ERROR, &fault, &size);
    return fault;
  }
  void ShutdownSending() { shutdown(socket_, SHUT_WR); }
  bool HasReceived(const std::string& text) { return ReadAvailable().find(text) != std::string::npos; }
  std::string received;
  bool peer_closed = false;

 private:
  enum Kind { kWithoutStartup };
  RawClient(std::uint16_t port, Kind) : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(socket_, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
  }
  int socket_;
};

// What BackendKeyData gave a client, as the body of a CancelRequest.
inline std::string CancelKeyOf(const TestConnection& client) {
  std::string rest = client.received;
  for (pg::Frame f; (f = pg::ReadFrame(rest)).framing == pg::Framing::kComplete; rest.erase(0, f.size))
    if (f.type == 'K') return std::string(f.body);
  return {};
}

inline std::string CancelRequestMessage(const std::string& key) {
  return std::string("\0\0\0\x10\x04\xd2\x16\x2e", 8) + key;
}

// A port at which connections are refused.
inline std::uint16_t ClosedPort(net::Loop& loop) {
  net::Listener gone(
      loop, [] { return true; }, [](net::ObjectPtr<GSocket>) {});
  REQUIRE(gone.Open({"127.0.0.1", 0}));
  return gone.port();
}

// Discovery's agent: keeps what each watch asks and answers with `line`.
struct DiscoveryAgent {
  explicit DiscoveryAgent(net::Loop& loop)
      : loop(loop),
        listener(
            loop, [] { return true; }, [this](net::ObjectPtr<GSocket> s) { Accept(std::move(s)); }) {
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

// Keeps what is logged while it stands.
struct LogCapture {
  LogCapture() : before(spdlog::default_logger()) {
    auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(text);
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("test", sink));
  }
  ~LogCapture() { spdlog::set_default_logger(before); }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;
  int CountOf(const std::string& what) const {
    int count = 0;
    const std::string all = text.str();
    for (std::size_t at = 0; (at = all.find(what, at)) != std::string::npos; ++at) ++count;
    return count;
  }
  std::ostringstream text;
  std::shared_ptr<spdlog::logger> before;
};

// The program itself, on a port that was free a moment ago.
struct PoolerProcess {
  explicit PoolerProcess(SimulatedFleet& fleet) : fleet(fleet) {
    gchar* made = g_dir_make_tmp("lynxgrade-XXXXXX", nullptr);
    folder = made;
    g_free(made);
    net::Listener free(
        fleet.loop, [] { return true; }, [](net::ObjectPtr<GSocket>) {});
    REQUIRE(free.Open({"127.0.0.1", 0}));
    port = free.port();
  }
  PoolerProcess(const PoolerProcess&) = delete;
  PoolerProcess& operator=(const PoolerProcess&) = delete;
  ~PoolerProcess() {
    if (process != nullptr) g_subprocess_force_exit(process.get());
    // Its end is told to this object: a later test's loop would write to what is no more.
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
