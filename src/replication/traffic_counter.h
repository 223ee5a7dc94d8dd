// Counts packets and bytes by kind of message.
#pragma once

#include <cstddef>

#include "replication/packet.pb.h"
#include "replication/traffic.h"

namespace lynxgrade::replication {

// Adds one packet, whose datagram has `datagram_bytes`, to `counts`.
void CountPacket(const proto::Packet& packet, std::size_t datagram_bytes, Traffic::Counts& counts);

}  // namespace lynxgrade::replication
