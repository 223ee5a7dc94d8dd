// How far a data server has come in the log of its group, from what it says now and then. Owns one member's
// estimate; has no clock.
//
// A position is a time up to which all commits are applied. It never falls, so what was once heard stays
// proven. All else is expectation: between two reports, and ahead.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace lynxgrade::estimation {

using Duration = std::chrono::duration<std::int64_t, std::micro>;
// Of the log and of the clock alike: positions are times.
using Instant = Duration;

class ReplicaPosition {
 public:
  // Heard at `now`. False: it tells nothing new.
  bool Seen(Instant now, Instant position);
  // What is proven has reached `target`.
  bool Proven(Instant target) const { return proven_ && *proven_ >= target; }
  // Where it stands by now, if it goes on as it did, at the clock's pace at most.
  Instant Expected(Instant now) const;
  // Whether it can be told if it has reached the target: proven, or heard of lately; that it is behind holds
  // for about as long as it is behind. Else it is unknown, not what it once was.
  bool Known(Instant now, Instant target) const;

  // Whether a further report may show that it has reached the target by now, at the quickest that one
  // catches up. Where it may not, asking it is wasted.
  bool MayHold(Instant now, Instant target) const;
  // Whether it may reach the target `within` from now; `moves`: the target moves on with the clock. True
  // where too little is known to rule it out.
  bool MayReach(Instant now, Duration within, Instant target, bool moves) const;

  // The instance itself stood still for so long: the time is not the member's.
  void Forgive(Instant now, Duration stall);
  // When it was last heard of; zero: never.
  Instant heard() const { return heard_; }

 private:
  std::optional<Instant> proven_;
  Instant heard_{0};
  double pace_ = 1;  // how fast it moves, against the clock; taken for that until it is measured
  bool measured_ = false;
  Instant pace_from_{0};
  std::optional<Instant> pace_at_;
};

}  // namespace lynxgrade::estimation
