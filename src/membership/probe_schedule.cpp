#include "membership/probe_schedule.h"

#include <algorithm>
#include <cstdint>
#include <span>

namespace lynxgrade::membership {

const Peer* ProbeSchedule::NextTarget(TimePoint now) {
  own_block_next_ = !own_block_next_ && quorum_tracker_.BlockAcknowledgementsSuffice(now);
  if (own_block_next_) {
    if (const Peer* peer = PopNextOfOwnBlock()) return peer;
  }
  // All members that remain of a round may have stopped running since it was shuffled: then start a new one.
  for (int rounds = 0; rounds < 2; ++rounds) {
    if (const Peer* peer = PopNextRunning(round_)) return peer;
    StartRound();
  }
  return nullptr;
}

const Peer* ProbeSchedule::PopNextRunning(Round& round) {
  while (!round.empty()) {
    const Peer* peer = members_.Find(round.back());
    round.pop_back();
    if (peer != nullptr && IsRunning(peer->member)) return peer;
  }
  return nullptr;
}

const Peer* ProbeSchedule::PopNextOfOwnBlock() {
  if (const Peer* peer = PopNextRunning(own_block_round_)) return peer;
  StartOwnBlockRound();
  return PopNextRunning(own_block_round_);
}

void ProbeSchedule::StartRound() {
  for (const auto& [name, peer] : members_.peers()) round_.push_back(name);
  std::shuffle(round_.begin(), round_.end(), random_);
}

void ProbeSchedule::StartOwnBlockRound() {
  const std::span<const std::uint64_t> block = quorum_tracker_.OwnBlock();
  for (const auto& [name, peer] : members_.peers()) {
    if (std::ranges::binary_search(block, peer.member.incarnation_id())) own_block_round_.push_back(name);
  }
  std::shuffle(own_block_round_.begin(), own_block_round_.end(), random_);
}

}  // namespace lynxgrade::membership
