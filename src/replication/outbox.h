// The packets that an instance is about to send, each with the address of its receiver.
#pragma once

#include <vector>

#include "membership/swim.h"

namespace lynxgrade::replication {

// In the order in which they are to be sent. The caller of the engine owns it, sends its packets and clears
// it.
using Outbox = std::vector<membership::OutgoingPacket>;

}  // namespace lynxgrade::replication
