// Limits the number of requests in flight to a server that serves them only with its spare capacity.
#pragma once

#include "estimation/duration.h"

namespace lynxgrade::limits {

// How the end of a request changes the window.
enum class WindowGrowth { kNone, kIncrease };

// A window with additive increase and multiplicative decrease (D.-M. Chiu and R. Jain, "Analysis of the
// Increase and Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989). Decreases at most
// once per fixed interval, and never below one request. Reads no clock.
class AimdWindow {
 public:
  bool HasCapacity() const { return in_flight_ < static_cast<int>(size_); }
  // Records that a request was sent.
  void Acquire() { ++in_flight_; }
  // Records that a request ended, and grows the window if `growth` says so.
  void Release(WindowGrowth growth);
  // Shrinks the window because the server has no spare capacity at `now`.
  void Decrease(Duration now);

 private:
  double size_ = 1;
  int in_flight_ = 0;
  Duration decreased_at_{0};
};

}  // namespace lynxgrade::limits
