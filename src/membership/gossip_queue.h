// Which members' news is still to be spread, piggybacked on packets that are sent anyway (SWIM, section 4.1).
#pragma once

#include <map>
#include <string>

#include "membership/peer.h"
#include "replication/packet.pb.h"

namespace lynxgrade::membership {

// Holds names only: the state that is sent is the present one.
class GossipQueue {
 public:
  // Queues the state of this member, as it then is, afresh.
  void Enqueue(const std::string& name) { transmissions_[name] = 0; }
  // Adds the states that have been sent least often, and discards those that were sent often enough: some
  // times the logarithm of the number of members.
  void AddTo(proto::Packet& packet, const PeerMap& peers);

 private:
  std::map<std::string, int> transmissions_;  // by member, since it was queued
};

}  // namespace lynxgrade::membership
