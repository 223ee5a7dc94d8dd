// The case in which a bounded read's connection comes up late: the age of the data from which it is answered.
//
//   bounded late-connections RECORD
#include <csignal>
#include <cstring>
#include <filesystem>

#include "stage.h"

using namespace stage;

namespace {

constexpr Us kBound = 500 * kMs;                  // of class seat-browse
constexpr Us kSlack = 50 * kMs;                   // every time limit is that much longer on sockets
constexpr std::size_t kMembers[] = {5, 5, 5, 5};  // 20 data servers, as on the busiest days
constexpr Us kUsualGap = 45 * kMs;                // 22 requests a second: a quiet hour
constexpr Us kJumpGap = 20 * kMs;                 // 2.25 times as many
constexpr Us kLate = 230 * kMs;  // a connection may come up 1.5 s late, and a third of all may be late
constexpr int kRounds = 5;
constexpr SiteForm kForm{.reads_tell_position = false, .inline_reports = true, .report_period = 100 * kMs};

struct Counts {
  int sent = 0, served = 0, refused = 0, other = 0, broken = 0;
  Us oldest = 0;
};

class Case {
 public:
  Case() {
    for (std::size_t i = 0; i < std::size(kMembers); ++i) {
      groups_.push_back(std::make_unique<Group>(static_cast<std::int64_t>(i) + 1, kMembers[i], kForm));
      discovery_.Add(*groups_.back());
    }
    config_ = WriteFile(folder_ + "/config.json",
                        PlatformConfig({"n1", port_, discovery_.port(), RecifeSettings()}));
    ForEachServer([](Group&, DataServer& server) {
      server.work = 130 * kMs;
      server.ship = 8 * kMs;
      server.idle_limit = 5 * kMs;
    });
  }
  ~Case() {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  int Run() {
    Pooler pooler("n1", config_, "");
    pooler.Start();
    if (!AwaitReady(pooler, port_, 15 * kSecond)) {
      Record("cannot run: the pooler is not ready");
      return 2;
    }
    Traffic();
    TheLoop().RunFor(4 * kSecond);
    for (int round = 0; round < kRounds; ++round) {
      Slow(5);
      TheLoop().RunFor(200 * kMs);
      if (Trouble()) Late(1);
      TheLoop().RunFor(50 * kMs);
      gap_ = kJumpGap;
      TheLoop().RunFor(550 * kMs);
      Late(0);
      TheLoop().RunFor(2500 * kMs);
      gap_ = kUsualGap;
      TheLoop().RunFor(6700 * kMs);
      Slow(1);
      TheLoop().RunFor(9500 * kMs);  // they catch up
    }
    stopped_ = true;
    TheLoop().RunFor(4 * kSecond);
    std::uint64_t late = 0, connections = 0;
    ForEachServer([&](Group&, DataServer& server) {
      late += server.late_connections;
      connections += server.connections;
    });
    Record(
        "bounded reads: sent=%d served=%d refused=%d other=%d; older than the bound and its slack: %d, the "
        "oldest %.0f ms; connections to data servers %llu, late %llu",
        counts_.sent, counts_.served, counts_.refused, counts_.other, counts_.broken,
        static_cast<double>(counts_.oldest) / kMs, static_cast<unsigned long long>(connections),
        static_cast<unsigned long long>(late));
    std::printf("sent=%d served=%d refused=%d other=%d stale=%d oldest_ms=%.0f\n", counts_.sent,
                counts_.served, counts_.refused, counts_.other, counts_.broken,
                static_cast<double>(counts_.oldest) / kMs);
    if (counts_.served == 0 || late * 3 > connections) return 2;
    return counts_.broken > 0 ? 1 : 0;
  }

 private:
  // Replicas apply the log `slowdown` times more slowly.
  void Slow(double slowdown) {
    Record("replicas apply the log %.0f times more slowly", slowdown);
    ForEachServer([slowdown](Group& group, DataServer& server) {
      if (group.IsPrimary(server)) return;
      group.PositionOf(server, Now());
      server.apply_slowdown = slowdown;
    });
  }

  // Every n-th connection to a data server comes up late; 0: none.
  void Late(int every) {
    if (Trouble()) Record("connections come up %s", every == 0 ? "at once" : "late");
    ForEachServer([every](Group&, DataServer& server) {
      server.late_every = every;
      server.late_by = kLate;
    });
  }

  template <typename Function>
  void ForEachServer(Function function) {
    for (const auto& group : groups_) {
      for (std::size_t i = 0; i < group->size(); ++i) function(*group, group->server(i));
    }
  }

  void Traffic() {
    if (stopped_) return;
    const std::string object = "seat-" + std::to_string(ticks_ % 5);
    const std::string id = NewId();
    Group& group = *groups_[static_cast<std::size_t>(ticks_) % groups_.size()];
    if (ticks_++ % 7 == 0) {
      Send({id, WriteText(id, "reserve", 5000, group.number(), object, ticks_), port_, 6 * kSecond},
           [](const Outcome&) {});
    } else {
      ++counts_.sent;
      Send({id, ReadText(id, "seat-browse", 3000, group.number(), object), port_, 4 * kSecond},
           [this, id, object, &group](const Outcome& outcome) { Judge(group, id, object, outcome); });
    }
    TheLoop().After(gap_, [this] { Traffic(); });
  }

  // The rule: the data from which a served read was answered is no older than the bound, counted from the
  // last byte of its statement at the data server. The data server reads at the end of its work, from the
  // position that it has then: the newest that it can have.
  void Judge(Group& group, const std::string& id, const std::string& object, const Outcome& outcome) {
    if (outcome.answer == Answer::kRefused) ++counts_.refused;
    if (outcome.answer != Answer::kServed && outcome.answer != Answer::kRefused) ++counts_.other;
    if (outcome.answer != Answer::kServed) return;
    ++counts_.served;
    const auto ran = group.runs.find(id);
    if (ran == group.runs.end()) return;
    const stage::Run& run = ran->second.back();
    const Us age = run.arrived - run.position;
    if (!run.primary) counts_.oldest = std::max(counts_.oldest, age);
    const bool broken = !run.primary && age > kBound + kSlack;
    if (!broken) return;
    ++counts_.broken;
    Record(
        "read %s of %s: sent by its client at %.1f, at %s from %.1f, served version %lld from data of %.1f, "
        "%.0f ms old BROKEN",
        id.c_str(), object.c_str(), RelativeMs(outcome.sent), run.server.c_str(), RelativeMs(run.arrived),
        static_cast<long long>(run.version), RelativeMs(run.position), static_cast<double>(age) / kMs);
  }

  std::string folder_ = TemporaryFolder();
  std::vector<std::unique_ptr<Group>> groups_;
  Discovery discovery_;
  int port_ = FreePort();
  std::string config_;
  Us gap_ = kUsualGap;
  int ticks_ = 0;
  bool stopped_ = false;
  Counts counts_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3 || std::strcmp(argv[1], "late-connections") != 0) return 2;
  std::signal(SIGPIPE, SIG_IGN);
  OpenRecord(argv[2]);
  Record("case %s, TROUBLE=%d", argv[1], Trouble() ? 1 : 0);
  return Case().Run();
}
