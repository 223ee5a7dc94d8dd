#include "pooler.h"

#include <glib-unix.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>

#include "fleet/size.h"

namespace lynxgrade {
namespace {

constexpr Duration kReportEvery{5000000};
constexpr Duration kLookAgain{20000};
// Without any list a pooler refuses, with advice: nine in ten that are restarted are to be ready within 10 s
// of their start, also where discovery is down and the configuration lists nobody.
constexpr Duration kReadyAnyway{5000000};

}  // namespace

std::variant<Config, std::string> LoadConfig() {
  const char* path = std::getenv("RELAY_CONFIG");
  if (path == nullptr) return std::string("RELAY_CONFIG names no configuration");
  std::ifstream file(path);
  if (!file) return std::string("the configuration ") + path + " cannot be opened";
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  std::variant<Config, std::string> config = ReadConfig(text);
  if (auto* wrong = std::get_if<std::string>(&config)) {
    return std::string("the configuration ") + path + " is not usable: " + *wrong;
  }
  return config;
}

Pooler::Pooler(const Config& config, const Setup& setup)
    : config_(config),
      setup_(setup),
      budget_(Descriptors(config)),
      reader_(config.zones),
      pool_(loop_, {config.settings.connect_timeout, config.idle}, budget_,
            [this] { return front_.ShedIdle(); }),
      proxy_(loop_, config.settings, config.seed, pool_, setup.sessions),
      front_(loop_, proxy_, budget_, config.classes, config.tenants, config.settings,
             [this] { return pool_.ShedIdle(); }),
      report_(loop_),
      list_late_(loop_) {
  pool_.SetEvents(proxy_);
}

std::string Pooler::Start() {
  std::int64_t since = 0;
  ListEvent first{ListKind::kPersisted, {}};
  std::string wrong;
  if (!config_.known.empty()) {
    const auto known = reader_.Read(config_.known, wrong);
    if (!wrong.empty()) spdlog::warn("the list in the configuration: {}", wrong);
    if (known) {
      since = known->revision;
      first.entries = Entries(*known);
    }
  }
  const std::string no_sessions = StartSessions();
  if (!no_sessions.empty()) return no_sessions;
  const std::string no_control = StartControl();
  if (!no_control.empty()) return no_control;
  proxy_.ListChanged(std::move(first));
  const Settings& settings = config_.settings;
  const discovery::Watch::Callers callers{settings.list_on_request, fleet::Size(settings.peers_total),
                                          settings.drain_grace};
  if (settings.peers_total == 0) {
    spdlog::warn("the settings do not say how many poolers there are (peers_total): taken for {}",
                 fleet::Size(0));
  }
  watch_.emplace(loop_, config_.discovery, reader_, since, config_.seed, callers,
                 [this](const discovery::RosterChange& change) { Changed(change); });
  const std::string fault = front_.Listen(config_.listen);
  if (!fault.empty()) return "cannot listen on " + config_.listen.host + ": " + fault;
  watch_->Start();
  // It serves from the list that it was given, at once: what has changed since is told when discovery can.
  ReadyIfListed();
  if (!front_.ready() && !listed_) list_late_.After(kReadyAnyway, [this] { ReadyUnlisted(); });
  report_.After(kReportEvery, [this] { Report(); });
  term_.reset(g_unix_signal_source_new(SIGTERM));
  interrupt_.reset(g_unix_signal_source_new(SIGINT));
  hangup_.reset(g_unix_signal_source_new(SIGHUP));
  g_source_set_callback(hangup_.get(), &Pooler::Reload, this, nullptr);
  for (net::SourcePtr* source : {&term_, &interrupt_}) {
    g_source_set_callback(source->get(), &Pooler::Stop, this, nullptr);
  }
  for (net::SourcePtr* source : {&term_, &interrupt_, &hangup_}) g_source_attach(source->get(), nullptr);
  return {};
}

std::string Pooler::StartSessions() {
  if (setup_.sessions.scope != session::Scope::kEverywhere) return {};
  session::Keeper& keeper = proxy_.keeper();
  const Time now = loop_.Precise();
  bool recovered = false;
  std::optional<Time> known_to;
  if (!setup_.state.folder.empty()) {
    store_ = std::make_unique<state::Store>(loop_, setup_.state, config_.name, keeper);
    const std::string fault = store_->Open();
    if (fault.empty()) {
      const state::Recovered& found = store_->recovered();
      state::Apply(found, keeper);
      recovered = found.complete;
      known_to = found.complete ? std::optional(now) : found.complete_to;
      spdlog::info("state: {}{}", found.sentence,
                   recovered ? "" : "; reads start on the conservative target");
    }
    const std::string no_file = fault.empty() ? store_->Begin() : fault;
    if (!no_file.empty()) {
      spdlog::error("state: {}; serving without durable state", no_file);
      store_.reset();
    }
  }
  keeper.Started(now, known_to);
  if (setup_.peers.listen) {
    auto loaded =
        peers::Load({loop_, setup_.peers, config_.name, recovered, keeper, [this] { proxy_.Relearnt(); }});
    if (const auto* wrong = std::get_if<std::string>(&loaded)) return *wrong;
    peers_ = std::move(std::get<std::unique_ptr<peers::Service>>(loaded));
    const std::string fault = peers_->Start();
    if (!fault.empty()) return fault;
  }
  proxy::Proxy::Waits waits;
  waits.wrote = [this](GroupId group, session::Key key, const session::Mark& mark) {
    if (peers_ != nullptr) peers_->Wrote(group, key, mark);
    if (store_ != nullptr) store_->Wrote(key, mark);
  };
  // The store first: whether a session is held is to be so when the answer goes out.
  if (store_ != nullptr || peers_ != nullptr) {
    waits.safe = [this](GroupId group, session::Key key, std::function<void()> call) {
      if (peers_ == nullptr) return store_->WhenSafe(std::move(call));
      const bool waits_for_disk = store_ != nullptr && store_->WhenSafe([this, group, key, call] {
        if (!peers_->WhenHeld(group, key, call)) call();
      });
      return waits_for_disk || peers_->WhenHeld(group, key, std::move(call));
    };
  }
  if (store_ != nullptr) {
    keeper.OnReign([this] { store_->ReignsChanged(); });
  }
  if (peers_ != nullptr) waits.ask_others = [this] { peers_->Solicit(); };
  proxy_.SetWaits(std::move(waits));
  return {};
}

std::string Pooler::StartControl() {
  if (!setup_.control) return {};
  std::map<std::string, control::Server::Answer> answers;
  if (peers_ != nullptr) answers["peers"] = [this] { return peers_->Describe(); };
  control_ = std::make_unique<control::Server>(loop_, std::move(answers));
  const std::string fault = control_->Listen(*setup_.control);
  if (!fault.empty()) return "cannot answer operators on " + setup_.control->host + ": " + fault;
  spdlog::info("control: operators are answered at {}:{}", setup_.control->host, control_->port());
  return {};
}

void Pooler::Run() {
  loop_.Run();
  Report();
  spdlog::info("stopped");
}

std::size_t Pooler::Descriptors(const Config& config) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return config.sockets;
  return std::min<std::size_t>(config.sockets, limit.rlim_cur);
}

gboolean Pooler::Stop(gpointer self) {
  auto* pooler = static_cast<Pooler*>(self);
  spdlog::info("told to stop: finishing {} requests", pooler->proxy_.open());
  pooler->front_.Drain([pooler] {
    if (pooler->peers_ != nullptr) pooler->peers_->Leave();
    if (pooler->store_ != nullptr) pooler->store_->Stop();
    pooler->loop_.Stop();
  });
  return G_SOURCE_CONTINUE;
}

// Takes over where discovery is; all else keeps what it was started with, and every member, request and
// connection stays. A file that cannot be used changes nothing. It may come during a stop as well.
gboolean Pooler::Reload(gpointer self) {
  auto* pooler = static_cast<Pooler*>(self);
  const auto config = LoadConfig();
  if (const auto* wrong = std::get_if<std::string>(&config)) {
    spdlog::error("told to read the configuration again: {}; the old one stays", *wrong);
    return G_SOURCE_CONTINUE;
  }
  const net::Address& discovery = std::get<Config>(config).discovery;
  spdlog::info("told to read the configuration again: discovery is at {}:{}", discovery.host, discovery.port);
  pooler->watch_->MoveTo(discovery);
  if (pooler->peers_ != nullptr) pooler->peers_->ReloadKeys();
  return G_SOURCE_CONTINUE;
}

std::vector<ListEntry> Pooler::Entries(const discovery::RosterChange& change) {
  std::vector<ListEntry> entries;
  for (const discovery::Target& target : change.targets) {
    if (target.address) pool_.SetAddress(target.entry.member, *target.address);
    entries.push_back(target.entry);
    listed_ = true;
  }
  return entries;
}

void Pooler::Changed(const discovery::RosterChange& change) {
  for (const discovery::Target& target : change.targets) {
    spdlog::info("discovery: version {}: {} ({}) {}", change.revision, target.uid,
                 static_cast<std::uint32_t>(target.entry.member),
                 target.entry.lifecycle == Lifecycle::kServing    ? "serves"
                 : target.entry.lifecycle == Lifecycle::kDraining ? "drains"
                                                                  : "is gone");
  }
  proxy_.ListChanged({change.whole ? ListKind::kComplete : ListKind::kPartial, Entries(change)});
  // Where being gone does not bind, requests may still be sent there.
  if (!config_.settings.gone_not_binding) {
    for (const MemberId member : reader_.Prune(change)) pool_.Forget(member);
  }
  ReadyIfListed();
}

void Pooler::ReadyIfListed() {
  if (front_.ready() || !listed_) return;
  // Before the others count this instance they would take its writes for none.
  if (peers_ != nullptr && !peers_->Ready()) return list_late_.After(kLookAgain, [this] { ReadyIfListed(); });
  list_late_.Clear();
  front_.SetReady();
  spdlog::info("ready");
}

void Pooler::ReadyUnlisted() {
  if (front_.ready() || listed_) return ReadyIfListed();
  if (peers_ != nullptr && !peers_->Ready()) {
    return list_late_.After(kLookAgain, [this] { ReadyUnlisted(); });
  }
  spdlog::warn("no list of data servers yet: requests are refused until discovery tells one");
  front_.SetReady();
  spdlog::info("ready");
}

void Pooler::Report() {
  const auto& n = proxy_.counts();
  spdlog::info(
      "requests {}: served {}, refused {}, failed {}, withdrawn {}; attempts {}, probes {}; now {} "
      "open, {} clients, {} backends ({} idle)",
      n.taken, n.served, n.refused, n.failed, n.withdrawn, n.attempts, n.probes, proxy_.open(),
      budget_.clients(), budget_.backends(), pool_.idle());
  const session::Keeper& keeper = proxy_.keeper();
  if (keeper.scope() == session::Scope::kEverywhere) {
    const session::KeeperCounts& of = keeper.counts();
    spdlog::info(
        "sessions: own-reads {}, of a known write {}, on a conservative target {}, refused for a lost write "
        "{}, for "
        "what is not known {}; answers that were too old {}; {} sessions known, {} forgotten",
        of.reads, of.marked, of.floored, of.lost, of.unknown, of.too_old, keeper.ledger().size(),
        keeper.ledger().evicted());
  }
  report_.After(kReportEvery, [this] { Report(); });
}

}  // namespace lynxgrade
