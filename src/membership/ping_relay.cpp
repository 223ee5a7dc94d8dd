#include "membership/ping_relay.h"

#include <utility>

namespace lynxgrade::membership {
namespace {

// Tenths of a period after which a Nack is sent, early enough to arrive within the requester's period.
constexpr int kNackDelayTenths = 4;

}  // namespace

void PingRelay::HandlePingRequest(TimePoint now, const std::string& sender_address,
                                  const proto::Packet& packet, Outbox& outbox) {
  const std::uint64_t nonce = packets_.DrawNonce();
  requests_[nonce] = Request{.address = sender_address,
                             .nonce = packet.ping_request().nonce(),
                             .expires = now + period_,
                             .nack_due = now + period_ * kNackDelayTenths / 10,
                             .age_request = AgeRequest::Of(packet)};
  packets_.SendPing(packet.ping_request().address(), nonce, outbox);
}

void PingRelay::HandleAck(const proto::Packet& packet, Outbox& outbox) {
  const auto found = requests_.find(packet.ack().nonce());
  if (found == requests_.end()) return;
  // The answer of one process is not passed on as that of another, which is the known one of its name.
  const Peer* sender = members_.Find(packet.sender().name());
  if (sender != nullptr && sender->member.incarnation_id() != packet.sender().incarnation_id()) return;
  OutgoingPacket ack{found->second.address, {}};
  ack.packet.mutable_ack()->set_nonce(found->second.nonce);
  packets_.AddAcknowledgementAges(found->second.age_request, ack.packet);
  requests_.erase(found);
  packets_.Send(std::move(ack), outbox);
}

void PingRelay::Tick(TimePoint now, Outbox& outbox) {
  for (auto& [nonce, request] : requests_) {
    if (request.nack_sent || now < request.nack_due) continue;
    request.nack_sent = true;
    OutgoingPacket nack{request.address, {}};
    nack.packet.mutable_nack()->set_nonce(request.nonce);
    packets_.AddAcknowledgementAges(request.age_request, nack.packet);
    packets_.Send(std::move(nack), outbox);
  }
  std::erase_if(requests_, [now](const auto& item) { return item.second.expires < now; });
}

}  // namespace lynxgrade::membership
