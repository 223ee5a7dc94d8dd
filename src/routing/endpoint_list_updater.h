// Applies the endpoint list to the server table, and polls it again after an error.
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
  // Whether a deleted server's state can be erased: the retention time is over and nothing is in flight to
  // it. As servers are replaced under new ids, their state would otherwise accumulate; a server that comes
  // back within the retention time keeps its state.
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
