// How much work comes in for one purpose, from few arrivals. Owns a decayed sum; has no clock of its own.
#pragma once

#include "fleet/backoff.h"

namespace lynxgrade::fleet {

// Work a second over about the last three seconds. One instance of a hundred sees an arrival for a given
// group once in a while: its own count is weighed with a prior, what the instance sees of all groups, in
// equal parts (a Gamma prior's mean with as much time behind it as the count itself has).
class DemandEstimator {
 public:
  // Times are on any clock that does not fall; `work` in seconds.
  void Add(Duration now, double work);
  // Work a second; `prior` likewise. What came in at `now` counts, so the first arrivals are not taken for
  // none.
  double PerSecond(Duration now, double prior) const;
  // The same without a prior.
  double PerSecond(Duration now) const;

 private:
  double Sum(Duration now) const;
  double Watched(Duration now) const;

  bool begun_ = false;
  Duration first_{0};
  Duration last_{0};
  double sum_ = 0;
};

// The odds with which an instance lets a request go where all instances together may send only so much, if
// each of them has its part of the allowance: sent and held back add up over the fleet without a store that
// any of them would have to save up. `allowed` and `wanted` in work a second; 1 where nothing is wanted.
double Odds(double allowed, double wanted);

}  // namespace lynxgrade::fleet
