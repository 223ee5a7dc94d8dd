// Timeouts and backoff of an instance's calls to discovery.
#pragma once

#include "fleet/backoff.h"

namespace lynxgrade::fleet {

// A change of the endpoint list counts as known to an instance a fixed time after a shared discovery service
// had it and was reachable, whether or not the instance's calls succeeded. A change that the instance's own
// agent has counts as known immediately. From then on a removed server may be used only for the drain grace.
// All timeouts and waits are chosen so that the following sums stay below these times:
//   a watch that becomes silent:              max_silence + wait + answer_time
//   one call refused after that:              max_silence + wait + wait + answer_time
//   a call that hangs as discovery recovers:  call_timeout + wait + answer_time
// Reads no clock and owns no random engine.
class DiscoveryRetryPolicy {
 public:
  // `shared`: one service answers the calls of all `instances` and would be overloaded if all called at once.
  // Otherwise each instance has an agent of its own, and its backoff ignores the other instances. `grace`
  // is the drain grace.
  DiscoveryRetryPolicy(bool shared, std::uint32_t instances, Duration grace);

  // A watch without any data for this time is broken: discovery sends an empty line every 2 s.
  Duration max_silence() const;
  // Maximum time from the start of a call to the head of its answer.
  Duration call_timeout() const { return call_timeout_; }
  // Time allowed for a successful call.
  Duration answer_time() const { return answer_time_; }

  // The wait before the first call to an address. Does not count as a failure.
  Duration InitialWait(double uniform, Duration max_wait) const {
    return backoff_.InitialWait(uniform, max_wait);
  }
  // Counts a failure and returns the wait after it. `quiet` is the time since discovery last sent any data;
  // `uniform` must be drawn from [0, 1).
  Duration NextWait(double uniform, Duration quiet);
  void RecordSuccess() { backoff_.RecordSuccess(); }
  int failures() const { return backoff_.failures(); }

 private:
  Duration answer_time_;
  Duration allowed_;  // from a change, or from the last data, until the new list must be in use
  Duration call_timeout_;
  Backoff backoff_;
};

}  // namespace lynxgrade::fleet
