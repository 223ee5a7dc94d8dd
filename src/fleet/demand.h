// Estimates how much work is wanted for one purpose, from few arrivals.
#pragma once

#include <optional>

#include "estimation/duration.h"

namespace lynxgrade::fleet {

// Work per second over about the last three seconds. One instance of many sees an arrival for a given group
// only now and then: its own count is weighed with a prior, what the instance sees of all groups, in equal
// parts (the mean of a Gamma prior with as much time behind it as the count itself has). Has no clock.
class DemandEstimator {
 public:
  // Times are on any clock that does not decrease; `work` in seconds.
  void RecordWork(Duration now, double work);
  // Work per second; `prior` likewise. What was recorded at `now` counts, so that first arrivals are not
  // taken for none.
  double PerSecond(Duration now, double prior) const;
  // The same without a prior.
  double PerSecond(Duration now) const;

 private:
  double DecayedSum(Duration now) const;
  double ObservedSeconds(Duration now) const;

  std::optional<Duration> first_;  // absent: nothing was recorded
  Duration last_{0};
  double sum_ = 0;
};

// The probability with which an instance admits a request where all instances together may send only so much,
// and each of them has its part of the allowance: what is sent adds up over the fleet without a bucket that
// each would have to save up. `allowed` and `wanted` in work per second; 1 where nothing is wanted.
double AdmissionProbability(double allowed, double wanted);

}  // namespace lynxgrade::fleet
