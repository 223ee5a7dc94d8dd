// Estimates the demand for work from few arrivals, and the admission probability that follows from it.
#pragma once

#include <optional>

#include "estimation/duration.h"

namespace lynxgrade::fleet {

// Demand in work per second over about the last 3 s. In a large fleet an instance rarely sees a request for a
// given group. Its own count is therefore combined with a prior, the mean demand that the instance sees over
// all groups (the mean of a Gamma prior that stands for as much time as the count itself). Reads no clock.
class DemandEstimator {
 public:
  // `now` is on any monotonic clock; `work` is in seconds.
  void RecordWork(Duration now, double work);
  // Work per second, as is `prior`. Work recorded at `now` counts, so that the first arrivals are included.
  double PerSecond(Duration now, double prior) const;
  // The same without a prior.
  double PerSecond(Duration now) const;

 private:
  double DecayedSum(Duration now) const;
  double ObservedSeconds(Duration now) const;

  std::optional<Duration> first_;  // absent: nothing recorded yet
  Duration last_{0};
  double sum_ = 0;
};

// The probability with which an instance admits a request so that it sends `allowed` of the work per second
// that it is asked for, `demand`; 1 without demand. Used where the rate of the whole fleet is limited and an
// instance's share is too small for a token bucket, which would rarely hold enough for a request.
double AdmissionProbability(double allowed, double demand);

}  // namespace lynxgrade::fleet
