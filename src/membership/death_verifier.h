// Pings a recently heard member before it is declared dead. A report of its death may come from a member
// whose link to it is broken, or from the other side of a partition.
#pragma once

#include <map>
#include <string>

#include "membership/local_health.h"
#include "membership/outgoing_packet.h"
#include "membership/peer.h"
#include "replication/packet.pb.h"
#include "routing/balancer.h"

namespace lynxgrade::membership {

class MemberTable;
class PacketBuilder;

// Holds the declarations of death that are deferred, each until the member is heard or a timeout expires. Not
// thread-safe.
class DeathVerifier {
 public:
  // `period`: the protocol period. A member counts as recently heard for `recently_heard_periods` periods
  // after its last packet; zero: never, which switches verification off. In a large fleet only few members
  // have been heard recently, so their pings cause no burst.
  DeathVerifier(Duration period, int recently_heard_periods)
      : period_(period), recently_heard_periods_(recently_heard_periods) {}

  // Defers the declaration of death `reported` if the peer was heard recently. Returns whether it did.
  bool DeferDeath(TimePoint now, const Peer& peer, const proto::Member& reported);
  // Pings the members whose declarations were deferred, and declares dead those that were not heard in time.
  void Tick(TimePoint now, MemberTable& members, const LocalHealth& local_health, PacketBuilder& packets,
            Outbox& outbox);
  // Discards the deferred declarations.
  void Clear() { deferred_.clear(); }

 private:
  struct DeferredDeath {
    proto::Member reported;
    TimePoint deferred_at{};
    bool pinged = false;
  };
  Duration period_;
  int recently_heard_periods_;
  std::map<std::string, DeferredDeath> deferred_;  // by member name
};

}  // namespace lynxgrade::membership
