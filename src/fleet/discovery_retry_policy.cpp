#include "fleet/discovery_retry_policy.h"

#include <algorithm>

namespace lynxgrade::fleet {
namespace {

constexpr Duration kListPropagationTime{6000000};  // after which a change counts as known
constexpr Duration kMaxSilence{3000000};           // an empty line every 2 s, and up to 1 s of delay
constexpr Duration kSharedAnswerTime{500000};      // of a service that answers all instances
constexpr Duration kAgentAnswerTime{100000};       // of an agent, which answers at once
constexpr Duration kSchedulingMargin{300000};      // for event loop delay and requests that are being sent
constexpr Duration kMinWait{200000};               // if the settings leave no time for a wait or a call
constexpr Duration kMaxCallTimeout{1500000};
// First window of a single instance. Each further instance widens it, so that the whole fleet makes about 50
// calls per second in the first round if the allowed time suffices.
constexpr Duration kInitialWindow{150000};
constexpr Duration kWindowPerInstance{20000};

// What an agent has counts as known immediately, which leaves only the drain grace.
Duration AllowedTime(bool shared, Duration grace) {
  return std::max(kMinWait * 2, (shared ? kListPropagationTime : Duration{0}) + grace - kSchedulingMargin);
}

}  // namespace

DiscoveryRetryPolicy::DiscoveryRetryPolicy(bool shared, std::uint32_t instances, Duration grace)
    : answer_time_(shared ? kSharedAnswerTime : kAgentAnswerTime),
      allowed_(AllowedTime(shared, grace)),
      call_timeout_(std::clamp(allowed_ / 2, kMinWait, kMaxCallTimeout)),
      // The allowed time covers a call that hangs, the longest wait, and an answer.
      backoff_(shared ? instances : 1, kInitialWindow, kWindowPerInstance,
               std::max(kMinWait, allowed_ - call_timeout_ - answer_time_)) {}

Duration DiscoveryRetryPolicy::max_silence() const { return kMaxSilence; }

Duration DiscoveryRetryPolicy::NextWait(double uniform, Duration quiet) {
  // Two calls are made before a change missed since the last data must be in use: the first within half of
  // the remaining time, the second within the rest. After that, only changes from now on matter.
  const int earlier_failures = backoff_.failures();
  const Duration left = std::max(allowed_, kListPropagationTime) - answer_time_ - quiet;
  const Duration wait = backoff_.NextWait(uniform);
  const Duration window = backoff_.WindowAfter(earlier_failures);
  if (earlier_failures > 1 || left <= Duration{0}) {
    // At the maximum window the wait is drawn from its second half, which limits the call rate of the fleet.
    return backoff_.IsCapped(earlier_failures) ? (window + wait) / 2 : wait;
  }
  const Duration max_wait = earlier_failures == 0 ? left / 2 : left;
  return window <= max_wait ? wait : Scale(max_wait, uniform);
}

}  // namespace lynxgrade::fleet
