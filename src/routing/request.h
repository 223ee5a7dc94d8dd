// A request that has no final answer yet, and the attempts that were made for it.
#pragma once

#include <set>
#include <vector>

#include "routing/events.h"
#include "routing/settings.h"

namespace lynxgrade {

struct Attempt {
  ServerId server{};
  ZoneIndex zone = 0;  // of the server
  TimePoint sent{};
  bool pending = true;
  bool may_have_run = true;
  bool reached_server = true;  // as far as is known
};

struct Request {
  RequestEvent event;
  TimePoint arrived{};
  // When the client first asked for this, as far as can be estimated; its latency objective counts from then
  // on.
  TimePoint first_asked{};
  TimePoint deadline{};
  std::vector<Attempt> attempts;
  TimePoint next_attempt{};  // while it waits
  // Servers that answered that they are not the primary, or do not hold the required position.
  std::set<ServerId> misrouted_to;
  int primary_misses = 0;               // in a row, since the group's primary last changed
  std::uint64_t role_changes_seen = 0;  // of its group, at the arrival or the last such answer

  bool HasPendingAttempt() const;
  bool WasSentTo(ServerId server) const;
  // Whether an attempt that may have run was sent to another zone.
  bool MayHaveRunOutside(ZoneIndex zone) const;
  bool MayHaveRun() const;
  bool ReachedAnyServer() const;
};

// Whether only a primary may serve requests of the class.
bool NeedsPrimary(const RequestClass& request_class);

}  // namespace lynxgrade
