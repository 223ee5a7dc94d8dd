// How long requests take: by class over all servers, and at one server against that.
#pragma once

#include <span>
#include <vector>

#include "routing/decision_context.h"
#include "routing/server_table.h"

namespace lynxgrade {

// Keeps the usual latency of each request class, which stands for the work of one request in seconds, and
// reads the latency estimates of the servers against it.
class LatencyModel {
 public:
  LatencyModel(DecisionContext& context, ServerTable& servers);

  // Seconds that a request of the class usually takes.
  double UsualSeconds(ClassIndex request_class) const { return usual_seconds_[request_class]; }
  double UsualSeconds(const Request& request) const { return usual_seconds_[request.event.request_class]; }
  double ShortestUsualSeconds() const;

  // How slow the server is now, as a multiple of the usual, counting the age of attempts in flight.
  double Slowness(const Server& server) const;
  // Seconds that the request would take at the server.
  double ExpectedSeconds(const Request& request, const Server& server) const;
  // Whether the class takes at most a fixed part of its latency objective at the server.
  bool HasSpareTime(ClassIndex request_class, const Server& server) const;

  // An attempt was answered after `elapsed`.
  void RecordResponse(Server& server, const InFlightAttempt& attempt, Duration elapsed);
  // An attempt was cancelled after `elapsed`: it would have taken longer still.
  void RecordCancelled(Server& server, const InFlightAttempt& attempt, Duration elapsed);

 private:
  DecisionContext& context_;
  ServerTable& servers_;
  std::vector<double> usual_seconds_;  // by class
};

}  // namespace lynxgrade
