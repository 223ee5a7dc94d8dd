// The membership view that this instance has acknowledged, and since when its knowledge of it is complete.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "lease/rendezvous_hash.h"

namespace lynxgrade::lease {

// What membership::QuorumTracker knows at one time.
struct ViewAgreement {
  // The view that this instance acknowledges to others. Zero: none.
  std::uint64_t view = 0;
  // Whether it has a valid acknowledgement of that view from every instance that may answer writes, and the
  // view contains all of them. Absent: not determined, so that nothing changes.
  std::optional<bool> complete{};
  // The instances of the view that manage leases; may include this one.
  std::span<const IncarnationId> managers{};
};

// Keeps the last acknowledged view and the times that lease rules depend on. Not thread-safe; reads no clock.
class AcknowledgedView {
 public:
  // Returns whether the acknowledged view is another one now.
  bool Update(TimePoint now, const ViewAgreement& agreement);

  // Zero: this incarnation has acknowledged none.
  std::uint64_t view() const { return view_; }
  bool exists() const { return view_ != 0; }
  TimePoint acknowledged_at() const { return acknowledged_at_; }
  const std::vector<IncarnationId>& managers() const { return managers_; }
  bool complete() const { return complete_; }
  // Since when it has been complete without a break. Meaningful while it is complete.
  TimePoint complete_since() const { return complete_since_; }
  // When it was first complete. Meaningful while it is complete.
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
