// The parts that packets of several kinds have in common: the sender, gossip, and acknowledgements of views.
#pragma once

#include <cstdint>
#include <random>
#include <string>

#include "membership/gossip_queue.h"
#include "membership/member_table.h"
#include "membership/outgoing_packet.h"
#include "membership/quorum_tracker.h"
#include "replication/packet.pb.h"
#include "routing/balancer.h"

namespace lynxgrade::membership {

// In which form an instance wants the ages of acknowledgements.
enum class AgeFormat {
  kPerMember,
  kPerBlock,
};

// Whom an answer goes to, as far as its acknowledgement ages depend on it.
struct AgeRequest {
  std::uint64_t incarnation_id = 0;
  std::uint64_t view = 0;  // digest
  AgeFormat format = AgeFormat::kPerMember;

  // What the sender of this ping, or ping request, wants.
  static AgeRequest Of(const proto::Packet& packet);
};

// Reads the other parts of the protocol; owns nothing but the time.
class PacketBuilder {
 public:
  // The arguments outlive the builder. `random` draws the nonces.
  PacketBuilder(const MemberTable& members, GossipQueue& gossip, const QuorumTracker& quorum_tracker,
                std::mt19937_64& random)
      : members_(members), gossip_(gossip), quorum_tracker_(quorum_tracker), random_(random) {}

  // The time at which the following packets are built.
  void SetTime(TimePoint now) { now_ = now; }

  // Adds this instance as the sender, its view, and gossip.
  void AddSenderAndGossip(proto::Packet& packet);
  // Completes the packet by `AddSenderAndGossip`, and queues it.
  void Send(OutgoingPacket packet, Outbox& outbox);
  // Sends a ping, with the state of `subject` as its first gossip if that is not alive. The subject may be
  // the receiver, which then can refute it.
  void SendPing(const std::string& address, std::uint64_t nonce, Outbox& outbox,
                const proto::Member* subject = nullptr);
  // In a ping or ping request: in which form this instance wants the ages.
  void AddAgeFormat(proto::Packet& packet) const;
  // In an answer: adds the ages of acknowledgements.
  void AddAcknowledgementAges(const AgeRequest& request, proto::Packet& packet) const;
  // By which an answer is matched with its ping.
  std::uint64_t DrawNonce() { return random_(); }

 private:
  const MemberTable& members_;
  GossipQueue& gossip_;
  const QuorumTracker& quorum_tracker_;
  std::mt19937_64& random_;
  TimePoint now_{};
};

}  // namespace lynxgrade::membership
