// Estimates by how much the clock behind the log positions of a group is ahead of the instance's own.
//
// A position is never later than the clock of its server when it was reported. One that is later than the
// instance's clock when it is read shows that this clock is behind, by at least the difference.
#pragma once

#include "estimation/replica_position.h"

namespace lynxgrade::estimation {

// Keeps the largest lead seen in the last 10 to 20 seconds. Reads no clock.
class ClockLead {
 public:
  // Records that `position` was read at `received`.
  void Record(Instant received, Instant position);
  // The lead at least; zero if no recent position shows one.
  Duration At(Instant now) const;

 private:
  // Starts a new period if the current one is over.
  void Advance(Instant now);

  Instant period_start_{0};
  Duration current_period_{0};
  Duration previous_period_{0};
};

}  // namespace lynxgrade::estimation
