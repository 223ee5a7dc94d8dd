// Chooses a server for a read among its candidates by a weighted random draw with caps.
#pragma once

#include <span>

#include "routing/latency_model.h"
#include "routing/replication_state.h"
#include "routing/slow_start_admission.h"

namespace lynxgrade {

class CandidateSelection {
 public:
  CandidateSelection(DecisionContext& context, ServerTable& servers, const ReplicationState& replication,
                     const LatencyModel& latencies, SlowStartAdmission& slow_start)
      : context_(context),
        servers_(servers),
        replication_(replication),
        latencies_(latencies),
        slow_start_(slow_start) {}

  // Draws a candidate, weighted by configured weight, latency, load, failures and position. Returns null if
  // there is none, or if the draw falls on probability that caps leave unassigned.
  Server* Draw(const Request& request, std::span<Server* const> candidates);
  // Records whether a replica of unknown position served a read (kOk) or had not reached the required
  // position (kMisrouted).
  void RecordReadOfUnknownPosition(const Server& server, Outcome outcome);

 private:
  const Server* LongReadReplica(GroupId group) const;
  bool PrefersLongReadReplica(const Request& request, const Server* long_read_replica) const;
  double Weight(const Request& request, const Server& server, const Server* long_read_replica,
                bool prefers_long_read_replica) const;

  DecisionContext& context_;
  ServerTable& servers_;
  const ReplicationState& replication_;
  const LatencyModel& latencies_;
  SlowStartAdmission& slow_start_;
  // Fraction of reads sent to replicas of unknown position that those had not reached: for the replicas that
  // take the long reads, and for all others.
  double long_read_replica_miss_rate_ = 0;
  double other_replica_miss_rate_ = 0;
};

}  // namespace lynxgrade
