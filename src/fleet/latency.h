// Estimates the current slowness of a server from the few responses that one instance of a large fleet gets.
// Slowness is a latency as a multiple of the baseline of its request class.
#pragma once

#include <cstddef>

#include "estimation/duration.h"

namespace lynxgrade::fleet {

// The mean slowness of a group's servers over about the last second. It is useful for each of them, as they
// often slow down together: their requests come from the same clients and they apply the same log. Reads no
// clock.
class GroupLatencyEstimator {
 public:
  void RecordResponse(Duration now, double slowness);
  // Converges to `prior` as recorded responses decay.
  double Mean(Duration now, double prior) const;

 private:
  double Decay(Duration now) const;

  Duration last_{0};
  double sum_ = 0;
  double count_ = 0;
};

// The slowness of one server. Reads no clock.
class ServerLatencyEstimator {
 public:
  // Records the response to an attempt. `in_flight` is the number of this instance's attempts at the server
  // when it was sent, itself included.
  void RecordResponse(Duration now, double slowness, std::size_t in_flight);
  // Records an attempt that ended without a response, whose slowness is thus a lower bound. It never lowers
  // the estimate.
  void RecordOverdue(Duration now, double slowness);
  // The slowness at `now`. The weight shifts from the server's own responses to its group's mean as they age.
  double Slowness(Duration now, const GroupLatencyEstimator& group) const;
  // Slowness added by each attempt in flight.
  double slowness_per_request() const { return slowness_per_request_; }

 private:
  double Gain(Duration now) const;

  Duration last_recorded_{0};
  double slowness_ = 1;
  double slowness_per_request_ = 0;
};

}  // namespace lynxgrade::fleet
