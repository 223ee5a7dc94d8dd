#include "routing/candidate_selection.h"

#include <cmath>
#include <vector>

#include "fleet/capped_weighted_choice.h"

namespace lynxgrade {
namespace {

constexpr double kWeightExponent = 2;
// Weight factor of a replica that is expected to be behind the required position, or was tried before.
constexpr double kUnlikelyReplicaFactor = 0.02;
constexpr double kMissRateGain = 0.03;  // of the moving average
// Weight factor of the replica that takes a group's long reads.
constexpr double kLongReadReplicaFactor = 30;
// A read is long if its baseline latency exceeds this multiple of the shortest class's.
constexpr double kLongReadLatencyFactor = 3;

}  // namespace

// The replica that takes the group's long reads: the usable one with the lowest id.
const Server* CandidateSelection::LongReadReplica(GroupId group) const {
  const Server* long_read_replica = nullptr;
  for (ServerId id : servers_.GroupOf(group).servers) {
    const Server& server = servers_.At(id);
    if (!server.IsUsable(context_.now()) || server.IsPrimary()) continue;
    if (long_read_replica == nullptr || id < long_read_replica->id) long_read_replica = &server;
  }
  return long_read_replica;
}

// A long read without a required position may halt log replay on the replica that runs it. Spread evenly,
// long reads would delay every replica of a group, so all instances prefer the same one unless it is slow.
// Where such reads do not halt replay, this only makes the load uneven.
bool CandidateSelection::PrefersLongReadReplica(const Request& request,
                                                const Server* long_read_replica) const {
  const bool is_long_read =
      context_.ClassOf(request).kind == AccessKind::kEventualRead &&
      latencies_.BaselineSeconds(request) > kLongReadLatencyFactor * latencies_.ShortestBaselineSeconds();
  return is_long_read && long_read_replica != nullptr &&
         latencies_.IsWellWithinObjective(request.event.request_class, *long_read_replica);
}

double CandidateSelection::Weight(const Request& request, const Server& server,
                                  const Server* long_read_replica, bool prefers_long_read_replica) const {
  const std::optional<LogPosition> required = replication_.RequiredPosition(request);
  const auto in_flight = static_cast<double>(server.load.in_flight.size());
  double weight = server.weight * (1 - server.ejection.failure_rate) /
                  (latencies_.Slowness(server) * (1 + in_flight + server.load.queued));
  const bool is_known = replication_.IsKnown(server, required);
  // In a large fleet an instance has too few observations of each replica, but enough of all together. One
  // miss rate therefore covers all replicas of unknown position that take long reads, and another all others.
  if (required && !is_known)
    weight *= 1 - (&server == long_read_replica ? long_read_replica_miss_rate_ : other_replica_miss_rate_);
  weight = std::pow(weight, kWeightExponent) * slow_start_.CapacityShare(server);
  const bool is_behind =
      required && is_known &&
      replication_.ExpectedPosition(server) + context_.settings().replica_wait_limit / 2 < *required;
  if (is_behind || request.WasSentTo(server.id)) weight *= kUnlikelyReplicaFactor;
  if (prefers_long_read_replica && &server == long_read_replica) weight *= kLongReadReplicaFactor;
  return weight;
}

Server* CandidateSelection::Draw(const Request& request, std::span<Server* const> candidates) {
  if (candidates.empty()) return nullptr;
  const Server* long_read_replica = LongReadReplica(request.event.group);
  const bool prefers_long_read_replica = PrefersLongReadReplica(request, long_read_replica);
  const double demand = slow_start_.RecordDemand(request);
  std::vector<fleet::WeightedCandidate> weighted;
  weighted.reserve(candidates.size());
  for (const Server* server : candidates) {
    weighted.push_back({Weight(request, *server, long_read_replica, prefers_long_read_replica),
                        slow_start_.MaxDrawProbability(*server, demand)});
  }
  const auto chosen = fleet::ChooseCapped(weighted, context_.DrawUniform());
  return chosen ? candidates[*chosen] : nullptr;
}

void CandidateSelection::RecordReadOfUnknownPosition(const Server& server, Outcome outcome) {
  double& rate =
      &server == LongReadReplica(server.group) ? long_read_replica_miss_rate_ : other_replica_miss_rate_;
  rate += kMissRateGain * ((outcome == Outcome::kMisrouted ? 1 : 0) - rate);
}

}  // namespace lynxgrade
