// A request without a final answer, and the attempts made for it.
#pragma once

#include <set>
#include <vector>

#include "routing/events.h"
#include "routing/settings.h"

namespace lynxgrade {

struct Attempt {
  ServerId server{};
  ZoneIndex zone = 0;  // the server's
  TimePoint sent{};
  bool pending = true;
  bool may_have_run = true;
  bool reached_server = true;  // false once the server is known not to have received it
  bool expired = false;        // its send deadline passed before it could be sent
};

struct Request {
  RequestEvent event;
  TimePoint arrived{};
  // Estimated start of the client's first attempt, which may precede this one. The latency objective counts
  // from then on.
  TimePoint first_client_attempt{};
  TimePoint deadline{};
  std::vector<Attempt> attempts;
  TimePoint next_attempt{};  // while the request waits
  // When an attempt last missed its send deadline, which may be later than the time of that event.
  TimePoint last_expired{};
  // Servers that rejected it because they are not the primary or have not reached the required position.
  std::set<ServerId> misrouted_to;
  int primary_misses = 0;               // such rejections by non-primaries since the group's last role change
  std::uint64_t role_changes_seen = 0;  // Group::role_changes at the arrival or the last such rejection

  bool HasPendingAttempt() const;
  bool WasSentTo(ServerId server) const;
  // Whether an attempt to another zone may have run.
  bool MayHaveRunOutside(ZoneIndex zone) const;
  bool MayHaveRun() const;
  bool ReachedAnyServer() const;
  // The attempts without those that expired unsent.
  std::size_t CountedAttempts() const;
};

// Whether only a primary may serve requests of the class.
bool NeedsPrimary(const RequestClass& request_class);

}  // namespace lynxgrade
