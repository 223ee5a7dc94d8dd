// Which other instances are running: SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002) with suspicion and incarnation numbers, and
// the extensions of Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate
// Failure Detection", 2018).
//
// Swim joins the parts of the protocol, each of which is a class of its own: the member table, failure
// detection and its relay, suspicion timers, verification of deaths, gossip, anti-entropy, and the quorum of
// the view.
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

// When acknowledgements of a view count.
struct AcknowledgementOptions {
  // An acknowledgement is valid for so many times as long as acknowledgements take to reach all members.
  int validity_spreads = 3;
  // False: members of the view count without one, for comparison.
  bool required = true;
};

// Not thread-safe; free of sockets and clocks. Times are those of one clock, ascending. Owns its parts, which
// refer to each other, so it is neither copied nor moved.
class Swim {
 public:
  struct Options {
    Duration period = std::chrono::milliseconds(200);  // the protocol period: one probe each
    std::size_t fleet_size = 1;                        // this instance included
    std::uint32_t protocol_version = 1;                // of this process: Member.protocol_version
    std::uint32_t capabilities =                       // bits of Member.capabilities
        capability::kSupportsDedicatedLeaseManagers | capability::kRelaysLeaseMessages;
    ProbeOptions probe;
    SuspicionOptions suspicion;
    AcknowledgementOptions acknowledgements;
    LeaseManagerOptions lease_manager;
    int max_local_health_multiplier = 8;  // 0: timeouts do not depend on local health
    // Dead members, and those that have left, are forgotten after that.
    Duration dead_retention = std::chrono::minutes(10);
  };

  // `self` names this process; `seeds` are addresses of members to join by; `random_seed` determines all
  // random choices.
  Swim(const Options& options, proto::Member self, std::vector<std::string> seeds, std::uint64_t random_seed);
  Swim(const Swim&) = delete;
  Swim& operator=(const Swim&) = delete;
  ~Swim() = default;

  // To be called every few milliseconds. Adds the packets to be sent to the outbox, as do the others.
  void Tick(TimePoint now, Outbox& outbox);
  // Handles a packet that was sent by the member that it names as its sender.
  void HandlePacket(TimePoint now, const std::string& sender_address, const proto::Packet& packet,
                    Outbox& outbox);
  // Notifies all running members that this instance leaves the fleet.
  void Leave(Outbox& outbox);
  // Adds this instance as the sender, its view, and gossip to a packet that is sent for another purpose.
  void AddSenderAndGossip(proto::Packet& packet) { packets_.AddSenderAndGossip(packet); }

  const proto::Member& self() const { return members_.self(); }
  const PeerMap& peers() const { return members_.peers(); }
  // Seeds at whose address no member has been heard of.
  const std::vector<std::string>& unheard_seeds() const { return members_.unheard_seeds(); }
  // How often a running process with the name of another running one was heard of.
  std::uint64_t duplicate_name_reports() const { return members_.duplicate_name_reports(); }
  // Rises with every change of `peers` or `unheard_seeds`, except that a peer was heard.
  std::uint64_t change_count() const { return members_.change_count(); }
  // Names of peers that were added, changed or removed since the last call, some perhaps repeatedly.
  std::vector<std::string> DrainChangedNames() { return members_.DrainChangedNames(); }
  // Whether a running process of this instance's name was started later: this one acknowledges no view.
  bool superseded() const { return members_.superseded(); }
  // Zero for a healthy instance, else by how many times its timeouts are longer.
  int local_health_multiplier() const { return local_health_.multiplier(); }
  // How often a pause of this process was noticed.
  std::uint64_t stalls() const { return stalls_; }
  // How long an acknowledgement of a view is valid.
  Duration acknowledgement_validity() const { return ValidityOf(options_); }
  // Where the last digests of other members differ from the peers: AntiEntropy::differences.
  const std::map<std::string, std::vector<std::string>>& differences() const {
    return anti_entropy_.differences();
  }
  // How much of the fleet shares this instance's view, at a time not before the last call's.
  QuorumTracker::Assessment QuorumStateAt(TimePoint now) { return quorum_tracker_.Assess(now); }
  const QuorumTracker& quorum_tracker() const { return quorum_tracker_; }
  // The incarnation ids of the view's dedicated lease managers: MembershipView::dedicated_lease_managers.
  const std::vector<std::uint64_t>& dedicated_lease_managers() const {
    return view_.dedicated_lease_managers();
  }
  const Options& options() const { return options_; }

 private:
  static Duration ValidityOf(const Options& options);
  static proto::Member WithOptions(proto::Member self, const Options& options);

  // Pings all seeds.
  void Join(TimePoint now, Outbox& outbox);
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
  TimePoint next_period_{};  // zero before the first tick
  TimePoint last_tick_{};    // likewise
  std::size_t next_seed_ = 0;
  std::uint64_t stalls_ = 0;
};

}  // namespace lynxgrade::membership
