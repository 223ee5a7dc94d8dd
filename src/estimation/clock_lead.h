// Estimates by how much the clock behind the log positions of a group is ahead of the instance's own.
//
// The position of a primary is the time of its clock when it was reported. One that is later than the
// instance's clock when it is read shows that this clock is behind, by at least the difference.
#pragma once

#include "estimation/replica_position.h"

namespace lynxgrade::estimation {

// Keeps the second largest lead seen in the last 10 to 20 seconds, so that a single wrong position shows
// none. Reads no clock.
class ClockLead {
 public:
  // Records that a primary's `position` was read at `received`.
  void Record(Instant received, Instant position);
  // The lead at least; zero unless two recent positions show one.
  Duration At(Instant now) const;

 private:
  struct LargestTwo {
    Duration largest{0};
    Duration second{0};
    void Add(Duration lead);
  };
  // Starts a new period if the current one is over.
  void Advance(Instant now);

  Instant period_start_{0};
  LargestTwo current_period_;
  LargestTwo previous_period_;
};

}  // namespace lynxgrade::estimation
