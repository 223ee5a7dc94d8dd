// How much one instance of many may send to a server that has just started, so that all of them together stay
// below what overloads it.
#pragma once

#include "estimation/duration.h"

namespace lynxgrade::fleet {

// The rule as the settings give it: a warming server that is sent `overload_factor` times what it can do for
// `overload_duration` fails.
struct SlowStartRule {
  double initial_capacity = 1;  // the least share of its capacity that a server begins with
  Duration duration{0};         // until it is warm, at the latest
  double overload_factor = 1;
  Duration overload_duration{0};

  // The least share of its capacity that a server has `age` after its start.
  double CapacityShare(Duration age) const;
  // What an instance may send in work per second, where it gets `throughput` through a warm server. The rates
  // of all instances add up to the allowed one, whatever their sizes.
  double InstanceRate(Duration age, double throughput) const;
  // How much of the rate may be saved up, in seconds of it.
  double BurstSeconds() const;
};

// What one instance has saved up for one server, in seconds of work; below zero: a debt.
class WarmingTokenBucket {
 public:
  // The server starts at `now`; its bucket fills as if it had begun to a while before.
  void Begin(Duration now, const SlowStartRule& rule);
  // Adds what the time since the last call brought, of which at most `credit_seconds` count, up to
  // `burst_seconds` of the rate. Returns that limit. A request that costs more is sent when the bucket is
  // full, and leaves a debt.
  double Refill(Duration now, double rate, double burst_seconds, double credit_seconds);
  void Consume(double work) { work_ -= work; }
  double work() const { return work_; }

 private:
  double work_ = 0;
  Duration refilled_at_{0};
};

}  // namespace lynxgrade::fleet
