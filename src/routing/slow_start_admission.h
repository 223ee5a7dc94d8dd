// Limits the load on servers that have just started.
//
// All instances together must not overload a warming server, although they share no state: each limits itself
// to its share of the allowed rate (fleet/slow_start.h). A share of at least one request per burst is
// enforced by a token bucket. A smaller share is enforced by random admission, as a bucket would be empty for
// most requests though all of them together fit.
#pragma once

#include "fleet/slow_start.h"
#include "fleet/warm_server_throughput.h"
#include "routing/latency_model.h"

namespace lynxgrade {

class SlowStartAdmission {
 public:
  SlowStartAdmission(DecisionContext& context, ServerTable& servers, const LatencyModel& latencies);

  // Begins the slow start of a server whose process started at `when`, and resets its latency and failures.
  void BeginSlowStart(Server& server, TimePoint when);

  bool IsWarming(const Server& server) const;
  // Minimum fraction of its full capacity that the server has now; 1 once it is warm.
  double CapacityShare(const Server& server) const;
  // Whether this instance's share is too small for the token bucket, so that admission is random.
  bool UsesRandomAdmission(const Server& server) const;
  // Whether the token bucket allows the request. Always true if it does not apply.
  bool HasCapacity(const Request& request, Server& server);
  // Takes the request's work from the token bucket.
  void Consume(const Request& request, Server& server);

  // Counts a routing decision, including those for retries and waiting requests, as demand in the request's
  // group. Returns the group's demand in work per second.
  double RecordDemand(const Request& request);
  // The maximum probability with which a draw may select the server, given the demand in work per second.
  double MaxDrawProbability(const Server& server, double demand) const;
  // Random admission of a request that has no other candidate. Returns null if it is not admitted.
  Server* DrawAdmission(const Request& request, Server* server);

  // Records that a request of the class was answered.
  void RecordResponse(ClassIndex request_class);
  // Ends a tick interval in which the usable servers had the capacity of `warm_servers` warm ones.
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
