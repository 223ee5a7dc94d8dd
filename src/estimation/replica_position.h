// Estimates how far a data server has come in the log of its group, from what it reports now and then.
//
// A position is a time up to which all commits are applied. It never decreases, so what was once reported
// stays proven. All else is expectation: between two reports, and ahead.
#pragma once

#include <optional>

#include "estimation/duration.h"

namespace lynxgrade::estimation {

// A time since the clock's zero, of the log and of the clock alike: positions are times.
using Instant = Duration;

// Whether the position that a read requires moves on with the clock while the read waits.
enum class TargetMotion { kFixed, kWithClock };

// The estimate of one server. Has no clock.
class ReplicaPosition {
 public:
  // The server reported the position, heard at `now`. False if that is nothing new.
  bool RecordPosition(Instant now, Instant position);

  // Whether the server is proven to have reached `target`.
  bool IsProven(Instant target) const { return proven_ && *proven_ >= target; }
  // Where the server is by now if it goes on as it did, at the clock's pace at most.
  Instant ExpectedPosition(Instant now) const;
  // Whether it is known if the server has reached `target`: it is proven, or was heard of recently. That
  // it is behind is known for about as long as it is behind.
  bool IsKnown(Instant now, Instant target) const;

  // Whether another report may show that the server has reached `target` by now, at the fastest that a server
  // catches up. Where it may not, asking it is wasted.
  bool MayHaveReached(Instant now, Instant target) const;
  // Whether the server may reach `target` `within` from now. True where too little is known to rule it out.
  bool MayReach(Instant now, Duration within, Instant target, TargetMotion motion) const;

  // The instance itself was stalled for so long, until `now`: the time does not count as the server's.
  void ExcludeStall(Instant now, Duration stall);
  // When the server was last heard of; zero: never.
  Instant last_heard() const { return last_heard_; }

 private:
  std::optional<Instant> proven_;
  Instant last_heard_{0};
  double pace_ = 1;  // of the position against the clock; assumed until it is measured
  bool is_pace_measured_ = false;
  Instant pace_from_{0};  // the position at `pace_since_`
  std::optional<Instant> pace_since_;
};

}  // namespace lynxgrade::estimation
