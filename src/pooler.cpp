#include "pooler.h"

#include <glib-unix.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <string>

namespace lynxgrade {
namespace {

constexpr Duration kReportInterval{5000000};
constexpr Duration kReadyRetryInterval{20000};
// After this time a pooler without any endpoint list becomes ready and rejects requests with a Retry-After.
// Nine of ten restarted poolers have to be ready within 10 s of their start, even if discovery is down and
// the configuration lists no server.
constexpr Duration kReadyWithoutListAfter{5000000};

}  // namespace

Pooler::Pooler(const PlatformConfig& config, const ProgramSettings& settings)
    : config_(config),
      settings_(settings),
      budget_(DescriptorLimit(config)),
      memory_(BufferMemoryLimit(config)),
      pool_(loop_, {config.settings.connect_timeout, config.server_idle_timeout}, budget_, memory_,
            [this] { return frontend_.CloseLeastActive(); }),
      instance_(loop_, config, settings, pool_,
                {[this](ServerId server, const net::Address& address) { pool_.SetAddress(server, address); },
                 [this](ServerId server) { pool_.RemoveServer(server); },
                 [this] { BecomeReadyIfListed(); },
                 {}}),
      frontend_(loop_, instance_.proxy(), budget_, memory_, config.classes, config.tenants, config.settings,
                [this] { return pool_.CloseLongestIdle(); }),
      report_timer_(loop_),
      ready_timer_(loop_) {
  pool_.SetEvents(instance_.proxy());
}

tl::expected<void, StartError> Pooler::Start() {
  if (auto started = instance_.Start(); !started) return started;
  if (auto started = StartAdminServer(); !started) return started;
  if (const auto listening = frontend_.Listen(config_.listen); !listening) {
    return tl::unexpected(
        StartError{StartErrorCode::kListen, config_.listen.host, Describe(listening.error())});
  }
  instance_.StartDiscoveryWatch();
  // The endpoint list of the configuration is used at once; discovery updates it later.
  BecomeReadyIfListed();
  if (!frontend_.ready() && !instance_.has_listed_servers()) {
    ready_timer_.ScheduleAfter(kReadyWithoutListAfter, [this] { BecomeReadyUnlisted(); });
  }
  report_timer_.ScheduleAfter(kReportInterval, [this] { LogReport(); });
  WatchSignals();
  return {};
}

tl::expected<void, StartError> Pooler::StartAdminServer() {
  const std::optional<net::Address>& address = settings_.admin_address;
  if (!address) return {};
  std::map<std::string, admin::AdminServer::Handler> handlers;
  if (instance_.replication() != nullptr) {
    handlers["peers"] = [this] { return instance_.replication()->StatusJson(); };
  }
  admin_server_ = std::make_unique<admin::AdminServer>(loop_, std::move(handlers));
  if (const auto listening = admin_server_->Listen(*address); !listening) {
    return tl::unexpected(
        StartError{StartErrorCode::kAdminListen, address->host, Describe(listening.error())});
  }
  spdlog::info("admin server listening; address={}:{}", address->host, admin_server_->port());
  return {};
}

void Pooler::WatchSignals() {
  terminate_signal_.reset(g_unix_signal_source_new(SIGTERM));
  interrupt_signal_.reset(g_unix_signal_source_new(SIGINT));
  reload_signal_.reset(g_unix_signal_source_new(SIGHUP));
  g_source_set_callback(reload_signal_.get(), &Pooler::HandleReloadSignal, this, nullptr);
  for (net::SourcePtr* source : {&terminate_signal_, &interrupt_signal_}) {
    g_source_set_callback(source->get(), &Pooler::HandleStopSignal, this, nullptr);
  }
  for (net::SourcePtr* source : {&terminate_signal_, &interrupt_signal_, &reload_signal_}) {
    g_source_attach(source->get(), nullptr);
  }
}

void Pooler::Run() {
  loop_.Run();
  LogReport();
  spdlog::info("stopped");
}

std::size_t Pooler::DescriptorLimit(const PlatformConfig& config) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return config.max_descriptors;
  return std::min<std::size_t>(config.max_descriptors, limit.rlim_cur);
}

std::size_t Pooler::BufferMemoryLimit(const PlatformConfig& config) {
  if (!config.max_memory_bytes) return limits::MemoryBudget::kUnlimited;
  return limits::BufferMemoryLimit(*config.max_memory_bytes, DescriptorLimit(config));
}

gboolean Pooler::HandleStopSignal(gpointer self) {
  static_cast<Pooler*>(self)->BeginGracefulShutdown();
  return G_SOURCE_CONTINUE;
}

gboolean Pooler::HandleReloadSignal(gpointer self) {
  static_cast<Pooler*>(self)->ReloadConfig();
  return G_SOURCE_CONTINUE;
}

void Pooler::BeginGracefulShutdown() {
  spdlog::info("graceful shutdown started; requests_in_flight={}", instance_.proxy().requests_in_flight());
  frontend_.StartDrain([this] {
    instance_.Leave();
    loop_.Stop();
  });
}

// Reloads only the address of discovery. All other settings keep the values of the start, and every server,
// request and connection stays. May be called during a graceful shutdown as well.
void Pooler::ReloadConfig() {
  const auto config = LoadPlatformConfig();
  if (!config) {
    spdlog::error("configuration reload failed, keeping the current configuration; cause=\"{}\"",
                  Describe(config.error()));
    return;
  }
  const net::Address& discovery = config->discovery;
  spdlog::info("configuration reloaded; discovery={}:{}", discovery.host, discovery.port);
  instance_.ChangeDiscoveryAddress(discovery);
}

void Pooler::BecomeReadyIfListed() {
  if (frontend_.ready() || !instance_.has_listed_servers()) return;
  // The other instances do not wait for the watermarks of this one until they count it as a member.
  if (!instance_.IsCountedByPeers()) {
    ready_timer_.ScheduleAfter(kReadyRetryInterval, [this] { BecomeReadyIfListed(); });
    return;
  }
  ready_timer_.Cancel();
  BecomeReady();
}

void Pooler::BecomeReadyUnlisted() {
  if (frontend_.ready() || instance_.has_listed_servers()) return BecomeReadyIfListed();
  if (!instance_.IsCountedByPeers()) {
    ready_timer_.ScheduleAfter(kReadyRetryInterval, [this] { BecomeReadyUnlisted(); });
    return;
  }
  spdlog::warn("ready without an endpoint list; requests are rejected until discovery provides one");
  BecomeReady();
}

void Pooler::BecomeReady() {
  frontend_.SetReady();
  spdlog::info("ready");
}

void Pooler::LogReport() {
  const proxy::Proxy& proxy = instance_.proxy();
  const auto& requests = proxy.counts();
  spdlog::info(
      "requests: received={} served={} rejected={} failed={} cancelled={} attempts={} health_checks={} "
      "in_flight={} clients={} server_connections={} idle_server_connections={}"
      " discarded_responses={}",
      requests.received, requests.served, requests.rejected, requests.failed, requests.cancelled,
      requests.attempts, requests.health_checks, proxy.requests_in_flight(), budget_.clients(),
      budget_.backends(), pool_.idle(), requests.discarded_responses);
  const upstream::ConnectionCounts& connections = pool_.counts();
  spdlog::info(
      "server connections: opened={} barrier_queries={} barrier_rejections={} barrier_failures={} "
      "postponed_attempts={} expired_attempts={} late_attempts={}",
      connections.opened, connections.barrier_queries, connections.barrier_rejections,
      connections.barrier_failures, connections.postponed_attempts, connections.expired_attempts,
      connections.late_attempts);
  LogClientReport();
  const consistency::SessionConsistencyGuard& guard = proxy.consistency_guard();
  if (guard.scope() == consistency::Scope::kEverywhere) {
    const consistency::SessionConsistencyCounts& sessions = guard.counts();
    spdlog::info(
        "sessions: reads={} with_watermark={} at_conservative_position={} rejected_possible_loss={} "
        "rejected_unknown_writes={} stale_responses={} known={} evicted={}",
        sessions.reads, sessions.reads_with_watermark, sessions.conservative_reads,
        sessions.rejected_lost_write, sessions.rejected_unknown_write, sessions.stale_answers,
        guard.watermark_table().size(), guard.watermark_table().evicted());
  }
  report_timer_.ScheduleAfter(kReportInterval, [this] { LogReport(); });
}

void Pooler::LogClientReport() const {
  const frontend::MemoryCounts& given_up = frontend_.memory_counts();
  const std::size_t limit = memory_.limit() == limits::MemoryBudget::kUnlimited ? 0 : memory_.limit();
  spdlog::info(
      "memory: buffer_limit={} buffers={} buffers_peak={} discarded_messages={} rejected_requests={} "
      "closed_clients={}",
      limit, memory_.reserved(), memory_.peak(), given_up.discarded_messages, given_up.rejected_requests,
      given_up.closed_clients);
  const frontend::ClosedClientCounts& closed = frontend_.closed_clients();
  spdlog::info(
      "clients closed: idle={} incomplete_input={} unread_response={} descriptors={} protocol_errors={}",
      closed.idle, closed.incomplete_input, closed.unread_response, closed.descriptors,
      closed.protocol_errors);
}

}  // namespace lynxgrade
