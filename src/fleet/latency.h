// How slow a member is just now, from answers that one instance of many gets once in a while. Owns the
// estimates of a member and of the group that it is in; has no clock of its own.
#pragma once

#include <cstddef>

#include "fleet/backoff.h"

namespace lynxgrade::fleet {

// The mean of what a group's members showed lately, each answer for about a second: what they are asked comes
// from the same clients, and the log that they apply is the same, so they are crowded together.
class GroupLatencyEstimator {
 public:
  void Add(Duration now, double slowness);
  // Nearer to `otherwise` the less was heard.
  double Mean(Duration now, double otherwise) const;

 private:
  double Kept(Duration now) const;

  Duration last_{0};
  double sum_ = 0;
  double count_ = 0;
};

// A member's latency as a multiple of what its requests usually take.
class ServerLatencyEstimator {
 public:
  // An answer, with `beside` others of this instance at the member when it was asked.
  void Answered(Duration now, double slowness, std::size_t beside);
  // An attempt that ended without one after so long, and would have taken longer: it can only raise.
  void Overdue(Duration now, double slowness);
  // By now: what was heard of the member itself, and of its group as that grows old.
  double Slowness(Duration now, const GroupLatencyEstimator& group) const;
  // What each request in flight adds.
  double each() const { return each_; }

 private:
  double Gain(Duration now) const;

  Duration heard_{0};
  double slowness_ = 1;
  double each_ = 0;
};

}  // namespace lynxgrade::fleet
