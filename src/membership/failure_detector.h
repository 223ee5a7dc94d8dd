// SWIM's failure detector: one member is probed each protocol period. One that does not answer in time is
// probed through some others, and suspected at the end of the period. As in Lifeguard, the others say when
// they have no answer either, and silence of them all counts against this instance.
//
// One dead member is pinged now and then as well, so that a fleet that was partitioned joins again.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "membership/local_health.h"
#include "membership/member_table.h"
#include "membership/outgoing_packet.h"
#include "membership/packet_builder.h"
#include "membership/probe_schedule.h"
#include "membership/quorum_tracker.h"
#include "replication/packet.pb.h"
#include "routing/balancer.h"

namespace lynxgrade::membership {

// How often and by whom a member is pinged within a period.
struct ProbeOptions {
  int indirect_probes = 3;   // members requested to ping one that does not answer
  bool repeat_pings = true;  // an unanswered ping is sent again, twice within its period
};

// Holds the probe of the current period.
class FailureDetector {
 public:
  // `period`: the protocol period. The references outlive the detector.
  FailureDetector(Duration period, ProbeOptions options, MemberTable& members, LocalHealth& local_health,
                  QuorumTracker& quorum_tracker, PacketBuilder& packets, std::mt19937_64& random);

  // Pings the next member.
  void StartProbe(TimePoint now, Outbox& outbox);
  // Repeats the ping, directly and through others, once it is due. To be called on each tick.
  void ContinueProbe(TimePoint now, Outbox& outbox);
  // At the end of a period: suspects the member whose probe has not been answered.
  void FinishProbe(TimePoint now);
  // Ends the probe without a verdict.
  void CancelProbe() { probe_.reset(); }

  // An answer to a ping, from the probed member or from another that has passed it on.
  void HandleAck(TimePoint now, const proto::Packet& packet);
  // A member that was requested to ping the probed one has no answer.
  void HandleNack(const proto::Packet& packet);

  // Pings a dead member, drawn at random, once in a few periods. To be called on each tick.
  void PingDeadMember(TimePoint now, Outbox& outbox);

 private:
  struct Probe {
    std::string name;
    std::uint64_t nonce = 0;
    TimePoint sent{};
    bool indirect = false;          // others have been requested
    bool repeated = false;          // for the second time
    int nack_capable_requests = 0;  // requests to members that say when they have no answer
    int nacks = 0;
  };

  void RequestIndirectProbes(const std::string& address, Outbox& outbox);
  // Notes the acknowledgements of an answer to the probe.
  void RecordAcknowledgements(const proto::Packet& packet);
  // Includes the time that the answer to the probe took in its sender's round trip.
  void UpdateRoundTrip(TimePoint now, const proto::Packet& packet);

  Duration period_;
  ProbeOptions options_;
  MemberTable& members_;
  LocalHealth& local_health_;
  QuorumTracker& quorum_tracker_;
  PacketBuilder& packets_;
  std::mt19937_64& random_;
  ProbeSchedule schedule_;
  std::optional<Probe> probe_;
  TimePoint next_dead_ping_{};
};

}  // namespace lynxgrade::membership
