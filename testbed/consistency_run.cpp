#include "consistency_run.h"

#include <algorithm>
#include <array>
#include <boost/math/distributions/exponential.hpp>
#include <boost/math/distributions/lognormal.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <vector>

#include "client.h"
#include "data_servers.h"
#include "net/loop.h"
#include "pooler_process.h"
#include "relay.h"

namespace lynxgrade::testbed {
namespace {

constexpr Duration kMs{1000};
constexpr int kReadBudgetMs = 1200;
constexpr int kWriteBudgetMs = 5000;
constexpr int kRoundsPerSession = 3;  // a round is one write and the reads after it
constexpr int kReadsPerRound = 2;

// Counters of one scenario in one mode.
struct Tally {
  std::uint64_t sessions = 0, writes = 0, acked = 0, reads = 0, served = 0, stale = 0, rejected = 0,
                failed = 0, disconnected = 0, unanswered = 0, crashed = 0, lost_commits = 0, key_errors = 0;
  std::vector<double> read_ms;  // latencies of served reads

  double Percentile(double fraction) const {
    if (read_ms.empty()) return 0;
    std::vector<double> sorted = read_ms;
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(index), sorted.end());
    return sorted[index];
  }
};

struct Scenario {
  const char* name;
  bool persistent_state;  // the poolers keep their state on disk
  bool kill_pooler;
  bool fail_primaries;   // and kill the pooler during the failover
  bool rotate_keys;      // rotate the shared key in three steps, under load
  bool degrade_network;  // packet loss and jitter between the poolers; a partition, first full, then one-way
};

constexpr const char* kKeyFile = "peers.key";
const std::string kOldKey = "1 " + std::string(64, 'a') + "\n";
const std::string kNewKey = "2 " + std::string(64, 'b') + "\n";

constexpr Scenario kScenarios[] = {
    {"calm", true, false, false, false, false},         {"restart_disk", true, true, false, false, false},
    {"restart_bare", false, true, false, false, false}, {"promotion", true, true, true, false, false},
    {"rotation", false, false, false, true, false},     {"links", false, false, false, false, true},
};

// The replication of watermarks as configured, the directory without recall of leases, or no replication.
enum class Mode { kOn, kPlainDirectory, kOff };

// One scenario in one mode: the simulated data servers, two poolers and the sessions that use them.
class Run {
 public:
  Run(const SessionsOptions& options, const Scenario& scenario, Mode mode)
      : options_(options),
        scenario_(scenario),
        random_(options.seed),
        discovery_(loop_),
        session_timer_(loop_),
        fault_timer_(loop_),
        replication_on_(mode == Mode::kOn) {
    for (const std::int64_t number : {1, 2}) {
      groups_.push_back(std::make_unique<DataServers>(loop_, GroupId(number),
                                                      Group::Options{3, kMs * 25, kMs * 1500}, kMs * 2));
      discovery_.AddServers(*groups_.back());
    }
    const std::string key = folder_.Write(kKeyFile, kOldKey);
    const std::uint16_t udp[2] = {FreePort(true), FreePort(true)};
    if (scenario.degrade_network) {
      relay_ = std::make_unique<Relay>(loop_, 2, options.seed);
      relay_->SetDestinations({udp[0], udp[1]});
      relay_->loss_percent = 5;
      relay_->jitter = kMs * 10;
    }
    const auto advertised_port = [&](int i) { return relay_ != nullptr ? relay_->port(i) : udp[i]; };
    for (int i = 0; i < 2; ++i) {
      const std::string name = "n" + std::to_string(i + 1);
      ports_[i] = FreePort(false);
      std::string settings = "[sessions]\nscope = \"everywhere\"\nleast_failover_ms = 1000\nrecall_s = 10\n";
      settings += "[peers]\nlisten = \"127.0.0.1:" + std::to_string(udp[i]) +
                  "\"\nadvertise = \"127.0.0.1:" + std::to_string(advertised_port(i)) +
                  "\"\nseeds = [\"127.0.0.1:" + std::to_string(advertised_port(1 - i)) +
                  "\"]\nkey_file = \"" + key + "\"\n";
      settings +=
          "marks = \"" + options.watermarks + (mode == Mode::kPlainDirectory ? "-plain" : "") + "\"\n";
      // Half of all reads go to the other pooler, some hundreds per second: far more lookups than the default
      // budget would allow.
      settings += "asks_per_s = 10000\n";
      if (options.owner && i == 1) settings += "owner = true\n";
      if (scenario.persistent_state)
        settings += "[state]\nfolder = \"" + folder_.path() + "/state-" + name + "\"\n";
      PoolerProcess::Files files;
      files.program = options.pooler;
      files.config =
          folder_.Write(name + ".json", MakePlatformConfig(name, ports_[i], discovery_.port(), "off"));
      if (mode != Mode::kOff) files.settings = folder_.Write(name + ".toml", settings);
      files.log = folder_.path() + "/" + name + ".log";
      poolers_[i] = std::make_unique<PoolerProcess>(files);
      const std::string problem = poolers_[i]->Start();
      if (!problem.empty()) throw std::runtime_error("cannot start the pooler: " + problem);
    }
  }

  Tally Execute() {
    for (const std::uint16_t port : ports_) AwaitReady(port);
    StartNextSession();
    // At two fifths of the run, sessions of all ages are open.
    const double length_s = static_cast<double>(options_.sessions) / options_.per_s;
    fault_timer_.ScheduleAfter(Duration(static_cast<std::int64_t>(length_s * 0.4e6)),
                               [this] { InjectFaults(); });
    RunUntil([this] { return started_ == options_.sessions && open_sessions_ == 0; }, Duration(120'000'000));
    for (const auto& pooler : poolers_) tally_.crashed += pooler->Crashed();
    tally_.key_errors = CountKeyErrors();
    for (const auto& group : groups_) tally_.lost_commits += group->group().lost_commits();
    if (options_.keep_logs) std::printf("# logs of %s are in %s\n", scenario_.name, KeepLogs().c_str());
    return tally_;
  }

 private:
  struct Session {
    std::uint64_t number = 0;
    std::size_t group = 0;
    std::int64_t sent_version = 0;   // newest version sent
    std::int64_t acked_version = 0;  // newest version acknowledged
    TimePoint acked_at{};
    int rounds = 0, reads = 0;
  };

  std::string KeepLogs() {
    const std::string destination = folder_.path() + "-logs-" + scenario_.name;
    std::ignore = std::system(
        ("mkdir -p " + destination + " && cp " + folder_.path() + "/*.log " + destination).c_str());
    return destination;
  }

  double Uniform() { return std::uniform_real_distribution<double>(1e-9, 1 - 1e-9)(random_); }

  template <typename Distribution>
  Duration DrawDuration(const Distribution& seconds) {
    return Duration(static_cast<std::int64_t>(1e6 * boost::math::quantile(seconds, Uniform())));
  }

  void RunUntil(const std::function<bool()>& condition, Duration max_wait) {
    const TimePoint end = loop_.Now() + max_wait;
    net::Timer poll(loop_);
    std::function<void()> rearm = [&] { poll.ScheduleAfter(kMs * 5, rearm); };
    rearm();
    while (!condition() && loop_.Now() < end) g_main_context_iteration(nullptr, TRUE);
  }

  void AwaitReady(std::uint16_t port) {
    bool ready = false;
    const TimePoint end = loop_.Now() + Duration(20'000'000);
    while (!ready && loop_.Now() < end) {
      bool answered = false;
      SendRequest(port, "", 1000, [&](RequestResult result, const std::string&) {
        ready = result == RequestResult::kServed;
        answered = true;
      });
      RunUntil([&] { return answered; }, Duration(2'000'000));
      if (!ready) RunUntil([] { return false; }, kMs * 20);
    }
    if (!ready) throw std::runtime_error("a pooler did not become ready within 20 s");
  }

  void SendRequest(std::uint16_t port, const std::string& query, int budget_ms,
                   Client::ResultCallback on_result) {
    std::erase_if(clients_, [](const auto& client) { return client->finished(); });
    clients_.push_back(std::make_unique<Client>(loop_, port, query, budget_ms, std::move(on_result)));
  }

  void StartNextSession() {
    if (started_ == options_.sessions) return;
    ++started_;
    ++open_sessions_;
    auto session = std::make_shared<Session>();
    session->number = started_;
    session->group = random_() % groups_.size();
    SendWrite(session);
    session_timer_.ScheduleAfter(DrawDuration(boost::math::exponential_distribution<double>(options_.per_s)),
                                 [this] { StartNextSession(); });
  }

  // Half of the reads go to another pooler than the write before them, which is the case under test.
  std::uint16_t RandomPoolerPort() { return ports_[Uniform() < 0.5 ? 0 : 1]; }

  std::string NextComment(const Session& session, const char* cls, int budget_ms) {
    return RequestComment(++last_id_, cls, budget_ms,
                          static_cast<std::int64_t>(groups_[session.group]->number()));
  }

  void ScheduleCall(Duration delay, std::function<void()> call) {
    loop_.Schedule(loop_.Now() + delay, std::move(call));
  }

  void SendWrite(const std::shared_ptr<Session>& session) {
    if (session->rounds++ == kRoundsPerSession) {
      --open_sessions_;
      ++tally_.sessions;
      return;
    }
    const std::int64_t version = ++session->sent_version;
    ++tally_.writes;
    const std::string query =
        NextComment(*session, "match-write", kWriteBudgetMs) +
        WriteStatement("p" + std::to_string(session->number), static_cast<std::uint64_t>(version));
    SendRequest(RandomPoolerPort(), query, kWriteBudgetMs,
                [this, session, version](RequestResult result, const std::string&) {
                  if (result == RequestResult::kServed) {
                    session->acked_version = version;
                    session->acked_at = loop_.Now();
                    ++tally_.acked;
                  }
                  CountFailure(result);
                  session->reads = 0;
                  SendRead(session);
                });
  }

  void SendRead(const std::shared_ptr<Session>& session) {
    // Mostly 150 to 600 ms; one read in five follows after 1 ms, the hardest case.
    const Duration pause =
        Uniform() < 0.2 ? kMs : DrawDuration(boost::math::lognormal_distribution<double>(-1.2, 0.7));
    ScheduleCall(pause, [this, session] {
      const std::int64_t required = session->acked_version;
      const TimePoint sent_at = loop_.Now();
      ++tally_.reads;
      const std::string query = NextComment(*session, "own-read", kReadBudgetMs) +
                                ReadStatement("p" + std::to_string(session->number));
      SendRequest(RandomPoolerPort(), query, kReadBudgetMs,
                  [this, session, required, sent_at](RequestResult result, const std::string& value) {
                    if (result == RequestResult::kServed) {
                      ++tally_.served;
                      tally_.read_ms.push_back(static_cast<double>((loop_.Now() - sent_at).count()) / 1000);
                      if (std::atoll(value.c_str()) < required) {
                        ++tally_.stale;
                        if (replication_on_) ReportStaleRead(*session, required, sent_at, value);
                      }
                    } else if (result == RequestResult::kRejected) {
                      ++tally_.rejected;
                    }
                    CountFailure(result);
                    if (++session->reads < kReadsPerRound) return SendRead(session);
                    SendWrite(session);
                  });
    });
  }

  // Prints what is needed to find the cause of a stale read in the poolers' logs.
  void ReportStaleRead(const Session& session, std::int64_t required, TimePoint sent_at,
                       const std::string& value) {
    std::fprintf(stderr,
                 "stale read: scenario=%s session=p%llu group=%zu read_sent_ms=%lld version_read=%s "
                 "version_acknowledged=%lld acknowledged_ms=%lld faults_injected_ms=%lld\n",
                 scenario_.name, static_cast<unsigned long long>(session.number), session.group + 1,
                 static_cast<long long>(sent_at.time_since_epoch().count() / 1000), value.c_str(),
                 static_cast<long long>(required),
                 static_cast<long long>(session.acked_at.time_since_epoch().count() / 1000),
                 static_cast<long long>(faults_injected_at_.time_since_epoch().count() / 1000));
  }

  void CountFailure(RequestResult result) {
    tally_.failed += result == RequestResult::kFailed;
    tally_.disconnected += result == RequestResult::kDisconnected;
    tally_.unanswered += result == RequestResult::kTimedOut;
  }

  // As documented for operators: all instances know the new key before one signs with it.
  void RotateKeys() {
    Duration delay{0};
    for (const std::string& keys : {kOldKey + kNewKey, kNewKey + kOldKey, kNewKey}) {
      ScheduleCall(delay, [this, keys] {
        folder_.Write(kKeyFile, keys);
        for (const auto& pooler : poolers_) pooler->Signal(SIGHUP);
      });
      delay += kMs * 700;
    }
  }

  // Counts the log lines of the poolers that report a rejected datagram or a failed reload of the keys.
  // Matches the former and the present texts, so that runs with an older build of the pooler count alike.
  std::uint64_t CountKeyErrors() const {
    static constexpr std::array kErrorTexts = {"is dropped", "peers: datagram rejected", "the old keys stay",
                                               "peers: reload of keys failed"};
    std::uint64_t count = 0;
    for (const char* name : {"/n1.log", "/n2.log"}) {
      std::ifstream log(folder_.path() + name);
      for (std::string line; std::getline(log, line);) {
        count += std::ranges::any_of(kErrorTexts,
                                     [&](const char* text) { return line.find(text) != std::string::npos; });
      }
    }
    return count;
  }

  void InjectFaults() {
    faults_injected_at_ = loop_.Now();
    if (scenario_.rotate_keys && replication_on_) RotateKeys();
    if (scenario_.degrade_network) {
      relay_->blocked_links = {{0, 1}, {1, 0}};
      ScheduleCall(kMs * 2500, [this] { relay_->blocked_links = {{0, 1}}; });
      ScheduleCall(kMs * 3500, [this] { relay_->blocked_links.clear(); });
    }
    if (scenario_.fail_primaries) {
      for (const auto& group : groups_) {
        const auto primary = group->group().primary();
        if (!primary) continue;
        group->Kill(*primary);
        ScheduleCall(kMs * 6000, [&group, primary] { group->Restart(*primary); });
      }
      ScheduleCall(kMs * 700, [this] { KillPooler(); });
    } else if (scenario_.kill_pooler) {
      KillPooler();
    }
  }

  void KillPooler() {
    poolers_[0]->Stop(SIGKILL);
    ScheduleCall(kMs * 300, [this] {
      if (!poolers_[0]->Start().empty()) ++tally_.crashed;
    });
  }

  SessionsOptions options_;
  Scenario scenario_;
  std::mt19937_64 random_;
  net::Loop loop_;
  std::unique_ptr<Relay> relay_;
  TemporaryFolder folder_;
  DiscoveryServer discovery_;
  std::vector<std::unique_ptr<DataServers>> groups_;
  std::uint16_t ports_[2] = {0, 0};
  std::unique_ptr<PoolerProcess> poolers_[2];
  std::list<std::unique_ptr<Client>> clients_;
  net::Timer session_timer_, fault_timer_;
  TimePoint faults_injected_at_{};
  bool replication_on_;
  std::size_t started_ = 0, open_sessions_ = 0;
  std::uint64_t last_id_ = 0;
  Tally tally_;
};

}  // namespace

int RunSessions(const SessionsOptions& options) {
  nlohmann::json figures;
  const auto print = [&](const std::string& name, double value) {
    std::printf("%s %.6g\n", name.c_str(), value);
    std::fflush(stdout);
    figures[name] = value;
  };
  std::uint64_t stale = 0, stale_off = 0, unanswered = 0, sessions = 0, reads = 0, rejected = 0, crashed = 0,
                dropped = 0, stale_plain = 0;
  const bool directory = options.watermarks == "directory";
  double max_added_p99 = 0;
  for (const Scenario& scenario : kScenarios) {
    if (!options.only.empty() && options.only != scenario.name) continue;
    const Tally on = Run(options, scenario, Mode::kOn).Execute();
    const Tally off = Run(options, scenario, Mode::kOff).Execute();
    const std::string suffix = std::string("_") + scenario.name;
    if (directory) {
      const Tally plain = Run(options, scenario, Mode::kPlainDirectory).Execute();
      print("stale_part" + suffix, static_cast<double>(plain.stale));
      stale_plain += plain.stale;
      crashed += plain.crashed;
    }
    const double added_p99 = on.Percentile(0.99) - off.Percentile(0.99);
    print("sessions" + suffix, static_cast<double>(on.sessions));
    print("writes_answered" + suffix, static_cast<double>(on.acked));
    print("reads" + suffix, static_cast<double>(on.reads));
    print("served" + suffix, static_cast<double>(on.served));
    print("stale" + suffix, static_cast<double>(on.stale));
    print("stale_off" + suffix, static_cast<double>(off.stale));
    print("refused_share" + suffix,
          static_cast<double>(on.rejected) / static_cast<double>(std::max<std::uint64_t>(1, on.reads)));
    print("refused_share_off" + suffix,
          static_cast<double>(off.rejected) / static_cast<double>(std::max<std::uint64_t>(1, off.reads)));
    print("added_wait_p50_ms" + suffix, on.Percentile(0.5) - off.Percentile(0.5));
    print("added_wait_p99_ms" + suffix, added_p99);
    print("unanswered" + suffix, static_cast<double>(on.unanswered));
    print("broken" + suffix, static_cast<double>(on.disconnected));
    print("commits_lost" + suffix, static_cast<double>(on.lost_commits));
    if (scenario.rotate_keys) {
      print("datagrams_dropped" + suffix, static_cast<double>(on.key_errors));
      dropped += on.key_errors;
    }
    sessions += on.sessions;
    reads += on.reads;
    rejected += on.rejected;
    stale += on.stale;
    stale_off += off.stale;
    unanswered += on.unanswered + off.unanswered;
    crashed += on.crashed + off.crashed;
    max_added_p99 = std::max(max_added_p99, added_p99);
  }
  print("sessions", static_cast<double>(sessions));
  print("stale", static_cast<double>(stale));
  print("stale_off", static_cast<double>(stale_off));
  if (directory) print("stale_part", static_cast<double>(stale_plain));
  print("refused_share",
        static_cast<double>(rejected) / static_cast<double>(std::max<std::uint64_t>(1, reads)));
  print("added_wait_p99_ms", max_added_p99);
  print("unanswered", static_cast<double>(unanswered));
  print("crashed", static_cast<double>(crashed));
  if (!options.json.empty()) std::ofstream(options.json) << figures.dump(2) << "\n";
  // During a key rotation no instance may receive a datagram signed with a key that it does not know.
  if (stale > 0 || unanswered > 0 || crashed > 0 || dropped > 0) return 1;
  if (directory && stale_plain == 0) {
    std::fprintf(stderr,
                 "lynxgrade-testbed: no stale read was seen without recall of leases, so the run proves "
                 "nothing\n");
    return 1;
  }
  if (stale_off == 0) {
    std::fprintf(
        stderr,
        "lynxgrade-testbed: no stale read was seen with the replication off, so the run proves nothing\n");
    return 1;
  }
  return 0;
}

}  // namespace lynxgrade::testbed
