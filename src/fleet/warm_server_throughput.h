// Measures what one instance gets through a warm server: its share of what a warming one may be sent.
#pragma once

namespace lynxgrade::fleet {

// A smoothed rate of work. Has no clock.
class WarmServerThroughput {
 public:
  // Work that was answered, in seconds.
  void RecordWork(double work) { work_ += work; }
  // Ends an interval of so many seconds, in which usable servers had the capacity of `warm_servers` warm
  // ones.
  void EndInterval(double seconds, double warm_servers);
  // Work per second, for one warm server.
  double PerSecond() const { return rate_; }

 private:
  double work_ = 0;
  double rate_ = 0;
};

}  // namespace lynxgrade::fleet
