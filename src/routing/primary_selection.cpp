#include "routing/primary_selection.h"

#include <vector>

namespace lynxgrade {
namespace {

// How long a server seen as a replica is not tried as primary.
constexpr int kReplicaEvidenceTicks = 10;
// Attempts of a request that are not used to search for the primary, but kept for when it is found.
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
  // The request waits for a known primary that is only ejected temporarily or warming up.
  const bool is_known = primary != nullptr && !primary->ejection.IsPresumedDown() && !primary->draining;
  if (role_changed || (is_known && request.primary_misses == 0)) return nullptr;
  return ChooseUnknownServer(request, primary);
}

// The request itself tries a server whose role has not been reported recently, first those of unknown role. A
// misrouted attempt costs the server nothing, while a health check has a price, and in a large fleet one
// instance learns of roles too rarely to wait for it.
Server* PrimarySelection::ChooseUnknownServer(const Request& request, const Server* known_primary) {
  if (request.attempts.size() + kReservedAttempts >= context_.settings().max_attempts) return nullptr;
  std::vector<Server*> unknown_role;
  std::vector<Server*> stale_role;
  for (ServerId id : servers_.GroupOf(request.event.group).servers) {
    Server& server = servers_.At(id);
    if (&server == known_primary || request.misrouted_to.contains(id)) continue;
    if (!server.IsUsable(context_.now()) || !eligibility_.MaySend(request, server)) continue;
    const std::optional<TimePoint>& as_replica = server.role.as_replica;
    if (as_replica && context_.now() - *as_replica < kTickInterval * kReplicaEvidenceTicks) continue;
    (as_replica ? stale_role : unknown_role).push_back(&server);
  }
  const std::vector<Server*>& candidates = unknown_role.empty() ? stale_role : unknown_role;
  return candidates.empty() ? nullptr : candidates[context_.DrawIndex(candidates.size())];
}

}  // namespace lynxgrade
