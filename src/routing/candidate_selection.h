// Chooses one of the candidates for a read: a weighted draw with caps.
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

  // Draws one of the candidates by weight, latency, load, failures and position. Null if there is none, or if
  // all are at their caps.
  Server* Draw(const Request& request, std::span<Server* const> candidates);
  // A read of a replica whose position was unknown was answered, or the replica did not hold the position.
  void RecordBlindRead(const Server& server, Outcome outcome);

 private:
  const Server* LongReadHost(GroupId group) const;
  bool GoesToLongReadHost(const Request& request, const Server* host) const;
  double Weight(const Request& request, const Server& server, const Server* host, bool prefers_host) const;

  DecisionContext& context_;
  ServerTable& servers_;
  const ReplicationState& replication_;
  const LatencyModel& latencies_;
  SlowStartAdmission& slow_start_;
  // Share of blind reads whose position the replica did not hold: long-read hosts, and other replicas.
  double host_miss_rate_ = 0;
  double replica_miss_rate_ = 0;
};

}  // namespace lynxgrade
