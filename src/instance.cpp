#include "instance.h"

#include <spdlog/spdlog.h>

#include "fleet/fleet_size.h"

namespace lynxgrade {
namespace {

const char* LifecycleName(Lifecycle lifecycle) {
  switch (lifecycle) {
    case Lifecycle::kServing:
      return "serving";
    case Lifecycle::kDraining:
      return "draining";
    case Lifecycle::kDeleted:
      return "deleted";
  }
  return "unknown";
}

}  // namespace

Instance::Instance(net::Loop& loop, const PlatformConfig& config, const ProgramSettings& settings,
                   proxy::Upstream& upstream, Host host)
    : loop_(loop),
      config_(config),
      settings_(settings),
      host_(std::move(host)),
      reader_(config.zones),
      proxy_(loop, config.settings, config.seed, upstream, settings.sessions) {}

tl::expected<void, StartError> Instance::Start() {
  std::int64_t revision = 0;
  EndpointListEvent known_list = ReadKnownList(revision);
  if (auto started = StartSessionConsistency(); !started) return started;
  proxy_.ApplyEndpointList(std::move(known_list));
  CreateDiscoveryWatch(revision);
  return {};
}

// Returns the endpoint list of the configuration, and in `revision` the revision from which to watch
// discovery.
EndpointListEvent Instance::ReadKnownList(std::int64_t& revision) {
  EndpointListEvent event{EndpointListKind::kPersisted, {}};
  if (config_.known_endpoint_list.empty()) return event;
  const auto known = reader_.Read(config_.known_endpoint_list);
  if (!known) {
    spdlog::warn("configuration: endpoint list ignored; cause=\"{}\"", Describe(known.error()));
    return event;
  }
  if (known->rejected_entry) {
    spdlog::warn("configuration: malformed endpoint list entry ignored; cause=\"{}\"",
                 Describe(*known->rejected_entry));
  }
  revision = known->revision;
  event.entries = ApplyAddresses(*known);
  return event;
}

tl::expected<void, StartError> Instance::StartSessionConsistency() {
  if (settings_.sessions.scope != consistency::Scope::kEverywhere) return {};
  const TimePoint now = loop_.PreciseNow();
  const RecoveredKnowledge recovered = StartDurability(now);
  proxy_.consistency_guard().HandleStart(now, recovered.complete_through);
  if (auto started = StartReplication(recovered.complete); !started) return started;
  ConnectProxy();
  return {};
}

// If the folder is not usable, the instance serves without durable state.
Instance::RecoveredKnowledge Instance::StartDurability(TimePoint now) {
  if (settings_.durability.folder.empty()) return {};
  consistency::SessionConsistencyGuard& guard = proxy_.consistency_guard();
  log_ = std::make_unique<durability::WriteAheadLog>(loop_, settings_.durability, config_.name, guard);
  RecoveredKnowledge knowledge;
  tl::expected<void, StartError> started = log_->Open();
  if (started) {
    const durability::RecoveredState& recovered = log_->recovered();
    durability::ApplyRecoveredState(recovered, guard);
    knowledge.complete = recovered.complete;
    knowledge.complete_through = recovered.complete ? std::optional(now) : recovered.complete_through;
    spdlog::info("durability: {}{}", Describe(recovered.report),
                 recovered.complete ? "" : "; reads start at the conservative position");
    started = log_->StartWriting();
  }
  if (!started) {
    spdlog::error("durability: {}; serving without durable state", Describe(started.error()));
    log_.reset();
  }
  return knowledge;
}

tl::expected<void, StartError> Instance::StartReplication(bool recovered_completely) {
  if (!settings_.replication.listen_address) return {};
  replication::ReplicationContext context{
      loop_, settings_.replication, config_.name, recovered_completely, proxy_.consistency_guard(), [this] {
        proxy_.HandleReplicatedWatermarks();
      }};
  auto service = host_.make_replication_service ? host_.make_replication_service(std::move(context))
                                                : replication::LoadReplicationModule(std::move(context));
  if (!service) return tl::unexpected(service.error());
  replication_ = std::move(*service);
  return replication_->Start();
}

void Instance::ConnectProxy() {
  proxy::Proxy::ReplicationHooks hooks;
  hooks.on_write = [this](GroupId group, consistency::SessionKey session,
                          const consistency::WriteWatermark& watermark) {
    if (replication_ != nullptr) replication_->RecordWrite(group, session, watermark);
    if (log_ != nullptr) log_->AppendWatermark(session, watermark);
  };
  if (log_ != nullptr || replication_ != nullptr) {
    hooks.delay_response = [this](GroupId group, consistency::SessionKey session,
                                  const std::function<void()>& send) {
      return DelayResponse(group, session, send);
    };
  }
  if (log_ != nullptr) {
    proxy_.consistency_guard().OnTimelineChange([this](GroupId group) { log_->AppendTimeline(group); });
  }
  if (replication_ != nullptr) hooks.poll_peers = [this] { replication_->PollPeers(); };
  proxy_.SetReplicationHooks(std::move(hooks));
}

// Waits for the disk first: the lease has to be held at the time when the response is sent.
bool Instance::DelayResponse(GroupId group, consistency::SessionKey session,
                             const std::function<void()>& send) {
  if (replication_ == nullptr) return log_->NotifyWhenDurable(send);
  const bool awaits_disk = log_ != nullptr && log_->NotifyWhenDurable([this, group, session, send] {
    if (!replication_->CallWhenWriteMayBeAnswered(group, session, send)) send();
  });
  return awaits_disk || replication_->CallWhenWriteMayBeAnswered(group, session, send);
}

void Instance::CreateDiscoveryWatch(std::int64_t revision) {
  const Settings& routing = config_.settings;
  const std::uint32_t instances = fleet::EffectiveFleetSize(routing.fleet_size);
  if (routing.fleet_size == 0) {
    spdlog::warn("platform configuration has no peers_total; assuming instances={}", instances);
  }
  const discovery::DiscoveryService service{routing.poll_endpoint_list, instances, routing.drain_grace};
  watch_.emplace(loop_, config_.discovery, reader_, revision, config_.seed, service,
                 [this](const discovery::EndpointListUpdate& update) { HandleListUpdate(update); });
}

void Instance::ChangeDiscoveryAddress(const net::Address& discovery) {
  watch_->MoveTo(discovery);
  if (replication_ != nullptr) replication_->ReloadKeys();
}

void Instance::Leave() {
  if (replication_ != nullptr) replication_->Leave();
  if (log_ != nullptr) log_->RecordCleanShutdown();
}

std::vector<EndpointListEntry> Instance::ApplyAddresses(const discovery::EndpointListUpdate& update) {
  std::vector<EndpointListEntry> entries;
  for (const discovery::Endpoint& endpoint : update.endpoints) {
    if (endpoint.address) host_.set_server_address(endpoint.entry.server, *endpoint.address);
    entries.push_back(endpoint.entry);
    has_listed_servers_ = true;
  }
  return entries;
}

void Instance::HandleListUpdate(const discovery::EndpointListUpdate& update) {
  for (const discovery::Endpoint& endpoint : update.endpoints) {
    spdlog::info("discovery: server {}; uid={} server_id={} revision={}",
                 LifecycleName(endpoint.entry.lifecycle), endpoint.uid,
                 static_cast<std::uint32_t>(endpoint.entry.server), update.revision);
  }
  proxy_.ApplyEndpointList(
      {update.complete ? EndpointListKind::kComplete : EndpointListKind::kPartial, ApplyAddresses(update)});
  // If unlisted servers stay usable, requests may still be sent to them.
  if (!config_.settings.unlisted_stay_usable) {
    for (const ServerId server : reader_.RemoveDeleted(update)) host_.remove_server(server);
  }
  if (host_.endpoint_list_updated) host_.endpoint_list_updated();
}

}  // namespace lynxgrade
