// The membership view that this instance has acknowledged, and since when that view has been complete.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "lease/rendezvous_hash.h"

namespace lynxgrade::lease {

// A snapshot of what membership::QuorumTracker knows about the view.
struct ViewStatus {
  // The view that this instance acknowledges to others. Zero: none.
  std::uint64_t view = 0;
  // Whether the view contains every instance that may answer writes, and this instance has a valid
  // acknowledgement of the view from each of them. Absent: not evaluated; the last value stays.
  std::optional<bool> complete{};
  // The instances of the view that manage leases; may include this one.
  std::span<const IncarnationId> managers{};
};

// Keeps the last acknowledged view and the times on which the lease rules depend. Not thread-safe; reads no
// clock.
class AcknowledgedView {
 public:
  // Returns whether the acknowledged view has changed.
  bool Update(TimePoint now, const ViewStatus& status);

  // Zero: this incarnation has not acknowledged any view.
  std::uint64_t view() const { return view_; }
  bool exists() const { return view_ != 0; }
  TimePoint acknowledged_at() const { return acknowledged_at_; }
  const std::vector<IncarnationId>& managers() const { return managers_; }
  bool complete() const { return complete_; }
  // Since when the view has been complete without interruption. Valid only while it is complete.
  TimePoint complete_since() const { return complete_since_; }
  // When the view was first complete. Valid only while it is complete.
  TimePoint first_complete() const { return first_complete_; }

 private:
  std::uint64_t view_ = 0;
  std::vector<IncarnationId> managers_;
  TimePoint acknowledged_at_{};
  bool complete_ = false;
  TimePoint complete_since_{};
  TimePoint first_complete_{};
};

}  // namespace lynxgrade::lease
