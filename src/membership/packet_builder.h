// Builds the parts that several kinds of packets share: the sender, gossip, and view acknowledgements.
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

// The form in which an instance requests the ages of view acknowledgements.
enum class AgeFormat {
  kPerMember,
  kPerBlock,
};

// What the acknowledgement ages of an answer depend on: their requester, its view, and the requested form.
struct AgeRequest {
  std::uint64_t incarnation_id = 0;  // of the requester
  std::uint64_t view = 0;            // digest of the requester's view
  AgeFormat format = AgeFormat::kPerMember;

  // The request in a ping or ping request.
  static AgeRequest FromPacket(const proto::Packet& packet);
};

// Reads the member table and the quorum tracker, which it does not own. Not thread-safe.
class PacketBuilder {
 public:
  // The arguments must outlive the builder. Nonces are drawn from `random`.
  PacketBuilder(const MemberTable& members, GossipQueue& gossip, const QuorumTracker& quorum_tracker,
                std::mt19937_64& random)
      : members_(members), gossip_(gossip), quorum_tracker_(quorum_tracker), random_(random) {}

  // Sets the time at which the following packets are built.
  void SetTime(TimePoint now) { now_ = now; }

  // Adds this instance as the sender, its view, and gossip.
  void AddSenderAndGossip(proto::Packet& packet);
  // Completes the packet with `AddSenderAndGossip` and appends it to the outbox.
  void Send(OutgoingPacket packet, Outbox& outbox);
  // Sends a ping. If `subject` is not alive, its state is the first gossip of the packet: a subject that is
  // the receiver can then refute it.
  void SendPing(const std::string& address, std::uint64_t nonce, Outbox& outbox,
                const proto::Member* subject = nullptr);
  // Adds to a ping or ping request the form in which this instance requests the ages.
  void AddAgeFormat(proto::Packet& packet) const;
  // Adds the requested ages of view acknowledgements to an answer.
  void AddAcknowledgementAges(const AgeRequest& request, proto::Packet& packet) const;
  // A nonce by which the answer to a ping is recognized.
  std::uint64_t DrawNonce() { return random_(); }

 private:
  const MemberTable& members_;
  GossipQueue& gossip_;
  const QuorumTracker& quorum_tracker_;
  std::mt19937_64& random_;
  TimePoint now_{};
};

}  // namespace lynxgrade::membership
