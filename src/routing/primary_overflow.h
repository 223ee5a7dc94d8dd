// Lets a group's primary serve reads with its spare capacity.
#pragma once

#include "routing/eligibility.h"
#include "routing/latency_model.h"

namespace lynxgrade {

// A read may overflow to the primary if a replica rejected it because of its position and no replica is
// expected to reach that position in time. The number of overflow reads in flight is limited by a window that
// grows with responses and is decreased when the primary's own requests slow down.
class PrimaryOverflow {
 public:
  PrimaryOverflow(DecisionContext& context, ReplicationState& replication, const LatencyModel& latencies,
                  Eligibility& eligibility)
      : context_(context), replication_(replication), latencies_(latencies), eligibility_(eligibility) {}

  // Returns the primary if it has spare capacity for the read now, else null.
  Server* PrimaryWithSpareCapacity(const Request& request);
  // Record that an overflow read was sent to the primary, or ended there.
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
