// What a member that has just started may be sent by one instance of many, so that all of them together stay
// under what makes it fall over. Owns the arithmetic of the rule and one instance's store of it; has no
// clock.
#pragma once

#include "fleet/backoff.h"

namespace lynxgrade::fleet {

// The rule as the settings give it: sent `factor` times what it can do at the moment for `fall` a cold member
// falls.
struct SlowStartRule {
  double start = 1;  // the share of its capacity that a member begins with, at least
  Duration time{0};  // in which it is warm, at the latest
  double factor = 1;
  Duration fall{0};

  // The least share of its capacity that a member has `age` after its start.
  double Share(Duration age) const;
  // An instance's part in work a second, where it gets `carry` through a warm member: the instances' parts
  // add up whatever their sizes.
  double Rate(Duration age, double carry) const;
  // How much of the part may be saved up, in seconds of it.
  double Hold() const;
};

// What one instance has saved up for one member, in work; below zero: a debt.
class WarmingTokenBucket {
 public:
  // Full as of `now`, for a member that starts.
  void Begin(Duration now, const SlowStartRule& rule);
  // Adds what the time since the last call brought, of which no more than `most` seconds count; returns what
  // may be held at most. A longer request than that goes when the store is full, and leaves a debt.
  double Fill(Duration now, double rate, double hold, double most);
  void Take(double work) { work_ -= work; }
  double work() const { return work_; }

 private:
  double work_ = 0;
  Duration at_{0};
};

}  // namespace lynxgrade::fleet
