#include "membership/failure_detector.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace lynxgrade::membership {
namespace {

// An answer is due within a protocol period divided by this; after that indirect probes are requested.
constexpr int kAckTimeoutDivisor = 3;
// Members of this protocol version or a later one send Nacks.
constexpr std::uint32_t kNackProtocolVersion = 1;
// Protocol periods between pings of dead members. Not scaled by local health: after a partition the local
// health of all instances is bad, and it would take minutes until they find each other.
constexpr int kDeadPingPeriods = 5;
// A new measurement has the weight 1/8 in the smoothed round-trip time, as in RFC 6298.
constexpr int kRoundTripSmoothingDivisor = 8;

}  // namespace

FailureDetector::FailureDetector(Duration period, ProbeOptions options, MemberTable& members,
                                 LocalHealth& local_health, QuorumTracker& quorum_tracker,
                                 PacketBuilder& packets, std::mt19937_64& random)
    : period_(period),
      options_(options),
      members_(members),
      local_health_(local_health),
      quorum_tracker_(quorum_tracker),
      packets_(packets),
      random_(random),
      schedule_(members, quorum_tracker, random) {}

void FailureDetector::StartProbe(TimePoint now, Outbox& outbox) {
  const Peer* peer = schedule_.NextTarget(now);
  if (peer == nullptr) return;
  probe_ = Probe{.name = peer->member.name(), .nonce = packets_.DrawNonce(), .sent = now};
  packets_.SendPing(peer->member.address(), probe_->nonce, outbox, &peer->member);
}

void FailureDetector::ContinueProbe(TimePoint now, Outbox& outbox) {
  const Peer* target = probe_ ? members_.Find(probe_->name) : nullptr;
  if (target == nullptr) return;
  const Duration ack_timeout = local_health_.Scale(period_ / kAckTimeoutDivisor);
  const Duration waited = now - probe_->sent;
  const bool request = !probe_->indirect && waited >= ack_timeout;
  const bool repeat = options_.repeat_pings && (request || (!probe_->repeated && waited >= ack_timeout * 2));
  const std::string& address = target->member.address();
  if (repeat) {
    // With packet loss this prevents most false suspicions, each of which would be gossiped.
    probe_->repeated = !request;
    packets_.SendPing(address, probe_->nonce, outbox, &target->member);
  }
  if (!request) return;
  probe_->indirect = true;
  RequestIndirectProbes(address, outbox);
}

void FailureDetector::RequestIndirectProbes(const std::string& address, Outbox& outbox) {
  std::vector<const Peer*> others;
  for (const auto& [name, peer] : members_.peers()) {
    if (name != probe_->name && peer.member.state() == proto::Member::ALIVE) others.push_back(&peer);
  }
  std::shuffle(others.begin(), others.end(), random_);
  if (others.size() > static_cast<std::size_t>(options_.indirect_probes)) {
    others.resize(static_cast<std::size_t>(options_.indirect_probes));
  }
  for (const Peer* other : others) {
    if (other->member.protocol_version() >= kNackProtocolVersion) ++probe_->nack_capable_requests;
    OutgoingPacket request{other->member.address(), {}};
    request.packet.mutable_ping_request()->set_address(address);
    request.packet.mutable_ping_request()->set_nonce(probe_->nonce);
    packets_.AddAgeFormat(request.packet);
    packets_.Send(std::move(request), outbox);
  }
}

void FailureDetector::FinishProbe(TimePoint now) {
  if (!probe_) return;
  const Probe probe = *std::exchange(probe_, std::nullopt);
  const int missing_nacks = probe.nack_capable_requests - probe.nacks;
  local_health_.Adjust(probe.nack_capable_requests > 0 ? missing_nacks : 1);
  Peer* peer = members_.Find(probe.name);
  if (peer != nullptr && IsRunning(peer->member)) members_.Suspect(now, *peer);
}

void FailureDetector::HandleAck(TimePoint now, const proto::Packet& packet) {
  if (!probe_ || packet.ack().nonce() != probe_->nonce) return;
  Peer* peer = members_.Find(probe_->name);
  // An answer of an earlier or later process of the same name is no answer of the probed process.
  const bool is_other_process = peer != nullptr && packet.sender().name() == probe_->name &&
                                packet.sender().incarnation_id() != peer->member.incarnation_id();
  if (is_other_process) return;
  if (peer != nullptr && peer->member.state() == proto::Member::SUSPECT) {
    members_.SetState(now, *peer, proto::Member::ALIVE);
  }
  RecordAcknowledgements(packet);
  UpdateRoundTrip(now, packet);
  probe_.reset();
  local_health_.Adjust(-1);
}

void FailureDetector::HandleNack(const proto::Packet& packet) {
  if (!probe_ || packet.nack().nonce() != probe_->nonce) return;
  ++probe_->nacks;
  RecordAcknowledgements(packet);
}

void FailureDetector::RecordAcknowledgements(const proto::Packet& packet) {
  quorum_tracker_.RecordAcknowledgement(packet.sender().incarnation_id(), probe_->sent,
                                        packet.view_acknowledged() ? packet.view() : 0);
  quorum_tracker_.MergeAcknowledgementAges(probe_->sent, packet.view(), packet.acknowledgement_ages());
  quorum_tracker_.MergeBlockAcknowledgementAges(probe_->sent, packet.view(),
                                                packet.block_acknowledgement_ages());
}

void FailureDetector::UpdateRoundTrip(TimePoint now, const proto::Packet& packet) {
  // For a repeated ping it is unknown which transmission was answered (Karn's algorithm).
  if (probe_->indirect || probe_->repeated || packet.sender().name() != probe_->name) return;
  Peer* peer = members_.Find(probe_->name);
  if (peer == nullptr) return;
  const Duration measured = now - probe_->sent;
  std::optional<Duration>& smoothed = peer->round_trip;
  smoothed = smoothed ? *smoothed + (measured - *smoothed) / kRoundTripSmoothingDivisor : measured;
}

void FailureDetector::PingDeadMember(TimePoint now, Outbox& outbox) {
  if (now < next_dead_ping_at_) return;
  next_dead_ping_at_ = now + period_ * kDeadPingPeriods;
  std::vector<const Peer*> dead;
  for (const auto& [name, peer] : members_.peers()) {
    if (peer.member.state() == proto::Member::DEAD) dead.push_back(&peer);
  }
  if (dead.empty()) return;
  const Peer& peer = *dead[random_() % dead.size()];
  // The ping carries the member's state. A running member refutes it, and the refutation spreads by gossip.
  packets_.SendPing(peer.member.address(), packets_.DrawNonce(), outbox, &peer.member);
}

}  // namespace lynxgrade::membership
