// The cases in which a pooler with a state folder starts again: what it then knows of its sessions' writes.
//
//   restarts second-start RECORD    a second process of the same pooler was started meanwhile, and ended
//   restarts bare-start RECORD      the disk was full for a while, and the pooler started again twice
//   restarts full-disk RECORD       the disk was full at one start
//   restarts two-primaries RECORD   a write was lost with a primary, and the primary changed once more
#include <csignal>
#include <cstring>
#include <filesystem>

#include "stage.h"

using namespace stage;

namespace {

constexpr int kSessions = 20;
constexpr int kReadsEach = 3;

struct Session {
  std::string name;
  std::int64_t answered = 0;  // newest version whose write was answered as served
  Us answered_at = 0;
};

struct Site {
  std::string folder = TemporaryFolder();
  Group group{1, 3, {.reads_tell_position = true, .inline_reports = false, .report_period = 130 * kMs}};
  Discovery discovery;
  int port = FreePort();
  std::string config;
  std::string settings;
  std::vector<Session> sessions;
  int broken = 0, served = 0, refused = 0, other = 0;

  Site() {
    discovery.Add(group);
    config =
        WriteFile(folder + "/config.json", PlatformConfig({"n1", port, discovery.port(), KeptSettings()}));
    settings = WriteFile(folder + "/lynxgrade.toml",
                         "[sessions]\nscope = \"everywhere\"\n[state]\nfolder = \"" + folder + "/state\"\n");
    for (int i = 0; i < kSessions; ++i) sessions.push_back({"player-" + std::to_string(i)});
  }
  ~Site() {
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
  }

  // One write of a session, sent again by its client while it is refused.
  bool Write(Session& session) {
    for (int tries = 0; tries < 4; ++tries) {
      const std::int64_t version = session.answered + 1;
      const std::string id = NewId();
      const Outcome outcome =
          SendAndWait({id, WriteText(id, "match-write", 1500, 1, session.name, version), port, 2 * kSecond});
      Record("write %s session=%s version=%lld: %s %s", id.c_str(), session.name.c_str(),
             static_cast<long long>(version), NameOf(outcome.answer), outcome.code.c_str());
      if (outcome.answer == Answer::kServed) {
        session.answered = version;
        session.answered_at = outcome.ended;
        return true;
      }
      TheLoop().RunFor(60 * kMs);
    }
    return false;
  }

  bool WriteAll() {
    for (Session& session : sessions) {
      if (!Write(session)) return false;
    }
    return true;
  }

  // The rule: a read that is served shows the session's newest answered write, or a later one.
  void ReadAndJudge(Session& session) {
    const std::string id = NewId();
    const Outcome outcome =
        SendAndWait({id, ReadText(id, "own-read", 1200, 1, session.name), port, 1400 * kMs});
    const std::int64_t version = outcome.answer == Answer::kServed ? std::atoll(outcome.value.c_str()) : 0;
    const bool stale = outcome.answer == Answer::kServed && version < session.answered;
    const auto ran = group.runs.find(id);
    Record("read  %s session=%s: %s %s version=%lld answered=%lld write answered %.0f ms before, at %s%s",
           id.c_str(), session.name.c_str(), NameOf(outcome.answer), outcome.code.c_str(),
           static_cast<long long>(version), static_cast<long long>(session.answered),
           static_cast<double>(outcome.sent - session.answered_at) / kMs,
           ran == group.runs.end() ? "none" : ran->second.back().server.c_str(), stale ? " BROKEN" : "");
    broken += stale ? 1 : 0;
    (outcome.answer == Answer::kServed ? served : outcome.answer == Answer::kRefused ? refused : other) += 1;
  }

  void ReadAll() {
    for (int i = 0; i < kReadsEach; ++i) {
      for (Session& session : sessions) ReadAndJudge(session);
    }
  }

  // Replicas apply the log `slowdown` times more slowly for `length`.
  void SlowApply(double slowdown, Us length) {
    Record("replicas apply the log %.0f times more slowly for %.0f s", slowdown,
           static_cast<double>(length) / kSecond);
    for (std::size_t i = 0; i < group.size(); ++i) {
      if (static_cast<int>(i) == group.primary()) continue;
      group.PositionOf(group.server(i), Now());
      group.server(i).apply_slowdown = slowdown;
      TheLoop().After(length, [this, i] {
        group.PositionOf(group.server(i), Now());
        group.server(i).apply_slowdown = 1;
      });
    }
  }

  int Verdict() {
    Record("served=%d refused=%d other=%d stale=%d", served, refused, other, broken);
    std::printf("served=%d refused=%d other=%d stale=%d\n", served, refused, other, broken);
    return broken > 0 ? 1 : 0;
  }
};

int CannotRun(const char* why) {
  Record("cannot run: %s", why);
  std::printf("cannot run: %s\n", why);
  return 2;
}

// Restarts as the platform's pages have them: the process is killed outright and started again.
bool Restart(Pooler& pooler, int port, int signal, bool full_disk = false) {
  pooler.Signal(signal);
  if (!pooler.AwaitEnd(10 * kSecond)) return false;
  pooler.Start(full_disk);
  return AwaitReady(pooler, port, 15 * kSecond);
}

int SecondStart() {
  Site site;
  Pooler pooler("n1", site.config, site.settings);
  pooler.Start();
  if (!AwaitReady(pooler, site.port, 15 * kSecond)) return CannotRun("the pooler is not ready");
  if (!site.WriteAll()) return CannotRun("a write was not served");
  TheLoop().RunFor(500 * kMs);
  if (Trouble()) {
    Pooler second("n1-second", site.config, site.settings);
    second.Start();
    if (!second.AwaitEnd(5 * kSecond)) second.Kill();
  }
  TheLoop().RunFor(500 * kMs);
  site.SlowApply(10, 12 * kSecond);
  TheLoop().RunFor(300 * kMs);
  if (!site.WriteAll()) return CannotRun("a write was not served");
  if (!Restart(pooler, site.port, SIGKILL)) return CannotRun("the pooler is not ready after its restart");
  site.ReadAll();
  return site.Verdict();
}

int FullDisk() {
  Site site;
  Pooler pooler("n1", site.config, site.settings);
  pooler.Start();
  if (!AwaitReady(pooler, site.port, 15 * kSecond)) return CannotRun("the pooler is not ready");
  if (!site.WriteAll()) return CannotRun("a write was not served");
  TheLoop().RunFor(500 * kMs);
  if (!Restart(pooler, site.port, SIGTERM, Trouble())) return CannotRun("not ready after its restart");
  site.SlowApply(10, 12 * kSecond);
  TheLoop().RunFor(300 * kMs);
  if (!site.WriteAll()) return CannotRun("a write was not served");
  if (!Restart(pooler, site.port, SIGKILL)) return CannotRun("the pooler is not ready after its restart");
  site.ReadAll();
  return site.Verdict();
}

int BareStart() {
  Site site;
  Pooler pooler("n1", site.config, site.settings);
  pooler.Start();
  if (!AwaitReady(pooler, site.port, 15 * kSecond)) return CannotRun("the pooler is not ready");
  if (!site.WriteAll()) return CannotRun("a write was not served");
  TheLoop().RunFor(500 * kMs);
  if (Trouble()) {
    if (!pooler.FillDisk()) return CannotRun("the limit on the size of files cannot be set");
    const auto abandoned = [&] { return pooler.log().find("removing the state files") != std::string::npos; };
    if (!TheLoop().RunUntil(abandoned, 3 * kSecond)) return CannotRun("the full disk was not noticed");
  }
  TheLoop().RunFor(500 * kMs);
  site.SlowApply(10, 20 * kSecond);
  TheLoop().RunFor(300 * kMs);
  if (!site.WriteAll()) return CannotRun("a write was not served");
  if (!Restart(pooler, site.port, SIGKILL)) return CannotRun("the pooler is not ready after its restart");
  TheLoop().RunFor(1 * kSecond);
  for (Session& session : site.sessions) site.ReadAndJudge(session);
  Record("after the first restart: stale=%d", site.broken);
  if (!Restart(pooler, site.port, SIGKILL)) return CannotRun("the pooler is not ready after its restart");
  site.ReadAll();
  return site.Verdict();
}

// Traffic of other clients, by which the pooler learns who is primary and how far the replicas are.
class Background {
 public:
  explicit Background(int port) : port_(port) { Tick(); }
  ~Background() { *stopped_ = true; }

 private:
  void Tick() {
    const std::string id = NewId();
    const std::string object = "board-" + std::to_string(ticks_ % 7);
    if (ticks_++ % 4 == 0) {
      Send({id, WriteText(id, "match-write", 1500, 1, object, ticks_), port_, 2 * kSecond},
           [](const Outcome&) {});
    } else {
      Send({id, ReadText(id, "history-read", 1000, 1, object), port_, 2 * kSecond}, [](const Outcome&) {});
    }
    TheLoop().After(25 * kMs, [this, stopped = stopped_] {
      if (!*stopped) Tick();
    });
  }
  int port_;
  int ticks_ = 0;
  std::shared_ptr<bool> stopped_ = std::make_shared<bool>(false);
};

int TwoPrimaries() {
  Site site;
  for (std::size_t i = 0; i < site.group.size(); ++i) site.group.server(i).ship = 13 * kMs;
  Pooler pooler("n1", site.config, site.settings);
  pooler.Start();
  if (!AwaitReady(pooler, site.port, 15 * kSecond)) return CannotRun("the pooler is not ready");
  if (!site.WriteAll()) return CannotRun("a write was not served");
  const Background background(site.port);
  TheLoop().RunFor(3 * kSecond);
  // All sessions write at once; the primary ends as the last of them is answered.
  int open = kSessions;
  for (Session& session : site.sessions) {
    const std::string id = NewId();
    Send({id, WriteText(id, "match-write", 1500, 1, session.name, 2), site.port, 2 * kSecond},
         [&, id](const Outcome& outcome) {
           Record("write %s session=%s version=2: %s", id.c_str(), session.name.c_str(),
                  NameOf(outcome.answer));
           if (outcome.answer == Answer::kServed) {
             session.answered = 2;
             session.answered_at = outcome.ended;
           }
           if (--open == 0) site.group.FailPrimary(1, 2500 * kMs);
         });
  }
  if (!TheLoop().RunUntil([&] { return open == 0; }, 3 * kSecond)) return CannotRun("a write had no answer");
  TheLoop().RunFor(4 * kSecond);
  if (site.group.lost.empty()) return CannotRun("no write was lost with the primary");
  if (Trouble()) {
    site.group.server(1).state = "Terminating";
    site.discovery.Tell(site.group.server(1), 1);
    site.group.HandOver(2, 700 * kMs);
  }
  TheLoop().RunFor(2500 * kMs);
  if (!Restart(pooler, site.port, SIGTERM)) return CannotRun("the pooler is not ready after its restart");
  TheLoop().RunFor(1 * kSecond);
  if (!Restart(pooler, site.port, SIGKILL)) return CannotRun("the pooler is not ready after its restart");
  TheLoop().RunFor(1 * kSecond);
  site.ReadAll();
  return site.Verdict();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  std::signal(SIGPIPE, SIG_IGN);
  OpenRecord(argv[2]);
  Record("case %s, TROUBLE=%d", argv[1], Trouble() ? 1 : 0);
  if (std::strcmp(argv[1], "second-start") == 0) return SecondStart();
  if (std::strcmp(argv[1], "full-disk") == 0) return FullDisk();
  if (std::strcmp(argv[1], "bare-start") == 0) return BareStart();
  if (std::strcmp(argv[1], "two-primaries") == 0) return TwoPrimaries();
  return 2;
}
