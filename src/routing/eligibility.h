// Decides which servers a request may be sent to, and which replicas can serve a read.
#pragma once

#include <vector>

#include "routing/replication_state.h"
#include "routing/retry_policy.h"
#include "routing/slow_start_admission.h"

namespace lynxgrade {

class Eligibility {
 public:
  Eligibility(DecisionContext& context, ServerTable& servers, ReplicationState& replication,
              const RetryPolicy& retry_policy, SlowStartAdmission& slow_start)
      : context_(context),
        servers_(servers),
        replication_(replication),
        retry_policy_(retry_policy),
        slow_start_(slow_start) {}

  // Checks all rules that an attempt must satisfy: group, draining, retries, position and slow start.
  bool MaySend(const Request& request, Server& server);
  // The time by which the last byte of an attempt at the server must have been sent, by what is known now:
  // until then the server is proven to have the data that the read requires. TimePoint::max(): no limit;
  // TimePoint::min(): it must not be sent.
  TimePoint SendDeadline(const Request& request, const Server& server) const;
  // Whether the server may answer the read only because it is the primary.
  bool ReliesOnPrimaryRole(const Request& request, const Server& server) const;
  // Whether a read may go only to a server that is proven to have reached the required position.
  bool MustProvePosition(const Request& request) const;
  // The servers that a read may go to now: usable replicas that are expected to have reached its position,
  // else any usable replica that MaySend allows. If no replica is usable: the primary, else ejected replicas.
  std::vector<Server*> ReadCandidates(const Request& request);

  // Whether a usable replica has reached the read's required position; false if none is required.
  bool HasReplicaAtPosition(const Request& request) const;
  // Whether a replica may reach the required position within the time that it lets a read wait.
  bool MayReplicaCatchUpWhileHolding(const Request& request) const;
  // Whether a replica may reach the required position within the given time; true if there is no replica.
  bool MayReplicaCatchUp(const Request& request, Duration within) const;

 private:
  DecisionContext& context_;
  ServerTable& servers_;
  ReplicationState& replication_;
  const RetryPolicy& retry_policy_;
  SlowStartAdmission& slow_start_;
};

}  // namespace lynxgrade
