// Some answers of data servers are followed directly by a second copy, while nothing else is waiting on the
// connection. Is a client served with what was made for another client's request?
#include "config.h"
#include "link.h"

using namespace kit;

namespace {

constexpr Us kMs = 1000;
constexpr int kGroups = 2, kMembers = 5, kClients = 40, kObjects = 5;
constexpr Us kRunFor = 80000 * kMs;

std::atomic<bool> g_stop{false}, g_trouble_on{false};
std::atomic<int> g_served{0}, g_refused{0}, g_failed{0}, g_foreign_reads{0}, g_foreign_writes{0};

// A value names its object: "OBJECT=NUMBER". "0" stands for an object that was never written.
void Session(int number, int port) {
  Client client(port);
  const int group = 1 + number % kGroups;
  for (int round = 0; !g_stop; ++round) {
    const std::string oid = "player-" + std::to_string(number) + "-" + std::to_string(round % kObjects);
    const std::string id = Id();
    const bool write = round < kObjects || Uniform(0, 1) < 0.12;
    const std::string body = oid + "." + std::to_string(round);
    Answer answer;
    const char* cls = "match-write";
    if (write) {
      answer = client.Ask(WriteStatement(id, cls, 5000, group, oid, body), 5500 * kMs);
    } else {
      const double draw = Uniform(0, 0.88);
      cls = draw < 0.39 ? "lobby-read" : draw < 0.72 ? "own-read" : "history-read";
      answer = client.Ask(ReadStatement(id, cls, draw < 0.72 ? 1200 : 1000, group, oid), 1800 * kMs);
    }
    Record("pooler answers %s id=%s of %s: %s %s %s", cls, id.c_str(), oid.c_str(), Name(answer.kind),
           answer.value.c_str(), answer.code.c_str());
    g_served += answer.kind == Answer::Kind::kServed;
    g_refused += answer.kind == Answer::Kind::kRefused;
    g_failed += answer.kind == Answer::Kind::kFailed || answer.kind == Answer::Kind::kNone;
    if (answer.kind == Answer::Kind::kServed) {
      const bool own = write ? answer.value == body : answer.value == "0" || answer.value.rfind(oid + ".", 0) == 0;
      if (!own) {
        ++(write ? g_foreign_writes : g_foreign_reads);
        Record("FOREIGN: %s id=%s of %s was served with %s", cls, id.c_str(), oid.c_str(), answer.value.c_str());
      }
    }
    SleepUs(static_cast<Us>(Exponential(140000)));
  }
}

}  // namespace

int main(int argc, char** argv) {
  Begin(argc, argv);
  Discovery discovery;
  std::vector<std::unique_ptr<Group>> groups;
  std::vector<std::unique_ptr<DataServer>> servers;
  std::vector<std::unique_ptr<Link>> links;
  for (int number = 1; number <= kGroups; ++number) {
    groups.push_back(std::make_unique<Group>(kMembers, 8 * kMs));
    for (std::size_t member = 0; member < kMembers; ++member) {
      ServerOptions options;
      options.work = [] { return static_cast<Us>(Uniform(44, 77) * 1000); };
      // A handshake of up to three round trips, of which the link itself adds one, and its work.
      options.startup_delay = [] { return static_cast<Us>((Uniform(2.1, 7.6) + Uniform(0, 4)) * 1000); };
      options.second_copy = [] { return g_trouble_on && Uniform(0, 1) < 0.1; };
      servers.push_back(std::make_unique<DataServer>("s-" + std::to_string(number) + "-" + std::to_string(member),
                                                     number, *groups.back(), member, options));
      // The pooler stands in one data centre, the data servers in the other: 0.7 to 1.3 ms one way, with jitter.
      links.push_back(std::make_unique<Link>(
          servers.back()->port, [base = Uniform(0.7, 1.3)] { return static_cast<Us>(base * Uniform(1, 1.33) * 1000); }));
      discovery.Set(servers.back()->uid, servers.back()->Entry("Ready", links.back()->port));
    }
  }
  const int port = FreePort();
  ConfigOptions config;
  config.name = "n1";
  config.port = port;
  config.discovery_port = discovery.port;
  config.poolers = 2;
  config.classes = HoabinhClasses();
  config.checks = "await";
  config.known = discovery.Whole();
  Pooler pooler("n1", WriteFile("n1.json", PlatformConfig(config)));
  g_poolers.push_back(&pooler);
  pooler.Start();
  AwaitReady(port, "n1");
  std::vector<std::thread> sessions;
  for (int i = 0; i < kClients; ++i) sessions.emplace_back(Session, i, port);
  SleepUs(3000 * kMs);
  g_trouble_on = g_trouble;
  SleepUs(kRunFor);
  g_stop = true;
  for (std::thread& session : sessions) session.join();
  if (pooler.Crashed()) Say("the pooler crashed");
  int copies = 0;
  for (const auto& server : servers) copies += server->copies_sent;
  Say("served: " + std::to_string(g_served) + ", refused: " + std::to_string(g_refused) + ", failed: " +
      std::to_string(g_failed) + "; answers with a second copy behind: " + std::to_string(copies));
  Say("served with what was made for another request: reads " + std::to_string(g_foreign_reads) + ", writes " +
      std::to_string(g_foreign_writes));
  if (g_served < 1000) {
    Say("too few requests were served");
    End(2);
  }
  End(g_foreign_reads + g_foreign_writes > 0 ? 1 : 0);
}
