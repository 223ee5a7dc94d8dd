// Which servers a request may be sent to at all, and which of the replicas can serve a read.
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

  // The one check of every rule before an attempt is sent.
  bool MaySend(const Request& request, Server& server);
  // Whether a read may go only to a server that is proven to hold the required position.
  bool MustProvePosition(const Request& request) const;
  // The servers that a read may go to now: replicas that are expected to hold its position, else, where
  // servers check it themselves, any replica. Where no replica can serve at all the primary does, then
  // ejected replicas.
  std::vector<Server*> ReadCandidates(const Request& request);

  // Whether a usable replica has reached the read's required position; false where none is required.
  bool HasReplicaAtPosition(const Request& request) const;
  // Whether a replica may come to the required position while it would hold the read back for it.
  bool MayReplicaCatchUpWhileHolding(const Request& request) const;
  // Whether a replica may come to the required position within the time; true where there is no replica.
  bool MayReplicaCatchUp(const Request& request, Duration within) const;

 private:
  DecisionContext& context_;
  ServerTable& servers_;
  ReplicationState& replication_;
  const RetryPolicy& retry_policy_;
  SlowStartAdmission& slow_start_;
};

}  // namespace lynxgrade
