// What the consistency guard needs to know of session leases (see src/lease).
#pragma once

#include <optional>

#include "consistency/write_watermark.h"

namespace lynxgrade::consistency {

// What a session's lease is needed for.
enum class LeaseUse { kRead, kWrite };

// Tells whether this instance holds the lease of a session. Where sessions have leases, only the lease holder
// answers a session's writes; without leases every instance does, and peers replicate their watermarks.
class SessionLeases {
 public:
  // If this instance knows every write of the session answered so far by any instance, except possibly those
  // up to a position: that position. Absent if it may lack later writes too.
  virtual std::optional<LogPosition> CompleteThrough(SessionKey key) = 0;
  // Requests the session's lease, as a request that needs it has arrived. Returns whether a response is
  // expected that may make this instance's knowledge of the session complete.
  virtual bool AcquireLease(GroupId group, SessionKey key, LeaseUse use) = 0;

 protected:
  ~SessionLeases() = default;
};

}  // namespace lynxgrade::consistency
