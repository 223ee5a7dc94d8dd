// Operators' queries to a running pooler: the server on a real socket, the table, and the command line of the
// program itself.
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
  void Until(const std::function<bool()>& condition) {
    for (int i = 0; i < 200000 && !condition(); ++i) g_main_context_iteration(nullptr, TRUE);
    REQUIRE(condition());
  }
  // Queries as the command line does, from a thread of its own.
  tl::expected<std::string, AdminError> Query(const std::string& name) {
    tl::expected<std::string, AdminError> result;
    std::atomic<bool> finished = false;
    std::thread client([&] {
      result = admin::SendQuery({"127.0.0.1", server.port()}, name);
      finished = true;
      g_main_context_wakeup(nullptr);
    });
    Until([&] { return finished.load(); });
    client.join();
    return result;
  }
  // NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor): it is final
  struct Client final : net::Connection::Owner {
    Client(RunningServer& running, std::string query)
        : connection(net::Connection::Connect(running.loop, {"127.0.0.1", running.server.port()}, *this,
                                              1 << 16, 1 << 16, nullptr)),
          sent(std::move(query)) {}
    void OnConnected() override { connection->Write(sent); }
    void OnReadable() override {
      text += connection->input().Linearize();
      connection->input().Consume(connection->input().size());
    }
    void OnEndOfStream() override { ended = true; }
    void OnDisconnected() override { ended = true; }
    std::shared_ptr<net::Connection> connection;
    std::string sent;
    std::string text;
    bool ended = false;
  };
  net::Loop loop;
  std::string response = "{}";
  int queries = 0;
  AdminServer server;
};

TEST_CASE("server: one query has one response; a malformed one closes its connection") {
  RunningServer running;
  running.response = std::string(300000, 'x');  // more than a socket takes at once
  CHECK(running.Query("peers") == running.response + "\n");
  running.response = R"({"a":1})";
  CHECK(running.Query("peers") == "{\"a\":1}\n");
  CHECK(running.Query("limits").value().find("error") != std::string::npos);
  RunningServer::Client endless(running, std::string(1000, 'p')), twice(running, "peers\npeers\npeers\n");
  running.Until([&] { return endless.ended && twice.ended; });
  CHECK(endless.text.empty());
  CHECK(twice.text == "{\"a\":1}\n");
  CHECK(running.queries == 3);
}

TEST_CASE("server: silent connections time out, and a fifth one is accepted after that") {
  RunningServer running;
  std::vector<std::unique_ptr<RunningServer::Client>> silent;
  silent.reserve(4);
  for (int i = 0; i < 4; ++i) silent.push_back(std::make_unique<RunningServer::Client>(running, "peer"));
  running.Until([&] { return running.server.open_connections() == 4; });
  RunningServer::Client fifth(running, "peers\n");
  running.Until([&] { return fifth.ended; });
  CHECK(fifth.text == "{}\n");
  CHECK(std::ranges::any_of(silent, [](const auto& client) { return client->ended; }));
  running.Until(
      [&] { return std::ranges::all_of(silent, [](const auto& client) { return client->ended; }); });
  running.Until([&] {
    return running.server.open_connections() == 0;
  });  // also the one that was served and stays connected
}

TEST_CASE("table: it shows the response, and a text that is none is rejected with its reason") {
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
  for (const Case& c : {Case{"", "not an answer"}, Case{"[1]", "not an answer"},
                        Case{R"({"error":"no"})", "no"}, Case{R"({"name":3})", "another version"}}) {
    const auto rejected = FormatPeersTable(c.text);
    REQUIRE_FALSE(rejected);
    CHECK(Describe(rejected.error()).find(c.phrase) != std::string::npos);
  }
  const auto unreachable = SendQuery({"127.0.0.1", 1}, "peers");
  REQUIRE_FALSE(unreachable);
  CHECK(unreachable.error().code == AdminErrorCode::kUnreachable);
}

// What `lynxgrade peers` prints, and whether it went well.
std::pair<std::string, bool> Command(std::vector<const char*> words) {
  words.push_back(nullptr);
  const net::ObjectPtr<GSubprocess> process(g_subprocess_newv(
      words.data(), GSubprocessFlags(G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_MERGE),
      nullptr));
  REQUIRE(process != nullptr);
  char* text = nullptr;
  REQUIRE(g_subprocess_communicate_utf8(process.get(), nullptr, nullptr, &text, nullptr, nullptr));
  std::string said(text);
  g_free(text);
  return {said, g_subprocess_get_successful(process.get())};
}

TEST_CASE("program: the peers command shows the quorum state and the seeds not heard from") {
  const std::string folder = (std::filesystem::temp_directory_path() / "lynxgrade-control-XXXXXX").string();
  std::string made = folder;
  REQUIRE(mkdtemp(made.data()) != nullptr);
  std::uint16_t port = 0;
  {
    net::Loop loop;
    net::Listener probe(
        loop, [] { return false; }, [](net::ObjectPtr<GSocket>) {});
    REQUIRE(probe.Open({"127.0.0.1", 0}));
    port = probe.port();
  }
  std::ofstream(made + "/key") << "1 " << std::string(64, 'a') << "\n";
  std::ofstream(made + "/config.json")
      << R"({"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1f","settings":)"
      << R"({"customers":[{"name":"acme"}],"classes":[{"name":"any","deadline_us":4000000,)"
      << R"("objective_us":400000,"effect":"idempotent"}],"extra":{"class_read":["eventual"]}}})";
  const std::string settings = made + "/settings.toml";
  std::ofstream(settings) << "[sessions]\nscope = \"everywhere\"\n[peers]\nlisten = \"127.0.0.1:0\"\nseeds = "
                          << "[\"127.0.0.1:9\"]\nkey_file = \"" << made
                          << "/key\"\n[control]\nlisten = \"127.0.0.1:" << port << "\"\n";
  g_setenv("RELAY_CONFIG", (made + "/config.json").c_str(), TRUE);
  CHECK_FALSE(Command({POOLER, "peers", "--settings", settings.c_str()}).second);  // it does not run yet
  const net::ObjectPtr<GSubprocess> pooler(g_subprocess_new(
      G_SUBPROCESS_FLAGS_STDOUT_SILENCE, nullptr, POOLER, "serve", "--settings", settings.c_str(), nullptr));
  REQUIRE(pooler != nullptr);
  std::pair<std::string, bool> said;
  for (int i = 0; i < 1000 && !said.second; ++i) {
    said = Command({POOLER, "peers", "--settings", settings.c_str(), "--json"});
    if (!said.second) g_usleep(20000);
  }
  CAPTURE(said.first);
  REQUIRE(said.second);
  const auto json = nlohmann::json::parse(said.first);
  CHECK(json.at("name") == "n1");
  CHECK(json.at("size") == 2);
  CHECK(json.at("part") == "in doubt");
  CHECK(json.at("unheard") == nlohmann::json::array({"127.0.0.1:9"}));
  // It has pinged its seed since the start, and goes on; it has spent no more than there was.
  const double spent = json.at("spent_s").get<double>();
  CHECK(spent > 0);
  CHECK(spent < 60);
  for (int i = 0; i < 50; ++i) {
    const auto later = Command({POOLER, "peers", "--settings", settings.c_str(), "--json"}).first;
    if (nlohmann::json::parse(later).at("spent_s").get<double>() > spent) break;
    CHECK(i < 49);
    g_usleep(20000);
  }
  const auto table = Command({POOLER, "peers", "--settings", settings.c_str()});
  CHECK(table.second);
  CHECK(table.first.find("instance n1 of 2: ") == 0);
  g_subprocess_force_exit(pooler.get());
  g_subprocess_wait(pooler.get(), nullptr, nullptr);
  std::filesystem::remove_all(made);
}

}  // namespace
}  // namespace lynxgrade::admin
