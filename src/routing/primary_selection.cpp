#include "routing/primary_selection.h"

#include <vector>

namespace lynxgrade {
namespace {

// In ticks: how long a server that was found to be a replica is not asked again.
constexpr int kReplicaEvidenceTicks = 10;
// Attempts that are not spent on searching, so that they are left for the primary once it is found.
constexpr std::size_t kReservedAttempts = 2;

}  // namespace

Server* PrimarySelection::Choose(const Request& request) {
  Group& group = servers_.GroupOf(request.event.group);
  Server* primary = replication_.PrimaryOf(request.event.group);
  const bool role_changed = group.role_changes != request.role_changes_seen;
  const bool usable = primary != nullptr && primary->IsUsable(context_.now());
  if (usable && eligibility_.MaySend(request, *primary)) {
    const bool untried = request.primary_misses == 0 ||
                         (request.primary_misses == 1 && !request.misrouted_to.contains(primary->id));
    if (untried || role_changed) return primary;
  }
  if (!usable) group.searching_primary = true;
  // A known primary that is only ejected for a while, or warming up, is waited for.
  const bool is_known = primary != nullptr && !primary->ejection.SeemsLost() && !primary->draining;
  if (role_changed || (is_known && request.primary_misses == 0)) return nullptr;
  return ChooseUnknownServer(request, primary);
}

// The request itself asks a server whose role was not heard of lately, those never heard of first. Such an
// attempt costs a server nothing, while a health check has a price, and one instance of many hears of a role
// too seldom to wait for it.
Server* PrimarySelection::ChooseUnknownServer(const Request& request, const Server* known_primary) {
  if (request.attempts.size() + kReservedAttempts >= context_.settings().max_attempts) return nullptr;
  std::vector<Server*> never_heard;
  std::vector<Server*> heard_long_ago;
  for (ServerId id : servers_.GroupOf(request.event.group).servers) {
    Server& server = servers_.At(id);
    if (&server == known_primary || request.misrouted_to.contains(id)) continue;
    if (!server.IsUsable(context_.now()) || !eligibility_.MaySend(request, server)) continue;
    const std::optional<TimePoint>& as_replica = server.role.as_replica;
    if (as_replica && context_.now() - *as_replica < kTickInterval * kReplicaEvidenceTicks) continue;
    (as_replica ? heard_long_ago : never_heard).push_back(&server);
  }
  const std::vector<Server*>& candidates = never_heard.empty() ? heard_long_ago : never_heard;
  return candidates.empty() ? nullptr : candidates[context_.DrawIndex(candidates.size())];
}

}  // namespace lynxgrade
