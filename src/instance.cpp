#include "instance.h"

#include <spdlog/spdlog.h>

#include "fleet/fleet_size.h"

namespace lynxgrade {

Instance::Instance(net::Loop& loop, const PlatformConfig& config, const ProgramSettings& setup,
                   proxy::Backends& backends, Host host)
    : loop_(loop),
      config_(config),
      setup_(setup),
      host_(std::move(host)),
      reader_(config.zones),
      proxy_(loop, config.settings, config.seed, backends, setup.sessions) {}

std::string Instance::Start() {
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
  const std::string fault = StartSessions();
  if (!fault.empty()) return fault;
  proxy_.ListChanged(std::move(first));
  const Settings& settings = config_.settings;
  const discovery::Watch::Callers callers{
      settings.poll_endpoint_list, fleet::EffectiveFleetSize(settings.peers_total), settings.drain_grace};
  if (settings.peers_total == 0) {
    spdlog::warn("the settings do not say how many poolers there are (peers_total): taken for {}",
                 fleet::EffectiveFleetSize(0));
  }
  watch_.emplace(loop_, config_.discovery, reader_, since, config_.seed, callers,
                 [this](const discovery::EndpointListUpdate& change) { Changed(change); });
  return {};
}

std::string Instance::StartSessions() {
  if (setup_.sessions.scope != consistency::Scope::kEverywhere) return {};
  consistency::SessionConsistencyGuard& consistency_guard = proxy_.consistency_guard();
  const TimePoint now = loop_.Precise();
  bool recovered = false;
  std::optional<TimePoint> known_to;
  if (!setup_.state.folder.empty()) {
    store_ =
        std::make_unique<durability::WriteAheadLog>(loop_, setup_.state, config_.name, consistency_guard);
    const std::string fault = store_->Open();
    if (fault.empty()) {
      const durability::Recovered& found = store_->recovered();
      durability::Apply(found, consistency_guard);
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
  consistency_guard.Started(now, known_to);
  if (setup_.peers.listen) {
    replication::ReplicationContext parts{loop_,     setup_.peers,      config_.name,
                                          recovered, consistency_guard, [this] { proxy_.Relearnt(); }};
    auto loaded = host_.make_peers ? host_.make_peers(std::move(parts))
                                   : replication::LoadReplicationModule(std::move(parts));
    if (const auto* wrong = std::get_if<std::string>(&loaded)) return *wrong;
    peers_ = std::move(std::get<std::unique_ptr<replication::ReplicationService>>(loaded));
    const std::string fault = peers_->Start();
    if (!fault.empty()) return fault;
  }
  proxy::Proxy::Waits waits;
  waits.wrote = [this](GroupId group, consistency::SessionKey key,
                       const consistency::WriteWatermark& watermark) {
    if (peers_ != nullptr) peers_->Wrote(group, key, watermark);
    if (store_ != nullptr) store_->Wrote(key, watermark);
  };
  // The store first: whether a session is held is to be so when the answer goes out.
  if (store_ != nullptr || peers_ != nullptr) {
    waits.safe = [this](GroupId group, consistency::SessionKey key, std::function<void()> call) {
      if (peers_ == nullptr) return store_->WhenSafe(std::move(call));
      const bool waits_for_disk = store_ != nullptr && store_->WhenSafe([this, group, key, call] {
        if (!peers_->WhenHeld(group, key, call)) call();
      });
      return waits_for_disk || peers_->WhenHeld(group, key, std::move(call));
    };
  }
  if (store_ != nullptr) {
    consistency_guard.OnReign([this] { store_->ReignsChanged(); });
  }
  if (peers_ != nullptr) waits.ask_others = [this] { peers_->Solicit(); };
  proxy_.SetWaits(std::move(waits));
  return {};
}

void Instance::MoveTo(const net::Address& discovery) {
  watch_->MoveTo(discovery);
  if (peers_ != nullptr) peers_->ReloadKeys();
}

void Instance::Leave() {
  if (peers_ != nullptr) peers_->Leave();
  if (store_ != nullptr) store_->Stop();
}

std::vector<ListEntry> Instance::Entries(const discovery::EndpointListUpdate& change) {
  std::vector<ListEntry> entries;
  for (const discovery::Endpoint& target : change.targets) {
    if (target.address) host_.address(target.entry.server, *target.address);
    entries.push_back(target.entry);
    listed_ = true;
  }
  return entries;
}

void Instance::Changed(const discovery::EndpointListUpdate& change) {
  for (const discovery::Endpoint& target : change.targets) {
    spdlog::info("discovery: version {}: {} ({}) {}", change.revision, target.uid,
                 static_cast<std::uint32_t>(target.entry.server),
                 target.entry.lifecycle == Lifecycle::kServing    ? "serves"
                 : target.entry.lifecycle == Lifecycle::kDraining ? "drains"
                                                                  : "is gone");
  }
  proxy_.ListChanged({change.whole ? ListKind::kComplete : ListKind::kPartial, Entries(change)});
  // Where being gone does not bind, requests may still be sent there.
  if (!config_.settings.unlisted_stay_usable) {
    for (const ServerId server : reader_.Prune(change)) host_.forget(server);
  }
  if (host_.changed) host_.changed();
}

}  // namespace lynxgrade
