// The interface through which the consistency guard uses session leases (see src/lease).
#pragma once

#include <optional>

#include "consistency/write_watermark.h"

namespace lynxgrade::consistency {

// The kind of request for which a session's lease is needed.
enum class LeaseUse { kRead, kWrite };

// The leases that this instance holds. Where sessions have leases, only the lease holder answers a session's
// writes; without leases every instance does, and instances replicate watermarks to each other.
class SessionLeases {
 public:
  virtual ~SessionLeases() = default;
  // The position after which this instance knows every write of the session that any instance has answered so
  // far; writes up to it may be unknown. Absent if there is no such position.
  virtual std::optional<LogPosition> AllWritesKnownAfter(SessionKey key) = 0;
  // Requests the session's lease when a client request that needs it has arrived. Returns whether a grant is
  // expected that may make AllWritesKnownAfter return a position.
  virtual bool AcquireLease(GroupId group, SessionKey key, LeaseUse use) = 0;
};

}  // namespace lynxgrade::consistency
