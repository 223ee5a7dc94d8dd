#include "fleet/discovery_retry_policy.h"

#include <algorithm>

namespace lynxgrade::fleet {
namespace {

constexpr Duration kTold{6000000};     // by which a change counts as told
constexpr Duration kSilence{3000000};  // an empty line every 2 s, and one more second on the way
constexpr Duration kAnswer{500000};    // for a call that comes through at a shared service,
constexpr Duration kAgents{100000};    // and at an agent, which answers at once
constexpr Duration kMargin{300000};    // for the loop, and for the sends under way
constexpr Duration kShortest{200000};  // that a call is given where the settings leave no time at all
constexpr Duration kMostCall{1500000};
// One instance's first wait is up to this; each further one widens it, so that all together make about fifty
// calls a second in the first round, where the allowed time has room for that.
constexpr Duration kFirstWait{150000};
constexpr Duration kSpacing{20000};

// All that an agent has counts as told: the grace alone is left.
Duration Allowed(bool shared, Duration grace) {
  return std::max(kShortest * 2, (shared ? kTold : Duration{0}) + grace - kMargin);
}

}  // namespace

DiscoveryRetryPolicy::DiscoveryRetryPolicy(bool shared, std::uint32_t instances, Duration grace)
    : answer_(shared ? kAnswer : kAgents),
      allowed_(Allowed(shared, grace)),
      call_(std::clamp(allowed_ / 2, kShortest, kMostCall)),
      // A call that hangs, the longest wait, and an answer.
      backoff_(shared ? instances : 1, kFirstWait, kSpacing,
               std::max(kShortest, allowed_ - call_ - answer_)) {}

Duration DiscoveryRetryPolicy::silence() const { return kSilence; }

Duration DiscoveryRetryPolicy::Next(double chance, Duration quiet) {
  // Two calls before what was missed since the last sign of life binds: the first in half of the time that is
  // left, the second in what is left then. After that only what may change from now on counts.
  const int before = backoff_.failures();
  const Duration left = std::max(allowed_, kTold) - answer_ - quiet;
  const Duration wait = backoff_.Next(chance);
  if (before > 1 || left <= Duration{0}) {
    // Drawn from the later half where the window may grow no more: the calls of all stay under one rate.
    return backoff_.Capped(before) ? (backoff_.Window(before) + wait) / 2 : wait;
  }
  const Duration most = before == 0 ? left / 2 : left;
  const Duration window = backoff_.Window(before);
  if (window <= most) return wait;
  return Duration(static_cast<std::int64_t>(chance * static_cast<double>(most.count())));
}

}  // namespace lynxgrade::fleet
