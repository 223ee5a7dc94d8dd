#include "membership/packet_builder.h"

#include <utility>

namespace lynxgrade::membership {
namespace {

constexpr std::uint32_t kPacketVersion = 1;
// A ping requests ages by block if its `block_acknowledgement_ages` is not empty, whatever it contains.
constexpr const char* kRequestAgesPerBlock = "b";

}  // namespace

AgeRequest AgeRequest::FromPacket(const proto::Packet& packet) {
  return {packet.sender().incarnation_id(), packet.view(),
          packet.block_acknowledgement_ages().empty() ? AgeFormat::kPerMember : AgeFormat::kPerBlock};
}

void PacketBuilder::AddSenderAndGossip(proto::Packet& packet) {
  packet.set_version(kPacketVersion);
  *packet.mutable_sender() = members_.self();
  packet.set_view(quorum_tracker_.view());
  packet.set_view_acknowledged(quorum_tracker_.AcknowledgedView(now_) != 0);
  gossip_.AddTo(packet, members_.peers());
}

void PacketBuilder::Send(OutgoingPacket packet, Outbox& outbox) {
  AddSenderAndGossip(packet.packet);
  outbox.push_back(std::move(packet));
}

void PacketBuilder::SendPing(const std::string& address, std::uint64_t nonce, Outbox& outbox,
                             const proto::Member* subject) {
  OutgoingPacket ping{address, {}};
  ping.packet.mutable_ping()->set_nonce(nonce);
  if (subject != nullptr && subject->state() != proto::Member::ALIVE) *ping.packet.add_gossip() = *subject;
  AddAgeFormat(ping.packet);
  Send(std::move(ping), outbox);
}

void PacketBuilder::AddAgeFormat(proto::Packet& packet) const {
  if (quorum_tracker_.BlockAcknowledgementsSuffice(now_)) {
    packet.set_block_acknowledgement_ages(kRequestAgesPerBlock);
  }
}

void PacketBuilder::AddAcknowledgementAges(const AgeRequest& request, proto::Packet& packet) const {
  switch (request.format) {
    case AgeFormat::kPerMember:
      packet.set_acknowledgement_ages(quorum_tracker_.AcknowledgementAges(now_, request.view));
      break;
    case AgeFormat::kPerBlock:
      packet.set_block_acknowledgement_ages(
          quorum_tracker_.BlockAcknowledgementAges(now_, request.view, request.incarnation_id));
      break;
  }
}

}  // namespace lynxgrade::membership
