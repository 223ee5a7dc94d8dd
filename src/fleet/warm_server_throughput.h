// Measures an instance's throughput at a warm server, which determines its share of the rate for warming
// ones.
#pragma once

namespace lynxgrade::fleet {

// An exponentially weighted rate of work. Reads no clock.
class WarmServerThroughput {
 public:
  // Records work of an answered request, in seconds.
  void RecordWork(double work) { work_ += work; }
  // Ends an interval of `seconds` in which the usable servers had the capacity of `warm_servers` warm ones.
  void EndInterval(double seconds, double warm_servers);
  // Work per second per warm server.
  double PerSecond() const { return rate_; }

 private:
  double work_ = 0;
  double rate_ = 0;
};

}  // namespace lynxgrade::fleet
