// When a client first asked for what it asks for now. Owns what is known of one class's tries; has no clock.
//
// A client's tries share one time: an answer is worth something within the aim of the first, and the client
// gives up at its class's deadline, counted from the first. A later try says how long the client still waits,
// not how long it has waited.
#pragma once

#include <chrono>
#include <cstdint>

namespace lynxgrade::estimation {

using Duration = std::chrono::duration<std::int64_t, std::micro>;

class FirstAttemptEstimator {
 public:
  // How long ago the client first asked. `deadline` is the class's, over all tries; `left` is what the client
  // gives this try; `repeat`: it is marked as a later one. Never under zero, nor over `deadline` - `left`.
  Duration Age(Duration deadline, Duration left, bool repeat);

  // A try ended unserved, `age` after the client first asked: about so old is the next one.
  void Unserved(Duration age);

 private:
  // Clients give a first try a fixed part of the deadline. Which, is found by majority vote (Boyer and Moore,
  // "MJRTY: A Fast Majority Vote Algorithm", 1991): one number, whatever the others scatter over.
  double usual_ = 0;  // part of the deadline
  int votes_ = 0;
  double age_ = 0;  // seconds; of tries that ended unserved, smoothed
};

}  // namespace lynxgrade::estimation
