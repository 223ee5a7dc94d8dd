// When an instance calls discovery: how long a call may take, how long a watch may be silent, and how long to
// wait before the next call.
#pragma once

#include "fleet/backoff.h"

namespace lynxgrade::fleet {

// A change of the endpoint list counts as known a fixed time after discovery had it and could be reached,
// whatever became of the calls; what an instance's own agent has counts as known at once. The drain grace
// later nothing may be sent by the old list. Every wait is chosen so that these sums stay below that:
//   a watch that falls silent:                silence + wait + answer
//   and one call that is refused then:        silence + wait + wait + answer
//   a call that hangs as discovery recovers:  call + wait + answer
// Has no clock and no random engine.
class DiscoveryRetryPolicy {
 public:
  // `shared`: one service answers the calls of all `instances`, which calls of all at one moment would
  // overload; else each instance has an agent of its own, at no cost.
  DiscoveryRetryPolicy(bool shared, std::uint32_t instances, Duration grace);

  // The longest silence of a watch: an empty line is due every 2 s.
  Duration max_silence() const;
  // The longest time from the start of a call to the head of its answer.
  Duration call_timeout() const { return call_; }
  // What a call that comes through may take.
  Duration answer_time() const { return answer_; }

  // The wait before the first call to an address. Counts as no failure.
  Duration InitialWait(double uniform, Duration most) const { return backoff_.InitialWait(uniform, most); }
  // The wait after one more failure, `quiet` after the last sign of life; `uniform` is drawn from [0, 1).
  Duration NextWait(double uniform, Duration quiet);
  void RecordSuccess() { backoff_.RecordSuccess(); }
  int failures() const { return backoff_.failures(); }

 private:
  Duration answer_;
  Duration allowed_;  // from a change, or from the last sign of life, until its list must be known
  Duration call_;
  Backoff backoff_;
};

}  // namespace lynxgrade::fleet
