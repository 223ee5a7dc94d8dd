#include "membership/quorum_state.h"

namespace lynxgrade::membership {

const char* NameOf(QuorumState state) {
  switch (state) {
    case QuorumState::kUnknown:
      return "in doubt";
    case QuorumState::kIsolated:
      return "alone";
    case QuorumState::kMinority:
      return "smaller part";
    case QuorumState::kMajority:
      return "larger part";
    case QuorumState::kNearlyComplete:
      return "some missing";
    case QuorumState::kComplete:
      return "whole";
  }
  return "";
}

}  // namespace lynxgrade::membership
