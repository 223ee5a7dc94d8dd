// Operators' queries to a running pooler: the admin server on a real socket, the table, and the command line
// of the program.
#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "admin/admin_client.h"
#include "admin/admin_server.h"
#include "admin/peers_table.h"

namespace lynxgrade::admin {
namespace {

struct RunningServer {
  RunningServer() : server(loop, {{"peers", [this] { return ++queries, response; }}}) {
    REQUIRE(server.Listen({"127.0.0.1", 0}));
  }
  void RunUntil(const std::function<bool()>& condition) {
    for (int i = 0; i < 200000 && !condition(); ++i) g_main_context_iteration(nullptr, TRUE);
    REQUIRE(condition());
  }
  // Sends a query as the command line does. Runs in a thread of its own, as it blocks.
  tl::expected<std::string, AdminError> QueryFromThread(const std::string& name) {
    tl::expected<std::string, AdminError> result;
    std::atomic<bool> finished = false;
    std::thread client([&] {
      result = admin::SendQuery({"127.0.0.1", server.port()}, name);
      finished = true;
      g_main_context_wakeup(nullptr);
    });
    RunUntil([&] { return finished.load(); });
    client.join();
    return result;
  }
  // NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor): it is final
  struct Client final : net::Connection::Owner {
    Client(RunningServer& running, std::string query)
        : connection(net::Connection::Connect(running.loop, {"127.0.0.1", running.server.port()}, *this,
                                              1 << 16, 1 << 16, nullptr)),
          query(std::move(query)) {}
    void OnConnected() override { connection->Write(query); }
    void OnReadable() override {
      received += connection->input().Linearize();
      connection->input().Consume(connection->input().size());
    }
    void OnEndOfStream() override { ended = true; }
    void OnDisconnected() override { ended = true; }
    std::shared_ptr<net::Connection> connection;
    std::string query;
    std::string received;
    bool ended = false;
  };
  net::Loop loop;
  std::string response = "{}";
  int queries = 0;
  AdminServer server;
};

TEST_CASE("server: a connection gets one response, and is closed without one if its query is too long") {
  RunningServer running;
  running.response = std::string(300000, 'x');  // more than the socket accepts in one write
  CHECK(running.QueryFromThread("peers") == running.response + "\n");
  running.response = R"({"a":1})";
  CHECK(running.QueryFromThread("peers") == "{\"a\":1}\n");
  CHECK(running.QueryFromThread("limits").value().find("error") != std::string::npos);
  RunningServer::Client overlong(running, std::string(1000, 'p'));
  RunningServer::Client repeated(running, "peers\npeers\npeers\n");
  running.RunUntil([&] { return overlong.ended && repeated.ended; });
  CHECK(overlong.received.empty());
  CHECK(repeated.received == "{\"a\":1}\n");
  CHECK(running.queries == 3);
}

TEST_CASE("server: connections without a query time out, after which a fifth connection is accepted") {
  RunningServer running;
  std::vector<std::unique_ptr<RunningServer::Client>> silent;
  silent.reserve(4);
  for (int i = 0; i < 4; ++i) silent.push_back(std::make_unique<RunningServer::Client>(running, "peer"));
  running.RunUntil([&] { return running.server.open_connections() == 4; });
  RunningServer::Client fifth(running, "peers\n");
  running.RunUntil([&] { return fifth.ended; });
  CHECK(fifth.received == "{}\n");
  CHECK(std::ranges::any_of(silent, [](const auto& client) { return client->ended; }));
  running.RunUntil(
      [&] { return std::ranges::all_of(silent, [](const auto& client) { return client->ended; }); });
  // The connection that was served is closed too, although its client does not close it.
  running.RunUntil([&] { return running.server.open_connections() == 0; });
}

TEST_CASE("table: shows the response, and rejects other texts with a reason") {
  const std::string response =
      R"({"name":"n1","size":3,"part":"some missing","for_s":1.25,"proven_s":0.5,"view":"00ff","in_view":2,)"
      R"("doubt":1,"most_doubt":8,"unheard":["127.0.0.1:9"],"peers":[{"name":"n2","address":"127.0.0.1:8",)"
      R"("state":"alive","for_s":3,"heard_s":null,"same_view":false,"differs":["n3","n4"]}]})";
  const auto table = FormatPeersTable(response);
  REQUIRE(table);
  for (const char* phrase :
       {"instance n1 of 3: some missing for 1.2 s, proven for 0.5 s more; view 00ff with 2",
        "n2               127.0.0.1:8            alive", "never", "other n3, n4", "unheard"}) {
    CAPTURE(*table);
    CHECK(table->find(phrase) != std::string::npos);
  }
  std::string with_leases = response;
  with_leases.insert(
      1, R"("directory":{"owner":false,"owners_set_aside":7,"holds":12,"entries":3,"asks":40,)"
         R"("grants":39,"exact":38,"recalled":5,"capped":9,"over_budget":4,"granted":0,"denied":0},)");
  const auto leases = FormatPeersTable(with_leases);
  REQUIRE(leases);
  CHECK(leases->find("directory: 7 owners set aside; holds 12 sessions, owns 3; 40 asks, 9 "
                     "reads not to ask, 4 of them over the budget of bytes\n") != std::string::npos);
  struct Case {
    const char* text;
    const char* phrase;
  };
  for (const Case& c : {Case{"", "not a JSON object"}, Case{"[1]", "not a JSON object"},
                        Case{R"({"error":"no"})", "no"}, Case{R"({"name":3})", "another version"}}) {
    const auto rejected = FormatPeersTable(c.text);
    REQUIRE_FALSE(rejected);
    CHECK(Describe(rejected.error()).find(c.phrase) != std::string::npos);
  }
  const auto unreachable = SendQuery({"127.0.0.1", 1}, "peers");
  REQUIRE_FALSE(unreachable);
  CHECK(unreachable.error().code == AdminErrorCode::kUnreachable);
}

// Runs a command. Returns its output and whether it succeeded.
std::pair<std::string, bool> RunProgram(std::vector<const char*> arguments) {
  arguments.push_back(nullptr);
  const net::ObjectPtr<GSubprocess> process(g_subprocess_newv(
      arguments.data(), GSubprocessFlags(G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_MERGE),
      nullptr));
  REQUIRE(process != nullptr);
  char* text = nullptr;
  REQUIRE(g_subprocess_communicate_utf8(process.get(), nullptr, nullptr, &text, nullptr, nullptr));
  std::string output(text);
  g_free(text);
  return {output, g_subprocess_get_successful(process.get())};
}

TEST_CASE("program: the peers command shows the quorum state and the unheard seeds") {
  const std::string folder_template =
      (std::filesystem::temp_directory_path() / "lynxgrade-admin-XXXXXX").string();
  std::string folder = folder_template;
  REQUIRE(mkdtemp(folder.data()) != nullptr);
  std::uint16_t port = 0;
  {
    net::Loop loop;
    net::Listener probe(
        loop, [] { return false; }, [](net::ObjectPtr<GSocket>) {});
    REQUIRE(probe.Open({"127.0.0.1", 0}));
    port = probe.port();
  }
  std::ofstream(folder + "/key") << "1 " << std::string(64, 'a') << "\n";
  std::ofstream(folder + "/config.json")
      << R"({"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1f","settings":)"
      << R"({"customers":[{"name":"acme"}],"classes":[{"name":"any","deadline_us":4000000,)"
      << R"("objective_us":400000,"effect":"idempotent"}],"extra":{"class_read":["eventual"]}}})";
  const std::string settings = folder + "/settings.toml";
  std::ofstream(settings) << "[sessions]\nscope = \"everywhere\"\n[peers]\nlisten = \"127.0.0.1:0\"\nseeds = "
                          << "[\"127.0.0.1:9\"]\nkey_file = \"" << folder
                          << "/key\"\n[control]\nlisten = \"127.0.0.1:" << port << "\"\n";
  g_setenv("RELAY_CONFIG", (folder + "/config.json").c_str(), TRUE);
  // The pooler is not running yet.
  CHECK_FALSE(RunProgram({POOLER, "peers", "--settings", settings.c_str()}).second);
  const net::ObjectPtr<GSubprocess> pooler(g_subprocess_new(
      G_SUBPROCESS_FLAGS_STDOUT_SILENCE, nullptr, POOLER, "serve", "--settings", settings.c_str(), nullptr));
  REQUIRE(pooler != nullptr);
  std::pair<std::string, bool> result;
  for (int i = 0; i < 1000 && !result.second; ++i) {
    result = RunProgram({POOLER, "peers", "--settings", settings.c_str(), "--json"});
    if (!result.second) g_usleep(20000);
  }
  CAPTURE(result.first);
  REQUIRE(result.second);
  const auto json = nlohmann::json::parse(result.first);
  CHECK(json.at("name") == "n1");
  CHECK(json.at("size") == 2);
  CHECK(json.at("part") == "in doubt");
  CHECK(json.at("unheard") == nlohmann::json::array({"127.0.0.1:9"}));
  // The processor time spent on replication grows, as the instance keeps pinging its seed.
  const double spent_s = json.at("spent_s").get<double>();
  CHECK(spent_s > 0);
  CHECK(spent_s < 60);
  for (int i = 0; i < 50; ++i) {
    const auto later = RunProgram({POOLER, "peers", "--settings", settings.c_str(), "--json"}).first;
    if (nlohmann::json::parse(later).at("spent_s").get<double>() > spent_s) break;
    CHECK(i < 49);
    g_usleep(20000);
  }
  const auto table = RunProgram({POOLER, "peers", "--settings", settings.c_str()});
  CHECK(table.second);
  CHECK(table.first.find("instance n1 of 2: ") == 0);
  g_subprocess_force_exit(pooler.get());
  g_subprocess_wait(pooler.get(), nullptr, nullptr);
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace lynxgrade::admin
