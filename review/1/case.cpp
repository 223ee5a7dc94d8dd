// Two primaries of one group die, one after the other. A pooler that is quiet meanwhile never hears of the first
// successor. It has answered writes that died with the first primary; are their own reads refused, or stale?
#include "config.h"

using namespace kit;

namespace {

constexpr Us kMs = 1000;
constexpr int kGroups = 2, kMembers = 5, kSessions = 12;
constexpr int kTroubled = 1;  // the group whose primaries die

struct Database {
  std::unique_ptr<Group> group;
  std::vector<std::unique_ptr<DataServer>> servers;
};
std::vector<Database> g_databases;
std::unique_ptr<Discovery> g_discovery;
std::atomic<bool> g_stop{false};

// The process of the group's primary dies; the roster says so 2 s later.
void KillPrimary(Database& database, int number) {
  const auto primary = database.group->primary();
  if (!primary) return;
  DataServer& server = *database.servers[*primary];
  Record("group %d: the process of its primary %s dies", number, server.uid.c_str());
  server.Die();
  std::thread([&server] {
    SleepUs(2000 * kMs);
    g_discovery->Change(server.uid, server.Entry("Gone"), true);
  }).detach();
}
void Promote(Database& database, int number) {
  const auto primary = database.group->Promote();
  Record("group %d: %s takes over", number, database.servers[*primary]->uid.c_str());
}

// Traffic of other sessions through the second pooler.
void Traffic(int port, int number) {
  Client client(port);
  for (int i = 0; !g_stop; ++i) {
    const std::string oid = "other-" + std::to_string(number) + "-" + std::to_string(i % 40);
    if (i % 4 == 0) {
      client.Ask(WriteStatement(Id(), "match-write", 5000, number, oid, std::to_string(i)), 5500 * kMs);
    } else {
      client.Ask(ReadStatement(Id(), i % 4 == 1 ? "own-read" : "history-read", i % 4 == 1 ? 1200 : 1000, number, oid), 1500 * kMs);
    }
    SleepUs(static_cast<Us>(Exponential(20000)));
  }
}

}  // namespace

int main(int argc, char** argv) {
  Begin(argc, argv);
  g_discovery = std::make_unique<Discovery>();
  for (int number = 1; number <= kGroups; ++number) {
    Database& database = g_databases.emplace_back();
    database.group = std::make_unique<Group>(kMembers, 12 * kMs);
  }
  for (int number = 1; number <= kGroups; ++number) {
    Database& database = g_databases[static_cast<std::size_t>(number - 1)];
    for (std::size_t member = 0; member < kMembers; ++member) {
      database.servers.push_back(std::make_unique<DataServer>(
          "s-" + std::to_string(number) + "-" + std::to_string(member), number, *database.group, member,
          ServerOptions{}));
      g_discovery->Set(database.servers.back()->uid, database.servers.back()->Entry());
    }
  }
  const std::string keys = WriteFile("keys", "1 " + std::string(64, 'a') + "\n");
  std::vector<int> ports, peer_ports;
  for (int i = 0; i < 2; ++i) {
    ports.push_back(FreePort());
    peer_ports.push_back(FreePort(SOCK_DGRAM));
  }
  std::vector<std::unique_ptr<Pooler>> poolers;
  for (int i = 0; i < 2; ++i) {
    ConfigOptions config;
    config.name = "n" + std::to_string(i + 1);
    config.port = ports[static_cast<std::size_t>(i)];
    config.discovery_port = g_discovery->port;
    config.me = i;
    config.classes = HoabinhClasses();
    config.known = g_discovery->Whole();
    const std::string settings = WriteFile(
        config.name + ".toml",
        "[sessions]\nscope = \"everywhere\"\nleast_failover_ms = 1000\n[peers]\nlisten = \"127.0.0.1:" +
            std::to_string(peer_ports[static_cast<std::size_t>(i)]) + "\"\nseeds = [\"127.0.0.1:" +
            std::to_string(peer_ports[static_cast<std::size_t>(1 - i)]) + "\"]\nkey_file = \"" + keys +
            "\"\nmarks = \"directory\"\n");
    poolers.push_back(std::make_unique<Pooler>(config.name, WriteFile(config.name + ".json", PlatformConfig(config)),
                                               "serve --settings " + settings));
    g_poolers.push_back(poolers.back().get());
    poolers.back()->Start();
  }
  AwaitReady(ports[0], "n1");
  AwaitReady(ports[1], "n2");
  for (int i = 0; i < 200; ++i) {
    if (poolers[0]->Log().find("peers: whole") != std::string::npos &&
        poolers[1]->Log().find("peers: whole") != std::string::npos)
      break;
    SleepUs(100 * kMs);
    if (i == 199) {
      Say("the poolers do not find each other");
      End(2);
    }
  }
  // Longer than recall_s: nothing of the start is in doubt any more.
  SleepUs(30000 * kMs);
  std::vector<std::thread> traffic;
  for (int number = 1; number <= kGroups; ++number) traffic.emplace_back(Traffic, ports[1], number);
  SleepUs(3000 * kMs);

  // The sessions write through n1; right after, the process of the primary dies.
  struct Session {
    int group;
    std::string oid, body;
    bool written = false, lost = false;
    int stale = 0, served = 0, refused = 0, failed = 0;
  };
  std::vector<Session> sessions;
  Client(ports[0]).Ask(WriteStatement(Id(), "match-write", 5000, kTroubled, "first", "1"), 6000 * kMs);
  for (int i = 0; i < kSessions; ++i) {
    sessions.push_back({kTroubled, "session-" + std::to_string(i), "v" + std::to_string(100 + i)});
  }
  SleepUs(500 * kMs);
  std::atomic<int> answered{0};
  std::vector<std::thread> writers;
  const Us write_at = Now() + 300 * kMs;
  for (Session& session : sessions) {
    writers.emplace_back([&session, &answered, write_at, port = ports[0]] {
      Client client(port);
      client.Ask("", 1000 * kMs);
      SleepUntil(write_at);
      const std::string id = Id();
      const Answer answer =
          client.Ask(WriteStatement(id, "match-write", 5000, session.group, session.oid, session.body), 6000 * kMs);
      session.written = answer.kind == Answer::Kind::kServed;
      Record("n1 answers write id=%s of %s: %s", id.c_str(), session.oid.c_str(), Name(answer.kind));
      ++answered;
    });
  }
  Database& troubled = g_databases[kTroubled - 1];
  while (answered < kSessions) SleepUs(100);
  if (g_trouble) KillPrimary(troubled, kTroubled);
  for (std::thread& thread : writers) thread.join();
  const Us dead_at = Now();
  if (g_trouble) {
    // Given up after 1.4 s, taken over 1.1 s later; the successor dies 1.8 s after that, and is replaced in turn.
    SleepUntil(dead_at + 2500 * kMs);
    Promote(troubled, kTroubled);
    SleepUntil(dead_at + 4300 * kMs);
    KillPrimary(troubled, kTroubled);
    SleepUntil(dead_at + 6800 * kMs);
    Promote(troubled, kTroubled);
  }
  SleepUntil(dead_at + 7800 * kMs);
  int lost = 0;
  for (Session& session : sessions) {
    for (const Commit& commit : g_databases[static_cast<std::size_t>(session.group - 1)].group->lost()) {
      if (commit.oid == session.oid && commit.body == session.body && session.written) session.lost = true;
    }
    lost += session.lost;
  }
  Say("writes that were answered and died with the first primary: " + std::to_string(lost));

  // One session of the same group that has written through n2 comes to n1.
  {
    const int number = kTroubled;
    Client at_n2(ports[1]), at_n1(ports[0]);
    const std::string oid = "roaming-" + std::to_string(number);
    for (int i = 0; i < 20; ++i) {
      const Answer answer = at_n2.Ask(WriteStatement(Id(), "match-write", 5000, number, oid, "9"), 5500 * kMs);
      Record("n2 answers the roaming session's write in group %d: %s", number, Name(answer.kind));
      if (answer.kind == Answer::Kind::kServed) break;
      SleepUs(200 * kMs);
    }
    for (int i = 0; i < 5; ++i) {
      const Answer answer = at_n1.Ask(ReadStatement(Id(), "own-read", 1200, number, oid), 2000 * kMs);
      Record("n1 answers the roaming session of group %d: %s %s", number, Name(answer.kind), answer.value.c_str());
      if (answer.kind == Answer::Kind::kServed) break;
      SleepUs(200 * kMs);
    }
    for (int i = 0; i < 3; ++i) {
      const Answer answer = at_n1.Ask(WriteStatement(Id(), "match-write", 5000, number, oid, "10"), 5500 * kMs);
      Record("n1 answers the roaming session's write in group %d: %s", number, Name(answer.kind));
      if (answer.kind == Answer::Kind::kServed) break;
      SleepUs(200 * kMs);
    }
  }
  // The sessions read what they have written.
  std::vector<std::thread> readers;
  for (Session& session : sessions) {
    readers.emplace_back([&session, port = ports[0], dead_at] {
      Client client(port);
      while (session.written && Now() < dead_at + 18000 * kMs && session.served < 3) {
        const std::string id = Id();
        const Answer answer = client.Ask(ReadStatement(id, "own-read", 1200, session.group, session.oid), 2000 * kMs);
        Record("n1 answers own-read id=%s of %s %.1f s after the write: %s %s %s", id.c_str(), session.oid.c_str(),
               static_cast<double>(Now() - dead_at) / 1e6, Name(answer.kind), answer.value.c_str(),
               answer.code.c_str());
        if (answer.kind == Answer::Kind::kServed) {
          ++session.served;
          if (answer.value != session.body) ++session.stale;
        }
        session.refused += answer.kind == Answer::Kind::kRefused;
        session.failed += answer.kind == Answer::Kind::kFailed;
        SleepUs(answer.kind == Answer::Kind::kServed ? 300 * kMs : 500 * kMs);
      }
    });
  }
  for (std::thread& thread : readers) thread.join();
  g_stop = true;
  int stale = 0, served = 0, refused = 0, written = 0;
  for (const Session& session : sessions) {
    stale += session.stale;
    served += session.served;
    refused += session.refused;
    written += session.written;
  }
  for (std::thread& thread : traffic) thread.join();
  for (Pooler* pooler : g_poolers) {
    if (pooler->Crashed()) Say("a pooler crashed");
  }
  Say("sessions with an answered write: " + std::to_string(written) + "; own-reads served: " + std::to_string(served) +
      ", of them without the session's write: " + std::to_string(stale) + "; refused: " + std::to_string(refused));
  if (written == 0 || (g_trouble && lost == 0)) {
    Say("the disruption did not take place");
    End(2);
  }
  End(stale > 0 ? 1 : 0);
}
