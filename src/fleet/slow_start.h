// Limits the rate at which each instance of a fleet sends work to a server that has just started, so that all
// of them together do not overload it.
#pragma once

#include "estimation/duration.h"

namespace lynxgrade::fleet {

// Slow start as configured: a warming server fails if it is sent `overload_factor` times its capacity for
// `overload_duration`.
struct SlowStartRule {
  double initial_capacity = 1;  // minimum fraction of its full capacity that a server starts with
  Duration duration{0};         // maximum time until it is warm
  double overload_factor = 1;
  Duration overload_duration{0};

  // Minimum fraction of its full capacity that a server has at `age` after its start.
  double CapacityShare(Duration age) const;
  // The rate in work per second that an instance may send if its throughput at a warm server is `throughput`.
  // As the rates are proportional to throughput, those of all instances add up to the allowed rate even if
  // traffic is distributed unevenly.
  double InstanceRate(Duration age, double throughput) const;
  // Size of a full token bucket, in seconds of the rate.
  double BurstSeconds() const;
};

// Token bucket of one instance for one warming server, in seconds of work. May be negative.
class WarmingTokenBucket {
 public:
  // Begins the slow start of the server at `now`. The bucket is filled as if half of the overload duration
  // had already passed.
  void Begin(Duration now, const SlowStartRule& rule);
  // Adds the work for the time since the last call, of which at most `credit_seconds` count, up to
  // `burst_seconds` of the rate. Returns that limit. A request that costs more may be sent when the bucket is
  // full, and makes it negative.
  double Refill(Duration now, double rate, double burst_seconds, double credit_seconds);
  void Consume(double work) { work_ -= work; }
  double work() const { return work_; }

 private:
  double work_ = 0;
  Duration refilled_at_{0};
};

}  // namespace lynxgrade::fleet
