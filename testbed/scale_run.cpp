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
constexpr Duration kHostResponseTimeout{20'000'000};  // ends runs whose host hangs; no measure of speed
constexpr Duration kOrderLeadTime{300'000};           // for orders that all hosts must apply at the same time
constexpr Duration kFailoverTime{1'500'000}, kRecoveryDelay{4'000'000};
constexpr Duration kClientLoadInterval{5000};
constexpr int kMembersPerGroup = 3;
constexpr int kMaxReplacements = 16;   // ports kept for replacement poolers
constexpr int kFirstEndpoint = 20000;  // port in the list for databases without a real listener
// Budgets of a pooler's control traffic: bytes per second in and out, share of a core, memory.
constexpr double kBytesPerSBudget = 12000, kCpuBudget = 0.024, kMemoryBudgetMb = 256;

Machine InspectMachine() {
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

// Free ports, all different: each socket stays bound until all have been found.
std::vector<int> FreePorts(int count, bool udp) {
  std::vector<int> sockets, ports;
  for (int i = 0; i < count; ++i) {
    const int fd = socket(AF_INET, (udp ? SOCK_DGRAM : SOCK_STREAM) | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    sockets.push_back(fd);
    if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      throw std::runtime_error("cannot find a free port");
    }
    ports.push_back(ntohs(address.sin_port));
  }
  for (const int fd : sockets) close(fd);
  return ports;
}

// CPU time of a process in seconds, as accounted by the kernel.
double CpuSecondsOf(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/schedstat");
  double ns = 0;
  file >> ns;
  return ns * 1e-9;
}

double ResidentMemoryMbOf(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  double all = 0, resident = 0;
  file >> all >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

// A host process, with the pipes for orders to it and responses from it. The constructor throws
// std::runtime_error if it cannot be started; the destructor kills it if it still runs.
class HostProcess final : private net::Poller::Handler {
 public:
  HostProcess(net::Loop& loop, const std::string& spec_file, int number) : loop_(loop) {
    const std::string program = std::filesystem::read_symlink("/proc/self/exe").string();
    const std::string index = std::to_string(number);
    const std::array<const char*, 5> arguments = {program.c_str(), "hollow-host", spec_file.c_str(),
                                                  index.c_str(), nullptr};
    net::ErrorSlot error;
    process_.reset(g_subprocess_newv(
        arguments.data(), GSubprocessFlags(G_SUBPROCESS_FLAGS_STDIN_PIPE | G_SUBPROCESS_FLAGS_STDOUT_PIPE),
        error.out()));
    if (process_ == nullptr)
      throw std::runtime_error(std::string("cannot start a host process: ") + error.message());
    pid_ = std::atoi(g_subprocess_get_identifier(process_.get()));
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

  void SendOrder(const Json& order) {
    const std::string line = order.dump() + "\n";
    g_output_stream_write_all(g_subprocess_get_stdin_pipe(process_.get()), line.data(), line.size(), nullptr,
                              nullptr, nullptr);
  }
  // Removes and returns the next complete response, empty if there is none yet.
  std::optional<Json> TakeResponse() {
    const std::size_t end = output_.find('\n');
    if (end == std::string::npos) return std::nullopt;
    Json response = Json::parse(output_.substr(0, end));
    output_.erase(0, end + 1);
    return response;
  }
  // Waits until the process, which has been ordered to end, has exited. Returns whether its status was 0.
  bool WaitForSuccess() {
    g_subprocess_wait(process_.get(), nullptr, nullptr);
    return g_subprocess_get_successful(process_.get()) != FALSE;
  }
  int pid() const { return pid_; }
  bool closed() const { return closed_; }

 private:
  void OnEvents(std::uint32_t) override {
    char buffer[16384];
    ssize_t size = 0;
    while ((size = read(descriptor_, buffer, sizeof buffer)) > 0)
      output_.append(buffer, static_cast<std::size_t>(size));
    if (size != 0) return;
    closed_ = true;
    watched_ = false;
    loop_.poller().Remove(descriptor_);
  }

  net::Loop& loop_;
  net::ObjectPtr<GSubprocess> process_;
  int pid_ = 0, descriptor_ = -1;
  bool closed_ = false, watched_ = true;
  std::string output_;
};

// Sums of counters over all simulated or all real poolers at one time.
struct Totals {
  std::map<std::string, double> values;
  double at = 0;  // seconds since the start of the run
  double operator[](const std::string& name) const {
    const auto found = values.find(name);
    return found == values.end() ? 0 : found->second;
  }
};

void AddTraffic(Totals& totals, const std::string& kind, const std::array<double, 4>& counts) {
  static constexpr std::array kNames = {"_packets_out", "_bytes_out", "_packets_in", "_bytes_in"};
  static constexpr std::array kTotals = {"packets_out", "bytes_out", "packets_in", "bytes_in"};
  for (std::size_t i = 0; i < counts.size(); ++i) {
    totals.values[kind + kNames[i]] += counts[i];
    totals.values[kTotals[i]] += counts[i];
  }
}

// One run: the simulated discovery servers and databases, the pooler processes and the host processes.
class ScaleRun {
 public:
  // Run() prints and writes no figures.
  void DisableOutput() { quiet_ = true; }
  double Figure(const std::string& name) const {
    const auto found = figures_.find(name);
    return found == figures_.end() ? 0 : found->second;
  }
  explicit ScaleRun(const ScaleOptions& options)
      : options_(options), random_(options.seed), list_change_timer_(loop_), client_load_timer_(loop_) {
    for (int left = options.databases; left > 0; left -= kMembersPerGroup) {
      spec_.groups.push_back(std::min(left, kMembersPerGroup));
    }
    spec_.folder = folder_.path();
    spec_.scope = options.scope;
    spec_.watermarks = options.watermarks;
    spec_.poolers = options.poolers;
    spec_.real = options.real;
    spec_.alone = options.alone;
    spec_.owners = options.owners;
    spec_.hosts = HostProcessCount(options);
    spec_.seed = options.seed;
    spec_.udp = FreePorts(options.poolers + kMaxReplacements, true);
    spec_.statements_per_s = options.statements_per_s;
    spec_.writes_share = options.writes_share;
    spec_.own_reads_share = OwnReadsShare(options);
    spec_.bytes_per_s = options.bytes_per_s;
    spec_.coalesce_ms = options.coalesce_ms;
    spec_.roam_share = options.roam_share;
    RegisterDatabases();
    spec_.discovery = discovery_.port();
    folder_.Write("key", "1 " + std::string(64, 'a') + "\n");
    const std::size_t sessions = static_cast<std::size_t>(options.poolers) * kSessionsPerPooler;
    folder_.Write(kSessionsFile + 1, std::string(sessions * sizeof(std::uint64_t), '\0'));
    for (int i = 0; i < options.poolers; ++i) alive_.insert(i);
  }

  // Returns the exit status.
  int Run() {
    const auto steps = MakeSteps(options_, static_cast<int>(spec_.groups.size()));
    StartAll();
    const bool converged = RunUntil([this] { return HasConverged(); }, kSecond * options_.settle_s);
    Record("met", converged);
    Record("met_after_s", SecondsSince(started_at_));
    if (HasLoad(options_.script)) {
      SendToAll({{"do", "load"}});
      GenerateRealLoad(loop_.Now());
    }
    const TimePoint converged_at = loop_.Now();
    const Duration gossip_time = StartupGossipTime(options_);
    RunFor(options_.warm_s < 0 ? gossip_time : kSecond * options_.warm_s);
    Record("warmed_s", SecondsSince(converged_at));
    // If set, the measurement includes gossip of the start, which a running fleet does not send.
    Record("news_under_way", loop_.Now() - converged_at < gossip_time);
    if (ListChangesPerS(options_) > 0) ChangeListEntry();
    for (const Step& step : steps) {
      loop_.Schedule(loop_.Now() + step.at, [this, step] { ExecuteStep(step); });
    }
    const Totals simulated_from = SimulatedTotals(), real_from = RealTotals();
    const double requests = static_cast<double>(ListRequests()), sent = static_cast<double>(ListBytesSent());
    Totals last = simulated_from;
    const TimePoint end = loop_.Now() + kSecond * options_.seconds;
    while (loop_.Now() < end) {
      RunFor(std::min(kSecond, end - loop_.Now()));
      const Totals now = SimulatedTotals();
      UpdatePeaks(last, now);
      last = now;
    }
    const Totals simulated = last, real = RealTotals();
    RecordFigures(simulated_from, simulated, real_from, real, requests, sent);
    EndHosts();
    int crashed = 0;
    for (const auto& host : hosts_) crashed += !host->WaitForSuccess();
    for (const auto& process : real_) crashed += process->Crashed();
    Record("crashed", crashed);
    WriteResults();
    return crashed > 0 || !converged || figures_["stale"] > 0 ? 1 : 0;
  }

 private:
  double SecondsSince(TimePoint from) const {
    return static_cast<double>((loop_.Now() - from).count()) * 1e-6;
  }
  void Record(const std::string& name, double value) { figures_[name] = value; }

  std::string Entry(std::size_t database, const std::string& uid) const {
    return Json{{"uid", uid},
                {"endpoint", "127.0.0.1:" + std::to_string(spec_.endpoints[database])},
                {"az", "a"},
                {"model", "m1"},
                {"pod_group", static_cast<std::int64_t>(database / kMembersPerGroup) + 1},
                {"state", "Ready"},
                {"capacity_hint", 1.0},
                {"boot_ms", 0}}
        .dump();
  }

  // With real poolers: data servers that accept connections; else only entries of the endpoint list.
  void RegisterDatabases() {
    const Group::Options defaults{kMembersPerGroup, Duration(8000), kFailoverTime};
    for (std::size_t group = 0; group < spec_.groups.size(); ++group) {
      const auto members = static_cast<std::size_t>(spec_.groups[group]);
      Group::Options group_options = defaults;
      group_options.members = members;
      if (options_.real > 0) {
        servers_.push_back(std::make_unique<DataServers>(loop_, GroupId(static_cast<std::int64_t>(group) + 1),
                                                         group_options, Duration(2000)));
      } else {
        group_models_.push_back(std::make_unique<Group>(group_options, loop_.Now()));
      }
      for (std::size_t i = 0; i < members; ++i) {
        spec_.endpoints.push_back(options_.real > 0 ? servers_.back()->port(i)
                                                    : kFirstEndpoint + static_cast<int>(uids_.size()));
        uids_.push_back("s-" + std::to_string(group + 1) + "-" + std::to_string(i));
        for (DiscoveryServer* server : {&discovery_, &second_discovery_})
          server->AddEntry(uids_.back(), Entry(uids_.size() - 1, uids_.back()));
      }
    }
  }
  Group& GroupOf(std::size_t group) {
    return options_.real > 0 ? servers_[group]->group() : *group_models_[group];
  }

  void StartAll() {
    started_at_ = loop_.Now();
    const std::string file = folder_.Write("spec.json", Json(spec_).dump());
    std::vector<int> all(alive_.begin(), alive_.end());
    const std::vector<int> tcp = FreePorts(options_.real * 2, false);
    for (int i = 0; i < options_.real; ++i) {
      control_.push_back(tcp[static_cast<std::size_t>(2 * i + 1)]);
      ports_.push_back(tcp[static_cast<std::size_t>(2 * i)]);
      const std::string name = "real" + std::to_string(i);
      PoolerProcess::Files files;
      files.program = options_.pooler;
      files.config = folder_.Write(name + ".json", MakeScaleConfig(spec_, i, ports_.back()));
      files.settings = folder_.Write(name + ".toml", MakeScaleSettings(spec_, i, all, control_.back()));
      files.log = folder_.path() + "/" + name + ".log";
      real_.push_back(std::make_unique<PoolerProcess>(files));
      const std::string problem = real_.back()->Start();
      if (!problem.empty()) throw std::runtime_error("cannot start a pooler: " + problem);
    }
    for (int i = 0; i < spec_.processes(); ++i)
      hosts_.push_back(std::make_unique<HostProcess>(loop_, file, i));
  }

  void RunFor(Duration time) {
    if (time <= Duration{0}) return;
    net::Timer end(loop_);
    end.ScheduleAfter(time, [this] { loop_.Stop(); });
    loop_.Run();
  }
  bool RunUntil(const std::function<bool()>& condition, Duration max_wait) {
    const TimePoint end = loop_.Now() + max_wait;
    while (!condition()) {
      if (loop_.Now() >= end) return false;
      RunFor(kSecond / 2);
    }
    return true;
  }
  void SendToAll(const Json& order) {
    for (const auto& host : hosts_) host->SendOrder(order);
  }

  // Sends an order to all hosts at once and returns their responses, by host. Throws std::runtime_error if
  // one does not respond in time.
  std::vector<Json> RequestAll(const char* order) {
    SendToAll({{"do", order}});
    std::vector<Json> responses;
    const TimePoint end = loop_.Now() + kHostResponseTimeout;
    net::Timer poll(loop_);
    std::function<void()> rearm = [&] { poll.ScheduleAfter(Duration(2000), rearm); };
    rearm();
    for (const auto& host : hosts_) {
      std::optional<Json> response;
      while (!(response = host->TakeResponse()) && !host->closed() && loop_.Now() < end) {
        g_main_context_iteration(nullptr, TRUE);
      }
      if (!response) throw std::runtime_error("a host process has exited, or did not respond within 20 s");
      responses.push_back(std::move(*response));
    }
    return responses;
  }

  bool HasConverged() {
    int complete_views = 0;
    for (const Json& response : RequestAll("status")) {
      if (response.at("starting") > 0 || response.at("listed") != response.at("hollow")) return false;
      for (const auto& [name, reached] : response.at("reached").get<std::map<int, int>>())
        complete_views += reached == options_.poolers;
    }
    if (complete_views != options_.poolers - options_.real) return false;
    return std::ranges::all_of(control_, [&](int port) {
      const auto reply = admin::SendQuery({"127.0.0.1", static_cast<std::uint16_t>(port)}, "peers");
      if (!reply) return false;
      const Json peers = Json::parse(*reply).at("peers");
      return std::ranges::count_if(peers, [](const Json& peer) { return peer.at("state") == "alive"; }) + 1 ==
             options_.poolers;
    });
  }

  Totals SimulatedTotals() {
    Totals totals;
    const auto responses = RequestAll("status");
    totals.at = SecondsSince(started_at_);
    for (std::size_t i = 0; i < responses.size(); ++i) {
      const Json& response = responses[i];
      const double instances = response.at("hollow").get<double>();
      // Dedicated lease managers have no load and another budget, so they are not part of the means.
      const int process = static_cast<int>(i);
      if (process >= spec_.alone && process < spec_.alone + spec_.owners) {
        totals.values["owners"] += instances;
        totals.values["owner_cpu_s"] += CpuSecondsOf(hosts_[i]->pid());
        totals.values["owner_exchange_s"] += response.at("exchange_us").get<double>() * 1e-6;
        totals.values["owner_memory_mb"] += instances > 0 ? ResidentMemoryMbOf(hosts_[i]->pid()) : 0;
        for (const auto& [kind, counts] : response.at("traffic").items()) {
          totals.values["owner_bytes"] += counts[1].get<double>() + counts[3].get<double>();
        }
        continue;
      }
      for (const char* name :
           {"hollow", "statements", "writes", "own_reads", "stale", "refused", "failed", "asked", "probes",
            "session_reads", "marked", "floored", "turned", "module_us", "apart_us", "peers_us"}) {
        totals.values[name] += response.at(name).get<double>();
      }
      for (const auto& [kind, counts] : response.at("traffic").items()) {
        AddTraffic(totals, kind, counts.get<std::array<double, 4>>());
      }
      for (const auto& [name, reached] : response.at("reached").get<std::map<int, int>>())
        totals.values["reached"] += reached;
      if (instances > 1)
        totals.values["memory_mb"] += response.at("memory_kb_each").get<double>() / 1024 * instances;
      if (instances > 1) totals.values["memory_of"] += instances;
      totals.values["descriptors"] += response.at("descriptors_each").get<double>() * instances;
      // In a process of many poolers one iteration of the loop serves several of them, which costs less CPU
      // time per pooler than a process of its own. The main figure is taken from the poolers with a process
      // each.
      const bool alone = process < spec_.alone;
      const double us = response.at("module_us").get<double>() + response.at("apart_us").get<double>();
      const double cpu_s = CpuSecondsOf(hosts_[i]->pid()) - us * 1e-6;
      totals.values[alone ? "alone_cpu_s" : "crowd_cpu_s"] += cpu_s;
      if (alone || spec_.alone == 0) {
        totals.values["cpu_s"] += cpu_s;
        totals.values["exchange_s"] += response.at("exchange_us").get<double>() * 1e-6;
        totals.values["cpu_of"] += instances;
      } else {
        totals.values["crowd"] += instances;
      }
    }
    return totals;
  }

  Totals RealTotals() {
    Totals totals;
    totals.at = SecondsSince(started_at_);
    totals.values["asked"] = static_cast<double>(sent_);
    totals.values["served"] = static_cast<double>(served_);
    for (std::size_t i = 0; i < real_.size(); ++i) {
      const auto reply = admin::SendQuery({"127.0.0.1", static_cast<std::uint16_t>(control_[i])}, "peers");
      if (reply) {
        const Json peers = Json::parse(*reply);
        totals.values["exchange_s"] += peers.at("spent_s").get<double>();
        const Json& traffic = peers.at("traffic");
        for (const auto& [kind, counts] : traffic.items()) {
          AddTraffic(totals, kind,
                     {counts.at("packets_out"), counts.at("bytes_out"), counts.at("packets_in"),
                      counts.at("bytes_in")});
        }
      }
      const int pid = real_[i]->pid();
      totals.values["cpu_s"] += CpuSecondsOf(pid);
      totals.values["memory_mb"] += ResidentMemoryMbOf(pid);
      const std::filesystem::directory_iterator open("/proc/" + std::to_string(pid) + "/fd");
      totals.values["descriptors"] += static_cast<double>(std::distance(begin(open), end(open)));
    }
    return totals;
  }

  // Peaks over the seconds of the run of the mean over all poolers.
  void UpdatePeaks(const Totals& from, const Totals& to) {
    const double pooler_seconds = std::max(1.0, to["hollow"]) * (to.at - from.at);
    for (const char* name :
         {"membership_bytes_out", "membership_bytes_in", "marks_bytes_out", "marks_bytes_in"}) {
      double& peak = figures_[std::string(name) + "_per_s_peak"];
      peak = std::max(peak, (to[name] - from[name]) / pooler_seconds);
    }
    double& bytes = figures_["control_bytes_per_s_peak"];
    bytes = std::max(
        bytes, (to["bytes_out"] + to["bytes_in"] - from["bytes_out"] - from["bytes_in"]) / pooler_seconds);
    double& cpu = figures_["control_cpu_share_peak"];
    cpu = std::max(cpu, ControlCpuShare(from, to));
    if (spec_.owners > 0) {
      double& owner_bytes = figures_["owner_bytes_per_s_peak"];
      owner_bytes = std::max(owner_bytes, OwnerRate("owner_bytes", from, to));
      double& owner_cpu = figures_["owner_cpu_share_peak"];
      owner_cpu = std::max(owner_cpu, OwnerRate("owner_cpu_s", from, to));
    }
    if (to["hollow"] > 0) {
      double& min_reached = figures_["in_reach_least"];
      const double reached = to["reached"] / to["hollow"];
      min_reached = min_reached == 0 ? reached : std::min(min_reached, reached);
    }
  }

  // CPU share of control work per pooler, from the poolers with a process each: without the CPU time of the
  // proxy for statements and of the simulation.
  static double ControlCpuShare(const Totals& from, const Totals& to) {
    return (to["cpu_s"] - from["cpu_s"]) / std::max(1.0, to["cpu_of"]) / (to.at - from.at);
  }

  // Mean over the dedicated lease managers, per second.
  static double OwnerRate(const char* name, const Totals& from, const Totals& to) {
    return (to[name] - from[name]) / std::max(1.0, to["owners"]) / (to.at - from.at);
  }

  std::uint64_t ListRequests() const {
    return discovery_.list_requests() + second_discovery_.list_requests();
  }
  std::uint64_t ListBytesSent() const { return discovery_.bytes_sent() + second_discovery_.bytes_sent(); }

  void RecordFigures(const Totals& from, const Totals& to, const Totals& real_from, const Totals& real,
                     double requests_before, double bytes_before) {
    const double seconds = to.at - from.at, mean_poolers = (from["hollow"] + to["hollow"]) / 2,
                 pooler_seconds = mean_poolers * seconds;
    const auto rate = [&](const std::string& name) { return (to[name] - from[name]) / pooler_seconds; };
    Record("poolers", options_.poolers);
    Record("databases", options_.databases);
    Record("real", options_.real);
    Record("processes", spec_.processes());
    Record("measured_s", seconds);
    for (const char* kind : replication::kTrafficKindNames) {
      for (const char* direction : {"_bytes_out", "_bytes_in"})
        Record(std::string(kind) + direction + "_per_s", rate(kind + std::string(direction)));
    }
    Record("packets_out_per_s", rate("packets_out"));
    Record("packets_in_per_s", rate("packets_in"));
    const double discovery_bytes_per_s =
        (static_cast<double>(ListBytesSent()) - bytes_before) / (options_.poolers * seconds);
    Record("discovery_bytes_in_per_s", discovery_bytes_per_s);
    Record("calls_per_s_at_discovery", (static_cast<double>(ListRequests()) - requests_before) / seconds);
    Record("bytes_out_per_s_at_discovery", discovery_bytes_per_s * options_.poolers);
    const double bytes = rate("bytes_out") + rate("bytes_in") + discovery_bytes_per_s,
                 cpu = ControlCpuShare(from, to);
    Record("control_bytes_per_s", bytes);
    Record("control_cpu_share", cpu);
    Record("cpu_share", cpu);
    // CPU time as measured by the replication itself: with a load the process also serves statements.
    const double replication_cpu =
        (to["exchange_s"] - from["exchange_s"]) / std::max(1.0, to["cpu_of"]) / (to.at - from.at);
    Record("exchange_cpu_share", replication_cpu);
    if (to["crowd"] > 0) {
      Record("crowd_cpu_share", (to["crowd_cpu_s"] - from["crowd_cpu_s"]) / to["crowd"] / seconds);
    }
    Record("control_memory_mb", to["memory_mb"] / std::max(1.0, to["memory_of"]));
    Record("memory_mb", figures_["control_memory_mb"]);
    Record("descriptors", to["descriptors"] / std::max(1.0, to["hollow"]));
    const double statements = to["statements"] - from["statements"];
    Record("statements", statements);
    Record("writes", to["writes"] - from["writes"]);
    Record("writes_per_s_in_fleet", (to["writes"] - from["writes"]) / seconds);
    Record("statements_answered_per_s", rate("statements"));
    Record("own_reads", to["own_reads"] - from["own_reads"]);
    Record("refused", to["refused"] - from["refused"]);
    Record("failed", to["failed"] - from["failed"]);
    Record("floored", to["floored"] - from["floored"]);
    // Share of the sessions' reads that used the conservative read target.
    const double reads = to["session_reads"] - from["session_reads"];
    Record("conservative_share", reads > 0 ? (to["floored"] - from["floored"]) / reads : 0);
    Record("turned_away", to["turned"] - from["turned"]);
    Record("module_cpu_us_per_statement",
           statements > 0 ? (to["module_us"] - from["module_us"]) / statements : 0);
    Record("probes_per_s", rate("probes"));
    Record("database_connections_asked_per_s", rate("asked"));
    Record("stale", to["stale"]);
    Record("compressed", ScriptSpeedup(options_, static_cast<int>(spec_.groups.size())));
    Record("compressed_list", ListSpeedup(options_));
    Record("in_reach", to["hollow"] > 0 ? to["reached"] / to["hollow"] : 0);
    if (spec_.owners > 0) {
      Record("owners", spec_.owners);
      Record("owner_bytes_per_s", OwnerRate("owner_bytes", from, to) + discovery_bytes_per_s);
      Record("owner_cpu_share", OwnerRate("owner_cpu_s", from, to));
      Record("owner_exchange_cpu_share", OwnerRate("owner_exchange_s", from, to));
      Record("owner_memory_mb", to["owner_memory_mb"] / std::max(1.0, to["owners"]));
    }
    if (!real_.empty()) {
      const double real_seconds = static_cast<double>(real_.size()) * (real.at - real_from.at);
      const double real_bytes =
          (real["bytes_out"] + real["bytes_in"] - real_from["bytes_out"] - real_from["bytes_in"]) /
          real_seconds;
      const double real_cpu = (real["cpu_s"] - real_from["cpu_s"]) / real_seconds;
      Record("real_bytes_per_s", real_bytes);
      Record("real_cpu_share", real_cpu);
      Record("real_memory_mb", real["memory_mb"] / static_cast<double>(real_.size()));
      Record("real_descriptors", real["descriptors"] / static_cast<double>(real_.size()));
      Record("hollow_vs_real_bytes_ratio", (rate("bytes_out") + rate("bytes_in")) / real_bytes);
      const double asked = real["asked"] - real_from["asked"];
      Record("real_statements_per_s", asked / real_seconds);
      Record("real_served_share", asked > 0 ? (real["served"] - real_from["served"]) / asked : 0);
      const double real_replication_cpu = (real["exchange_s"] - real_from["exchange_s"]) / real_seconds;
      Record("real_exchange_cpu_share", real_replication_cpu);
      if (real_replication_cpu > 0)
        Record("hollow_vs_real_exchange_cpu_ratio", replication_cpu / real_replication_cpu);
      // The CPU time of a real pooler includes serving its clients, so the ratio is recorded only without a
      // load.
      if (asked == 0) Record("hollow_vs_real_cpu_ratio", cpu / real_cpu);
    }
    Record("over_budget", (bytes > kBytesPerSBudget) + (cpu > kCpuBudget) +
                              (figures_["control_memory_mb"] > kMemoryBudgetMb));
  }

  void EndHosts() {
    std::map<std::string, double> parts;
    const auto responses = RequestAll("end");
    double stalls = 0;
    for (const Json& response : responses) stalls += response.at("stalls").get<double>();
    // Event loops that did not run for a whole period: the machine is too small for the run.
    Record("stalls", stalls);
    for (const Json& response : responses) {
      for (const auto& [part, count] : response.at("parts").items()) parts[part] += count.get<double>();
    }
    for (const auto& [part, count] : parts) {
      std::string name = "part_" + part;
      std::ranges::replace(name, ' ', '_');
      Record(name, count);
    }
  }

  // ---- Steps of the scripts ----

  // Clients of the real poolers send the same mix of statements as the simulated poolers get. Their responses
  // are counted and not checked for staleness.
  void GenerateRealLoad(TimePoint since) {
    std::erase_if(clients_, [](const auto& client) { return client->finished(); });
    const TimePoint now = loop_.Now();
    const double mean = options_.statements_per_s * static_cast<double>(real_.size()) *
                        std::chrono::duration<double>(now - since).count();
    for (int left = mean > 0 ? std::poisson_distribution<int>(mean)(random_) : 0; left > 0; --left) {
      ++sent_;
      const auto pooler = static_cast<std::size_t>(random_() % real_.size());
      const DrawnStatement statement = DrawStatement(spec_, static_cast<int>(pooler), random_);
      const bool write = statement.cls == kMatchWrite;
      const char* cls = write ? "match-write" : statement.cls == kOwnRead ? "own-read" : "history-read";
      const int budget_ms = write ? 5000 : 1200;
      const std::string session = SessionName(statement.session);
      const auto group = static_cast<std::int64_t>(statement.session % spec_.groups.size()) + 1;
      const std::string query = RequestComment(sent_, cls, budget_ms, group) +
                                (write ? WriteStatement(session, sent_) : ReadStatement(session));
      clients_.push_back(std::make_unique<Client>(
          loop_, static_cast<std::uint16_t>(ports_[pooler]), query, budget_ms,
          [this](RequestResult result, const std::string&) { served_ += result == RequestResult::kServed; }));
    }
    client_load_timer_.ScheduleAfter(kClientLoadInterval, [this, now] { GenerateRealLoad(now); });
  }

  // Replaces one database's entry in the endpoint list, as if its machine had been replaced.
  void ChangeListEntry() {
    list_change_timer_.ScheduleAfter(Duration(static_cast<std::int64_t>(1e6 / ListChangesPerS(options_))),
                                     [this] { ChangeListEntry(); });
    const std::size_t database = random_() % uids_.size();
    const std::string old_uid = uids_[database];
    uids_[database] = old_uid.substr(0, old_uid.find('/')) + "/" + std::to_string(++renamed_);
    for (DiscoveryServer* server : {&discovery_, &second_discovery_})
      server->ReplaceEntry(old_uid, uids_[database], Entry(database, uids_[database]));
  }

  void ExecuteStep(const Step& step) {
    using Action = Step::Action;
    switch (step.action) {
      case Action::kCut:
        return SendToAll({{"do", "cut"}, {"who", step.targets}});
      case Action::kHeal:
        return SendToAll({{"do", "heal"}});
      case Action::kKill:
        for (const int pooler : step.targets) alive_.erase(pooler);
        return SendToAll({{"do", "kill"}, {"who", step.targets}});
      case Action::kRestart:
        for (const int pooler : step.targets) alive_.insert(pooler);
        for (const int pooler : step.targets) StartPooler(pooler, spec_.HostOf(pooler));
        return;
      case Action::kReplace:
        for (const int pooler : step.targets) ReplacePooler(pooler);
        return;
      case Action::kPrimary:
        for (const int group : step.targets) FailPrimary(static_cast<std::size_t>(group));
        return;
      case Action::kConfiguration:
        return MoveDiscovery();
    }
  }

  void StartPooler(int pooler, int host) {
    const std::vector<int> others(alive_.begin(), alive_.end());
    hosts_[static_cast<std::size_t>(host)]->SendOrder(
        {{"do", "start"}, {"who", {pooler}}, {"others", others}});
  }

  // The replacement is a new machine with another name and address. The others' lists of seeds do not change.
  void ReplacePooler(int pooler) {
    if (replaced_ == kMaxReplacements) return;
    alive_.erase(pooler);
    SendToAll({{"do", "kill"}, {"who", {pooler}}});
    const int replacement = options_.poolers + replaced_++;
    alive_.insert(replacement);
    StartPooler(replacement, spec_.HostOf(pooler));
  }

  // Orders are sent ahead of their time so that all hosts apply them at the same time.
  void FailPrimary(std::size_t group) {
    const auto primary = GroupOf(group).primary();
    if (!primary || spec_.groups[group] < 2) return;
    const TimePoint at = loop_.Now() + kOrderLeadTime;
    SendGroupOrder("die", group, *primary, at);
    loop_.Schedule(at, [this, group, primary] {
      if (options_.real > 0) {
        servers_[group]->Kill(*primary);
      } else {
        GroupOf(group).Fail(*primary, loop_.Now());
      }
      AwaitPromotion(group);
    });
    const TimePoint recovery = at + kRecoveryDelay;
    SendGroupOrder("return", group, *primary, recovery);
    loop_.Schedule(recovery, [this, group, primary] {
      if (options_.real > 0) {
        servers_[group]->Restart(*primary);
      } else {
        GroupOf(group).Recover(*primary, loop_.Now());
      }
    });
  }
  void AwaitPromotion(std::size_t group) {
    if (options_.real == 0) GroupOf(group).CompleteFailover(loop_.Now());
    const auto primary = GroupOf(group).primary();
    if (!primary) {
      loop_.Schedule(loop_.Now() + Duration(10000), [this, group] { AwaitPromotion(group); });
      return;
    }
    SendGroupOrder("reign", group, *primary, loop_.Now() + kOrderLeadTime);
  }
  void SendGroupOrder(const char* order, std::size_t group, std::size_t member, TimePoint at) {
    SendToAll({{"do", order}, {"group", group}, {"member", member}, {"at", at.time_since_epoch().count()}});
  }

  // The only configuration that can change while a pooler runs is the address of discovery.
  void MoveDiscovery() {
    const TimePoint from = loop_.Now();
    SendToAll({{"do", "move"}, {"port", second_discovery_.port()}});
    spec_.discovery = second_discovery_.port();
    for (std::size_t i = 0; i < real_.size(); ++i) {
      folder_.Write("real" + std::to_string(i) + ".json",
                    MakeScaleConfig(spec_, static_cast<int>(i), ports_[i]));
      real_[i]->Signal(SIGHUP);
    }
    AwaitDiscoveryMoved(from);
  }
  void AwaitDiscoveryMoved(TimePoint from) {
    Record("configuration_in_force_s", SecondsSince(from));
    if (second_discovery_.watchers() == alive_.size()) return;
    loop_.Schedule(loop_.Now() + Duration(10000), [this, from] { AwaitDiscoveryMoved(from); });
  }

  void WriteResults() {
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
                     {"changes_per_s", ListChangesPerS(options_)},
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
  TemporaryFolder folder_;
  ScaleSpec spec_;
  DiscoveryServer discovery_{loop_}, second_discovery_{loop_};
  std::vector<std::unique_ptr<DataServers>> servers_;
  std::vector<std::unique_ptr<Group>> group_models_;
  std::vector<std::string> uids_;  // current uid of each database
  std::vector<std::unique_ptr<PoolerProcess>> real_;
  std::vector<int> ports_, control_;
  std::vector<std::unique_ptr<HostProcess>> hosts_;
  std::set<int> alive_;
  net::Timer list_change_timer_, client_load_timer_;
  std::list<std::unique_ptr<Client>> clients_;
  std::uint64_t sent_ = 0, served_ = 0;  // by the clients of the real poolers
  TimePoint started_at_{};
  int replaced_ = 0, renamed_ = 0;
  std::map<std::string, double> figures_;
};

}  // namespace

int RunScale(const ScaleOptions& options) {
  const std::string problem = ValidateScaleOptions(options, InspectMachine());
  if (!problem.empty()) {
    std::fprintf(stderr, "lynxgrade-testbed: %s\n", problem.c_str());
    return 2;
  }
  if (!options.compare) return ScaleRun(options).Run();
  // The same run with each watermark sent to each pooler has to exceed a budget, or the comparison shows
  // nothing.
  ScaleOptions baseline = options;
  baseline.watermarks = "each";
  baseline.json.clear();
  double over_budget_off = 0;
  {
    ScaleRun run(baseline);
    run.DisableOutput();
    run.Run();
    over_budget_off = run.Figure("over_budget");
  }
  const int status = ScaleRun(options).Run();
  std::printf("over_budget_off %.6g\n", over_budget_off);
  return status != 0 || over_budget_off == 0 ? 1 : 0;
}

}  // namespace lynxgrade::testbed
