// Estimates when a client first asked for what it asks for now.
//
// All attempts of a client share one time: a response has its value within the latency objective of the
// first, and the client gives up at its class's deadline, counted from the first. A later attempt says how
// long the client still waits, not how long it has waited.
#pragma once

#include "estimation/duration.h"

namespace lynxgrade::estimation {

// Whether the client marked an attempt as a later one.
enum class AttemptKind { kFirst, kRetry };

// Keeps what is known of the attempts of one request class. Has no clock.
class FirstAttemptEstimator {
 public:
  // How long ago the client first asked. `deadline` is the class's, over all attempts; `left` is what the
  // client gives this one. Never below zero, nor above `deadline` - `left`.
  Duration EstimateAge(Duration deadline, Duration left, AttemptKind kind);

  // An attempt ended without a response, `age` after the client first asked: the next is about as old.
  void RecordUnserved(Duration age);

 private:
  // Clients give a first attempt a fixed fraction of the deadline. Which, is found by majority vote (R. S.
  // Boyer and J S. Moore, "MJRTY: A Fast Majority Vote Algorithm", 1991): one number, whatever the others
  // scatter over.
  double first_fraction_ = 0;
  int votes_ = 0;
  double unserved_age_seconds_ = 0;  // smoothed
};

}  // namespace lynxgrade::estimation
