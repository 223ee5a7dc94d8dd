#include "routing/endpoint_list_updater.h"

#include <algorithm>
#include <set>

namespace lynxgrade {
namespace {

constexpr int kMaxErrorDoublings = 4;
constexpr int kErrorBackoffTicks = 4;
// Assumed age of the roles in a delayed list.
constexpr Duration kDelayedListAge{5000000};
// How long a deleted server's state is kept: longer than any observed absence before a server came back.
constexpr Duration kDeletedRetention{30000000};

}  // namespace

void EndpointListUpdater::Apply(const EndpointListEvent& event) {
  if (event.kind == EndpointListKind::kPersisted) {
    // Jitter keeps instances that start together from acting simultaneously.
    context_.SetTimer(TimerKind::kPeriodicTick, context_.Jitter(kTickInterval));
    if (context_.settings().poll_endpoint_list) {
      context_.SetTimer(TimerKind::kWatchEndpointList, context_.Jitter(kTickInterval));
    }
  }
  if (event.kind == EndpointListKind::kError) return HandleError();
  consecutive_errors_ = 0;
  for (const EndpointListEntry& entry : event.entries) ApplyEntry(entry, event.kind);
  if (event.kind != EndpointListKind::kPartial && !context_.settings().unlisted_stay_usable)
    DrainUnlisted(event);
  context_.RequestRetryOfWaiting();
}

void EndpointListUpdater::HandleError() {
  consecutive_errors_ = std::min(consecutive_errors_ + 1, kMaxErrorDoublings);
  if (!context_.settings().poll_endpoint_list) return;
  const Duration backoff = kTickInterval * kErrorBackoffTicks * (1 << consecutive_errors_);
  context_.SetTimer(TimerKind::kWatchEndpointList, context_.Jitter(backoff));
}

void EndpointListUpdater::DrainUnlisted(const EndpointListEvent& event) {
  std::set<ServerId> listed;
  for (const EndpointListEntry& entry : event.entries) listed.insert(entry.server);
  servers_.ForEach([&](Server& server) {
    if (listed.contains(server.id)) return;
    server.draining = true;
    if (!server.deleted_since) server.deleted_since = context_.now();
  });
}

void EndpointListUpdater::ApplyEntry(const EndpointListEntry& entry, EndpointListKind kind) {
  Server& server = servers_.FindOrAdd(entry.server, entry.group, entry.zone);
  server.weight = entry.weight > 0 ? entry.weight : 1;
  // A server listed as draining gets no requests until it is listed as serving again, even if it is deleted
  // in between.
  const bool deleted = entry.lifecycle == Lifecycle::kDeleted;
  const bool deletion_drains = server.draining || !context_.settings().unlisted_stay_usable;
  server.draining = entry.lifecycle == Lifecycle::kDraining || (deleted && deletion_drains);
  if (!server.draining || !deleted) {
    server.deleted_since.reset();
  } else if (!server.deleted_since) {
    server.deleted_since = context_.now();
  }
  if (entry.started && (!server.started || *entry.started > *server.started)) {
    slow_start_.BeginSlowStart(server, *entry.started);
  }
  const ListedRole listed_role = context_.settings().listed_role;
  if (listed_role == ListedRole::kNone) return;
  // A listed role is dated back by the possible age of the list, so that any response or report overrides it.
  const bool is_old = kind == EndpointListKind::kPersisted || listed_role == ListedRole::kInitial;
  const TimePoint as_of = is_old ? TimePoint{} : context_.now() - kDelayedListAge;
  if (entry.primary && (!server.role.as_primary || *server.role.as_primary < as_of)) {
    replication_.RecordRole(server, ServerRole::kPrimary, as_of);
  }
}

bool EndpointListUpdater::IsExpired(const Server& server) const {
  if (!server.deleted_since || context_.now() - *server.deleted_since < kDeletedRetention) return false;
  return !server.health_check.in_flight && server.load.in_flight.empty();
}

}  // namespace lynxgrade
