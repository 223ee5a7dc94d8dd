// Estimates when a client made its first attempt at the request that it now sends.
//
// The latency objective and the deadline of a class count from the client's first attempt. A retry states how
// long the client will still wait, but not how long it has waited already.
#pragma once

#include "estimation/duration.h"

namespace lynxgrade::estimation {

// Whether the client marked an attempt as a retry.
enum class AttemptKind { kFirst, kRetry };

// The estimator of one request class. Reads no clock.
class FirstAttemptEstimator {
 public:
  // Returns how long ago the client made its first attempt, between zero and `deadline` - `left`. `deadline`
  // is the class's, over all attempts; `left` is the time that the client gives this one.
  Duration EstimateAge(Duration deadline, Duration left, AttemptKind kind);

  // Records that an attempt ended without a response, `age` after the client's first one. The next retry is
  // assumed to be about as old.
  void RecordUnserved(Duration age);

 private:
  // Clients give a first attempt a fixed fraction of the deadline. It is found by majority vote (R. S. Boyer
  // and J S. Moore, "MJRTY: A Fast Majority Vote Algorithm", 1991), which is robust against scattered other
  // values.
  double first_fraction_ = 0;
  int votes_ = 0;
  double unserved_age_seconds_ = 0;  // moving average
};

}  // namespace lynxgrade::estimation
