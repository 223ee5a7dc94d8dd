#include "fleet/discovery_retry_policy.h"

#include <algorithm>

namespace lynxgrade::fleet {
namespace {

constexpr Duration kChangeCountsAsKnown{6000000};
constexpr Duration kMaxSilence{3000000};  // an empty line every 2 s, and one more second on the way
constexpr Duration kSharedAnswer{500000};
constexpr Duration kAgentAnswer{100000};
constexpr Duration kMargin{300000};     // for the event loop, and for the requests being sent
constexpr Duration kLeastWait{200000};  // where the settings leave no time at all
constexpr Duration kMaxCall{1500000};
// One instance's first window; each further instance widens it, so that all together make about fifty calls
// per second in the first round, where the allowed time has room for that.
constexpr Duration kFirstWindow{150000};
constexpr Duration kSpacing{20000};

// All that an agent has counts as known, so that the grace alone is left.
Duration AllowedTime(bool shared, Duration grace) {
  return std::max(kLeastWait * 2, (shared ? kChangeCountsAsKnown : Duration{0}) + grace - kMargin);
}

}  // namespace

DiscoveryRetryPolicy::DiscoveryRetryPolicy(bool shared, std::uint32_t instances, Duration grace)
    : answer_(shared ? kSharedAnswer : kAgentAnswer),
      allowed_(AllowedTime(shared, grace)),
      call_(std::clamp(allowed_ / 2, kLeastWait, kMaxCall)),
      // A call that hangs, the longest wait, and an answer.
      backoff_(shared ? instances : 1, kFirstWindow, kSpacing,
               std::max(kLeastWait, allowed_ - call_ - answer_)) {}

Duration DiscoveryRetryPolicy::max_silence() const { return kMaxSilence; }

Duration DiscoveryRetryPolicy::NextWait(double uniform, Duration quiet) {
  // Two calls before what was missed since the last sign of life binds: the first in half of the time that is
  // left, the second in what is left then. After that only what may change from now on counts.
  const int earlier_failures = backoff_.failures();
  const Duration left = std::max(allowed_, kChangeCountsAsKnown) - answer_ - quiet;
  const Duration wait = backoff_.NextWait(uniform);
  const Duration window = backoff_.WindowAfter(earlier_failures);
  if (earlier_failures > 1 || left <= Duration{0}) {
    // Drawn from the later half where the window may grow no more: the calls of all stay below one rate.
    return backoff_.IsCapped(earlier_failures) ? (window + wait) / 2 : wait;
  }
  const Duration most = earlier_failures == 0 ? left / 2 : left;
  return window <= most ? wait : Scale(most, uniform);
}

}  // namespace lynxgrade::fleet
