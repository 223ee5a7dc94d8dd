#include "replication/replication_report.h"

#include <spdlog/spdlog.h>

#include <array>
#include <nlohmann/json.hpp>

#include "replication/engine_options.h"

namespace lynxgrade::replication {
namespace {

using Json = nlohmann::json;

double Seconds(Duration time) { return static_cast<double>(time.count()) * 1e-6; }

Json LeaseReport(const ReplicationReportInput& input) {
  const lease::SessionLeaseClient& client = *input.engine.lease_client();
  const auto& requested = client.counts();
  const auto& managed = client.manager().counts();
  const auto& relayed = input.engine.lease_relay()->counts();
  return {{"owner", input.settings.dedicated_lease_manager},
          {"owners_set_aside", input.engine.swim().dedicated_lease_managers().size()},
          {"holds", client.lease_count()},
          {"entries", client.manager().size()},
          {"asks", requested.requests},
          {"grants", requested.grants},
          {"exact", requested.complete_grants},
          {"recalled", requested.revocations},
          {"capped", requested.suppressed_reads},
          {"over_budget", requested.over_budget},
          {"granted", managed.grants},
          {"denied", managed.denied},
          {"waited", relayed.batched},
          {"passed_on", relayed.relayed}};
}

Json PeersReport(const ReplicationReportInput& input, std::uint64_t view) {
  static constexpr std::array kStates = {"alive", "suspect", "dead", "left"};
  const membership::Swim& swim = input.engine.swim();
  Json peers = Json::array();
  for (const auto& [name, peer] : swim.peers()) {
    const auto state = static_cast<std::size_t>(peer.member.state());
    Json report = {{"name", name},
                   {"address", peer.member.address()},
                   {"state", state < kStates.size() ? kStates[state] : "unknown"},
                   {"for_s", Seconds(input.now - peer.state_changed_at)},
                   {"heard_s", nullptr},
                   {"same_view", peer.view == view},
                   {"differs", Json::array()}};
    if (peer.last_heard_at != TimePoint{}) report["heard_s"] = Seconds(input.now - peer.last_heard_at);
    const auto differences = swim.differences().find(name);
    if (differences != swim.differences().end()) report["differs"] = differences->second;
    peers.push_back(std::move(report));
  }
  return peers;
}

Json TrafficReport(const Traffic& traffic) {
  Json report;
  for (std::size_t kind = 0; kind < kTrafficKindNames.size(); ++kind) {
    const Traffic::Count& out = traffic.out[kind];
    const Traffic::Count& in = traffic.in[kind];
    report[kTrafficKindNames[kind]] = {{"packets_out", out.packets},
                                       {"bytes_out", out.bytes},
                                       {"packets_in", in.packets},
                                       {"bytes_in", in.bytes}};
  }
  return report;
}

}  // namespace

std::string FormatReplicationReport(const ReplicationReportInput& input) {
  const membership::Swim& swim = input.engine.swim();
  membership::QuorumTracker quorum_tracker = swim.quorum_tracker();  // a copy, since Assess changes it
  const membership::QuorumTracker::Assessment quorum = quorum_tracker.Assess(input.now);
  Json report = {{"name", input.name},
                 {"size", FleetSize(input.settings)},
                 {"part", membership::NameOf(quorum.state)},
                 {"for_s", Seconds(input.now - quorum.since)},
                 {"proven_s", nullptr},
                 {"view", fmt::format("{:016x}", quorum.view)},
                 {"in_view", quorum_tracker.member_count()},
                 {"doubt", swim.local_health_multiplier()},
                 {"most_doubt", swim.options().max_local_health_multiplier},
                 {"stalls", swim.stalls()},
                 {"conflicts", swim.duplicate_name_reports()},
                 {"dropped", input.rejected_datagrams},
                 {"spent_s", Seconds(input.processor_time)},
                 {"unheard", swim.unheard_seeds()},
                 {"peers", PeersReport(input, quorum.view)},
                 {"traffic", TrafficReport(input.traffic)}};
  if (quorum.majority_until) report["proven_s"] = Seconds(*quorum.majority_until - input.now);
  if (input.engine.lease_client() != nullptr) report["directory"] = LeaseReport(input);
  return report.dump();
}

}  // namespace lynxgrade::replication
