// Reads that the primary of a group serves with the capacity that its own work leaves.
#pragma once

#include "routing/eligibility.h"
#include "routing/latency_model.h"

namespace lynxgrade {

// A read that a replica had to refuse for its position, while no replica is expected to reach the position,
// may go to the primary: within a window that grows with responses and is decreased once the primary's own
// work slows down.
class PrimaryOverflow {
 public:
  PrimaryOverflow(DecisionContext& context, ReplicationState& replication, const LatencyModel& latencies,
                  Eligibility& eligibility)
      : context_(context), replication_(replication), latencies_(latencies), eligibility_(eligibility) {}

  // The primary, if it has capacity to spare for the read now; else null.
  Server* PrimaryWithSpareCapacity(const Request& request);
  // An overflow read was sent to the primary, or ended there.
  void RecordSent(Server& primary);
  void RecordEnd(Server& primary, Outcome outcome);

 private:
  bool HasSpareCapacity(Server& primary);

  DecisionContext& context_;
  ReplicationState& replication_;
  const LatencyModel& latencies_;
  Eligibility& eligibility_;
};

}  // namespace lynxgrade
