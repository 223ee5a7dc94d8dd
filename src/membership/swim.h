// Detects which other instances are running: SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002) with suspicion and incarnation numbers, and
// the extensions of Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate
// Failure Detection", 2018).
//
// Swim connects the parts of the protocol, each of which is a class of its own: the member table, failure
// detection and its relay, suspicion timers, verification of deaths, gossip, anti-entropy, and the quorum
// tracker.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "membership/anti_entropy.h"
#include "membership/death_verifier.h"
#include "membership/failure_detector.h"
#include "membership/gossip_queue.h"
#include "membership/local_health.h"
#include "membership/member_table.h"
#include "membership/membership_view.h"
#include "membership/outgoing_packet.h"
#include "membership/packet_builder.h"
#include "membership/peer.h"
#include "membership/ping_relay.h"
#include "membership/quorum_tracker.h"
#include "membership/suspicion_timers.h"
#include "replication/packet.pb.h"
#include "routing/balancer.h"

namespace lynxgrade::membership {

// Conditions under which view acknowledgements count.
struct AcknowledgementOptions {
  // Validity of an acknowledgement, as a multiple of the time in which acknowledgements reach all members.
  int validity_per_spread_time = 3;
  // False: members of the view count without an acknowledgement. For comparison in tests only.
  bool required = true;
};

// Not thread-safe; uses no sockets and no clock. Times passed to it are those of one clock and never
// decrease. Owns its parts, which refer to each other, so it can be neither copied nor moved.
class Swim {
 public:
  struct Options {
    Duration period = std::chrono::milliseconds(200);  // the protocol period, in which one member is probed
    std::size_t fleet_size = 1;                        // configured number of instances, this one included
    std::uint32_t protocol_version = 1;                // Member.protocol_version of this process
    std::uint32_t capabilities =                       // Member.capabilities of this process
        capability::kSupportsDedicatedLeaseManagers | capability::kRelaysLeaseMessages;
    ProbeOptions probe;
    SuspicionOptions suspicion;
    AcknowledgementOptions acknowledgements;
    LeaseManagerOptions lease_manager;
    int max_local_health_multiplier = 8;  // 0: timeouts do not depend on local health
    // Members that died or left are removed from the member table after this time.
    Duration dead_retention = std::chrono::minutes(10);
  };

  // `self` describes this process; `seeds` are addresses at which members of the fleet are expected;
  // `random_seed` determines all random choices.
  Swim(const Options& options, proto::Member self, std::vector<std::string> seeds, std::uint64_t random_seed);
  Swim(const Swim&) = delete;
  Swim& operator=(const Swim&) = delete;
  ~Swim() = default;

  // To be called every few milliseconds. Like the methods below, adds the packets to be sent to the outbox.
  void Tick(TimePoint now, Outbox& outbox);
  // Handles a packet. The caller has verified that the member named as its sender has sent it.
  void HandlePacket(TimePoint now, const std::string& sender_address, const proto::Packet& packet,
                    Outbox& outbox);
  // Notifies all running members that this instance leaves the fleet.
  void Leave(Outbox& outbox);
  // Adds this instance as the sender, its view, and gossip to a packet of another protocol.
  void AddSenderAndGossip(proto::Packet& packet) { packets_.AddSenderAndGossip(packet); }

  const proto::Member& self() const { return members_.self(); }
  const PeerMap& peers() const { return members_.peers(); }
  // Seed addresses at which no member is known.
  const std::vector<std::string>& unheard_seeds() const { return members_.unheard_seeds(); }
  // Number of reports about a running process that has the name of another running one.
  std::uint64_t duplicate_name_reports() const { return members_.duplicate_name_reports(); }
  // Incremented by every change of `peers` or `unheard_seeds`. The arrival of a packet is no such change.
  std::uint64_t change_count() const { return members_.change_count(); }
  // Names of peers that were added, changed or removed since the last call; may contain duplicates.
  std::vector<std::string> DrainChangedNames() { return members_.DrainChangedNames(); }
  // Whether another running process has this instance's name and started later: this instance then
  // acknowledges no view.
  bool superseded() const { return members_.superseded(); }
  // Zero for a healthy instance: LocalHealth::multiplier.
  int local_health_multiplier() const { return local_health_.multiplier(); }
  // Number of detected pauses of this process.
  std::uint64_t stalls() const { return stalls_; }
  // The time for which an acknowledgement of a view is valid.
  Duration acknowledgement_validity() const { return ValidityOf(options_); }
  // Members whose state differs in the last digests of others: AntiEntropy::differences.
  const std::map<std::string, std::vector<std::string>>& differences() const {
    return anti_entropy_.differences();
  }
  // Assesses how much of the fleet shares this instance's view. `now` must not decrease between calls.
  QuorumTracker::Assessment QuorumStateAt(TimePoint now) { return quorum_tracker_.Assess(now); }
  const QuorumTracker& quorum_tracker() const { return quorum_tracker_; }
  // The incarnation ids of the dedicated lease managers: MembershipView::dedicated_lease_managers.
  const std::vector<std::uint64_t>& dedicated_lease_managers() const {
    return view_.dedicated_lease_managers();
  }
  const Options& options() const { return options_; }

 private:
  static Duration ValidityOf(const Options& options);
  static proto::Member WithOptions(proto::Member self, const Options& options);

  // Pings all seeds, and draws the start of the first period.
  void JoinFleet(TimePoint now, Outbox& outbox);
  // Discards what was in progress if the process was paused for longer than a period.
  void DetectStall(TimePoint now);
  void RefreshView(TimePoint now);
  void FinishPeriod(TimePoint now);
  void ApplyReport(TimePoint now, const proto::Member& reported, ReportSource source);
  void HandlePing(const std::string& sender_address, const proto::Packet& packet, Outbox& outbox);

  Options options_;
  std::mt19937_64 random_;
  LocalHealth local_health_;
  GossipQueue gossip_;
  DeathVerifier death_verifier_;
  MemberTable members_;
  QuorumTracker quorum_tracker_;
  PacketBuilder packets_;
  MembershipView view_;
  SuspicionTimers suspicion_timers_;
  FailureDetector failure_detector_;
  PingRelay ping_relay_;
  AntiEntropy anti_entropy_;
  TimePoint next_period_at_{};  // zero before the first tick
  TimePoint last_tick_at_{};    // zero before the first tick
  std::size_t next_seed_ = 0;   // index of the seed to ping next, modulo the number of unheard seeds
  std::uint64_t stalls_ = 0;
};

}  // namespace lynxgrade::membership
