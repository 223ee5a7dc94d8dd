#include "pooler.h"

#include <glib-unix.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>

namespace lynxgrade {
namespace {

constexpr Duration kReportEvery{5000000};
constexpr Duration kLookAgain{20000};
// Without any list a pooler refuses, with advice: nine in ten that are restarted are to be ready within 10 s
// of their start, also where discovery is down and the configuration lists nobody.
constexpr Duration kReadyAnyway{5000000};

}  // namespace

std::variant<PlatformConfig, std::string> LoadPlatformConfig() {
  const char* path = std::getenv("RELAY_CONFIG");
  if (path == nullptr) return std::string("RELAY_CONFIG names no configuration");
  std::ifstream file(path);
  if (!file) return std::string("the configuration ") + path + " cannot be opened";
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  std::variant<PlatformConfig, std::string> config = ParsePlatformConfig(text);
  if (auto* wrong = std::get_if<std::string>(&config)) {
    return std::string("the configuration ") + path + " is not usable: " + *wrong;
  }
  return config;
}

Pooler::Pooler(const PlatformConfig& config, const ProgramSettings& setup)
    : config_(config),
      setup_(setup),
      budget_(Descriptors(config)),
      pool_(loop_, {config.settings.connect_timeout, config.idle}, budget_,
            [this] { return front_.ShedIdle(); }),
      instance_(loop_, config, setup, pool_,
                {[this](ServerId member, const net::Address& address) { pool_.SetAddress(member, address); },
                 [this](ServerId member) { pool_.Forget(member); },
                 [this] { ReadyIfListed(); },
                 {}}),
      front_(loop_, instance_.proxy(), budget_, config.classes, config.tenants, config.settings,
             [this] { return pool_.ShedIdle(); }),
      report_(loop_),
      list_late_(loop_) {
  pool_.SetEvents(instance_.proxy());
}

std::string Pooler::Start() {
  const std::string no_instance = instance_.Start();
  if (!no_instance.empty()) return no_instance;
  const std::string no_control = StartControl();
  if (!no_control.empty()) return no_control;
  const std::string fault = front_.Listen(config_.listen);
  if (!fault.empty()) return "cannot listen on " + config_.listen.host + ": " + fault;
  instance_.Follow();
  // It serves from the list that it was given, at once: what has changed since is told when discovery can.
  ReadyIfListed();
  if (!front_.ready() && !instance_.listed()) list_late_.After(kReadyAnyway, [this] { ReadyUnlisted(); });
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

std::string Pooler::StartControl() {
  if (!setup_.control) return {};
  std::map<std::string, admin::AdminServer::Answer> answers;
  if (instance_.peers() != nullptr) {
    answers["peers"] = [this] { return instance_.peers()->Describe(); };
  }
  control_ = std::make_unique<admin::AdminServer>(loop_, std::move(answers));
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

std::size_t Pooler::Descriptors(const PlatformConfig& config) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return config.sockets;
  return std::min<std::size_t>(config.sockets, limit.rlim_cur);
}

gboolean Pooler::Stop(gpointer self) {
  auto* pooler = static_cast<Pooler*>(self);
  spdlog::info("told to stop: finishing {} requests", pooler->instance_.proxy().open());
  pooler->front_.Drain([pooler] {
    pooler->instance_.Leave();
    pooler->loop_.Stop();
  });
  return G_SOURCE_CONTINUE;
}

// Takes over where discovery is; all else keeps what it was started with, and every member, request and
// connection stays. A file that cannot be used changes nothing. It may come during a stop as well.
gboolean Pooler::Reload(gpointer self) {
  auto* pooler = static_cast<Pooler*>(self);
  const auto config = LoadPlatformConfig();
  if (const auto* wrong = std::get_if<std::string>(&config)) {
    spdlog::error("told to read the configuration again: {}; the old one stays", *wrong);
    return G_SOURCE_CONTINUE;
  }
  const net::Address& discovery = std::get<PlatformConfig>(config).discovery;
  spdlog::info("told to read the configuration again: discovery is at {}:{}", discovery.host, discovery.port);
  pooler->instance_.MoveTo(discovery);
  return G_SOURCE_CONTINUE;
}

void Pooler::ReadyIfListed() {
  if (front_.ready() || !instance_.listed()) return;
  // Before the others count this instance they would take its writes for none.
  if (!instance_.Counted()) return list_late_.After(kLookAgain, [this] { ReadyIfListed(); });
  list_late_.Clear();
  front_.SetReady();
  spdlog::info("ready");
}

void Pooler::ReadyUnlisted() {
  if (front_.ready() || instance_.listed()) return ReadyIfListed();
  if (!instance_.Counted()) {
    return list_late_.After(kLookAgain, [this] { ReadyUnlisted(); });
  }
  spdlog::warn("no list of data servers yet: requests are refused until discovery tells one");
  front_.SetReady();
  spdlog::info("ready");
}

void Pooler::Report() {
  const proxy::Proxy& proxy = instance_.proxy();
  const auto& n = proxy.counts();
  spdlog::info(
      "requests {}: served {}, refused {}, failed {}, withdrawn {}; attempts {}, probes {}; now {} "
      "open, {} clients, {} backends ({} idle)",
      n.taken, n.served, n.refused, n.failed, n.withdrawn, n.attempts, n.probes, proxy.open(),
      budget_.clients(), budget_.backends(), pool_.idle());
  const consistency::SessionConsistencyGuard& consistency_guard = proxy.consistency_guard();
  if (consistency_guard.scope() == consistency::Scope::kEverywhere) {
    const consistency::SessionConsistencyCounts& of = consistency_guard.counts();
    spdlog::info(
        "sessions: own-reads {}, of a known write {}, on a conservative target {}, refused for a lost write "
        "{}, for "
        "what is not known {}; answers that were too old {}; {} sessions known, {} forgotten",
        of.reads, of.with_watermark, of.conservative, of.rejected_lost_write, of.rejected_unknown_write,
        of.stale_answers, consistency_guard.watermark_table().size(),
        consistency_guard.watermark_table().evicted());
  }
  report_.After(kReportEvery, [this] { Report(); });
}

}  // namespace lynxgrade
