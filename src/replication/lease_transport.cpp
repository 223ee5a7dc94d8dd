#include "replication/lease_transport.h"

#include <set>
#include <tuple>
#include <utility>

#include "replication/packet_codec.h"
#include "replication/packet_limits.h"

namespace lynxgrade::replication {
namespace {

// From this attempt on a message is also sent through another peer, as the direct link may be down.
constexpr int kFirstDetourAttempt = 3;
// How long an incarnation whose packet came through another peer is also answered through that peer.
constexpr Duration kDetourLifetime{2000000};

lease::SessionLeaseClient::Options ClientOptions(lease::SessionLeaseClient::Options options,
                                                 const membership::Swim& swim, std::size_t fleet_size) {
  options.self = swim.self().incarnation_id();
  options.view_validity = swim.acknowledgement_validity();
  options.single_instance = fleet_size == 1;
  return options;
}

lease::LeaseMessageRelay::Options RelayOptions(const lease::SessionLeaseClient::Options& options,
                                               const membership::Swim& swim) {
  lease::LeaseMessageRelay::Options relay;
  relay.self = swim.self().incarnation_id();
  relay.batching_delay = options.batching_delay;
  return relay;
}

TimePoint StartOf(const proto::Member& member) {
  return PositionFromMicroseconds(static_cast<std::int64_t>(member.started_us()));
}

}  // namespace

consistency::SessionWatermarkTable::LookupResult LeaseTransport::GuardWatermarks::FindWatermark(
    consistency::SessionKey key) const {
  return consistency_guard_.watermark_table().Find(key);
}

void LeaseTransport::GuardWatermarks::RecordWatermark(consistency::SessionKey key,
                                                      const consistency::WriteWatermark& watermark) {
  consistency_guard_.LearnWatermark(std::nullopt, key, watermark);
}

LeaseTransport::LeaseTransport(lease::SessionLeaseClient::Options options,
                               const LeaseView::Options& view_options, const membership::Swim& swim,
                               PeerLinks& links, consistency::SessionConsistencyGuard& consistency_guard,
                               ReplicationCounts& counts)
    : links_(links),
      consistency_guard_(consistency_guard),
      counts_(counts),
      watermarks_(consistency_guard),
      client_(ClientOptions(options, swim, view_options.fleet_size), watermarks_, StartOf(swim.self())),
      relay_(RelayOptions(options, swim)),
      view_(view_options, swim, links, client_, relay_),
      timelines_(consistency_guard),
      timeline_requests_(links, consistency_guard, timelines_) {}

void LeaseTransport::Tick(TimePoint now, Outbox& outbox) {
  view_.Update(now, LeaseView::CompletenessCheck::kSkip);
  lease::LeaseOutbox messages;
  client_.Tick(now, messages);
  SendMessages(now, messages, outbox);
  Hops due;
  relay_.FlushDue(now, due);
  SendHops(now, due, outbox);
  timeline_requests_.Tick(now, outbox);
}

std::optional<LogPosition> LeaseTransport::AllWritesKnownAfter(TimePoint now, consistency::SessionKey key) {
  view_.Update(now, LeaseView::CompletenessCheck::kRun);
  return client_.AllWritesKnownAfter(now, key);
}

bool LeaseTransport::MayAnswerWrite(TimePoint now, consistency::SessionKey key) {
  view_.Update(now, LeaseView::CompletenessCheck::kSkip);
  return client_.MayAnswerWrite(now, key);
}

bool LeaseTransport::MayServeRequests(TimePoint now) {
  view_.Update(now, LeaseView::CompletenessCheck::kSkip);
  return client_.HasAcknowledgedView() || !client_.IsBoundByView(now);
}

bool LeaseTransport::AcquireLease(TimePoint now, GroupId group, consistency::SessionKey key,
                                  lease::SessionLeaseClient::Use use, Outbox& outbox) {
  view_.Update(now, LeaseView::CompletenessCheck::kRun);
  lease::LeaseOutbox messages;
  const bool expected = client_.AcquireLease(now, group, key, use, messages);
  SendMessages(now, messages, outbox);
  return expected;
}

void LeaseTransport::ForwardPacket(const proto::Packet& packet, Outbox& outbox) const {
  const proto::LeaseBatch& batch = packet.lease_batch();
  membership::OutgoingPacket forwarded = LeasePacketTo(batch.relay_to(), links_.self_incarnation_id());
  proto::LeaseBatch& forwarded_batch = *forwarded.packet.mutable_lease_batch();
  forwarded_batch = batch;
  forwarded_batch.clear_relay_to();
  forwarded_batch.set_origin_incarnation_id(packet.sender().incarnation_id());
  *forwarded.packet.mutable_timelines() = packet.timelines();
  outbox.push_back(std::move(forwarded));
}

void LeaseTransport::HandlePacket(TimePoint now, const std::string& sender_address,
                                  const proto::Packet& packet, Outbox& outbox) {
  const proto::LeaseBatch& batch = packet.lease_batch();
  if (!batch.relay_to().empty()) return ForwardPacket(packet, outbox);
  lease::IncarnationId origin = packet.sender().incarnation_id();
  if (batch.origin_incarnation_id() != 0) {
    origin = batch.origin_incarnation_id();
    std::erase_if(detours_, [now](const auto& detour) { return detour.second.expires < now; });
    detours_[origin] = {sender_address, now + kDetourLifetime};
  }
  view_.Update(now, LeaseView::CompletenessCheck::kRun);
  LearnTerms(packet, consistency_guard_);
  const std::uint64_t view = BindViewTo(links_.self_incarnation_id(), batch.view_for_incarnation_id());
  lease::LeaseOutbox responses;
  Hops hops;
  for (const proto::LeaseBatch::Entry& entry : batch.entries()) {
    if (!IsKnownKind(entry.kind())) continue;
    Hop hop;
    hop.message = LeaseMessageFrom(entry, view);
    hop.via_relay = batch.relayed();
    hop.origin = entry.origin_incarnation_id();
    hop.relay_to = entry.destination_incarnation_id();
    const lease::IncarnationId author = relay_.Receive(now, origin, hop, hops);
    if (author != 0) client_.HandleMessage(now, author, hop.message, responses);
  }
  SendHops(now, hops, outbox);
  SendMessages(now, responses, outbox);
  if (batch.timelines_requested()) timeline_requests_.SendAllTimelines(now, sender_address, outbox);
  if (batch.unheard_groups_size() > 0) {
    timeline_requests_.SendTimelinesOf(now, batch.unheard_groups(), sender_address, outbox);
  }
}

void LeaseTransport::SendMessages(TimePoint now, const lease::LeaseOutbox& messages, Outbox& outbox) {
  Hops hops;
  for (const lease::OutgoingLeaseMessage& message : messages) relay_.Send(now, message, hops);
  SendHops(now, hops, outbox);
}

void LeaseTransport::SendHops(TimePoint now, const Hops& hops, Outbox& outbox) {
  // Receiver, view, and whether the message is relayed.
  using Destination = std::tuple<lease::IncarnationId, std::uint64_t, bool>;
  std::map<Destination, std::vector<const Hop*>> batches;
  std::set<lease::IncarnationId> unanswered;
  for (const Hop& hop : hops) {
    batches[{hop.receiver, hop.message.view, hop.via_relay}].push_back(&hop);
    if (hop.attempts >= kFirstDetourAttempt) unanswered.insert(hop.receiver);
  }
  for (const auto& [destination, batch] : batches) {
    const lease::IncarnationId receiver = std::get<0>(destination);
    const std::string* address = links_.incarnations().AddressOf(receiver);
    if (address == nullptr) continue;  // the client retries its request, or the lease expires
    for (std::size_t next = 0; next < batch.size();) {
      membership::OutgoingPacket packet = BuildPacket(now, *address, batch, next);
      SendPacket(now, receiver, unanswered.contains(receiver), std::move(packet), outbox);
    }
  }
}

// Builds one packet from the hops that begin at index `next`, and advances `next` past those that fit.
membership::OutgoingPacket LeaseTransport::BuildPacket(TimePoint now, const std::string& address,
                                                       const std::vector<const Hop*>& hops,
                                                       std::size_t& next) const {
  const Hop& first = *hops[next];
  membership::OutgoingPacket packed = LeasePacketTo(address, links_.self_incarnation_id());
  proto::LeaseBatch& batch = *packed.packet.mutable_lease_batch();
  batch.set_view_for_incarnation_id(BindViewTo(first.receiver, first.message.view));
  batch.set_relayed(first.via_relay);
  for (; next < hops.size() && static_cast<std::size_t>(batch.entries_size()) < kLeaseMessagesPerPacket;
       ++next) {
    const Hop& hop = *hops[next];
    proto::LeaseBatch::Entry& entry = *batch.add_entries();
    entry.set_origin_incarnation_id(hop.origin);
    entry.set_destination_incarnation_id(hop.relay_to);
    EncodeLeaseMessage(hop.message, entry);
    if (hop.message.watermark) timelines_.AppendIfRecent(now, hop.message.group, packed.packet);
  }
  return packed;
}

void LeaseTransport::SendPacket(TimePoint now, lease::IncarnationId receiver, bool unanswered,
                                membership::OutgoingPacket packet, Outbox& outbox) {
  ++counts_.packets_sent;
  ++counts_.lease_packets_sent;
  if (const std::string detour = FindDetour(now, receiver, unanswered); !detour.empty()) {
    membership::OutgoingPacket relayed = packet;
    relayed.packet.mutable_lease_batch()->set_relay_to(std::exchange(relayed.address, detour));
    outbox.push_back(std::move(relayed));
  }
  outbox.push_back(std::move(packet));
}

// The address of a peer that is to forward a copy. Empty if none is needed or available.
std::string LeaseTransport::FindDetour(TimePoint now, lease::IncarnationId receiver, bool unanswered) {
  const auto known = detours_.find(receiver);
  if (known != detours_.end() && now <= known->second.expires) return known->second.address;
  return unanswered ? links_.NextLeasePeer(receiver) : std::string();
}

}  // namespace lynxgrade::replication
