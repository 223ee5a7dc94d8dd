#include "replication/replication_engine.h"

#include <utility>

#include "replication/packet_codec.h"

namespace lynxgrade::replication {
namespace {

// Number of probe periods between two deltas to a dead peer.
constexpr int kDeadPeerProbePeriods = 5;

membership::Swim::Options SwimOptions(const ReplicationEngine::Options& options) {
  membership::Swim::Options swim = options.swim;
  if (options.leases) swim.protocol_version = kLeaseProtocolVersion;
  // Only an instance that uses leases can manage them.
  swim.lease_manager.dedicated = swim.lease_manager.dedicated && options.leases;
  return swim;
}

WatermarkReplicator::Options WatermarkOptions(const ReplicationEngine::Options& options,
                                              ReplicationEngine::Recovery recovery) {
  return {.flush_interval = options.flush_interval,
          .idle_interval = options.idle_interval,
          .dead_peer_interval = options.swim.period * kDeadPeerProbePeriods,
          .retained_watermarks = options.retained_watermarks,
          .packets_per_s = options.packets_per_s,
          .recovery = recovery};
}

}  // namespace

ReplicationEngine::ReplicationEngine(const Options& options, proto::Member self,
                                     std::vector<std::string> seeds, Recovery recovery,
                                     consistency::SessionConsistencyGuard& consistency_guard,
                                     std::uint64_t seed)
    : options_(options),
      swim_(SwimOptions(options), std::move(self), std::move(seeds), seed),
      links_(swim_, consistency_guard, options.leases ? LeaseMode::kEnabled : LeaseMode::kDisabled, seed),
      sender_(swim_, counts_),
      watermarks_(WatermarkOptions(options, recovery), swim_, links_, sender_, consistency_guard, counts_),
      consistency_guard_(consistency_guard) {
  if (!options.leases) return;
  const LeaseView::Options view{.fleet_size = options.swim.fleet_size,
                                .acknowledgements_required = options.swim.acknowledgements.required};
  leases_ =
      std::make_unique<LeaseTransport>(*options.leases, view, swim_, links_, consistency_guard, counts_);
}

void ReplicationEngine::RecordWrite(GroupId group, consistency::SessionKey key,
                                    const consistency::WriteWatermark& watermark) {
  if (leases_ != nullptr && !links_.HasWatermarkReceivers()) return watermarks_.RecordUnretained();
  watermarks_.Record({group, key, watermark});
}

void ReplicationEngine::Tick(TimePoint now, Outbox& outbox) {
  swim_.Tick(now, outbox);
  links_.ApplyMembershipChanges(now);
  if (leases_ != nullptr) leases_->Tick(now, outbox);
  if (options_.membership_only || !links_.HasWatermarkReceivers()) return;
  watermarks_.Tick(now, outbox);
}

bool ReplicationEngine::PollPeers(TimePoint now, Outbox& outbox) {
  return options_.membership_only || watermarks_.PollPeers(now, outbox);
}

void ReplicationEngine::HandlePacket(TimePoint now, const std::string& sender_address,
                                     const proto::Packet& packet, Outbox& outbox) {
  using CompletenessCheck = LeaseView::CompletenessCheck;
  if (packet.has_lease_batch() && leases_ != nullptr)
    leases_->HandlePacket(now, sender_address, packet, outbox);
  if (packet.sender().name().empty()) return;
  // Update the client before the acknowledgement is recorded: it must notice if an earlier one has expired,
  // or the view would seem to have been complete without interruption.
  const bool acknowledges = packet.has_ack() || packet.has_nack();
  if (leases_ != nullptr && acknowledges) leases_->view().Update(now, CompletenessCheck::kRun);
  swim_.HandlePacket(now, sender_address, packet, outbox);
  links_.ApplyMembershipChanges(now);
  if (leases_ != nullptr) {
    if (acknowledges) leases_->view().Invalidate();
    leases_->view().Update(now, acknowledges ? CompletenessCheck::kRun : CompletenessCheck::kSkip);
  }
  PeerLink* link = links_.FindSenderLink(now, packet.sender());
  if (link == nullptr) return;
  LearnTerms(packet, consistency_guard_);
  watermarks_.HandlePacket(now, sender_address, packet, *link, outbox);
}

std::optional<LogPosition> ReplicationEngine::AllWritesKnownAfter(TimePoint now,
                                                                  consistency::SessionKey key) {
  if (leases_ == nullptr) return std::nullopt;
  return leases_->AllWritesKnownAfter(now, key);
}

bool ReplicationEngine::MayAnswerWrite(TimePoint now, consistency::SessionKey key) {
  return leases_ == nullptr || leases_->MayAnswerWrite(now, key);
}

bool ReplicationEngine::AcquireLease(TimePoint now, GroupId group, consistency::SessionKey key,
                                     lease::SessionLeaseClient::Use use, Outbox& outbox) {
  return leases_ != nullptr && leases_->AcquireLease(now, group, key, use, outbox);
}

bool ReplicationEngine::MayServeRequests(TimePoint now) {
  return leases_ == nullptr || leases_->MayServeRequests(now);
}

void ReplicationEngine::RecordTraffic(TimePoint now, std::size_t bytes) {
  if (leases_ != nullptr) leases_->RecordTraffic(now, bytes);
}

const lease::SessionLeaseClient* ReplicationEngine::lease_client() const {
  return leases_ == nullptr ? nullptr : &leases_->client();
}

const lease::LeaseMessageRelay* ReplicationEngine::lease_relay() const {
  return leases_ == nullptr ? nullptr : &leases_->relay();
}

void ReplicationEngine::OnLog(const std::function<void(std::string)>& log) {
  links_.OnLog(log);
  watermarks_.OnLog(log);
}

}  // namespace lynxgrade::replication
