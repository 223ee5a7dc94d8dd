#include "membership/suspicion_timers.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace lynxgrade::membership {

void SuspicionTimers::ExpireSuspicions(TimePoint now, DeathVerifier& death_verifier) {
  for (auto& [name, peer] : members_.peers()) {
    if (peer.member.state() != proto::Member::SUSPECT) continue;
    if (now - peer.state_changed_at < TimeoutOf(peer)) continue;
    proto::Member dead = peer.member;
    dead.set_state(proto::Member::DEAD);
    if (!death_verifier.DeferDeath(now, peer, dead)) members_.SetState(now, peer, proto::Member::DEAD);
  }
}

Duration SuspicionTimers::TimeoutOf(const Peer& peer) const {
  const auto running = static_cast<double>(members_.RunningCount());
  const double min_periods = std::max(1.0, std::log10(running + 1)) * options_.min_timeout_periods;
  const double max_periods = min_periods * std::max(1.0, options_.max_timeout_factor);
  // In a small fleet fewer members than that can confirm: not the suspected one and not the first suspector.
  const double max_confirmations = std::min(static_cast<double>(options_.confirmations), running - 2);
  const double confirmations = peer.suspectors.empty() ? 0 : static_cast<double>(peer.suspectors.size()) - 1;
  const double progress =
      max_confirmations < 1 ? 1 : std::log(confirmations + 1) / std::log(max_confirmations + 1);
  const double periods = std::max(min_periods, max_periods - (max_periods - min_periods) * progress);
  return Duration(static_cast<std::int64_t>(periods * static_cast<double>(period_.count())));
}

}  // namespace lynxgrade::membership
