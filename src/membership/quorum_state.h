// How much of the fleet is proven to share this instance's view.
#pragma once

namespace lynxgrade::membership {

// In ascending order: each state implies that more of the fleet is reached than in the states before it.
enum class QuorumState {
  kUnknown,         // not proven: the process started or resumed recently, or its view changed recently
  kIsolated,        // no other instance is in reach
  kMinority,        // at most half of the fleet is in reach
  kMajority,        // more than half of the fleet has acknowledged the same view
  kNearlyComplete,  // likewise, and at most a tenth of the fleet or one instance is missing
  kComplete,        // the whole fleet has acknowledged the same view
};

// The name of the state in logs and in the response to the admin query `peers`.
const char* NameOf(QuorumState state);

// Whether more than half of the fleet has acknowledged the same view. Two instances with different views
// never have a majority at the same time.
constexpr bool IsMajority(QuorumState state) { return state >= QuorumState::kMajority; }

}  // namespace lynxgrade::membership
