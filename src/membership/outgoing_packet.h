// A packet to be sent, with its destination.
#pragma once

#include <string>
#include <vector>

#include "replication/packet.pb.h"

namespace lynxgrade::membership {

// `address` is in the form of Member.address.
struct OutgoingPacket {
  std::string address;
  proto::Packet packet;
};

// Packets to be sent, in this order.
using Outbox = std::vector<OutgoingPacket>;

}  // namespace lynxgrade::membership
