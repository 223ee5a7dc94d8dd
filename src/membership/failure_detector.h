// SWIM's failure detector: it probes one member in each protocol period. If the member does not answer its
// ping in time, other members are requested to ping it; without any answer it is suspected at the end of the
// period. As in Lifeguard, the requested members send a Nack if they have no answer either, and each missing
// Nack lowers this instance's local health.
//
// Dead members are pinged at a longer interval, so that the sides of an ended partition find each other.
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

// How a member is probed within a protocol period.
struct ProbeOptions {
  int indirect_probes = 3;   // number of members requested to ping one that does not answer
  bool repeat_pings = true;  // an unanswered ping is repeated twice within the period
};

// Holds the probe of the current period. Not thread-safe.
class FailureDetector {
 public:
  // `period`: the protocol period. The references must outlive the detector.
  FailureDetector(Duration period, ProbeOptions options, MemberTable& members, LocalHealth& local_health,
                  QuorumTracker& quorum_tracker, PacketBuilder& packets, std::mt19937_64& random);

  // Starts the probe of a new period: pings the next member.
  void StartProbe(TimePoint now, Outbox& outbox);
  // Repeats the ping and requests indirect probes when they are due. To be called on each tick.
  void ContinueProbe(TimePoint now, Outbox& outbox);
  // Ends the probe of a period: suspects the member if its probe has not been answered.
  void FinishProbe(TimePoint now);
  // Ends the probe without a result.
  void CancelProbe() { probe_.reset(); }

  // Handles the answer to a ping, from the probed member or relayed by another member.
  void HandleAck(TimePoint now, const proto::Packet& packet);
  // Handles the Nack of a member that was requested to ping the probed one and has no answer.
  void HandleNack(const proto::Packet& packet);

  // Pings a randomly drawn dead member every few periods. To be called on each tick.
  void PingDeadMember(TimePoint now, Outbox& outbox);

 private:
  struct Probe {
    std::string name;
    std::uint64_t nonce = 0;
    TimePoint sent{};
    bool indirect = false;          // indirect probes have been requested; the ping was repeated with them
    bool repeated = false;          // the ping has been repeated for the second time
    int nack_capable_requests = 0;  // requests to members that send Nacks
    int nacks = 0;                  // Nacks received
  };

  void RequestIndirectProbes(const std::string& address, Outbox& outbox);
  // Passes the view acknowledgements of an answer to the quorum tracker.
  void RecordAcknowledgements(const proto::Packet& packet);
  // Updates the member's smoothed round-trip time with that of the probe, if the probe allows to measure it.
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
  TimePoint next_dead_ping_at_{};
};

}  // namespace lynxgrade::membership
