// Which member is probed next: all in shuffled rounds (SWIM, section 4.3), so that each is probed within a
// bounded time.
#pragma once

#include <random>
#include <string>
#include <vector>

#include "membership/member_table.h"
#include "membership/quorum_tracker.h"

namespace lynxgrade::membership {

// The rest of the current rounds.
class ProbeSchedule {
 public:
  // The arguments outlive the schedule.
  ProbeSchedule(const MemberTable& members, const QuorumTracker& quorum_tracker, std::mt19937_64& random)
      : members_(members), quorum_tracker_(quorum_tracker), random_(random) {}

  // The next member that counts as running; null where there is none. Valid until a member is removed.
  //
  // While acknowledgements by block suffice every other probe goes to this instance's own block: a block's
  // acknowledgements are aggregated by its members, from the answers of each other. Each member of the fleet
  // is then probed within twice as many periods as there are members.
  const Peer* Next(TimePoint now);

 private:
  using Round = std::vector<std::string>;  // names that remain, the next last

  // The next of this round that counts as running.
  const Peer* NextOf(Round& round);
  const Peer* NextOfOwnBlock();
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
