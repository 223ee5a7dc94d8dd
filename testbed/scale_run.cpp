#include "scale_run.h"

#include <fcntl.h>
#include <gio/gunixinputstream.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <stdexcept>
#include <thread>

#include "admin/admin_client.h"
#include "client.h"
#include "data_servers.h"
#include "group.h"
#include "net/loop.h"
#include "net/poller.h"
#include "pooler_process.h"
#include "replication/traffic.h"
#include "scale_host.h"

namespace lynxgrade::testbed {
namespace {

using Json = nlohmann::json;

constexpr Duration kSecond{1'000'000};
constexpr Duration kAnswerWithin{20'000'000};  // a host's; for one that never will, not a measure of speed
constexpr Duration kAhead{300'000};  // orders that all hosts are to follow at one time come so long before
constexpr Duration kFailover{1'500'000}, kReturnAfter{4'000'000};
constexpr Duration kClientsEvery{5000};
constexpr int kMembersAGroup = 3;
constexpr int kSpareNames = 16;        // for those that replace others
constexpr int kFirstEndpoint = 20000;  // of databases that nobody connects to
// The budgets of a pooler for control: bytes a second in and out, part of a core, memory.
constexpr double kBytesBudget = 12000, kCpuBudget = 0.024, kMemoryBudgetMb = 256;

Machine ThisMachine() {
  Machine machine;
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) machine.descriptors = limit.rlim_cur;
  machine.cores = std::thread::hardware_concurrency();
  std::ifstream file("/proc/meminfo");
  std::string name, unit;
  for (std::size_t kb = 0; file >> name >> kb; std::getline(file, unit)) {
    if (name == "MemAvailable:") machine.memory_mb = kb / 1024;
  }
  return machine;
}

// Ports that are free at one moment: all are held while the others are drawn.
std::vector<int> FreePorts(int count, bool udp) {
  std::vector<int> held, ports;
  for (int i = 0; i < count; ++i) {
    const int fd = socket(AF_INET, (udp ? SOCK_DGRAM : SOCK_STREAM) | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    held.push_back(fd);
    if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      throw std::runtime_error("no free port to be had");
    }
    ports.push_back(ntohs(address.sin_port));
  }
  for (const int fd : held) close(fd);
  return ports;
}

// What a process has spent, in seconds, by the kernel's own account.
double CpuOf(int process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/schedstat");
  double ns = 0;
  file >> ns;
  return ns * 1e-9;
}

double MemoryMbOf(int process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/statm");
  double all = 0, resident = 0;
  file >> all >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

// One process of hollow poolers, and the lines between it and this one.
class HostProcess final : private net::Poller::Handler {
 public:
  HostProcess(net::Loop& loop, const std::string& spec_file, int number) : loop_(loop) {
    const std::string program = std::filesystem::read_symlink("/proc/self/exe").string();
    const std::string self = std::to_string(number);
    const std::array<const char*, 5> words = {program.c_str(), "hollow-host", spec_file.c_str(), self.c_str(),
                                              nullptr};
    net::ErrorSlot error;
    process_.reset(g_subprocess_newv(
        words.data(), GSubprocessFlags(G_SUBPROCESS_FLAGS_STDIN_PIPE | G_SUBPROCESS_FLAGS_STDOUT_PIPE),
        error.out()));
    if (process_ == nullptr)
      throw std::runtime_error(std::string("a host cannot be started: ") + error.message());
    id_ = std::atoi(g_subprocess_get_identifier(process_.get()));
    descriptor_ =
        g_unix_input_stream_get_fd(G_UNIX_INPUT_STREAM(g_subprocess_get_stdout_pipe(process_.get())));
    fcntl(descriptor_, F_SETFL, O_NONBLOCK);
    loop_.poller().Add(descriptor_, EPOLLIN, *this);
  }
  ~HostProcess() {
    if (watched_) loop_.poller().Remove(descriptor_);
    if (g_subprocess_get_identifier(process_.get()) != nullptr) g_subprocess_force_exit(process_.get());
    g_subprocess_wait(process_.get(), nullptr, nullptr);
  }
  HostProcess(const HostProcess&) = delete;
  HostProcess& operator=(const HostProcess&) = delete;

  void Say(const Json& order) {
    const std::string line = order.dump() + "\n";
    g_output_stream_write_all(g_subprocess_get_stdin_pipe(process_.get()), line.data(), line.size(), nullptr,
                              nullptr, nullptr);
  }
  // The next answer, once.
  std::optional<Json> Take() {
    const std::size_t end = text_.find('\n');
    if (end == std::string::npos) return std::nullopt;
    Json answer = Json::parse(text_.substr(0, end));
    text_.erase(0, end + 1);
    return answer;
  }
  // Waits for its end, once it has been told to; whether that was a good one.
  bool EndedWell() {
    g_subprocess_wait(process_.get(), nullptr, nullptr);
    return g_subprocess_get_successful(process_.get()) != FALSE;
  }
  int id() const { return id_; }
  bool over() const { return over_; }

 private:
  void OnEvents(std::uint32_t) override {
    char buffer[16384];
    ssize_t size = 0;
    while ((size = read(descriptor_, buffer, sizeof buffer)) > 0)
      text_.append(buffer, static_cast<std::size_t>(size));
    if (size != 0) return;
    over_ = true;
    watched_ = false;
    loop_.poller().Remove(descriptor_);
  }

  net::Loop& loop_;
  net::ObjectPtr<GSubprocess> process_;
  int id_ = 0, descriptor_ = -1;
  bool over_ = false, watched_ = true;
  std::string text_;
};

// What all hollow or all real poolers had done by one moment.
struct Sum {
  std::map<std::string, double> of;
  double at = 0;
  double operator[](const std::string& name) const {
    const auto it = of.find(name);
    return it == of.end() ? 0 : it->second;
  }
};

void AddTraffic(Sum& sum, const std::string& kind, const std::array<double, 4>& counts) {
  static constexpr std::array kNames = {"_packets_out", "_bytes_out", "_packets_in", "_bytes_in"};
  static constexpr std::array kTotals = {"packets_out", "bytes_out", "packets_in", "bytes_in"};
  for (std::size_t i = 0; i < counts.size(); ++i) {
    sum.of[kind + kNames[i]] += counts[i];
    sum.of[kTotals[i]] += counts[i];
  }
}

class ScaleRun {
 public:
  // Prints nothing.
  void Quietly() { quiet_ = true; }
  double Figure(const std::string& name) const {
    const auto found = figures_.find(name);
    return found == figures_.end() ? 0 : found->second;
  }
  explicit ScaleRun(const ScaleOptions& options)
      : options_(options), random_(options.seed), changes_(loop_), asks_(loop_) {
    for (int left = options.databases; left > 0; left -= kMembersAGroup) {
      spec_.groups.push_back(std::min(left, kMembersAGroup));
    }
    spec_.folder = folder_.path();
    spec_.scope = options.scope;
    spec_.watermarks = options.watermarks;
    spec_.poolers = options.poolers;
    spec_.real = options.real;
    spec_.alone = options.alone;
    spec_.owners = options.owners;
    spec_.hosts = HostsFor(options);
    spec_.seed = options.seed;
    spec_.udp = FreePorts(options.poolers + kSpareNames, true);
    spec_.statements_per_s = options.statements_per_s;
    spec_.writes_share = options.writes_share;
    spec_.own_reads_share = OwnReadsShare(options);
    spec_.bytes_per_s = options.bytes_per_s;
    spec_.coalesce_ms = options.coalesce_ms;
    spec_.roam_share = options.roam_share;
    ListDatabases();
    spec_.discovery = agent_.port();
    folder_.Write("key", "1 " + std::string(64, 'a') + "\n");
    const std::size_t sessions = static_cast<std::size_t>(options.poolers) * kSessionsEach;
    folder_.Write(kSessionsFile + 1, std::string(sessions * sizeof(std::uint64_t), '\0'));
    for (int i = 0; i < options.poolers; ++i) alive_.insert(i);
  }

  int Play() {
    const auto steps = StepsOf(options_, static_cast<int>(spec_.groups.size()));
    StartAll();
    const bool met = Until([this] { return Met(); }, kSecond * options_.settle_s);
    Tell("met", met);
    Tell("met_after_s", SecondsSince(began_));
    if (HasLoad(options_.script)) {
      All({{"do", "load"}});
      LoadReal(loop_.Now());
    }
    const TimePoint met_at = loop_.Now();
    const Duration news = NewsOfMeeting(options_);
    Pass(options_.warm_s < 0 ? news : kSecond * options_.warm_s);
    Tell("warmed_s", SecondsSince(met_at));
    // Then what is measured holds the telling of it too: more than such a fleet costs.
    Tell("news_under_way", loop_.Now() - met_at < news);
    if (ChangesPerS(options_) > 0) Change();
    for (const Step& step : steps) {
      loop_.Schedule(loop_.Now() + step.at, [this, step] { Do(step); });
    }
    const Sum hollow_from = SimulatedPooler(), real_from = Real();
    const double calls = static_cast<double>(Calls()), told = static_cast<double>(Told());
    Sum last = hollow_from;
    const TimePoint end = loop_.Now() + kSecond * options_.seconds;
    while (loop_.Now() < end) {
      Pass(std::min(kSecond, end - loop_.Now()));
      const Sum now = SimulatedPooler();
      Peak(last, now);
      last = now;
    }
    const Sum hollow = last, real = Real();
    Figures(hollow_from, hollow, real_from, real, calls, told);
    End();
    int crashed = 0;
    for (const auto& host : hosts_) crashed += !host->EndedWell();
    for (const auto& process : real_) crashed += process->Crashed();
    Tell("crashed", crashed);
    Print();
    return crashed > 0 || !met || figures_["stale"] > 0 ? 1 : 0;
  }

 private:
  double SecondsSince(TimePoint from) const {
    return static_cast<double>((loop_.Now() - from).count()) * 1e-6;
  }
  void Tell(const std::string& name, double value) { figures_[name] = value; }

  std::string Entry(std::size_t database, const std::string& uid) const {
    return Json{{"uid", uid},
                {"endpoint", "127.0.0.1:" + std::to_string(spec_.endpoints[database])},
                {"az", "a"},
                {"model", "m1"},
                {"pod_group", static_cast<std::int64_t>(database / kMembersAGroup) + 1},
                {"state", "Ready"},
                {"capacity_hint", 1.0},
                {"boot_ms", 0}}
        .dump();
  }

  // Real data servers where real poolers would connect; else names alone.
  void ListDatabases() {
    const Group::Options as{kMembersAGroup, Duration(8000), kFailover};
    for (std::size_t group = 0; group < spec_.groups.size(); ++group) {
      const auto members = static_cast<std::size_t>(spec_.groups[group]);
      Group::Options of = as;
      of.members = members;
      if (options_.real > 0) {
        servers_.push_back(std::make_unique<DataServers>(loop_, GroupId(static_cast<std::int64_t>(group) + 1),
                                                         of, Duration(2000)));
      } else {
        bare_.push_back(std::make_unique<Group>(of, loop_.Now()));
      }
      for (std::size_t i = 0; i < members; ++i) {
        spec_.endpoints.push_back(options_.real > 0 ? servers_.back()->port(i)
                                                    : kFirstEndpoint + static_cast<int>(uids_.size()));
        uids_.push_back("s-" + std::to_string(group + 1) + "-" + std::to_string(i));
        for (Agent* agent : {&agent_, &second_})
          agent->List(uids_.back(), Entry(uids_.size() - 1, uids_.back()));
      }
    }
  }
  Group& GroupOf(std::size_t group) { return options_.real > 0 ? servers_[group]->group() : *bare_[group]; }

  void StartAll() {
    began_ = loop_.Now();
    const std::string file = folder_.Write("spec.json", Json(spec_).dump());
    std::vector<int> all(alive_.begin(), alive_.end());
    const std::vector<int> tcp = FreePorts(options_.real * 2, false);
    for (int i = 0; i < options_.real; ++i) {
      control_.push_back(tcp[static_cast<std::size_t>(2 * i + 1)]);
      ports_.push_back(tcp[static_cast<std::size_t>(2 * i)]);
      const std::string name = "real" + std::to_string(i);
      PoolerProcess::Files files;
      files.program = options_.pooler;
      files.config = folder_.Write(name + ".json", ScaleConfigOf(spec_, i, ports_.back()));
      files.settings = folder_.Write(name + ".toml", ScaleSettingsOf(spec_, i, all, control_.back()));
      files.log = folder_.path() + "/" + name + ".log";
      real_.push_back(std::make_unique<PoolerProcess>(files));
      const std::string fault = real_.back()->Start();
      if (!fault.empty()) throw std::runtime_error("a pooler cannot be started: " + fault);
    }
    for (int i = 0; i < spec_.processes(); ++i)
      hosts_.push_back(std::make_unique<HostProcess>(loop_, file, i));
  }

  void Pass(Duration time) {
    if (time <= Duration{0}) return;
    net::Timer end(loop_);
    end.ScheduleAfter(time, [this] { loop_.Stop(); });
    loop_.Run();
  }
  bool Until(const std::function<bool()>& holds, Duration most) {
    const TimePoint end = loop_.Now() + most;
    while (!holds()) {
      if (loop_.Now() >= end) return false;
      Pass(kSecond / 2);
    }
    return true;
  }
  void All(const Json& order) {
    for (const auto& host : hosts_) host->Say(order);
  }

  // Asks all hosts at one moment.
  std::vector<Json> Answers(const char* question) {
    All({{"do", question}});
    std::vector<Json> answers;
    const TimePoint end = loop_.Now() + kAnswerWithin;
    net::Timer look(loop_);
    std::function<void()> again = [&] { look.ScheduleAfter(Duration(2000), again); };
    again();
    for (const auto& host : hosts_) {
      std::optional<Json> answer;
      while (!(answer = host->Take()) && !host->over() && loop_.Now() < end) {
        g_main_context_iteration(nullptr, TRUE);
      }
      if (!answer) throw std::runtime_error("a process of hollow poolers has ended, or answers no more");
      answers.push_back(std::move(*answer));
    }
    return answers;
  }

  bool Met() {
    int met = 0;
    for (const Json& of : Answers("status")) {
      if (of.at("starting") > 0 || of.at("listed") != of.at("hollow")) return false;
      for (const auto& [name, reached] : of.at("reached").get<std::map<int, int>>())
        met += reached == options_.poolers;
    }
    if (met != options_.poolers - options_.real) return false;
    return std::ranges::all_of(control_, [&](int port) {
      const auto said = admin::SendQuery({"127.0.0.1", static_cast<std::uint16_t>(port)}, "peers");
      if (!said) return false;
      const Json peers = Json::parse(*said).at("peers");
      return std::ranges::count_if(peers, [](const Json& one) { return one.at("state") == "alive"; }) + 1 ==
             options_.poolers;
    });
  }

  Sum SimulatedPooler() {
    Sum sum;
    const auto answers = Answers("status");
    sum.at = SecondsSince(began_);
    for (std::size_t i = 0; i < answers.size(); ++i) {
      const Json& of = answers[i];
      const double n = of.at("hollow").get<double>();
      // Those set aside have no load, and another budget: what they do is nobody's mean.
      const int process = static_cast<int>(i);
      if (process >= spec_.alone && process < spec_.alone + spec_.owners) {
        sum.of["owners"] += n;
        sum.of["owner_cpu_s"] += CpuOf(hosts_[i]->id());
        sum.of["owner_exchange_s"] += of.at("exchange_us").get<double>() * 1e-6;
        sum.of["owner_memory_mb"] += n > 0 ? MemoryMbOf(hosts_[i]->id()) : 0;
        for (const auto& [kind, counts] : of.at("traffic").items()) {
          sum.of["owner_bytes"] += counts[1].get<double>() + counts[3].get<double>();
        }
        continue;
      }
      for (const char* name :
           {"hollow", "statements", "writes", "own_reads", "stale", "refused", "failed", "asked", "probes",
            "session_reads", "marked", "floored", "turned", "module_us", "apart_us", "peers_us"}) {
        sum.of[name] += of.at(name).get<double>();
      }
      for (const auto& [kind, counts] : of.at("traffic").items()) {
        AddTraffic(sum, kind, counts.get<std::array<double, 4>>());
      }
      for (const auto& [name, reached] : of.at("reached").get<std::map<int, int>>())
        sum.of["reached"] += reached;
      if (n > 1) sum.of["memory_mb"] += of.at("memory_kb_each").get<double>() / 1024 * n;
      if (n > 1) sum.of["memory_of"] += n;
      sum.of["descriptors"] += of.at("descriptors_each").get<double>() * n;
      // Of many in one process a turn of the loop serves several: less than each spends by itself.
      const bool alone = process < spec_.alone;
      const double us = of.at("module_us").get<double>() + of.at("apart_us").get<double>();
      const double spent = CpuOf(hosts_[i]->id()) - us * 1e-6;
      sum.of[alone ? "alone_cpu_s" : "crowd_cpu_s"] += spent;
      if (alone || spec_.alone == 0) {
        sum.of["cpu_s"] += spent;
        sum.of["exchange_s"] += of.at("exchange_us").get<double>() * 1e-6;
        sum.of["cpu_of"] += n;
      } else {
        sum.of["crowd"] += n;
      }
    }
    return sum;
  }

  Sum Real() {
    Sum sum;
    sum.at = SecondsSince(began_);
    sum.of["asked"] = static_cast<double>(asked_);
    sum.of["served"] = static_cast<double>(served_);
    for (std::size_t i = 0; i < real_.size(); ++i) {
      const auto said = admin::SendQuery({"127.0.0.1", static_cast<std::uint16_t>(control_[i])}, "peers");
      if (said) {
        const Json peers = Json::parse(*said);
        sum.of["exchange_s"] += peers.at("spent_s").get<double>();
        const Json& traffic = peers.at("traffic");
        for (const auto& [kind, counts] : traffic.items()) {
          AddTraffic(sum, kind,
                     {counts.at("packets_out"), counts.at("bytes_out"), counts.at("packets_in"),
                      counts.at("bytes_in")});
        }
      }
      const int id = real_[i]->number();
      sum.of["cpu_s"] += CpuOf(id);
      sum.of["memory_mb"] += MemoryMbOf(id);
      const std::filesystem::directory_iterator open("/proc/" + std::to_string(id) + "/fd");
      sum.of["descriptors"] += static_cast<double>(std::distance(begin(open), end(open)));
    }
    return sum;
  }

  // The mean of all poolers in the worst second.
  void Peak(const Sum& from, const Sum& to) {
    const double each = std::max(1.0, to["hollow"]) * (to.at - from.at);
    for (const char* name :
         {"membership_bytes_out", "membership_bytes_in", "marks_bytes_out", "marks_bytes_in"}) {
      double& peak = figures_[std::string(name) + "_per_s_peak"];
      peak = std::max(peak, (to[name] - from[name]) / each);
    }
    double& bytes = figures_["control_bytes_per_s_peak"];
    bytes = std::max(bytes, (to["bytes_out"] + to["bytes_in"] - from["bytes_out"] - from["bytes_in"]) / each);
    double& cpu = figures_["control_cpu_share_peak"];
    cpu = std::max(cpu, ControlCpu(from, to));
    if (spec_.owners > 0) {
      double& owner_bytes = figures_["owner_bytes_per_s_peak"];
      owner_bytes = std::max(owner_bytes, OfOwner("owner_bytes", from, to));
      double& owner_cpu = figures_["owner_cpu_share_peak"];
      owner_cpu = std::max(owner_cpu, OfOwner("owner_cpu_s", from, to));
    }
    if (to["hollow"] > 0) {
      double& least = figures_["in_reach_least"];
      const double reached = to["reached"] / to["hollow"];
      least = least == 0 ? reached : std::min(least, reached);
    }
  }

  // Of one, by those in processes of their own; less the module's work for statements, and the stand-ins.
  static double ControlCpu(const Sum& from, const Sum& to) {
    return (to["cpu_s"] - from["cpu_s"]) / std::max(1.0, to["cpu_of"]) / (to.at - from.at);
  }

  // The mean of those set aside, a second.
  static double OfOwner(const char* name, const Sum& from, const Sum& to) {
    return (to[name] - from[name]) / std::max(1.0, to["owners"]) / (to.at - from.at);
  }

  std::uint64_t Calls() const { return agent_.calls() + second_.calls(); }
  std::uint64_t Told() const { return agent_.bytes() + second_.bytes(); }

  void Figures(const Sum& from, const Sum& to, const Sum& real_from, const Sum& real, double calls,
               double told) {
    const double seconds = to.at - from.at, n = (from["hollow"] + to["hollow"]) / 2, each = n * seconds;
    const auto rate = [&](const std::string& name) { return (to[name] - from[name]) / each; };
    Tell("poolers", options_.poolers);
    Tell("databases", options_.databases);
    Tell("real", options_.real);
    Tell("processes", spec_.processes());
    Tell("measured_s", seconds);
    for (const char* kind : replication::kTrafficKindNames) {
      for (const char* way : {"_bytes_out", "_bytes_in"})
        Tell(std::string(kind) + way + "_per_s", rate(kind + std::string(way)));
    }
    Tell("packets_out_per_s", rate("packets_out"));
    Tell("packets_in_per_s", rate("packets_in"));
    const double by_discovery = (static_cast<double>(Told()) - told) / (options_.poolers * seconds);
    Tell("discovery_bytes_in_per_s", by_discovery);
    Tell("calls_per_s_at_discovery", (static_cast<double>(Calls()) - calls) / seconds);
    Tell("bytes_out_per_s_at_discovery", by_discovery * options_.poolers);
    const double bytes = rate("bytes_out") + rate("bytes_in") + by_discovery, cpu = ControlCpu(from, to);
    Tell("control_bytes_per_s", bytes);
    Tell("control_cpu_share", cpu);
    Tell("cpu_share", cpu);
    // By the exchange's own account: with a load the rest of the process serves statements as well.
    const double exchange =
        (to["exchange_s"] - from["exchange_s"]) / std::max(1.0, to["cpu_of"]) / (to.at - from.at);
    Tell("exchange_cpu_share", exchange);
    if (to["crowd"] > 0) {
      Tell("crowd_cpu_share", (to["crowd_cpu_s"] - from["crowd_cpu_s"]) / to["crowd"] / seconds);
    }
    Tell("control_memory_mb", to["memory_mb"] / std::max(1.0, to["memory_of"]));
    Tell("memory_mb", figures_["control_memory_mb"]);
    Tell("descriptors", to["descriptors"] / std::max(1.0, to["hollow"]));
    const double statements = to["statements"] - from["statements"];
    Tell("statements", statements);
    Tell("writes", to["writes"] - from["writes"]);
    Tell("writes_per_s_in_fleet", (to["writes"] - from["writes"]) / seconds);
    Tell("statements_answered_per_s", rate("statements"));
    Tell("own_reads", to["own_reads"] - from["own_reads"]);
    Tell("refused", to["refused"] - from["refused"]);
    Tell("failed", to["failed"] - from["failed"]);
    Tell("floored", to["floored"] - from["floored"]);
    // Of the reads of sessions, those whose target is the conservative one.
    const double reads = to["session_reads"] - from["session_reads"];
    Tell("conservative_share", reads > 0 ? (to["floored"] - from["floored"]) / reads : 0);
    Tell("turned_away", to["turned"] - from["turned"]);
    Tell("module_cpu_us_per_statement",
         statements > 0 ? (to["module_us"] - from["module_us"]) / statements : 0);
    Tell("probes_per_s", rate("probes"));
    Tell("database_connections_asked_per_s", rate("asked"));
    Tell("stale", to["stale"]);
    Tell("compressed", ScriptCompressed(options_, static_cast<int>(spec_.groups.size())));
    Tell("compressed_list", ListCompressed(options_));
    Tell("in_reach", to["hollow"] > 0 ? to["reached"] / to["hollow"] : 0);
    if (spec_.owners > 0) {
      Tell("owners", spec_.owners);
      Tell("owner_bytes_per_s", OfOwner("owner_bytes", from, to) + by_discovery);
      Tell("owner_cpu_share", OfOwner("owner_cpu_s", from, to));
      Tell("owner_exchange_cpu_share", OfOwner("owner_exchange_s", from, to));
      Tell("owner_memory_mb", to["owner_memory_mb"] / std::max(1.0, to["owners"]));
    }
    if (!real_.empty()) {
      const double of = static_cast<double>(real_.size()) * (real.at - real_from.at);
      const double real_bytes =
          (real["bytes_out"] + real["bytes_in"] - real_from["bytes_out"] - real_from["bytes_in"]) / of;
      const double real_cpu = (real["cpu_s"] - real_from["cpu_s"]) / of;
      Tell("real_bytes_per_s", real_bytes);
      Tell("real_cpu_share", real_cpu);
      Tell("real_memory_mb", real["memory_mb"] / static_cast<double>(real_.size()));
      Tell("real_descriptors", real["descriptors"] / static_cast<double>(real_.size()));
      Tell("hollow_vs_real_bytes_ratio", (rate("bytes_out") + rate("bytes_in")) / real_bytes);
      const double asked = real["asked"] - real_from["asked"];
      Tell("real_statements_per_s", asked / of);
      Tell("real_served_share", asked > 0 ? (real["served"] - real_from["served"]) / asked : 0);
      const double real_exchange = (real["exchange_s"] - real_from["exchange_s"]) / of;
      Tell("real_exchange_cpu_share", real_exchange);
      if (real_exchange > 0) Tell("hollow_vs_real_exchange_cpu_ratio", exchange / real_exchange);
      // A real one's processor time holds what its clients and their statements cost, which is not control's.
      if (asked == 0) Tell("hollow_vs_real_cpu_ratio", cpu / real_cpu);
    }
    Tell("over_budget",
         (bytes > kBytesBudget) + (cpu > kCpuBudget) + (figures_["control_memory_mb"] > kMemoryBudgetMb));
  }

  void End() {
    std::map<std::string, double> parts;
    const auto answers = Answers("end");
    double stalls = 0;
    for (const Json& of : answers) stalls += of.at("stalls").get<double>();
    Tell("stalls", stalls);  // loops that stood still for a period: the machine was too busy for the size
    for (const Json& of : answers) {
      for (const auto& [part, count] : of.at("parts").items()) parts[part] += count.get<double>();
    }
    for (const auto& [part, count] : parts) {
      std::string name = "part_" + part;
      std::ranges::replace(name, ' ', '_');
      Tell(name, count);
    }
  }

  // ---- What the scripts do ------------------------------------------------------------------------------

  // The real ones' clients send the same mix as the hollow ones'. What is answered is counted and not judged.
  void LoadReal(TimePoint since) {
    std::erase_if(clients_, [](const auto& client) { return client->over(); });
    const TimePoint now = loop_.Now();
    const double mean = options_.statements_per_s * static_cast<double>(real_.size()) *
                        std::chrono::duration<double>(now - since).count();
    for (int left = mean > 0 ? std::poisson_distribution<int>(mean)(random_) : 0; left > 0; --left) {
      ++asked_;
      const auto at = static_cast<std::size_t>(random_() % real_.size());
      const Drawn drawn = Draw(spec_, static_cast<int>(at), random_);
      const bool write = drawn.cls == kMatchWrite;
      const char* cls = write ? "match-write" : drawn.cls == kOwnRead ? "own-read" : "history-read";
      const int wait_ms = write ? 5000 : 1200;
      const std::string session = NameOfSession(drawn.session);
      const auto group = static_cast<std::int64_t>(drawn.session % spec_.groups.size()) + 1;
      const std::string query =
          CommentFor(asked_, cls, wait_ms, group) + (write ? WriteOf(session, asked_) : ReadOf(session));
      clients_.push_back(std::make_unique<Client>(
          loop_, static_cast<std::uint16_t>(ports_[at]), query, wait_ms,
          [this](testbed::End end, const std::string&) { served_ += end == testbed::End::kServed; }));
    }
    asks_.ScheduleAfter(kClientsEvery, [this, now] { LoadReal(now); });
  }

  // A database's machine is replaced by a new one.
  void Change() {
    changes_.ScheduleAfter(Duration(static_cast<std::int64_t>(1e6 / ChangesPerS(options_))),
                           [this] { Change(); });
    const std::size_t at = random_() % uids_.size();
    const std::string old = uids_[at];
    uids_[at] = old.substr(0, old.find('/')) + "/" + std::to_string(++renamed_);
    for (Agent* agent : {&agent_, &second_}) agent->Replace(old, uids_[at], Entry(at, uids_[at]));
  }

  void Do(const Step& step) {
    using What = Step::What;
    switch (step.what) {
      case What::kCut:
        return All({{"do", "cut"}, {"who", step.who}});
      case What::kHeal:
        return All({{"do", "heal"}});
      case What::kKill:
        for (const int pooler : step.who) alive_.erase(pooler);
        return All({{"do", "kill"}, {"who", step.who}});
      case What::kRestart:
        for (const int pooler : step.who) alive_.insert(pooler);
        for (const int pooler : step.who) Start(pooler, spec_.HostOf(pooler));
        return;
      case What::kReplace:
        for (const int pooler : step.who) Replace(pooler);
        return;
      case What::kPrimary:
        for (const int group : step.who) LosePrimary(static_cast<std::size_t>(group));
        return;
      case What::kConfiguration:
        return MoveDiscovery();
    }
  }

  void Start(int pooler, int host) {
    const std::vector<int> others(alive_.begin(), alive_.end());
    hosts_[static_cast<std::size_t>(host)]->Say({{"do", "start"}, {"who", {pooler}}, {"others", others}});
  }

  // A new machine: another name, address and start. The others' lists of seeds stay as they are.
  void Replace(int pooler) {
    if (replaced_ == kSpareNames) return;
    alive_.erase(pooler);
    All({{"do", "kill"}, {"who", {pooler}}});
    const int fresh = options_.poolers + replaced_++;
    alive_.insert(fresh);
    Start(fresh, spec_.HostOf(pooler));
  }

  // All hosts hold the same from the same time on, as it is told ahead.
  void LosePrimary(std::size_t group) {
    const auto primary = GroupOf(group).primary();
    if (!primary || spec_.groups[group] < 2) return;
    const TimePoint at = loop_.Now() + kAhead;
    Order("die", group, *primary, at);
    loop_.Schedule(at, [this, group, primary] {
      if (options_.real > 0) {
        servers_[group]->Kill(*primary);
      } else {
        GroupOf(group).Die(*primary, loop_.Now());
      }
      AwaitReign(group);
    });
    const TimePoint back = at + kReturnAfter;
    Order("return", group, *primary, back);
    loop_.Schedule(back, [this, group, primary] {
      if (options_.real > 0) {
        servers_[group]->Restart(*primary);
      } else {
        GroupOf(group).Return(*primary, loop_.Now());
      }
    });
  }
  void AwaitReign(std::size_t group) {
    if (options_.real == 0) GroupOf(group).Advance(loop_.Now());
    const auto primary = GroupOf(group).primary();
    if (!primary) {
      loop_.Schedule(loop_.Now() + Duration(10000), [this, group] { AwaitReign(group); });
      return;
    }
    Order("reign", group, *primary, loop_.Now() + kAhead);
  }
  void Order(const char* what, std::size_t group, std::size_t member, TimePoint at) {
    All({{"do", what}, {"group", group}, {"member", member}, {"at", at.time_since_epoch().count()}});
  }

  // What a change of configuration moves today: where discovery is.
  void MoveDiscovery() {
    const TimePoint from = loop_.Now();
    All({{"do", "move"}, {"port", second_.port()}});
    spec_.discovery = second_.port();
    for (std::size_t i = 0; i < real_.size(); ++i) {
      folder_.Write("real" + std::to_string(i) + ".json",
                    ScaleConfigOf(spec_, static_cast<int>(i), ports_[i]));
      real_[i]->Signal(SIGHUP);
    }
    AwaitMoved(from);
  }
  void AwaitMoved(TimePoint from) {
    Tell("configuration_in_force_s", SecondsSince(from));
    if (second_.watchers() == alive_.size()) return;
    loop_.Schedule(loop_.Now() + Duration(10000), [this, from] { AwaitMoved(from); });
  }

  void Print() {
    if (quiet_) return;
    for (const auto& [name, value] : figures_) std::printf("%s %.6g\n", name.c_str(), value);
    std::fflush(stdout);
    if (options_.json.empty()) return;
    const bool load = HasLoad(options_.script);
    Json record = {{"run",
                    {{"poolers", options_.poolers},
                     {"databases", options_.databases},
                     {"real", options_.real},
                     {"script", options_.script},
                     {"seed", options_.seed},
                     {"seconds", options_.seconds},
                     {"clients", 0},
                     {"statements_per_s", load ? options_.statements_per_s : 0},
                     {"writes_share", load ? options_.writes_share : 0},
                     {"own_reads_share", load ? OwnReadsShare(options_) : 0},
                     {"owners", options_.owners},
                     {"bytes_per_s", options_.bytes_per_s},
                     {"coalesce_ms", options_.bytes_per_s > 0 ? options_.coalesce_ms : 0},
                     {"roam_share", load ? options_.roam_share : 0},
                     {"changes_per_s", ChangesPerS(options_)},
                     {"marks", options_.watermarks},
                     {"scope", options_.scope},
                     {"commit", options_.commit}}},
                   {"figures", figures_}};
    std::ofstream(options_.json) << record.dump(2) << '\n';
  }

  ScaleOptions options_;
  std::mt19937_64 random_;
  bool quiet_ = false;
  net::Loop loop_;
  Folder folder_;
  ScaleSpec spec_;
  Agent agent_{loop_}, second_{loop_};
  std::vector<std::unique_ptr<DataServers>> servers_;
  std::vector<std::unique_ptr<Group>> bare_;
  std::vector<std::string> uids_;  // of databases, as they are listed now
  std::vector<std::unique_ptr<PoolerProcess>> real_;
  std::vector<int> ports_, control_;
  std::vector<std::unique_ptr<HostProcess>> hosts_;
  std::set<int> alive_;
  net::Timer changes_, asks_;
  std::list<std::unique_ptr<Client>> clients_;
  std::uint64_t asked_ = 0, served_ = 0;  // of real poolers
  TimePoint began_{};
  int replaced_ = 0, renamed_ = 0;
  std::map<std::string, double> figures_;
};

}  // namespace

int RunScale(const ScaleOptions& options) {
  const std::string wrong = WhyNotPlayed(options, ThisMachine());
  if (!wrong.empty()) {
    std::fprintf(stderr, "lynxgrade-testbed: %s\n", wrong.c_str());
    return 2;
  }
  if (!options.compare) return ScaleRun(options).Play();
  // The same with each mark to each pooler: what the way that is played takes away has to show there.
  ScaleOptions former = options;
  former.watermarks = "each";
  former.json.clear();
  double off = 0;
  {
    ScaleRun run(former);
    run.Quietly();
    run.Play();
    off = run.Figure("over_budget");
  }
  const int verdict = ScaleRun(options).Play();
  std::printf("over_budget_off %.6g\n", off);
  return verdict != 0 || off == 0 ? 1 : 0;
}

}  // namespace lynxgrade::testbed
