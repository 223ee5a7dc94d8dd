#include "routing/candidate_selection.h"

#include <cmath>
#include <vector>

#include "fleet/capped_weighted_choice.h"

namespace lynxgrade {
namespace {

constexpr double kWeightExponent = 2;
// Factor for a replica that is expected to be behind, or that was tried before.
constexpr double kUnlikelyReplicaFactor = 0.02;
constexpr double kMissRateGain = 0.03;
constexpr double kLongReadHostFactor = 30;
// A read is long if it takes so many times the shortest class.
constexpr double kLongReadFactor = 3;

}  // namespace

// The replica of the group that takes the long reads: the usable one with the lowest id.
const Server* CandidateSelection::LongReadHost(GroupId group) const {
  const Server* host = nullptr;
  for (ServerId id : servers_.GroupOf(group).servers) {
    const Server& server = servers_.At(id);
    if (!server.IsUsable(context_.now()) || server.IsPrimary()) continue;
    if (host == nullptr || id < host->id) host = &server;
  }
  return host;
}

// Long reads without a required position may halt the replay of the log on the replica that runs them. Spread
// evenly they would hold back every replica of a group, so all instances prefer the same one while it is not
// busy.
bool CandidateSelection::GoesToLongReadHost(const Request& request, const Server* host) const {
  const bool is_long_read =
      context_.ClassOf(request).kind == AccessKind::kEventualRead &&
      latencies_.UsualSeconds(request) > kLongReadFactor * latencies_.ShortestUsualSeconds();
  return is_long_read && host != nullptr && latencies_.HasSpareTime(request.event.request_class, *host);
}

double CandidateSelection::Weight(const Request& request, const Server& server, const Server* host,
                                  bool prefers_host) const {
  const std::optional<LogPosition> required = replication_.RequiredPosition(request);
  const auto in_flight = static_cast<double>(server.load.in_flight.size());
  double weight = server.weight * (1 - server.ejection.failure_rate) /
                  (latencies_.Slowness(server) * (1 + in_flight + server.load.queued));
  const bool is_known = replication_.IsKnown(server, required);
  // One instance of many hears little of each server, but much of all: the miss rates stand for all replicas
  // of unknown position, apart for those that run the long reads and others.
  if (required && !is_known) weight *= 1 - (&server == host ? host_miss_rate_ : replica_miss_rate_);
  weight = std::pow(weight, kWeightExponent) * slow_start_.CapacityShare(server);
  const bool is_behind =
      required && is_known &&
      replication_.ExpectedPosition(server) + context_.settings().replica_wait_limit / 2 < *required;
  if (is_behind || request.WasSentTo(server.id)) weight *= kUnlikelyReplicaFactor;
  if (prefers_host && &server == host) weight *= kLongReadHostFactor;
  return weight;
}

Server* CandidateSelection::Draw(const Request& request, std::span<Server* const> candidates) {
  if (candidates.empty()) return nullptr;
  const Server* host = LongReadHost(request.event.group);
  const bool prefers_host = GoesToLongReadHost(request, host);
  const double demand = slow_start_.RecordDemand(request);
  std::vector<fleet::WeightedCandidate> weighted;
  weighted.reserve(candidates.size());
  for (const Server* server : candidates) {
    weighted.push_back({Weight(request, *server, host, prefers_host), slow_start_.DrawCap(*server, demand)});
  }
  const auto chosen = fleet::ChooseCapped(weighted, context_.DrawUniform());
  return chosen ? candidates[*chosen] : nullptr;
}

void CandidateSelection::RecordBlindRead(const Server& server, Outcome outcome) {
  double& rate = &server == LongReadHost(server.group) ? host_miss_rate_ : replica_miss_rate_;
  rate += kMissRateGain * ((outcome == Outcome::kMisrouted ? 1 : 0) - rate);
}

}  // namespace lynxgrade
