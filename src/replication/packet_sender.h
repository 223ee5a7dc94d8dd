// Adds the common parts of a packet to a peer and queues it.
#pragma once

#include <string>
#include <utility>

#include "membership/swim.h"
#include "replication/outbox.h"
#include "replication/replication_counts.h"

namespace lynxgrade::replication {

class PacketSender {
 public:
  // Both must outlive the sender.
  PacketSender(membership::Swim& swim, ReplicationCounts& counts) : swim_(swim), counts_(counts) {}

  // Adds this instance's membership entry and piggybacked membership gossip to the packet and queues it.
  void Send(const std::string& address, proto::Packet packet, Outbox& outbox) {
    swim_.AddSenderAndGossip(packet);
    ++counts_.packets_sent;
    outbox.push_back({address, std::move(packet)});
  }

 private:
  membership::Swim& swim_;
  ReplicationCounts& counts_;
};

}  // namespace lynxgrade::replication
