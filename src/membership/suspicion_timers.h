// The time from a suspicion until the suspected member is declared dead: SWIM's suspicion mechanism with
// Lifeguard's timeout, which is long for a single suspector and shrinks as other members confirm the
// suspicion.
#pragma once

#include <cstddef>

#include "membership/death_verifier.h"
#include "membership/member_table.h"
#include "membership/peer.h"
#include "routing/balancer.h"

namespace lynxgrade::membership {

// Timeouts and confirmations of suspicions. Periods are protocol periods.
struct SuspicionOptions {
  // The minimum timeout, multiplied by log10 of the number of members if that is above 1.
  double min_timeout_periods = 3;
  // Factor of the minimum that gives the timeout of an unconfirmed suspicion. 1: confirmations have no
  // effect.
  double max_timeout_factor = 6;
  // Number of confirming members at which the timeout is the minimum.
  int confirmations = 3;
  // A member heard within this number of periods is pinged before it is declared dead; 0: never.
  int recently_heard_periods = 15;
};

// The start of a suspicion and its suspectors are in the member table. Not thread-safe.
class SuspicionTimers {
 public:
  // `period`: the protocol period. `members` must outlive the timers.
  SuspicionTimers(Duration period, SuspicionOptions options, MemberTable& members)
      : period_(period), options_(options), members_(members) {}

  // Declares the members dead whose suspicion timeout has expired, unless the verifier defers this.
  void ExpireSuspicions(TimePoint now, DeathVerifier& death_verifier);

 private:
  Duration TimeoutOf(const Peer& peer) const;

  Duration period_;
  SuspicionOptions options_;
  MemberTable& members_;
};

}  // namespace lynxgrade::membership
