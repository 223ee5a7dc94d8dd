// The members whose state is still to be disseminated, piggybacked on packets that are sent anyway (SWIM,
// section 4.1).
#pragma once

#include <map>
#include <string>

#include "membership/peer.h"
#include "replication/packet.pb.h"

namespace lynxgrade::membership {

// Holds member names only: a packet gets the state that a member has when the packet is built. Not
// thread-safe.
class GossipQueue {
 public:
  // Queues a member, or resets its count of transmissions if it is queued already.
  void Enqueue(const std::string& name) { transmissions_[name] = 0; }
  // Adds the states of the members with the fewest transmissions to a packet. Discards a member after a
  // number of transmissions that grows with the logarithm of the number of members.
  void AddTo(proto::Packet& packet, const PeerMap& peers);

 private:
  std::map<std::string, int> transmissions_;  // by member name, since it was last queued
};

}  // namespace lynxgrade::membership
