// How much of the fleet provably shares this instance's view.
#pragma once

namespace lynxgrade::membership {

// Ascending: each later state implies that more of the fleet is reached.
enum class QuorumState {
  kUnknown,         // nothing is proven: just started, paused for a while, or the view has just changed
  kIsolated,        // no other instance is in reach
  kMinority,        // half of the fleet or less
  kMajority,        // more than half, all of which have acknowledged the same view
  kNearlyComplete,  // all but a tenth, or all but one
  kComplete,        // the complete fleet
};

// The state's name in logs and in the operators' JSON.
const char* NameOf(QuorumState state);

// Whether more than half of the fleet has acknowledged one view. Of two instances of different views at most
// one has a majority at any moment.
constexpr bool IsMajority(QuorumState state) { return state >= QuorumState::kMajority; }

}  // namespace lynxgrade::membership
