#include "scale_host.h"

#include <fcntl.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/spdlog.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <cmath>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>

#include "instance.h"
#include "net/loop.h"
#include "pooler_process.h"
#include "scale_databases.h"
#include "settings/platform_config.h"
#include "settings/program_settings.h"

namespace lynxgrade::testbed {
namespace {

using Json = nlohmann::json;

constexpr Duration kStatementTime{2000};  // the same as at the simulated data servers
constexpr Duration kHealthCheckTime{500};
constexpr Duration kRefusalTime{1000};  // until a connection to a failed machine is refused
constexpr Duration kLoadInterval{5000};
constexpr Duration kMaxCatchUp{100000};  // load that a late loop makes up for
// Interval between the starts of two poolers, per pooler of the fleet: all others are sent each start by
// gossip. When all started at once, the gossip of 205 starts kept eight cores from answering pings in time.
constexpr Duration kStartIntervalPerPeer{20};
constexpr Duration kReadTimeout{1200000}, kWriteTimeout{5000000};

// CPU time of this thread in microseconds.
std::int64_t ThreadCpuUs() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return now.tv_sec * 1'000'000 + now.tv_nsec / 1000;
}

// The newest acknowledged write of each session, in memory that all host processes share. The constructor
// throws std::runtime_error if the file cannot be mapped.
class SessionWrites {
 public:
  explicit SessionWrites(const std::string& file) {
    const int fd = open(file.c_str(), O_RDWR | O_CLOEXEC);
    size_ = std::filesystem::file_size(file) / sizeof(Word);
    void* mapping =
        fd < 0 ? MAP_FAILED : mmap(nullptr, size_ * sizeof(Word), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    if (fd >= 0) close(fd);
    if (mapping == MAP_FAILED) throw std::runtime_error("cannot map the table of sessions");
    words_ = static_cast<Word*>(mapping);
  }
  ~SessionWrites() { munmap(words_, size_ * sizeof(Word)); }
  SessionWrites(const SessionWrites&) = delete;
  SessionWrites& operator=(const SessionWrites&) = delete;
  std::size_t size() const { return size_; }

  void RecordWrite(std::size_t session, const DataState& write) {
    std::uint64_t known = words_[session].load();
    const std::uint64_t word = Pack(write);
    while (known < word && !words_[session].compare_exchange_weak(known, word)) {
    }
  }
  std::optional<DataState> NewestWrite(std::size_t session) const {
    const std::uint64_t word = words_[session].load();
    if (word == 0) return std::nullopt;
    return DataState{LogPosition(Duration(static_cast<std::int64_t>(word >> 8))), word & 255};
  }

 private:
  using Word = std::atomic<std::uint64_t>;
  // The higher position is the newer write on any timeline: a new primary starts after the last commit of the
  // former one.
  static std::uint64_t Pack(const DataState& write) {
    return static_cast<std::uint64_t>(write.position.time_since_epoch().count()) << 8 |
           (write.timeline & 255);
  }
  Word* words_ = nullptr;
  std::size_t size_ = 0;
};

// What this process has counted itself.
struct Counts {
  std::uint64_t statements = 0, writes = 0, own_reads = 0, stale = 0, rejected = 0, failed = 0, invalid = 0,
                database_requests = 0;  // attempts and health checks
  // CPU time of the proxy without the replication, of the simulation, and of calls into the replication.
  std::int64_t module_us = 0, simulation_us = 0, replication_us = 0;
};

// Sums of the instances' own counters.
struct InstanceTotals {
  replication::Traffic traffic;
  std::uint64_t health_checks = 0, reads = 0, with_watermark = 0, conservative = 0, rejected = 0;
  std::int64_t replication_us = 0;  // CPU time as measured by the replication itself

  void Add(const Instance& instance) {
    static const replication::Traffic kNone;
    const replication::Traffic& more =
        instance.replication() != nullptr ? instance.replication()->traffic() : kNone;
    for (std::size_t kind = 0; kind < replication::kTrafficKindNames.size(); ++kind) {
      traffic.out[kind].packets += more.out[kind].packets;
      traffic.out[kind].bytes += more.out[kind].bytes;
      traffic.in[kind].packets += more.in[kind].packets;
      traffic.in[kind].bytes += more.in[kind].bytes;
    }
    if (instance.replication() != nullptr) replication_us += instance.replication()->processor_time().count();
    const consistency::SessionConsistencyCounts& consistency_guard =
        instance.proxy().consistency_guard().counts();
    health_checks += instance.proxy().counts().health_checks;
    reads += consistency_guard.reads;
    with_watermark += consistency_guard.reads_with_watermark;
    conservative += consistency_guard.conservative_reads;
    rejected += consistency_guard.rejected_lost_write + consistency_guard.rejected_unknown_write;
  }
};

// A statement to a simulated database, which only needs to know whether it writes.
struct SimulatedStatement final : proxy::Statement {
  explicit SimulatedStatement(bool writes) : write(writes) {}
  std::string TextWithBudget(Duration) const override { return {}; }
  bool write;
};

// Measures the CPU time of the calls from the proxy into the replication: for writes and for reads that wait.
class TimedReplicationService final : public replication::ReplicationService {
 public:
  TimedReplicationService(std::unique_ptr<replication::ReplicationService> peers, Counts& counts)
      : peers_(std::move(peers)), counts_(counts) {}
  tl::expected<void, StartError> Start() override { return peers_->Start(); }
  void ReloadKeys() override { peers_->ReloadKeys(); }
  void RecordWrite(GroupId group, consistency::SessionKey key,
                   const consistency::WriteWatermark& watermark) override {
    const std::int64_t from = ThreadCpuUs();
    peers_->RecordWrite(group, key, watermark);
    counts_.replication_us += ThreadCpuUs() - from;
  }
  bool CallWhenWriteMayBeAnswered(GroupId group, consistency::SessionKey key,
                                  std::function<void()> call) override {
    const std::int64_t from = ThreadCpuUs();
    const bool waits = peers_->CallWhenWriteMayBeAnswered(group, key, std::move(call));
    counts_.replication_us += ThreadCpuUs() - from;
    return waits;
  }
  void PollPeers() override {
    const std::int64_t from = ThreadCpuUs();
    peers_->PollPeers();
    counts_.replication_us += ThreadCpuUs() - from;
  }
  bool IsReady() const override { return peers_->IsReady(); }
  std::string StatusJson() const override { return peers_->StatusJson(); }
  std::size_t ReachableInstanceCount() const override { return peers_->ReachableInstanceCount(); }
  const replication::Traffic& traffic() const override { return peers_->traffic(); }
  Duration processor_time() const override { return peers_->processor_time(); }
  void Leave() override { peers_->Leave(); }

 private:
  std::unique_ptr<replication::ReplicationService> peers_;
  Counts& counts_;
};

class Host;

// One pooler instance whose upstream is the simulated databases.
class SimulatedPooler final : public proxy::Upstream {
 public:
  SimulatedPooler(Host& host, int number, const std::vector<int>& others);
  ~SimulatedPooler() { *alive_ = false; }

  tl::expected<void, StartError> Start();
  void SendRequest(std::size_t session, ClassIndex cls);
  Instance& instance() { return *instance_; }
  // Whether the pooler would accept clients. Once it does this is not checked again, as in a real pooler: the
  // check reads the state of every peer.
  bool AcceptsClients() {
    return accepts_clients_ ||
           (accepts_clients_ = instance_->has_listed_servers() && instance_->IsCountedByPeers());
  }
  int number() const { return number_; }

 private:
  struct PendingRequest final : proxy::Client {
    SimulatedPooler* pooler = nullptr;
    std::list<PendingRequest>::iterator self;
    RequestId id{};
    std::size_t session = 0;
    ClassIndex cls = 0;
    std::optional<DataState> required;
    void OnResponse(const proxy::Response& response) override;
    void OnRejected(Duration) override;
    void OnFailed() override;
    void OnInvalidStatement() override;
    void Remove() { pooler->pending_.erase(self); }
  };
  using AttemptKey = std::pair<RequestId, AttemptNumber>;
  struct Attempt {
    ServerId server{};
    bool cancelled = false;
  };

  void StartAttempt(RequestId request, AttemptNumber attempt, ServerId server,
                    std::shared_ptr<const proxy::Statement> statement, proxy::AttemptTimeouts times) override;
  void CancelAttempt(RequestId request, AttemptNumber attempt) override;
  void CancelUnsentAttempts(RequestId) override {}
  void StartHealthCheck(ServerId server) override;
  void CloseIdleConnections(ServerId) override {}
  std::optional<SimulatedDatabases::Member> FindDatabase(ServerId server) const;
  void ExecuteStatement(proxy::AttemptResult result, bool write);
  void FinishAttempt(proxy::AttemptResult result);
  // Calls unless this object has been destroyed by then.
  void CallAfter(Duration delay, std::function<void()> call);

  Host& host_;
  int number_;
  bool accepts_clients_ = false;
  PlatformConfig config_;
  ProgramSettings settings_;
  std::map<ServerId, std::size_t> servers_;  // index of the database, by server
  std::map<AttemptKey, Attempt> attempts_;
  std::list<PendingRequest> pending_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<Instance> instance_;
};

class Host final : private net::Poller::Handler {
 public:
  Host(ScaleSpec spec, int number);
  ~Host() { loop_.poller().Remove(STDIN_FILENO); }
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;
  int Run();

 private:
  friend class SimulatedPooler;
  void OnEvents(std::uint32_t) override;
  void HandleOrder(const Json& order);
  void StartPooler(int pooler, const std::vector<int>& others);
  void StartNext();
  void GenerateLoad();
  Json StatusReport(bool with_parts);
  bool IsLinkUp(int from, const std::string& address) const;

  net::Loop loop_;
  ScaleSpec spec_;
  int number_;
  SimulatedDatabases databases_;
  std::map<int, std::size_t> database_by_port_;
  std::map<int, int> by_udp_;  // poolers
  SessionWrites sessions_;
  Counts counts_;
  InstanceTotals ended_totals_;  // of the instances that have ended
  std::map<int, std::unique_ptr<SimulatedPooler>> poolers_;
  std::vector<std::pair<int, std::vector<int>>> start_queue_;
  std::vector<bool> side_;  // by pooler, its side of the network partition; empty: no partition
  std::mt19937_64 random_;
  net::Timer load_timer_, start_timer_;
  std::optional<TimePoint> loaded_until_;  // the load up to this time has been sent
  std::string input_;
  double memory_before_kb_ = 0, descriptors_before_ = 0;
};

// Resident memory of this process.
double ResidentMemoryKb() {
  std::ifstream file("/proc/self/statm");
  double all = 0, resident = 0;
  file >> all >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

double OpenDescriptors() {
  const std::filesystem::directory_iterator entries("/proc/self/fd");
  return static_cast<double>(std::distance(begin(entries), end(entries)));
}

// ---- Simulated pooler ----

SimulatedPooler::SimulatedPooler(Host& host, int number, const std::vector<int>& others)
    : host_(host), number_(number) {
  auto config = ParsePlatformConfig(MakeScaleConfig(host.spec_, number, 1));
  auto settings = ParseProgramSettings(MakeScaleSettings(host.spec_, number, others, 0));
  if (!config) throw std::runtime_error(config.error().problem);
  if (!settings) throw std::runtime_error(Describe(settings.error()));
  config_ = std::move(*config);
  settings_ = std::move(*settings);
  Instance::Host hooks;
  hooks.set_server_address = [this](ServerId server, const net::Address& address) {
    const auto found = host_.database_by_port_.find(address.port);
    if (found != host_.database_by_port_.end()) servers_[server] = found->second;
  };
  hooks.remove_server = [this](ServerId server) { servers_.erase(server); };
  hooks.make_replication_service = [this](replication::ReplicationContext context)
      -> tl::expected<std::unique_ptr<replication::ReplicationService>, StartError> {
    context.delivers_datagrams = [this](const std::string& address) {
      return host_.IsLinkUp(number_, address);
    };
    context.membership_only = host_.spec_.watermarks == "none";
    auto loaded = replication::LoadReplicationModule(std::move(context));
    if (!loaded) return loaded;
    return std::make_unique<TimedReplicationService>(std::move(*loaded), host_.counts_);
  };
  instance_ = std::make_unique<Instance>(host.loop_, config_, settings_, *this, std::move(hooks));
}

tl::expected<void, StartError> SimulatedPooler::Start() {
  auto started = instance_->Start();
  if (started) instance_->StartDiscoveryWatch();
  return started;
}

void SimulatedPooler::SendRequest(std::size_t session, ClassIndex cls) {
  const std::size_t group = session % host_.databases_.groups();
  pending_.emplace_front();
  PendingRequest& pending = pending_.front();
  pending.pooler = this;
  pending.self = pending_.begin();
  pending.session = session;
  pending.cls = cls;
  if (cls == kOwnRead) pending.required = host_.sessions_.NewestWrite(session);
  proxy::Request request;
  request.event.group = GroupId(static_cast<std::int64_t>(group) + 1);
  request.event.request_class = cls;
  request.event.session = SessionName(session);
  request.event.time_left = cls == kMatchWrite ? kWriteTimeout : kReadTimeout;
  request.statement = std::make_shared<SimulatedStatement>(cls == kMatchWrite);
  ++host_.counts_.statements;
  const std::int64_t replication_before = host_.counts_.replication_us, from = ThreadCpuUs();
  instance_->proxy().StartRequest(std::move(request), pending, pending.id);
  host_.counts_.module_us += ThreadCpuUs() - from - (host_.counts_.replication_us - replication_before);
}

void SimulatedPooler::PendingRequest::OnResponse(const proxy::Response& response) {
  Host& host = pooler->host_;
  DataState state;
  const std::size_t space = response.data_row.find(' ');
  state.position = LogPosition(Duration(std::stoll(response.data_row.substr(0, space))));
  state.timeline = std::stoull(response.data_row.substr(space + 1));
  if (cls == kMatchWrite) {
    ++host.counts_.writes;
    host.sessions_.RecordWrite(session, state);
  } else if (cls == kOwnRead) {
    ++host.counts_.own_reads;
    host.counts_.stale +=
        required && !host.databases_.Contains(session % host.databases_.groups(), state, *required);
  }
  Remove();
}
void SimulatedPooler::PendingRequest::OnRejected(Duration) {
  ++pooler->host_.counts_.rejected;
  Remove();
}
void SimulatedPooler::PendingRequest::OnFailed() {
  ++pooler->host_.counts_.failed;
  Remove();
}
void SimulatedPooler::PendingRequest::OnInvalidStatement() {
  ++pooler->host_.counts_.invalid;
  Remove();
}

void SimulatedPooler::CallAfter(Duration delay, std::function<void()> call) {
  host_.loop_.Schedule(host_.loop_.Now() + delay, [alive = std::weak_ptr(alive_), call = std::move(call)] {
    if (!alive.expired()) call();
  });
}

std::optional<SimulatedDatabases::Member> SimulatedPooler::FindDatabase(ServerId server) const {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return std::nullopt;
  return host_.databases_.MemberAt(found->second);
}

void SimulatedPooler::StartAttempt(RequestId request, AttemptNumber attempt, ServerId server,
                                   std::shared_ptr<const proxy::Statement> statement,
                                   proxy::AttemptTimeouts) {
  ++host_.counts_.database_requests;
  attempts_[{request, attempt}] = {server, false};
  proxy::AttemptResult result;
  result.request = request;
  result.attempt = attempt;
  result.server = server;
  const bool write = static_cast<const SimulatedStatement&>(*statement).write;
  const auto member = FindDatabase(server);
  if (!member || !host_.databases_.IsUp(*member, host_.loop_.Now())) {
    result.outcome = Outcome::kUnreachable;
    result.elapsed = kRefusalTime;
    return CallAfter(kRefusalTime, [this, result] { FinishAttempt(result); });
  }
  CallAfter(kStatementTime, [this, result, write] { ExecuteStatement(result, write); });
}

void SimulatedPooler::ExecuteStatement(proxy::AttemptResult result, bool write) {
  const std::int64_t from = ThreadCpuUs();
  const TimePoint now = host_.loop_.Now();
  const SimulatedDatabases& databases = host_.databases_;
  const auto member = FindDatabase(result.server);
  result.elapsed = kStatementTime;
  if (!member || !databases.IsUp(*member, now)) {
    result.outcome = Outcome::kConnectionLost;
  } else {
    result.metadata.primary = databases.IsPrimary(*member, now);
    result.metadata.position = databases.ReportedPosition(*member, now);
    std::optional<DataState> state = databases.StateOf(*member, now);
    if (write) state = databases.Commit(*member, now);
    if (state) {
      if (write) result.metadata.position = state->position;
      result.outcome = Outcome::kOk;
      result.response = proxy::Response{
          {},
          std::to_string(state->position.time_since_epoch().count()) + " " + std::to_string(state->timeline),
          {}};
    } else {
      result.outcome = Outcome::kMisrouted;
    }
  }
  host_.counts_.simulation_us += ThreadCpuUs() - from;
  FinishAttempt(std::move(result));
}

void SimulatedPooler::FinishAttempt(proxy::AttemptResult result) {
  if (attempts_.erase({result.request, result.attempt}) == 0) return;  // it was cancelled
  const std::int64_t replication_before = host_.counts_.replication_us, from = ThreadCpuUs();
  static_cast<proxy::UpstreamEvents&>(instance_->proxy()).OnAttemptFinished(std::move(result));
  host_.counts_.module_us += ThreadCpuUs() - from - (host_.counts_.replication_us - replication_before);
}

void SimulatedPooler::CancelAttempt(RequestId request, AttemptNumber attempt) {
  const auto found = attempts_.find({request, attempt});
  if (found == attempts_.end() || found->second.cancelled) return;
  found->second.cancelled = true;
  proxy::AttemptResult result;
  result.request = request;
  result.attempt = attempt;
  result.server = found->second.server;
  result.outcome = Outcome::kCancelled;
  CallAfter(Duration{0}, [this, result] { FinishAttempt(result); });
}

void SimulatedPooler::StartHealthCheck(ServerId server) {
  ++host_.counts_.database_requests;
  CallAfter(kHealthCheckTime, [this, server] {
    const TimePoint now = host_.loop_.Now();
    const auto member = FindDatabase(server);
    HealthCheckEvent result;
    result.server = server;
    result.elapsed = kHealthCheckTime;
    result.outcome = Outcome::kUnreachable;
    if (member && host_.databases_.IsUp(*member, now)) {
      result.outcome = Outcome::kOk;
      result.report.emplace();
      result.report->position = host_.databases_.ReportedPosition(*member, now);
      result.report->primary = host_.databases_.IsPrimary(*member, now);
    }
    static_cast<proxy::UpstreamEvents&>(instance_->proxy()).OnHealthCheckFinished(result);
  });
}

// ---- Host process ----

Host::Host(ScaleSpec spec, int number)
    : spec_(std::move(spec)),
      number_(number),
      databases_(spec_.groups),
      sessions_(spec_.folder + kSessionsFile),
      random_(spec_.seed * 1000 + static_cast<std::uint64_t>(number)),
      load_timer_(loop_),
      start_timer_(loop_) {
  for (std::size_t i = 0; i < spec_.endpoints.size(); ++i) database_by_port_[spec_.endpoints[i]] = i;
  for (std::size_t i = 0; i < spec_.udp.size(); ++i) by_udp_[spec_.udp[i]] = static_cast<int>(i);
  std::vector<int> all;
  for (int i = 0; i < spec_.poolers; ++i) all.push_back(i);
  for (int i = spec_.real; i < spec_.poolers; ++i) {
    if (spec_.HostOf(i) == number_) start_queue_.emplace_back(i, all);
  }
  fcntl(STDIN_FILENO, F_SETFL, O_NONBLOCK);
  loop_.poller().Add(STDIN_FILENO, EPOLLIN, *this);
  // What the first instance adds once per process, mainly the loaded module, is not part of the memory per
  // instance: the baseline is taken again after its start.
  memory_before_kb_ = ResidentMemoryKb();
  descriptors_before_ = OpenDescriptors();
  // Staggered so that the processes start their poolers in turn.
  start_timer_.ScheduleAfter(kStartIntervalPerPeer * spec_.poolers * number_, [this] { StartNext(); });
}

void Host::StartPooler(int pooler, const std::vector<int>& others) {
  auto& instance = poolers_[pooler];
  instance = std::make_unique<SimulatedPooler>(*this, pooler, others);
  if (const auto started = instance->Start(); !started) {
    throw std::runtime_error("cannot start simulated pooler " + std::to_string(pooler) + ": " +
                             Describe(started.error()));
  }
}

void Host::StartNext() {
  if (start_queue_.empty()) return;
  const auto [pooler, others] = std::move(start_queue_.front());
  start_queue_.erase(start_queue_.begin());
  StartPooler(pooler, others);
  if (poolers_.size() == 1) memory_before_kb_ = ResidentMemoryKb();
  start_timer_.ScheduleAfter(kStartIntervalPerPeer * spec_.poolers * spec_.processes(),
                             [this] { StartNext(); });
}

bool Host::IsLinkUp(int from, const std::string& address) const {
  if (side_.empty()) return true;
  const auto to = by_udp_.find(std::atoi(address.c_str() + address.rfind(':') + 1));
  return to == by_udp_.end() ||
         side_[static_cast<std::size_t>(from)] == side_[static_cast<std::size_t>(to->second)];
}

void Host::OnEvents(std::uint32_t) {
  char buffer[4096];
  ssize_t size = 0;
  while ((size = read(STDIN_FILENO, buffer, sizeof buffer)) > 0)
    input_.append(buffer, static_cast<std::size_t>(size));
  if (size == 0) return loop_.Stop();  // the coordinator has exited
  for (std::size_t end; (end = input_.find('\n')) != std::string::npos; input_.erase(0, end + 1)) {
    HandleOrder(Json::parse(input_.substr(0, end)));
  }
}

void Host::HandleOrder(const Json& order) {
  const std::string what = order.at("do");
  if (what == "status" || what == "end") {
    std::printf("%s\n", StatusReport(what == "end").dump().c_str());
    std::fflush(stdout);
    if (what == "end") loop_.Stop();
  } else if (what == "load") {
    GenerateLoad();
  } else if (what == "cut") {
    side_.assign(spec_.udp.size(), false);
    for (const int pooler : order.at("who")) side_[static_cast<std::size_t>(pooler)] = true;
  } else if (what == "heal") {
    side_.clear();
  } else if (what == "kill") {
    for (const int pooler : order.at("who")) {
      const auto found = poolers_.find(pooler);
      if (found == poolers_.end()) continue;
      ended_totals_.Add(found->second->instance());
      poolers_.erase(found);
    }
  } else if (what == "start") {
    for (const int pooler : order.at("who"))
      start_queue_.emplace_back(pooler, order.at("others").get<std::vector<int>>());
    StartNext();
  } else if (what == "die") {
    databases_.Fail(order.at("group"), order.at("member"),
                    TimePoint(Duration(order.at("at").get<std::int64_t>())));
  } else if (what == "return") {
    databases_.Recover(order.at("group"), order.at("member"),
                       TimePoint(Duration(order.at("at").get<std::int64_t>())));
  } else if (what == "reign") {
    databases_.Promote(order.at("group"), order.at("member"),
                       TimePoint(Duration(order.at("at").get<std::int64_t>())));
  } else if (what == "move") {
    for (const auto& [number, pooler] : poolers_) {
      pooler->instance().ChangeDiscoveryAddress({"127.0.0.1", order.at("port").get<std::uint16_t>()});
    }
  }
}

void Host::GenerateLoad() {
  load_timer_.ScheduleAfter(kLoadInterval, [this] { GenerateLoad(); });
  // A late loop sends the load of all the time that has passed, up to the limit.
  const TimePoint now = loop_.Now();
  const Duration passed = loaded_until_ ? std::min(now - *loaded_until_, kMaxCatchUp) : kLoadInterval;
  loaded_until_ = now;
  const std::int64_t module_before = counts_.module_us, replication_before = counts_.replication_us,
                     from = ThreadCpuUs();
  std::vector<SimulatedPooler*> open;
  for (auto& [number, pooler] : poolers_) {
    if (!spec_.IsOwner(number) && pooler->AcceptsClients()) open.push_back(pooler.get());
  }
  // One draw for all poolers: each statement goes to any of them with the same probability.
  const double mean =
      spec_.statements_per_s * static_cast<double>(passed.count()) * 1e-6 * static_cast<double>(open.size());
  for (int left = mean > 0 ? std::poisson_distribution<int>(mean)(random_) : 0; left > 0; --left) {
    SimulatedPooler& pooler = *open[random_() % open.size()];
    const DrawnStatement statement = DrawStatement(spec_, pooler.number(), random_);
    pooler.SendRequest(statement.session, statement.cls);
  }
  counts_.simulation_us += ThreadCpuUs() - from - (counts_.module_us - module_before) -
                           (counts_.replication_us - replication_before);
}

Json Host::StatusReport(bool with_parts) {
  InstanceTotals all = ended_totals_;
  std::uint64_t listed = 0;
  std::map<int, std::size_t> reached;
  Json instances_by_part = Json::object();
  int stalls = 0;
  for (const auto& [number, pooler] : poolers_) {
    const Instance& instance = pooler->instance();
    all.Add(instance);
    listed += instance.data_server_count() == databases_.size();
    const replication::ReplicationService* peers = instance.replication();
    reached[number] =
        peers != nullptr ? peers->ReachableInstanceCount() : static_cast<std::size_t>(spec_.poolers);
    if (with_parts && peers != nullptr) {
      const Json description = Json::parse(peers->StatusJson());
      stalls += description.at("stalls").get<int>();
      const std::string part = description.at("part");
      instances_by_part[part] = instances_by_part.value(part, 0) + 1;
    }
  }
  Json kinds = Json::object();
  for (std::size_t kind = 0; kind < replication::kTrafficKindNames.size(); ++kind) {
    kinds[replication::kTrafficKindNames[kind]] = {all.traffic.out[kind].packets, all.traffic.out[kind].bytes,
                                                   all.traffic.in[kind].packets, all.traffic.in[kind].bytes};
  }
  const std::size_t further = poolers_.size() > 1 ? poolers_.size() - 1 : 1;
  return {{"hollow", poolers_.size()},
          {"starting", start_queue_.size()},
          {"listed", listed},
          {"reached", reached},
          {"parts", instances_by_part},
          {"stalls", stalls},
          {"traffic", kinds},
          {"statements", counts_.statements},
          {"writes", counts_.writes},
          {"own_reads", counts_.own_reads},
          {"stale", counts_.stale},
          {"refused", counts_.rejected},
          {"failed", counts_.failed + counts_.invalid},
          {"asked", counts_.database_requests},
          {"probes", all.health_checks},
          {"session_reads", all.reads},
          {"marked", all.with_watermark},
          {"floored", all.conservative},
          {"turned", all.rejected},
          {"module_us", counts_.module_us},
          {"apart_us", counts_.simulation_us},
          {"peers_us", counts_.replication_us},
          {"exchange_us", all.replication_us},
          {"memory_kb_each", (ResidentMemoryKb() - memory_before_kb_) / static_cast<double>(further)},
          {"descriptors_each", (OpenDescriptors() - descriptors_before_) /
                                   static_cast<double>(std::max<std::size_t>(1, poolers_.size()))}};
}

int Host::Run() {
  loop_.Run();
  return 0;
}

}  // namespace

DrawnStatement DrawStatement(const ScaleSpec& spec, int pooler, std::mt19937_64& random) {
  const auto uniform = [&] { return std::uniform_real_distribution<double>(0, 1)(random); };
  const auto homes = static_cast<std::size_t>(spec.poolers);
  const std::size_t home =
      uniform() < spec.roam_share ? random() % homes : static_cast<std::size_t>(pooler) % homes;
  const double kind = uniform();
  return {home * kSessionsPerPooler + random() % kSessionsPerPooler,
          kind < spec.writes_share                          ? kMatchWrite
          : kind < spec.writes_share + spec.own_reads_share ? kOwnRead
                                                            : kHistoryRead};
}

std::string SessionName(std::size_t session) { return "s" + std::to_string(session); }

std::string MakeScaleConfig(const ScaleSpec& spec, int pooler, int port) {
  const std::string name = "n" + std::to_string(pooler);
  Json config = Json::parse(MakePlatformConfig(name, static_cast<std::uint16_t>(port),
                                               static_cast<std::uint16_t>(spec.discovery), "off"));
  Json& settings = config["settings"];
  settings["peers_total"] = spec.poolers;
  settings["me"] = pooler;
  settings["customers"][0]["quota_per_s"] = 1e6;  // high enough that no tenant's quota limits the load
  config["seed"] = fmt::format("{:016x}", spec.seed * 1'000'003 + static_cast<std::uint64_t>(pooler));
  return config.dump();
}

std::string MakeScaleSettings(const ScaleSpec& spec, int pooler, const std::vector<int>& others,
                              int control) {
  const auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
  std::string seeds;
  for (const int other : others) {
    if (other == pooler) continue;
    seeds += (seeds.empty() ? "" : ", ") + at(spec.udp[static_cast<std::size_t>(other)]);
  }
  std::string text = "[sessions]\nscope = \"" + spec.scope + "\"\nrecall_s = 10\n";
  if (spec.scope != "everywhere") return text;
  text += "[peers]\nlisten = " + at(spec.udp[static_cast<std::size_t>(pooler)]) + "\nseeds = [" + seeds +
          "]\nkey_file = \"" + spec.folder + "/key\"\n";
  if (spec.watermarks != "none") text += "marks = \"" + spec.watermarks + "\"\n";
  if (spec.IsOwner(pooler)) text += "owner = true\n";
  if (spec.bytes_per_s > 0) {
    text += "bytes_per_s = " + std::to_string(spec.bytes_per_s) + "\n";
    text += "coalesce_ms = " + std::to_string(spec.coalesce_ms) + "\n";
  }
  if (control > 0) text += "[control]\nlisten = " + at(control) + "\n";
  return text;
}

int RunScaleHost(const std::string& spec_file, int number) {
  std::ifstream file(spec_file);
  const ScaleSpec spec = Json::parse(file).get<ScaleSpec>();
  // All instances of the process share one log file; below warnings it would hold hundreds of logs.
  spdlog::set_default_logger(
      spdlog::basic_logger_st("host", spec.folder + "/host" + std::to_string(number) + ".log"));
  spdlog::set_level(spdlog::level::warn);
  return Host(spec, number).Run();
}

}  // namespace lynxgrade::testbed
