// Latency estimates: a baseline per request class over all servers, and each server's slowness relative to
// it.
#pragma once

#include <span>
#include <vector>

#include "routing/decision_context.h"
#include "routing/server_table.h"

namespace lynxgrade {

// Keeps the baseline latency of each request class, which also serves as the work of one request in seconds.
// Slowness is a latency as a multiple of the baseline.
class LatencyModel {
 public:
  LatencyModel(DecisionContext& context, ServerTable& servers);

  // Baseline latency of the class.
  double BaselineSeconds(ClassIndex request_class) const { return baseline_seconds_[request_class]; }
  double BaselineSeconds(const Request& request) const {
    return baseline_seconds_[request.event.request_class];
  }
  double ShortestBaselineSeconds() const;

  // The server's current slowness, including the age of attempts in flight.
  double Slowness(const Server& server) const;
  // Expected latency of the request at the server.
  double ExpectedSeconds(const Request& request, const Server& server) const;
  // Whether the class's expected latency at the server leaves part of the latency objective unused.
  bool IsWellWithinObjective(ClassIndex request_class, const Server& server) const;

  // Records an attempt that was answered after `elapsed`.
  void RecordResponse(Server& server, const InFlightAttempt& attempt, Duration elapsed);
  // Records an attempt that was cancelled after `elapsed`, which is a lower bound of its latency.
  void RecordCancelled(Server& server, const InFlightAttempt& attempt, Duration elapsed);

 private:
  DecisionContext& context_;
  ServerTable& servers_;
  std::vector<double> baseline_seconds_;  // by class
};

}  // namespace lynxgrade
