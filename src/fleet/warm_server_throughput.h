// What an instance gets through a warm member: the measure of its part of a cold one. Owns a smoothed rate.
#pragma once

namespace lynxgrade::fleet {

class WarmServerThroughput {
 public:
  // Work that was answered, in seconds of it.
  void Add(double work) { work_ += work; }
  // Ends a span of so many seconds, in which `warm` members' worth of warm capacity stood open.
  void End(double span, double warm);
  // Work a second, for one warm member.
  double PerSecond() const { return rate_; }

 private:
  double work_ = 0;
  double rate_ = 0;
};

}  // namespace lynxgrade::fleet
