#include "membership/swim.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lynxgrade::membership {
namespace {

// Each member pings one other per period, so the number of members that know of an acknowledgement doubles in
// each period. Two more periods allow for the first ping and for the members that are pinged last.
constexpr double kAdditionalSpreadPeriods = 2;
// The lowest protocol version that includes Nacks, which this code always sends.
constexpr std::uint32_t kMinProtocolVersion = 1;

}  // namespace

Swim::Swim(const Options& options, proto::Member self, std::vector<std::string> seeds,
           std::uint64_t random_seed)
    : options_(options),
      random_(random_seed),
      local_health_(options.max_local_health_multiplier),
      death_verifier_(options.period, options.suspicion.recently_heard_periods),
      members_(WithOptions(std::move(self), options), std::move(seeds), gossip_, local_health_,
               death_verifier_),
      quorum_tracker_({members_.self().incarnation_id(), options.fleet_size, ValidityOf(options),
                       options.acknowledgements.required},
                      TimePoint{}),
      packets_(members_, gossip_, quorum_tracker_, random_),
      view_(options.fleet_size, ValidityOf(options), options.capabilities, options.lease_manager),
      suspicion_timers_(options.period, options.suspicion, members_),
      failure_detector_(options.period, options.probe, members_, local_health_, quorum_tracker_, packets_,
                        random_),
      ping_relay_(options.period, members_, packets_),
      anti_entropy_(options.period, members_, packets_) {}

Duration Swim::ValidityOf(const Options& options) {
  const double spread_periods =
      std::log2(static_cast<double>(std::max<std::size_t>(1, options.fleet_size))) + kAdditionalSpreadPeriods;
  return Duration(static_cast<std::int64_t>(options.acknowledgements.validity_per_spread_time *
                                            spread_periods * static_cast<double>(options.period.count())));
}

proto::Member Swim::WithOptions(proto::Member self, const Options& options) {
  self.set_protocol_version(std::max(kMinProtocolVersion, options.protocol_version));
  self.set_dedicated_lease_manager(options.lease_manager.dedicated);
  self.set_capabilities(self.capabilities() | options.capabilities);
  return self;
}

void Swim::Tick(TimePoint now, Outbox& outbox) {
  if (next_period_at_ == TimePoint{}) JoinFleet(now, outbox);
  packets_.SetTime(now);
  DetectStall(now);
  RefreshView(now);
  ping_relay_.Tick(now, outbox);
  failure_detector_.ContinueProbe(now, outbox);
  failure_detector_.PingDeadMember(now, outbox);
  death_verifier_.Tick(now, members_, local_health_, packets_, outbox);
  if (now < next_period_at_) return;
  FinishPeriod(now);
  failure_detector_.StartProbe(now, outbox);
  if (!unheard_seeds().empty()) {
    const std::string& seed = unheard_seeds()[next_seed_++ % unheard_seeds().size()];
    packets_.SendPing(seed, packets_.DrawNonce(), outbox);
  }
}

void Swim::JoinFleet(TimePoint now, Outbox& outbox) {
  // A random offset, so that instances that start together probe at different times.
  const auto period = static_cast<std::uint64_t>(std::max<std::int64_t>(1, options_.period.count()));
  next_period_at_ = now + Duration(static_cast<std::int64_t>(random_() % period));
  for (const std::string& seed : unheard_seeds()) packets_.SendPing(seed, packets_.DrawNonce(), outbox);
}

// While the process was paused it could not receive answers, so unanswered probes and running suspicions are
// no evidence against the other members: probes are cancelled and suspicions postponed. The local health
// multiplier is set to its maximum, as this instance itself is the slow one.
void Swim::DetectStall(TimePoint now) {
  const bool is_first_tick = last_tick_at_ == TimePoint{};
  const Duration since_last_tick = now - std::exchange(last_tick_at_, now);
  if (is_first_tick) {
    quorum_tracker_.ResetAfterPause(now);
    return;
  }
  if (since_last_tick <= options_.period) return;
  ++stalls_;
  quorum_tracker_.ResetAfterPause(now);
  failure_detector_.CancelProbe();
  ping_relay_.Clear();
  death_verifier_.Clear();
  local_health_.RaiseToMax();
  members_.PostponeSuspicions(now, since_last_tick);
  next_period_at_ = now + options_.period / 2;
}

void Swim::RefreshView(TimePoint now) {
  if (!members_.DrainRunningChanged()) return;
  view_.Refresh(members_);
  quorum_tracker_.UpdateView(now, view_.digest(), view_.incarnation_ids());
}

void Swim::FinishPeriod(TimePoint now) {
  failure_detector_.FinishProbe(now);
  // Missed periods are skipped rather than made up for: answers may still be unread in the socket.
  next_period_at_ =
      std::max(next_period_at_ + local_health_.Scale(options_.period), now + options_.period / 2);
  anti_entropy_.StartPeriod();
  suspicion_timers_.ExpireSuspicions(now, death_verifier_);
  for (const std::string& name : members_.RemoveExpired(now, options_.dead_retention)) {
    anti_entropy_.RemoveMember(name);
  }
}

void Swim::ApplyReport(TimePoint now, const proto::Member& reported, ReportSource source) {
  const ReportEffect effect = members_.ApplyReport(now, reported, source);
  if (effect == ReportEffect::kSuperseded) quorum_tracker_.ResetAfterPause(now);
}

void Swim::HandlePacket(TimePoint now, const std::string& sender_address, const proto::Packet& packet,
                        Outbox& outbox) {
  packets_.SetTime(now);
  ApplyReport(now, packet.sender(), ReportSource::kMember);
  members_.RecordPacket(now, packet.sender(), packet.view());
  for (const proto::Member& reported : packet.gossip()) ApplyReport(now, reported, ReportSource::kGossip);
  if (packet.has_ack()) {
    failure_detector_.HandleAck(now, packet);
    ping_relay_.HandleAck(packet, outbox);
  }
  if (packet.has_nack()) failure_detector_.HandleNack(packet);
  if (packet.has_ping() || packet.has_ack()) {
    anti_entropy_.CompareViews(now, sender_address, packet, quorum_tracker_.view(), outbox);
  }
  if (packet.has_membership_digest()) anti_entropy_.HandleDigest(sender_address, packet, outbox);
  if (packet.has_ping()) HandlePing(sender_address, packet, outbox);
  if (packet.has_ping_request()) ping_relay_.HandlePingRequest(now, sender_address, packet, outbox);
}

void Swim::HandlePing(const std::string& sender_address, const proto::Packet& packet, Outbox& outbox) {
  // If the sender is suspected or dead here, the answer tells it so, and it can refute that.
  const Peer* sender = members_.Find(packet.sender().name());
  if (sender != nullptr && sender->member.state() != proto::Member::ALIVE) {
    gossip_.Enqueue(packet.sender().name());
  }
  OutgoingPacket ack{sender_address, {}};
  ack.packet.mutable_ack()->set_nonce(packet.ping().nonce());
  packets_.AddAcknowledgementAges(AgeRequest::FromPacket(packet), ack.packet);
  packets_.Send(std::move(ack), outbox);
}

void Swim::Leave(Outbox& outbox) {
  members_.MarkSelfLeft();
  for (const auto& [name, peer] : peers()) {
    if (IsRunning(peer.member)) packets_.SendPing(peer.member.address(), packets_.DrawNonce(), outbox);
  }
}

}  // namespace lynxgrade::membership
