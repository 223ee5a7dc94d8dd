// Applies the endpoint list to the server table, and asks for it again after an error.
#pragma once

#include "routing/replication_state.h"
#include "routing/slow_start_admission.h"

namespace lynxgrade {

class EndpointListUpdater {
 public:
  EndpointListUpdater(DecisionContext& context, ServerTable& servers, ReplicationState& replication,
                      SlowStartAdmission& slow_start)
      : context_(context), servers_(servers), replication_(replication), slow_start_(slow_start) {}

  void Apply(const EndpointListEvent& event);
  // Whether a deleted server can be forgotten: it has been gone for long, and nothing of it is in flight.
  // Servers are replaced under new ids as long as the service runs; one that comes back soon keeps what is
  // known of it.
  bool IsExpired(const Server& server) const;

 private:
  void HandleError();
  void ApplyEntry(const EndpointListEntry& entry, EndpointListKind kind);
  void DrainUnlisted(const EndpointListEvent& event);

  DecisionContext& context_;
  ServerTable& servers_;
  ReplicationState& replication_;
  SlowStartAdmission& slow_start_;
  int consecutive_errors_ = 0;
};

}  // namespace lynxgrade
