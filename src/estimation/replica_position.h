// Estimates the log position of a data server from its occasional reports.
//
// A position is a time up to which all commits have been applied. It never decreases, so a reported position
// remains proven. Between reports the position is extrapolated.
#pragma once

#include <optional>

#include "estimation/duration.h"

namespace lynxgrade::estimation {

// A time since the clock's zero. Log positions and clock times share this type.
using Instant = Duration;

// Whether the position that a read requires advances with the clock while the read waits.
enum class TargetMotion { kFixed, kWithClock };

// The estimate for one server. Reads no clock.
class ReplicaPosition {
 public:
  // When a report was read, and by how much the clock of the positions was known to be ahead then.
  struct Receipt {
    Instant at{};
    Duration clock_lead{0};
  };
  // Records a report of the position. `now` is the time of the event; the report may have been read later.
  // Returns false if it repeats a recent one.
  bool RecordPosition(Instant now, Instant position, const Receipt& receipt);
  bool RecordPosition(Instant now, Instant position) { return RecordPosition(now, position, {now}); }

  // Whether the server is proven to have reached `target`.
  bool IsProven(Instant target) const { return proven_ && *proven_ >= target; }
  // The time on the instance's clock up to which the server is proven to hold all commits, if the clock of
  // the positions is ahead by `clock_lead`. Positions that were later than their receipt allows do not count.
  std::optional<Instant> ProvenTime(Duration clock_lead) const;
  // The position extrapolated to `now` at the measured apply rate, which is limited to the clock's.
  Instant ExpectedPosition(Instant now) const;
  // Whether it is known if the server has reached `target`: either this is proven, or the last report is
  // recent enough. The validity of a report is extended by the time that the server is expected to be behind.
  bool IsKnown(Instant now, Instant target) const;

  // Whether the server may have reached `target` by now, at the maximum apply rate. If not, a health check
  // would be wasted.
  bool MayHaveReached(Instant now, Instant target) const;
  // Whether the server may reach `target` within the given time from now. True if too little is known to rule
  // it out.
  bool MayReach(Instant now, Duration within, Instant target, TargetMotion motion) const;

  // Excludes a stall of the instance itself, which lasted until `now`, from the measurement of the apply
  // rate.
  void ExcludeStall(Instant now, Duration stall);
  // When the server last reported its position; zero: never.
  Instant last_reported_at() const { return last_reported_at_; }

 private:
  std::optional<Instant> proven_;
  std::optional<Instant> proven_time_;  // the newest position on the instance's clock, each by its receipt
  Instant last_reported_at_{0};
  double apply_rate_ = 1;  // position time per clock time; 1 is assumed until it is measured
  bool is_apply_rate_measured_ = false;
  Instant interval_start_position_{0};
  std::optional<Instant> interval_start_;  // of the current measurement of the apply rate
};

}  // namespace lynxgrade::estimation
