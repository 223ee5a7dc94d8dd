// How long a suspicion lasts before the suspected member is declared dead: SWIM's suspicion mechanism with
// Lifeguard's timeout, which is long for a suspicion of one member and shrinks as others confirm it.
#pragma once

#include <cstddef>

#include "membership/death_verifier.h"
#include "membership/member_table.h"
#include "membership/peer.h"
#include "routing/balancer.h"

namespace lynxgrade::membership {

// Timeouts and confirmations of suspicions.
struct SuspicionOptions {
  double min_timeout_periods = 3;  // times log10 of the number of members, where that is above 1
  double max_timeout_factor = 6;   // times that, for a suspicion that nobody has confirmed; 1: not longer
  int confirmations = 3;           // by as many other members, after which the timeout is the minimum
  int recently_heard_periods =
      15;  // a member heard within so many periods is pinged before it is declared dead
};

// When a suspicion began and who has confirmed it is in the member table.
class SuspicionTimers {
 public:
  // `period`: the protocol period. `members` outlives the timers.
  SuspicionTimers(Duration period, SuspicionOptions options, MemberTable& members)
      : period_(period), options_(options), members_(members) {}

  // Declares the members dead whose suspicion has timed out, or defers it by the verifier.
  void ExpireSuspicions(TimePoint now, DeathVerifier& death_verifier);

 private:
  Duration TimeoutOf(const Peer& peer) const;

  Duration period_;
  SuspicionOptions options_;
  MemberTable& members_;
};

}  // namespace lynxgrade::membership
