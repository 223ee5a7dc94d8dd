// The case of two processes with one name: what is read through the newer one while the older one answers
// writes.
//
//   duplicate same-name RECORD
#include <csignal>
#include <cstring>
#include <filesystem>
#include <random>

#include "stage.h"

using namespace stage;

namespace {

constexpr std::size_t kPoolers = 3;
constexpr int kSessions = 20;
constexpr Us kMeanGap =
    160 * kMs;  // from a write's answer to an own-read after it, exponentially distributed
constexpr int kReadsEach = 3;
constexpr std::size_t kSeedOf[] = {1, 0,
                                   1};  // the third has the settings of the first, but for its addresses

class Case {
 public:
  Case() {
    discovery_.Add(group_);
    for (std::size_t i = 0; i < group_.size(); ++i) group_.server(i).ship = 12 * kMs;
    WriteFile(folder_ + "/peers.key", "1 " + std::string(64, 'a') + "\n");
    for (std::size_t i = 0; i < kPoolers; ++i) {
      ports_[i] = FreePort();
      udp_[i] = FreePort(Kind::kUdp);
    }
    for (std::size_t i = 0; i < kPoolers; ++i) {
      // The third process is another pooler, or by mistake one with the name of the first.
      const std::string file = folder_ + "/p" + std::to_string(i + 1);
      const std::string name = i == 2 && Trouble() ? "n1" : "n" + std::to_string(i + 1);
      std::string settings = KeptSettings();
      const std::string one = "\"peers_total\":1";
      settings.replace(settings.find(one), one.size(), "\"peers_total\":3");
      poolers_.push_back(std::make_unique<Pooler>(
          name + (i == 2 ? "-third" : ""),
          WriteFile(file + ".json", PlatformConfig({name, ports_[i], discovery_.port(), settings})),
          WriteFile(file + ".toml", "[sessions]\nscope = \"everywhere\"\n[peers]\nlisten = " +
                                        Quoted(udp_[i]) + "\nseeds = [" + Quoted(udp_[kSeedOf[i]]) +
                                        "]\nkey_file = \"" + folder_ + "/peers.key\"\n")));
    }
  }
  ~Case() {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  int Run() {
    for (std::size_t i = 0; i < kPoolers; ++i) {
      if (i == 2) TheLoop().RunFor(1 * kSecond);
      poolers_[i]->Start();
      if (i != 0 && !AwaitReady(*poolers_[i], ports_[i], 20 * kSecond))
        return CannotRun("a pooler is not ready");
    }
    if (!AwaitReady(*poolers_[0], ports_[0], 20 * kSecond)) return CannotRun("a pooler is not ready");
    if (Trouble()) {
      const auto told = [this] {
        return poolers_[0]->log().find("duplicate instance name") != std::string::npos;
      };
      if (!TheLoop().RunUntil(told, 20 * kSecond)) return CannotRun("the older process has not noticed");
    }
    TheLoop().RunFor(35 * kSecond);  // recall_s: from now on the starts no longer matter
    for (int i = 0; i < kSessions; ++i) {
      TheLoop().After(i * 100 * kMs, [this, i] { Write("player-" + std::to_string(i), 1); });
    }
    TheLoop().RunFor(20 * kSecond);
    stopped_ = true;
    TheLoop().RunFor(3 * kSecond);
    Record(
        "writes answered by the first process: %d; own-reads through the third: served=%d refused=%d "
        "other=%d "
        "stale=%d",
        written_, served_, refused_, other_, broken_);
    std::printf("written=%d served=%d refused=%d other=%d stale=%d\n", written_, served_, refused_, other_,
                broken_);
    if (served_ + refused_ == 0 && written_ > 0) return CannotRun("no own-read was answered");
    return broken_ > 0 ? 1 : 0;
  }

 private:
  static std::string Quoted(int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; }
  static int CannotRun(const char* why) {
    Record("cannot run: %s", why);
    std::printf("cannot run: %s\n", why);
    return 2;
  }

  Us DrawGap() {
    return static_cast<Us>(std::exponential_distribution<double>(1)(random_) * static_cast<double>(kMeanGap));
  }

  // A session writes through the first process and reads through the third; then it writes again.
  void Write(const std::string& session, std::int64_t version) {
    if (stopped_) return;
    const std::string id = NewId();
    Send({id, WriteText(id, "match-write", 5000, 1, session, version), ports_[0], 6 * kSecond},
         [this, id, session, version](const Outcome& outcome) {
           Record("write %s session=%s version=%lld: %s %s", id.c_str(), session.c_str(),
                  static_cast<long long>(version), NameOf(outcome.answer), outcome.code.c_str());
           TheLoop().After(700 * kMs, [this, session, version] { Write(session, version + 1); });
           if (outcome.answer != Answer::kServed) return;
           ++written_;
           for (int i = 0; i < kReadsEach; ++i) {
             TheLoop().After(DrawGap(), [this, session, version, answered = outcome.ended] {
               Read(session, version, answered);
             });
           }
         });
  }

  void Read(const std::string& session, std::int64_t version, Us answered) {
    const std::string id = NewId();
    Send({id, ReadText(id, "own-read", 1200, 1, session), ports_[2], 2 * kSecond},
         [this, id, session, version, answered](const Outcome& outcome) {
           const std::int64_t seen = std::atoll(outcome.value.c_str());
           const bool stale = outcome.answer == Answer::kServed && seen < version;
           Record("read  %s session=%s: %s %s version=%lld answered=%lld write answered %.0f ms before%s",
                  id.c_str(), session.c_str(), NameOf(outcome.answer), outcome.code.c_str(),
                  static_cast<long long>(seen), static_cast<long long>(version),
                  static_cast<double>(outcome.sent - answered) / kMs, stale ? " BROKEN" : "");
           broken_ += stale ? 1 : 0;
           (outcome.answer == Answer::kServed    ? served_
            : outcome.answer == Answer::kRefused ? refused_
                                                 : other_) += 1;
         });
  }

  std::string folder_ = TemporaryFolder();
  Group group_{1, 3, {.reads_tell_position = true, .inline_reports = false, .report_period = 130 * kMs}};
  Discovery discovery_;
  int ports_[kPoolers] = {}, udp_[kPoolers] = {};
  std::vector<std::unique_ptr<Pooler>> poolers_;
  std::mt19937_64 random_{std::random_device{}()};
  bool stopped_ = false;
  int written_ = 0, served_ = 0, refused_ = 0, other_ = 0, broken_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3 || std::strcmp(argv[1], "same-name") != 0) return 2;
  std::signal(SIGPIPE, SIG_IGN);
  OpenRecord(argv[2]);
  Record("case %s, TROUBLE=%d", argv[1], Trouble() ? 1 : 0);
  return Case().Run();
}
