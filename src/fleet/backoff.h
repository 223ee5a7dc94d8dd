// How long an instance waits before it tries again at something that all instances of its fleet want at once:
// a call to discovery, a service that has just come back. Owns the count of failures; has no clock and no
// chance of its own.
#pragma once

#include <chrono>
#include <cstdint>

namespace lynxgrade::fleet {

using Duration = std::chrono::duration<std::int64_t, std::micro>;

// Exponential back-off with full jitter: each wait is drawn evenly from a window that doubles with each
// failure. The window grows with the number of instances, so that the calls of all of them together, over
// every wait, stay under the same rate: N instances that begin at the same moment make N / window =
// 1 / spacing calls a second in the first round, and 2 N / (8 window), a quarter of that, from the fourth on.
class Backoff {
 public:
  // `instances`: how many try, at least 1; each widens the first window by `spacing`, beside a `least` window
  // that a single one has.
  // No window is longer than `most`.
  Backoff(std::uint32_t instances, Duration least, Duration spacing, Duration most = Duration::max());

  // The wait after one more failure; `chance` is even in [0, 1).
  Duration Next(double chance);
  // What the wait after so many failures before is drawn from.
  Duration Window(int failures) const;
  // Whether that window would be longer.
  bool Capped(int failures) const { return Window(failures) == most_; }
  // The wait before a first try that all instances make at the same event, `most` at most; counts as no
  // failure.
  Duration Spread(double chance, Duration most) const;
  void Succeeded() { failures_ = 0; }
  int failures() const { return failures_; }

 private:
  Duration window_;
  Duration most_;
  int failures_ = 0;
};

}  // namespace lynxgrade::fleet
