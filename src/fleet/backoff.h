// How long an instance waits before it retries something that all instances of its fleet want at once: a call
// to discovery, or to a service that has just come back.
#pragma once

#include <cstdint>

#include "estimation/duration.h"

namespace lynxgrade::fleet {

// Exponential backoff with full jitter: each wait is drawn uniformly from a window that doubles with each
// failure. The window grows with the number of instances, so that the calls of all of them together, over
// every wait, stay below the same rate: N instances that begin at the same moment make N / window = 1 /
// spacing calls per second in the first round, and 2 N / (8 window), a quarter of that, from the fourth on.
// Has no clock and no random engine.
class Backoff {
 public:
  // `instances`: how many retry, at least 1; each widens the first window by `spacing`, beside the `least`
  // window of a single one. No window is longer than `most`.
  Backoff(std::uint32_t instances, Duration least, Duration spacing, Duration most = Duration::max());

  // The wait after one more failure; `uniform` is drawn from [0, 1).
  Duration NextWait(double uniform);
  // The window that the wait after so many earlier failures is drawn from.
  Duration WindowAfter(int failures) const;
  // Whether that window is limited by `most`.
  bool IsCapped(int failures) const { return WindowAfter(failures) == most_; }
  // The wait before a first call that all instances make at the same event, at most `most`. Counts as no
  // failure.
  Duration InitialWait(double uniform, Duration most) const;
  void RecordSuccess() { failures_ = 0; }
  int failures() const { return failures_; }

 private:
  Duration window_;
  Duration most_;
  int failures_ = 0;
};

}  // namespace lynxgrade::fleet
