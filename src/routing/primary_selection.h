// Chooses the server for a request that only a primary may serve.
#pragma once

#include "routing/eligibility.h"

namespace lynxgrade {

class PrimarySelection {
 public:
  PrimarySelection(DecisionContext& context, ServerTable& servers, ReplicationState& replication,
                   Eligibility& eligibility)
      : context_(context), servers_(servers), replication_(replication), eligibility_(eligibility) {}

  // Returns the group's primary or, if it is unknown, a server that may be the primary; null if the request
  // has to wait.
  Server* Choose(const Request& request);

 private:
  Server* ChooseUnknownServer(const Request& request, const Server* known_primary);

  DecisionContext& context_;
  ServerTable& servers_;
  ReplicationState& replication_;
  Eligibility& eligibility_;
};

}  // namespace lynxgrade
