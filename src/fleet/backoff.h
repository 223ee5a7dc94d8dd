// Backoff for calls that all instances of a fleet make at the same time, such as calls to a service that has
// just recovered.
#pragma once

#include <cstdint>

#include "estimation/duration.h"

namespace lynxgrade::fleet {

// Exponential backoff with full jitter: each wait is drawn uniformly from a window that doubles with each
// failure. The window grows with the number of instances, so that the call rate of the whole fleet does not
// depend on its size: N instances that start at the same moment make N / window = 1 / spacing calls per
// second in the first round, and 2 N / (8 window), a quarter of that, from the fourth round on. Reads no
// clock and owns no random engine.
class Backoff {
 public:
  // The first window is `min_window` for a single instance and grows by `spacing` for each further one. No
  // window exceeds `max_window`.
  Backoff(std::uint32_t instances, Duration min_window, Duration spacing,
          Duration max_window = Duration::max());

  // Counts a failure and returns the wait after it. `uniform` must be drawn from [0, 1).
  Duration NextWait(double uniform);
  // The window from which NextWait draws after this number of earlier failures.
  Duration WindowAfter(int failures) const;
  // Whether that window has reached the maximum.
  bool IsCapped(int failures) const { return WindowAfter(failures) == max_window_; }
  // The wait before a first call that all instances make at the same event, at most `max_wait`. Does not
  // count as a failure.
  Duration InitialWait(double uniform, Duration max_wait) const;
  void RecordSuccess() { failures_ = 0; }
  int failures() const { return failures_; }

 private:
  Duration window_;
  Duration max_window_;
  int failures_ = 0;
};

}  // namespace lynxgrade::fleet
