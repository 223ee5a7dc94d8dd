// When an instance calls discovery: how long a call may take, how long a watch may be silent, and how long to
// wait before the next call. Owns the count of failures; has no clock and no chance of its own.
#pragma once

#include "fleet/backoff.h"

namespace lynxgrade::fleet {

// A change counts as told `kTold` after discovery had it and could be reached, whatever became of the calls;
// what an instance's own agent has counts as told at once. The drain grace later nothing may be sent on the
// old list. Every wait is chosen so that the sums stay under that:
//   a watch that falls silent:  silence + wait + answer
//   and one call refused then:  silence + wait + wait + answer
//   a call that hangs as discovery comes back:  call + wait + answer
class DiscoveryRetryPolicy {
 public:
  // `shared`: one service answers the calls of all `instances`, which a call of all at one moment would
  // overload; else an agent of this instance's own, at no cost.
  DiscoveryRetryPolicy(bool shared, std::uint32_t instances, Duration grace);

  // From one sign of life to the next: an empty line is due every 2 s.
  Duration silence() const;
  // For a call, from its start to the head of the answer.
  Duration call() const { return call_; }
  // What a call that comes through may still take.
  Duration answer() const { return answer_; }

  // The wait before the first call to an address; counts as no failure.
  Duration First(double chance, Duration most) const { return backoff_.Spread(chance, most); }
  // The wait after one more failure, `quiet` after the last sign of life; `chance` is even in [0, 1).
  Duration Next(double chance, Duration quiet);
  void Succeeded() { backoff_.Succeeded(); }
  int failures() const { return backoff_.failures(); }

 private:
  Duration answer_;
  Duration allowed_;  // from a change, or from the last sign of life, to when its list must be known
  Duration call_;
  Backoff backoff_;
};

}  // namespace lynxgrade::fleet
