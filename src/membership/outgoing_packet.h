// A packet that is to be sent, and to whom.
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

// In the order of sending.
using Outbox = std::vector<OutgoingPacket>;

}  // namespace lynxgrade::membership
