// How much a server that has just started may be sent.
//
// All instances together must stay under what overloads a warming server, though they share nothing: each
// takes its part of the allowed rate (fleet/slow_start.h). A part that comes to whole requests is a token
// bucket; a smaller one is kept by chance.
#pragma once

#include "fleet/slow_start.h"
#include "fleet/warm_server_throughput.h"
#include "routing/latency_model.h"

namespace lynxgrade {

class SlowStartAdmission {
 public:
  SlowStartAdmission(DecisionContext& context, ServerTable& servers, const LatencyModel& latencies);

  // The server's process started at `when`: forgets how it did before and begins its slow start.
  void BeginSlowStart(Server& server, TimePoint when);

  bool IsWarming(const Server& server) const;
  // The least share of its capacity that the server has by now: 1 once it is warm.
  double CapacityShare(const Server& server) const;
  // Whether this instance's part is below one request, so that it is kept by chance.
  bool IsAdmittedByChance(const Server& server) const;
  // Whether the server may be sent the request, as far as the token bucket limits that.
  bool HasCapacity(const Request& request, Server& server);
  // Takes what the request costs from the token bucket.
  void Consume(const Request& request, Server& server);

  // Counts a routing decision as work that is wanted in the request's group, a retry's or a waiting request's
  // too. Returns the wanted work per second.
  double RecordDemand(const Request& request);
  // The most of all draws that may fall on the server, where `demand` is wanted per second.
  double DrawCap(const Server& server, double demand) const;
  // Draws whether the request may go to the server, where it has nowhere else to go; null if not.
  Server* DrawAdmission(const Request& request, Server* server);

  // One request of the class was answered.
  void RecordResponse(ClassIndex request_class);
  // Ends a tick interval in which usable servers had so much warm capacity, in servers.
  void EndInterval(Duration interval, double warm_servers);

 private:
  double NominalThroughput() const;
  double AllowedRate(const Server& server) const;

  DecisionContext& context_;
  ServerTable& servers_;
  const LatencyModel& latencies_;
  fleet::SlowStartRule rule_;
  fleet::WarmServerThroughput throughput_;
  PerRole<fleet::DemandEstimator> demand_;  // over all groups
};

}  // namespace lynxgrade
