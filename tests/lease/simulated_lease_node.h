// One simulated instance of the lease tests: its view of the fleet, its leases and its watermarks.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lease/lease_message_relay.h"
#include "lease/session_lease_client.h"
#include "membership/quorum_tracker.h"

namespace lynxgrade::lease {

inline constexpr Duration kMs{1000};
inline constexpr Duration kViewValidity = kMs * 150;
inline constexpr Duration kPingInterval = kMs * 25;
inline constexpr Duration kUnreachableAfter = kMs * 80;  // a peer silent for longer is removed from the view
inline constexpr Duration kLeaseDuration = kMs * 1200;
inline constexpr GroupId kGroup{1};
inline constexpr std::size_t kBytesPerS = 1'000'000'000;

inline consistency::SessionKey SessionKeyOf(int number) {
  return consistency::SessionKeyOf(kGroup, "s" + std::to_string(number));
}

// A variant of the simulation, for example with one rule switched off.
struct Variant {
  SessionLeaseClient::Options rules{};  // with one of the rules switched off
  // A view counts as complete even if it lacks instances of the fleet.
  bool complete_without_all = false;
  // The first instance does not know which instances are dedicated lease managers.
  bool managers_not_agreed = false;
  // Bandwidth is low: messages are batched and relayed. Switches no rule off.
  bool low_bandwidth = false;
};

struct Packet {
  std::size_t from = 0;
  IncarnationId sender = 0;
  IncarnationId receiver = 0;
  TimePoint sender_started{};
  std::uint64_t ping = 0;  // number of the ping that this packet is
  std::uint64_t ack = 0;   // number of the ping that it answers
  std::uint64_t view = 0;
  std::uint64_t acknowledged_view = 0;
  std::string acknowledgement_ages;
  std::optional<LeaseMessageRelay::Hop> hop;
};

// The clock of one incarnation, relative to the true time.
struct SkewedClock {
  Duration offset{};
  int permille_faster = 0;
  TimePoint started{};
  TimePoint Local(TimePoint true_time) const {
    return true_time + offset + (true_time - started) * permille_faster / 1000;
  }
  // The true time at which the clock shows `local`, rounded up.
  TimePoint True(TimePoint local) const {
    const Duration elapsed = local - offset - started;
    return started + Duration(elapsed.count() * 1000 / (1000 + permille_faster) + 1);
  }
};

class SimulatedLeaseNode final : public KnownWatermarks {
 public:
  // `dedicated_managers`: the incarnations of dedicated lease managers. Kept by reference, as it grows.
  SimulatedLeaseNode(std::size_t index, IncarnationId incarnation_id, TimePoint now, std::size_t fleet_size,
                     const Variant& variant, const std::set<IncarnationId>& dedicated_managers)
      : incarnation_id(incarnation_id),
        quorum_tracker({incarnation_id, fleet_size, kViewValidity, true}, now),
        watermark_table(24),
        relay({incarnation_id, variant.low_bandwidth ? kMs * 5 : Duration{0}}),
        fleet_size_(fleet_size),
        complete_without_all_(variant.complete_without_all),
        knows_dedicated_managers_(!variant.managers_not_agreed || index > 0),
        dedicated_managers_(dedicated_managers) {
    SessionLeaseClient::Options options = variant.rules;
    if (variant.low_bandwidth) {
      options.bytes_per_s = kBytesPerS;
      options.batching_delay = kMs * 5;
    }
    options.self = incarnation_id;
    options.view_validity = kViewValidity;
    options.single_instance = fleet_size == 1;
    options.manager.lease_duration = kLeaseDuration;
    options.read_requests_per_s = 1000;
    // Some incarnations have too little capacity.
    if (incarnation_id % 4 == 0) options.manager.entry_capacity = 2;
    if (incarnation_id % 5 == 0) options.lease_capacity = 1;
    client = std::make_unique<SessionLeaseClient>(options, *this, now);
    // Uses most of the burst of half a second: the budget is low, but a read may still send a request.
    client->RecordTraffic(now, kBytesPerS * 2 / 5);
  }

  consistency::SessionWatermarkTable::LookupResult FindWatermark(consistency::SessionKey key) const override {
    return watermark_table.Find(key);
  }
  void RecordWatermark(consistency::SessionKey key, const consistency::WriteWatermark& watermark) override {
    watermark_table.Record(key, watermark);
  }

  // Applies what the quorum tracker knows at `now` to the relay and the lease client.
  void UpdateView(TimePoint now) {
    const membership::QuorumTracker::Assessment value = quorum_tracker.Assess(now);
    const bool all =
        value.state == membership::QuorumState::kComplete && quorum_tracker.member_count() == fleet_size_;
    const bool majority = value.state >= membership::QuorumState::kMajority;
    std::vector<IncarnationId> managers = quorum_tracker.incarnation_ids();
    std::erase_if(managers, [this](IncarnationId one) { return !dedicated_managers_.contains(one); });
    const bool is_manager = dedicated_managers_.contains(incarnation_id);
    IncarnationId relay_id =
        is_manager ? 0 : SelectLeaseManager(consistency::SessionKey(incarnation_id), managers);
    if (managers.empty() || !knows_dedicated_managers_) {
      managers = quorum_tracker.incarnation_ids();
      relay_id = 0;
    }
    const std::uint64_t view = quorum_tracker.AcknowledgedView(now);
    if (view != 0) relay.UpdateView(view, managers, relay_id);
    client->UpdateView(now, {view, complete_without_all_ ? majority : all, managers});
  }

  // Passes the reachable peers to the quorum tracker as its view.
  void RefreshView(TimePoint now) {
    std::vector<IncarnationId> reachable{incarnation_id};
    for (const auto& [index, peer] : peers) {
      const auto excluded = excluded_until.find(index);
      const bool heard = peer.heard && now - *peer.heard < kUnreachableAfter;
      const bool included = excluded == excluded_until.end() || now > excluded->second;
      if (heard && included) reachable.push_back(peer.incarnation_id);
    }
    std::ranges::sort(reachable);
    std::uint64_t digest = 1;
    for (const IncarnationId one : reachable) digest = digest * 0x9E3779B97F4A7C15ull + one;
    quorum_tracker.UpdateView(now, digest, reachable);
  }

  // Records that a packet of a peer was received.
  void RecordPeerPacket(TimePoint now, const Packet& packet) {
    Peer& peer = peers[packet.from];
    if (packet.sender_started > peer.started || peer.incarnation_id == 0) {
      peer = {packet.sender, packet.sender_started, {}};
    }
    if (peer.incarnation_id == packet.sender) peer.heard = now;
  }

  // Records the view acknowledgements in `packet` if it answers a ping of this node.
  void HandleAck(TimePoint now, const Packet& packet) {
    const auto ping = ping_sent_at.find(packet.ack);
    if (ping == ping_sent_at.end()) return;
    UpdateView(now);
    quorum_tracker.RecordAcknowledgement(packet.sender, ping->second, packet.acknowledged_view);
    quorum_tracker.MergeAcknowledgementAges(ping->second, packet.view, packet.acknowledgement_ages);
    ping_sent_at.erase(ping);
  }

  struct Peer {
    IncarnationId incarnation_id = 0;
    TimePoint started{};
    std::optional<TimePoint> heard;
  };

  IncarnationId incarnation_id;
  membership::QuorumTracker quorum_tracker;
  consistency::SessionWatermarkTable watermark_table;
  std::unique_ptr<SessionLeaseClient> client;
  LeaseMessageRelay relay;
  std::map<std::size_t, Peer> peers;  // by index
  std::map<std::size_t, TimePoint>
      excluded_until;  // by index: not in the view before then, even if reachable
  std::map<std::uint64_t, TimePoint> ping_sent_at;
  TimePoint next_ping{};
  TimePoint ticked_at{};

 private:
  std::size_t fleet_size_;
  bool complete_without_all_;
  bool knows_dedicated_managers_;
  const std::set<IncarnationId>& dedicated_managers_;
};

}  // namespace lynxgrade::lease
