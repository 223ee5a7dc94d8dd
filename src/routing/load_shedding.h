// Load shedding: which requests are rejected because their response would come too late, and when their
// clients should retry.
#pragma once

#include <vector>

#include "estimation/client_patience_estimator.h"
#include "estimation/first_attempt_estimator.h"
#include "routing/latency_model.h"

namespace lynxgrade {

class LoadShedding {
 public:
  LoadShedding(DecisionContext& context, ServerTable& servers, const LatencyModel& latencies);

  // Estimates when the client first asked for the request, from the time that it leaves.
  TimePoint EstimateFirstAsked(const Request& request);
  // The request ends without a response.
  void RecordUnserved(const Request& request);
  // How long the client stayed: it left by itself, or got its final answer.
  void RecordClientStay(const Request& request, estimation::StayEnd end);

  // Until when a response is of use to the client.
  TimePoint UsefulUntil(const Request& request) const;
  // Whether not even a quick response would come in time: it would take the place of one that can.
  bool IsTooLate(const Request& request) const;
  // Whether the request waited for half of its time and no server was asked: its client does better to retry
  // later.
  bool HasWaitedTooLong(const Request& request) const;
  // Draws whether the request is rejected rather than sent to the server, the more likely the later it would
  // be.
  bool DrawRejection(const Request& request, const Server& server);
  // How readily the request is shed: the higher, the less it earns for its work against classes that want the
  // same servers. Waiting requests are routed in ascending order.
  double SheddingPriority(const Request& request) const;
  // When a retry may fare better: Retry-After. Zero where clients do not honor it.
  Duration RetryAfter(const Request& request) const;

 private:
  // The part of the class's latency objective for which clients stay.
  Duration EffectiveObjective(const Request& request) const;

  DecisionContext& context_;
  ServerTable& servers_;
  const LatencyModel& latencies_;
  std::vector<estimation::FirstAttemptEstimator> first_attempts_;  // by class
  estimation::ClientPatienceEstimator patience_;
};

}  // namespace lynxgrade
