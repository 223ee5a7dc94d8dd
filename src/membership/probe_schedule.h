// Selects the member to probe next: all members in shuffled rounds (SWIM, section 4.3), so that each one is
// probed within a bounded time.
#pragma once

#include <random>
#include <string>
#include <vector>

#include "membership/member_table.h"
#include "membership/quorum_tracker.h"

namespace lynxgrade::membership {

// Holds the members that remain of the current rounds. Not thread-safe.
class ProbeSchedule {
 public:
  // The arguments must outlive the schedule.
  ProbeSchedule(const MemberTable& members, const QuorumTracker& quorum_tracker, std::mt19937_64& random)
      : members_(members), quorum_tracker_(quorum_tracker), random_(random) {}

  // The next member that counts as running; null if there is none. Valid until a member is removed.
  //
  // While ages by block suffice, every second probe goes to a member of this instance's own block: the
  // members of a block aggregate its acknowledgements from each other's answers. Each member of the fleet is
  // then probed within twice as many periods as there are members.
  const Peer* NextTarget(TimePoint now);

 private:
  using Round = std::vector<std::string>;  // member names that remain; the last one is probed next

  // Removes names from the round until one counts as running, and returns it; null if none does.
  const Peer* PopNextRunning(Round& round);
  const Peer* PopNextOfOwnBlock();
  void StartRound();
  void StartOwnBlockRound();

  const MemberTable& members_;
  const QuorumTracker& quorum_tracker_;
  std::mt19937_64& random_;
  Round round_;
  Round own_block_round_;
  bool own_block_next_ = false;
};

}  // namespace lynxgrade::membership
