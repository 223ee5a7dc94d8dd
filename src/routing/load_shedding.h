// Load shedding: rejects requests whose response would probably be too late, and computes Retry-After.
#pragma once

#include <vector>

#include "estimation/client_patience_estimator.h"
#include "estimation/first_attempt_estimator.h"
#include "routing/latency_model.h"

namespace lynxgrade {

class LoadShedding {
 public:
  LoadShedding(DecisionContext& context, ServerTable& servers, const LatencyModel& latencies);

  // Estimates when the client made its first attempt, from the time that it leaves for this one.
  TimePoint EstimateFirstClientAttempt(const Request& request);
  // Records that the request ended without a response.
  void RecordUnserved(const Request& request);
  // Records how long the client waited until it abandoned the request or got its final answer.
  void RecordClientWait(const Request& request, estimation::WaitEnd end);

  // The latest time at which a response is of use to the client.
  TimePoint UsefulUntil(const Request& request) const;
  // Whether even a fast response would be too late. Serving the request would only take capacity from others.
  bool IsTooLate(const Request& request) const;
  // Whether half of the request's time has passed without an attempt that reached a server. It is then
  // rejected so that the client has time to retry.
  bool HasWaitedTooLong(const Request& request) const;
  // Draws whether to reject the request instead of sending it to the server. The probability grows with the
  // expected lateness.
  bool DrawRejection(const Request& request, const Server& server);
  // The higher, the sooner the request is shed: it compares the request's value per work with that of all
  // classes served by the same role. Waiting requests are routed in ascending order.
  double SheddingPriority(const Request& request) const;
  // The Retry-After to send; zero if clients do not honor it.
  Duration RetryAfter(const Request& request) const;

 private:
  // The class's latency objective, shortened to the time for which at least half of the clients wait.
  Duration EffectiveObjective(const Request& request) const;

  DecisionContext& context_;
  ServerTable& servers_;
  const LatencyModel& latencies_;
  std::vector<estimation::FirstAttemptEstimator> first_attempts_;  // by class
  estimation::ClientPatienceEstimator patience_;
};

}  // namespace lynxgrade
