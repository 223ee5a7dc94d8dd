// Estimates how slow a server is just now, from responses that one instance of many gets now and then.
#pragma once

#include <cstddef>

#include "estimation/duration.h"

namespace lynxgrade::fleet {

// The mean slowness of a group's servers, each response weighed for about a second: the group's requests come
// from the same clients and its replicas apply the same log, so that they slow down together. Has no clock.
class GroupLatencyEstimator {
 public:
  // `slowness`: a latency as a multiple of the usual.
  void RecordResponse(Duration now, double slowness);
  // Nearer to `prior` the less was recorded.
  double Mean(Duration now, double prior) const;

 private:
  double Decay(Duration now) const;

  Duration last_{0};
  double sum_ = 0;
  double count_ = 0;
};

// The slowness of one server: its latency as a multiple of what its requests usually take. Has no clock.
class ServerLatencyEstimator {
 public:
  // A response to an attempt; `in_flight` attempts of this instance were at the server when it was sent,
  // itself included.
  void RecordResponse(Duration now, double slowness, std::size_t in_flight);
  // An attempt that ended without a response and would have taken longer still: it can only raise the
  // estimate.
  void RecordOverdue(Duration now, double slowness);
  // By now: of the server itself, and of its group as that grows old.
  double Slowness(Duration now, const GroupLatencyEstimator& group) const;
  // What each request in flight adds.
  double slowness_per_request() const { return slowness_per_request_; }

 private:
  double Gain(Duration now) const;

  Duration last_recorded_{0};
  double slowness_ = 1;
  double slowness_per_request_ = 0;
};

}  // namespace lynxgrade::fleet
