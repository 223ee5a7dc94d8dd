// Pings a member that was heard recently before it is declared dead. A report of its death may come from one
// that cannot reach it over a broken link, or from the other side of a partition.
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

// Declarations of death that are deferred until the member has been heard, or a timeout.
class DeathVerifier {
 public:
  // `period`: the protocol period. A member counts as recently heard for `recent_periods` of them; zero:
  // never. So few of a large fleet have been heard recently that pinging them causes no burst.
  DeathVerifier(Duration period, int recent_periods) : period_(period), recent_periods_(recent_periods) {}

  // Whether the declaration of death `reported` has to wait, as the peer was heard recently.
  bool Defer(TimePoint now, const Peer& peer, const proto::Member& reported);
  // Pings the members whose death was deferred, and declares dead those that have not been heard in time.
  void Tick(TimePoint now, MemberTable& members, const LocalHealth& local_health, PacketBuilder& packets,
            Outbox& outbox);
  // Drops what was deferred.
  void Clear() { deferred_.clear(); }

 private:
  struct DeferredDeath {
    proto::Member reported;
    TimePoint at{};
    bool pinged = false;
  };
  Duration period_;
  int recent_periods_;
  std::map<std::string, DeferredDeath> deferred_;  // by member name
};

}  // namespace lynxgrade::membership
