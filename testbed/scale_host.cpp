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

constexpr Duration kWork{2000};  // of a statement, as the stand-ins' data servers
constexpr Duration kProbeWork{500};
constexpr Duration kGone{1000};  // until a connection to a dead machine is refused
constexpr Duration kLoadEvery{5000};
constexpr Duration kMostLoad{100000};  // asked for at once
// Between two starts of the whole fleet, for each of its poolers: each is news for all who are there. All at
// once the news of 205 kept eight cores from answering pings in time.
constexpr Duration kStartAPeer{20};
constexpr Duration kReadTime{1200000}, kWriteTime{5000000};

std::int64_t ThreadUs() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return now.tv_sec * 1'000'000 + now.tv_nsec / 1000;
}

// The newest answered write of each session, seen by all hosts at once.
class Sessions {
 public:
  explicit Sessions(const std::string& file) {
    const int fd = open(file.c_str(), O_RDWR | O_CLOEXEC);
    size_ = std::filesystem::file_size(file) / sizeof(Word);
    void* at =
        fd < 0 ? MAP_FAILED : mmap(nullptr, size_ * sizeof(Word), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    if (fd >= 0) close(fd);
    if (at == MAP_FAILED) throw std::runtime_error("the table of sessions cannot be mapped");
    words_ = static_cast<Word*>(at);
  }
  ~Sessions() { munmap(words_, size_ * sizeof(Word)); }
  Sessions(const Sessions&) = delete;
  Sessions& operator=(const Sessions&) = delete;
  std::size_t size() const { return size_; }

  void Wrote(std::size_t session, const Held& held) {
    std::uint64_t known = words_[session].load();
    const std::uint64_t word = Packed(held);
    while (known < word && !words_[session].compare_exchange_weak(known, word)) {
    }
  }
  std::optional<Held> Newest(std::size_t session) const {
    const std::uint64_t word = words_[session].load();
    if (word == 0) return std::nullopt;
    return Held{LogPosition(Duration(static_cast<std::int64_t>(word >> 8))), word & 255};
  }

 private:
  using Word = std::atomic<std::uint64_t>;
  // A later position is the newer write whatever its reign: a successor starts after the dead one's last.
  static std::uint64_t Packed(const Held& held) {
    return static_cast<std::uint64_t>(held.position.time_since_epoch().count()) << 8 | (held.reign & 255);
  }
  Word* words_ = nullptr;
  std::size_t size_ = 0;
};

struct Counts {
  std::uint64_t statements = 0, writes = 0, own_reads = 0, stale = 0, refused = 0, failed = 0, unusable = 0,
                asked = 0;  // of databases: attempts and probes
  std::int64_t module_us = 0, apart_us = 0, peers_us = 0;
};

// What instances have done by their own counts.
struct Done {
  replication::Traffic traffic;
  std::uint64_t probes = 0, reads = 0, marked = 0, floored = 0, turned = 0;
  std::int64_t exchange_us = 0;  // of the peers' own account

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
    if (instance.replication() != nullptr) exchange_us += instance.replication()->processor_time().count();
    const consistency::SessionConsistencyCounts& consistency_guard =
        instance.proxy().consistency_guard().counts();
    probes += instance.proxy().counts().health_checks;
    reads += consistency_guard.reads;
    marked += consistency_guard.reads_with_watermark;
    floored += consistency_guard.conservative_reads;
    turned += consistency_guard.rejected_lost_write + consistency_guard.rejected_unknown_write;
  }
};

// What is asked of a hollow database.
struct HollowWork final : proxy::Statement {
  explicit HollowWork(bool writes) : write(writes) {}
  std::string TextWithBudget(Duration) const override { return {}; }
  bool write;
};

// Measures what the exchange costs while the module runs, which calls it for writes and for reads that wait.
class TimedPeers final : public replication::ReplicationService {
 public:
  TimedPeers(std::unique_ptr<replication::ReplicationService> peers, Counts& counts)
      : peers_(std::move(peers)), counts_(counts) {}
  tl::expected<void, StartError> Start() override { return peers_->Start(); }
  void ReloadKeys() override { peers_->ReloadKeys(); }
  void RecordWrite(GroupId group, consistency::SessionKey key,
                   const consistency::WriteWatermark& watermark) override {
    const std::int64_t from = ThreadUs();
    peers_->RecordWrite(group, key, watermark);
    counts_.peers_us += ThreadUs() - from;
  }
  bool CallWhenWriteMayBeAnswered(GroupId group, consistency::SessionKey key,
                                  std::function<void()> call) override {
    const std::int64_t from = ThreadUs();
    const bool waits = peers_->CallWhenWriteMayBeAnswered(group, key, std::move(call));
    counts_.peers_us += ThreadUs() - from;
    return waits;
  }
  void PollPeers() override {
    const std::int64_t from = ThreadUs();
    peers_->PollPeers();
    counts_.peers_us += ThreadUs() - from;
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

class SimulatedPooler final : public proxy::Upstream {
 public:
  SimulatedPooler(Host& host, int number, const std::vector<int>& others);
  ~SimulatedPooler() { *alive_ = false; }

  tl::expected<void, StartError> Start();
  void Ask(std::size_t session, ClassIndex cls);
  Instance& instance() { return *instance_; }
  // Whether clients would find its port open. Asked until it is and then no more, as a pooler does: the
  // answer takes a look at each of the others.
  bool Open() { return open_ || (open_ = instance_->has_listed_servers() && instance_->IsCountedByPeers()); }
  int number() const { return number_; }

 private:
  struct Asking final : proxy::Client {
    SimulatedPooler* host = nullptr;
    std::list<Asking>::iterator self;
    RequestId id{};
    std::size_t session = 0;
    ClassIndex cls = 0;
    std::optional<Held> must;
    void OnResponse(const proxy::Response& response) override;
    void OnRejected(Duration) override;
    void OnFailed() override;
    void OnInvalidStatement() override;
    void Over() { host->asking_.erase(self); }
  };
  using JobKey = std::pair<RequestId, AttemptNumber>;
  struct Job {
    ServerId member{};
    bool cancelled = false;
  };

  void StartAttempt(RequestId request, AttemptNumber attempt, ServerId member,
                    std::shared_ptr<const proxy::Statement> work, proxy::AttemptTimeouts times) override;
  void CancelAttempt(RequestId request, AttemptNumber attempt) override;
  void CancelUnsentAttempts(RequestId) override {}
  void StartHealthCheck(ServerId member) override;
  void CloseIdleConnections(ServerId) override {}
  std::optional<Databases::Where> Find(ServerId member) const;
  void Answer(proxy::AttemptResult end, bool write);
  void End(proxy::AttemptResult end);
  void Later(Duration wait, std::function<void()> call);

  Host& host_;
  int number_;
  bool open_ = false;
  PlatformConfig config_;
  ProgramSettings setup_;
  std::map<ServerId, std::size_t> servers_;  // by member, which database
  std::map<JobKey, Job> out_;
  std::list<Asking> asking_;
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
  void Do(const Json& order);
  void Begin(int pooler, const std::vector<int>& others);
  void StartNext();
  void Load();
  Json Status(bool parts);
  bool Passes(int from, const std::string& address) const;

  net::Loop loop_;
  ScaleSpec spec_;
  int number_;
  Databases databases_;
  std::map<int, std::size_t> by_port_;  // databases
  std::map<int, int> by_udp_;           // poolers
  Sessions sessions_;
  Counts counts_;
  Done before_;  // by those that have ended
  std::map<int, std::unique_ptr<SimulatedPooler>> hollow_;
  std::vector<std::pair<int, std::vector<int>>> to_start_;
  std::vector<bool> side_;  // by pooler, where the network is cut
  std::mt19937_64 random_;
  net::Timer load_, starts_;
  std::optional<TimePoint> loaded_;  // up to when statements have been asked
  std::string line_;
  double memory_before_ = 0, descriptors_before_ = 0;
};

// Resident, in KB: what the process has touched.
double MemoryKb() {
  std::ifstream file("/proc/self/statm");
  double all = 0, resident = 0;
  file >> all >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

double Descriptors() {
  const std::filesystem::directory_iterator all("/proc/self/fd");
  return static_cast<double>(std::distance(begin(all), end(all)));
}

// ---- One pooler -----------------------------------------------------------------------------------------

SimulatedPooler::SimulatedPooler(Host& host, int number, const std::vector<int>& others)
    : host_(host), number_(number) {
  auto config = ParsePlatformConfig(ScaleConfigOf(host.spec_, number, 1));
  auto setup = ParseProgramSettings(ScaleSettingsOf(host.spec_, number, others, 0));
  if (!config) throw std::runtime_error(config.error().problem);
  if (!setup) throw std::runtime_error(Describe(setup.error()));
  config_ = std::move(*config);
  setup_ = std::move(*setup);
  Instance::Host parts;
  parts.set_server_address = [this](ServerId member, const net::Address& address) {
    const auto found = host_.by_port_.find(address.port);
    if (found != host_.by_port_.end()) servers_[member] = found->second;
  };
  parts.remove_server = [this](ServerId member) { servers_.erase(member); };
  parts.make_replication_service = [this](replication::ReplicationContext with)
      -> tl::expected<std::unique_ptr<replication::ReplicationService>, StartError> {
    with.delivers_datagrams = [this](const std::string& address) { return host_.Passes(number_, address); };
    with.membership_only = host_.spec_.watermarks == "none";
    auto loaded = replication::LoadReplicationModule(std::move(with));
    if (!loaded) return loaded;
    return std::make_unique<TimedPeers>(std::move(*loaded), host_.counts_);
  };
  instance_ = std::make_unique<Instance>(host.loop_, config_, setup_, *this, std::move(parts));
}

tl::expected<void, StartError> SimulatedPooler::Start() {
  auto started = instance_->Start();
  if (started) instance_->StartDiscoveryWatch();
  return started;
}

void SimulatedPooler::Ask(std::size_t session, ClassIndex cls) {
  const std::size_t group = session % host_.databases_.groups();
  asking_.emplace_front();
  Asking& asking = asking_.front();
  asking.host = this;
  asking.self = asking_.begin();
  asking.session = session;
  asking.cls = cls;
  if (cls == kOwnRead) asking.must = host_.sessions_.Newest(session);
  proxy::Request request;
  request.event.group = GroupId(static_cast<std::int64_t>(group) + 1);
  request.event.request_class = cls;
  request.event.session = NameOfSession(session);
  request.event.time_left = cls == kMatchWrite ? kWriteTime : kReadTime;
  request.statement = std::make_shared<HollowWork>(cls == kMatchWrite);
  ++host_.counts_.statements;
  const std::int64_t peers = host_.counts_.peers_us, from = ThreadUs();
  instance_->proxy().StartRequest(std::move(request), asking, asking.id);
  host_.counts_.module_us += ThreadUs() - from - (host_.counts_.peers_us - peers);
}

void SimulatedPooler::Asking::OnResponse(const proxy::Response& response) {
  Host& of = host->host_;
  Held held;
  const std::size_t space = response.data_row.find(' ');
  held.position = LogPosition(Duration(std::stoll(response.data_row.substr(0, space))));
  held.reign = std::stoull(response.data_row.substr(space + 1));
  if (cls == kMatchWrite) {
    ++of.counts_.writes;
    of.sessions_.Wrote(session, held);
  } else if (cls == kOwnRead) {
    ++of.counts_.own_reads;
    of.counts_.stale += must && !of.databases_.Has(session % of.databases_.groups(), held, *must);
  }
  Over();
}
void SimulatedPooler::Asking::OnRejected(Duration) {
  ++host->host_.counts_.refused;
  Over();
}
void SimulatedPooler::Asking::OnFailed() {
  ++host->host_.counts_.failed;
  Over();
}
void SimulatedPooler::Asking::OnInvalidStatement() {
  ++host->host_.counts_.unusable;
  Over();
}

void SimulatedPooler::Later(Duration wait, std::function<void()> call) {
  host_.loop_.Schedule(host_.loop_.Now() + wait, [alive = std::weak_ptr(alive_), call = std::move(call)] {
    if (!alive.expired()) call();
  });
}

std::optional<Databases::Where> SimulatedPooler::Find(ServerId member) const {
  const auto found = servers_.find(member);
  if (found == servers_.end()) return std::nullopt;
  return host_.databases_.At(found->second);
}

void SimulatedPooler::StartAttempt(RequestId request, AttemptNumber attempt, ServerId member,
                                   std::shared_ptr<const proxy::Statement> work, proxy::AttemptTimeouts) {
  ++host_.counts_.asked;
  out_[{request, attempt}] = {member, false};
  proxy::AttemptResult end;
  end.request = request;
  end.attempt = attempt;
  end.server = member;
  const bool write = static_cast<const HollowWork&>(*work).write;
  const auto where = Find(member);
  if (!where || !host_.databases_.Up(*where, host_.loop_.Now())) {
    end.outcome = Outcome::kUnreachable;
    end.elapsed = kGone;
    return Later(kGone, [this, end] { End(end); });
  }
  Later(kWork, [this, end, write] { Answer(end, write); });
}

void SimulatedPooler::Answer(proxy::AttemptResult end, bool write) {
  const std::int64_t from = ThreadUs();
  const TimePoint now = host_.loop_.Now();
  const Databases& databases = host_.databases_;
  const auto where = Find(end.server);
  end.elapsed = kWork;
  if (!where || !databases.Up(*where, now)) {
    end.outcome = Outcome::kConnectionLost;
  } else {
    end.metadata.primary = databases.IsPrimary(*where, now);
    end.metadata.position = databases.Tells(*where, now);
    std::optional<Held> held = databases.Holds(*where, now);
    if (write) held = databases.Commit(*where, now);
    if (held) {
      if (write) end.metadata.position = held->position;
      end.outcome = Outcome::kOk;
      end.response = proxy::Response{
          {},
          std::to_string(held->position.time_since_epoch().count()) + " " + std::to_string(held->reign),
          {}};
    } else {
      end.outcome = Outcome::kMisrouted;
    }
  }
  host_.counts_.apart_us += ThreadUs() - from;
  End(std::move(end));
}

void SimulatedPooler::End(proxy::AttemptResult end) {
  if (out_.erase({end.request, end.attempt}) == 0) return;  // it was called off
  const std::int64_t peers = host_.counts_.peers_us, from = ThreadUs();
  static_cast<proxy::UpstreamEvents&>(instance_->proxy()).OnAttemptFinished(std::move(end));
  host_.counts_.module_us += ThreadUs() - from - (host_.counts_.peers_us - peers);
}

void SimulatedPooler::CancelAttempt(RequestId request, AttemptNumber attempt) {
  const auto job = out_.find({request, attempt});
  if (job == out_.end() || job->second.cancelled) return;
  job->second.cancelled = true;
  proxy::AttemptResult end;
  end.request = request;
  end.attempt = attempt;
  end.server = job->second.member;
  end.outcome = Outcome::kCancelled;
  Later(Duration{0}, [this, end] { End(end); });
}

void SimulatedPooler::StartHealthCheck(ServerId member) {
  ++host_.counts_.asked;
  Later(kProbeWork, [this, member] {
    const TimePoint now = host_.loop_.Now();
    const auto where = Find(member);
    HealthCheckEvent end;
    end.server = member;
    end.elapsed = kProbeWork;
    end.outcome = Outcome::kUnreachable;
    if (where && host_.databases_.Up(*where, now)) {
      end.outcome = Outcome::kOk;
      end.report.emplace();
      end.report->position = host_.databases_.Tells(*where, now);
      end.report->primary = host_.databases_.IsPrimary(*where, now);
    }
    static_cast<proxy::UpstreamEvents&>(instance_->proxy()).OnHealthCheckFinished(end);
  });
}

// ---- The process ----------------------------------------------------------------------------------------

Host::Host(ScaleSpec spec, int number)
    : spec_(std::move(spec)),
      number_(number),
      databases_(spec_.groups),
      sessions_(spec_.folder + kSessionsFile),
      random_(spec_.seed * 1000 + static_cast<std::uint64_t>(number)),
      load_(loop_),
      starts_(loop_) {
  for (std::size_t i = 0; i < spec_.endpoints.size(); ++i) by_port_[spec_.endpoints[i]] = i;
  for (std::size_t i = 0; i < spec_.udp.size(); ++i) by_udp_[spec_.udp[i]] = static_cast<int>(i);
  std::vector<int> all;
  for (int i = 0; i < spec_.poolers; ++i) all.push_back(i);
  for (int i = spec_.real; i < spec_.poolers; ++i) {
    if (spec_.HostOf(i) == number_) to_start_.emplace_back(i, all);
  }
  fcntl(STDIN_FILENO, F_SETFL, O_NONBLOCK);
  loop_.poller().Add(STDIN_FILENO, EPOLLIN, *this);
  // What a first instance needs once, the loaded module above all, is not a further one's.
  memory_before_ = MemoryKb();
  descriptors_before_ = Descriptors();
  // The processes take turns.
  starts_.ScheduleAfter(kStartAPeer * spec_.poolers * number_, [this] { StartNext(); });
}

void Host::Begin(int pooler, const std::vector<int>& others) {
  auto& hollow = hollow_[pooler];
  hollow = std::make_unique<SimulatedPooler>(*this, pooler, others);
  if (const auto started = hollow->Start(); !started) {
    throw std::runtime_error("hollow pooler " + std::to_string(pooler) + ": " + Describe(started.error()));
  }
}

void Host::StartNext() {
  if (to_start_.empty()) return;
  const auto [pooler, others] = std::move(to_start_.front());
  to_start_.erase(to_start_.begin());
  Begin(pooler, others);
  if (hollow_.size() == 1) memory_before_ = MemoryKb();
  starts_.ScheduleAfter(kStartAPeer * spec_.poolers * spec_.processes(), [this] { StartNext(); });
}

bool Host::Passes(int from, const std::string& address) const {
  if (side_.empty()) return true;
  const auto to = by_udp_.find(std::atoi(address.c_str() + address.rfind(':') + 1));
  return to == by_udp_.end() ||
         side_[static_cast<std::size_t>(from)] == side_[static_cast<std::size_t>(to->second)];
}

void Host::OnEvents(std::uint32_t) {
  char buffer[4096];
  ssize_t size = 0;
  while ((size = read(STDIN_FILENO, buffer, sizeof buffer)) > 0)
    line_.append(buffer, static_cast<std::size_t>(size));
  if (size == 0) return loop_.Stop();  // the coordinator is gone
  for (std::size_t end; (end = line_.find('\n')) != std::string::npos; line_.erase(0, end + 1)) {
    Do(Json::parse(line_.substr(0, end)));
  }
}

void Host::Do(const Json& order) {
  const std::string what = order.at("do");
  if (what == "status" || what == "end") {
    std::printf("%s\n", Status(what == "end").dump().c_str());
    std::fflush(stdout);
    if (what == "end") loop_.Stop();
  } else if (what == "load") {
    Load();
  } else if (what == "cut") {
    side_.assign(spec_.udp.size(), false);
    for (const int pooler : order.at("who")) side_[static_cast<std::size_t>(pooler)] = true;
  } else if (what == "heal") {
    side_.clear();
  } else if (what == "kill") {
    for (const int pooler : order.at("who")) {
      const auto it = hollow_.find(pooler);
      if (it == hollow_.end()) continue;
      before_.Add(it->second->instance());
      hollow_.erase(it);
    }
  } else if (what == "start") {
    for (const int pooler : order.at("who"))
      to_start_.emplace_back(pooler, order.at("others").get<std::vector<int>>());
    StartNext();
  } else if (what == "die") {
    databases_.Die(order.at("group"), order.at("member"),
                   TimePoint(Duration(order.at("at").get<std::int64_t>())));
  } else if (what == "return") {
    databases_.Return(order.at("group"), order.at("member"),
                      TimePoint(Duration(order.at("at").get<std::int64_t>())));
  } else if (what == "reign") {
    databases_.Promote(order.at("group"), order.at("member"),
                       TimePoint(Duration(order.at("at").get<std::int64_t>())));
  } else if (what == "move") {
    for (const auto& [pooler, hollow] : hollow_) {
      hollow->instance().ChangeDiscoveryAddress({"127.0.0.1", order.at("port").get<std::uint16_t>()});
    }
  }
}

void Host::Load() {
  load_.ScheduleAfter(kLoadEvery, [this] { Load(); });
  // A loop that is late asks for the time that has passed; one that stood still does not make up for it all.
  const TimePoint now = loop_.Now();
  const Duration passed = loaded_ ? std::min(now - *loaded_, kMostLoad) : kLoadEvery;
  loaded_ = now;
  const std::int64_t module = counts_.module_us, peers = counts_.peers_us, from = ThreadUs();
  std::vector<SimulatedPooler*> open;
  for (auto& [number, hollow] : hollow_) {
    if (!spec_.IsOwner(number) && hollow->Open()) open.push_back(hollow.get());
  }
  // One draw for all: each statement comes to any of them alike.
  const double mean =
      spec_.statements_per_s * static_cast<double>(passed.count()) * 1e-6 * static_cast<double>(open.size());
  for (int left = mean > 0 ? std::poisson_distribution<int>(mean)(random_) : 0; left > 0; --left) {
    SimulatedPooler& hollow = *open[random_() % open.size()];
    const Drawn drawn = Draw(spec_, hollow.number(), random_);
    hollow.Ask(drawn.session, drawn.cls);
  }
  counts_.apart_us += ThreadUs() - from - (counts_.module_us - module) - (counts_.peers_us - peers);
}

Json Host::Status(bool parts) {
  Done all = before_;
  std::uint64_t listed = 0;
  std::map<int, std::size_t> reached;
  Json of_parts = Json::object();
  int stalls = 0;
  for (const auto& [number, hollow] : hollow_) {
    const Instance& instance = hollow->instance();
    all.Add(instance);
    listed += instance.data_server_count() == databases_.size();
    const replication::ReplicationService* peers = instance.replication();
    reached[number] =
        peers != nullptr ? peers->ReachableInstanceCount() : static_cast<std::size_t>(spec_.poolers);
    if (parts && peers != nullptr) {
      const Json said = Json::parse(peers->StatusJson());
      stalls += said.at("stalls").get<int>();
      const std::string part = said.at("part");
      of_parts[part] = of_parts.value(part, 0) + 1;
    }
  }
  Json kinds = Json::object();
  for (std::size_t kind = 0; kind < replication::kTrafficKindNames.size(); ++kind) {
    kinds[replication::kTrafficKindNames[kind]] = {all.traffic.out[kind].packets, all.traffic.out[kind].bytes,
                                                   all.traffic.in[kind].packets, all.traffic.in[kind].bytes};
  }
  const std::size_t more = hollow_.size() > 1 ? hollow_.size() - 1 : 1;
  return {{"hollow", hollow_.size()},
          {"starting", to_start_.size()},
          {"listed", listed},
          {"reached", reached},
          {"parts", of_parts},
          {"stalls", stalls},
          {"traffic", kinds},
          {"statements", counts_.statements},
          {"writes", counts_.writes},
          {"own_reads", counts_.own_reads},
          {"stale", counts_.stale},
          {"refused", counts_.refused},
          {"failed", counts_.failed + counts_.unusable},
          {"asked", counts_.asked},
          {"probes", all.probes},
          {"session_reads", all.reads},
          {"marked", all.marked},
          {"floored", all.floored},
          {"turned", all.turned},
          {"module_us", counts_.module_us},
          {"apart_us", counts_.apart_us},
          {"peers_us", counts_.peers_us},
          {"exchange_us", all.exchange_us},
          {"memory_kb_each", (MemoryKb() - memory_before_) / static_cast<double>(more)},
          {"descriptors_each", (Descriptors() - descriptors_before_) /
                                   static_cast<double>(std::max<std::size_t>(1, hollow_.size()))}};
}

int Host::Run() {
  loop_.Run();
  return 0;
}

}  // namespace

Drawn Draw(const ScaleSpec& spec, int pooler, std::mt19937_64& random) {
  const auto uniform = [&] { return std::uniform_real_distribution<double>(0, 1)(random); };
  const auto homes = static_cast<std::size_t>(spec.poolers);
  const std::size_t home =
      uniform() < spec.roam_share ? random() % homes : static_cast<std::size_t>(pooler) % homes;
  const double kind = uniform();
  return {home * kSessionsEach + random() % kSessionsEach, kind < spec.writes_share ? kMatchWrite
                                                           : kind < spec.writes_share + spec.own_reads_share
                                                               ? kOwnRead
                                                               : kHistoryRead};
}

std::string NameOfSession(std::size_t session) { return "s" + std::to_string(session); }

std::string ScaleConfigOf(const ScaleSpec& spec, int pooler, int port) {
  const std::string name = "n" + std::to_string(pooler);
  Json config = Json::parse(
      ConfigFor(name, static_cast<std::uint16_t>(port), static_cast<std::uint16_t>(spec.discovery), "off"));
  Json& settings = config["settings"];
  settings["peers_total"] = spec.poolers;
  settings["me"] = pooler;
  settings["customers"][0]["quota_per_s"] = 1e6;  // no limit of a tenant's is measured here
  config["seed"] = fmt::format("{:016x}", spec.seed * 1'000'003 + static_cast<std::uint64_t>(pooler));
  return config.dump();
}

std::string ScaleSettingsOf(const ScaleSpec& spec, int pooler, const std::vector<int>& others, int control) {
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

int RunHost(const std::string& spec_file, int number) {
  std::ifstream file(spec_file);
  const ScaleSpec spec = Json::parse(file).get<ScaleSpec>();
  // An instance's own log would be one of hundreds in one file.
  spdlog::set_default_logger(
      spdlog::basic_logger_st("host", spec.folder + "/host" + std::to_string(number) + ".log"));
  spdlog::set_level(spdlog::level::warn);
  return Host(spec, number).Run();
}

}  // namespace lynxgrade::testbed
