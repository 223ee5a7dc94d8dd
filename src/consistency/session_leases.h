// What the consistency guard needs to know of session leases (see src/lease).
#pragma once

#include <optional>

#include "consistency/write_watermark.h"

namespace lynxgrade::consistency {

// Tells whether this instance holds the lease of a session. Where sessions have leases, only the lease holder
// answers a session's writes; without leases every instance does, and peers replicate their watermarks.
class SessionLeases {
 public:
  // If this instance knows every write of the session answered so far by any instance, except possibly those
  // up to a position: that position. Absent if it may lack later writes too.
  virtual std::optional<LogPosition> Exact(SessionKey key) = 0;
  // Requests the session's lease because a write (or else a read) of it has arrived. Returns whether a
  // response is expected that may make this instance's knowledge of the session complete.
  virtual bool Want(GroupId group, SessionKey key, bool write) = 0;

 protected:
  ~SessionLeases() = default;
};

}  // namespace lynxgrade::consistency
