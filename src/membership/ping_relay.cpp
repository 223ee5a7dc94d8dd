#include "membership/ping_relay.h"

#include <utility>

namespace lynxgrade::membership {
namespace {

// Tenths of a protocol period after which a Nack is sent, so that it arrives before the requester's period
// ends.
constexpr int kNackDelayTenths = 4;

}  // namespace

void PingRelay::HandlePingRequest(TimePoint now, const std::string& sender_address,
                                  const proto::Packet& packet, Outbox& outbox) {
  const std::uint64_t nonce = packets_.DrawNonce();
  requests_[nonce] = Request{.requester_address = sender_address,
                             .requester_nonce = packet.ping_request().nonce(),
                             .expires_at = now + period_,
                             .nack_due_at = now + period_ * kNackDelayTenths / 10,
                             .age_request = AgeRequest::FromPacket(packet)};
  packets_.SendPing(packet.ping_request().address(), nonce, outbox);
}

void PingRelay::HandleAck(const proto::Packet& packet, Outbox& outbox) {
  const auto found = requests_.find(packet.ack().nonce());
  if (found == requests_.end()) return;
  // An answer of a process other than the known one of its name is not relayed as an answer of the known one.
  const Peer* sender = members_.Find(packet.sender().name());
  if (sender != nullptr && sender->member.incarnation_id() != packet.sender().incarnation_id()) return;
  OutgoingPacket ack{found->second.requester_address, {}};
  ack.packet.mutable_ack()->set_nonce(found->second.requester_nonce);
  packets_.AddAcknowledgementAges(found->second.age_request, ack.packet);
  requests_.erase(found);
  packets_.Send(std::move(ack), outbox);
}

void PingRelay::Tick(TimePoint now, Outbox& outbox) {
  for (auto& [nonce, request] : requests_) {
    if (request.nack_sent || now < request.nack_due_at) continue;
    request.nack_sent = true;
    OutgoingPacket nack{request.requester_address, {}};
    nack.packet.mutable_nack()->set_nonce(request.requester_nonce);
    packets_.AddAcknowledgementAges(request.age_request, nack.packet);
    packets_.Send(std::move(nack), outbox);
  }
  std::erase_if(requests_, [now](const auto& item) { return item.second.expires_at < now; });
}

}  // namespace lynxgrade::membership
