// Limits how many requests are in flight at once where a server has only spare capacity for them.
#pragma once

#include "estimation/duration.h"

namespace lynxgrade::limits {

// What the end of a request does to the window.
enum class WindowGrowth { kNone, kIncrease };

// A window with additive increase and multiplicative decrease (D.-M. Chiu and R. Jain, "Analysis of the
// Increase and Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989). Decreases at most
// once in a fixed interval, and never below one request. Has no clock.
class AimdWindow {
 public:
  bool HasCapacity() const { return in_flight_ < static_cast<int>(size_); }
  // A request was sent.
  void Acquire() { ++in_flight_; }
  // It ended; the window grows if it was answered while there was capacity left.
  void Release(WindowGrowth growth);
  // The server has no spare capacity at `now`.
  void Decrease(Duration now);

 private:
  double size_ = 1;
  int in_flight_ = 0;
  Duration decreased_at_{0};
};

}  // namespace lynxgrade::limits
