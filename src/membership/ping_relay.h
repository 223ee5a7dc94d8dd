// The receiving side of indirect probes: pings a member at the request of another one and relays its answer.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "membership/member_table.h"
#include "membership/outgoing_packet.h"
#include "membership/packet_builder.h"
#include "replication/packet.pb.h"
#include "routing/balancer.h"

namespace lynxgrade::membership {

// Holds the requests that may still be answered. Not thread-safe.
class PingRelay {
 public:
  // `period`: the protocol period. The references must outlive the relay.
  PingRelay(Duration period, const MemberTable& members, PacketBuilder& packets)
      : period_(period), members_(members), packets_(packets) {}

  // Handles a ping request received from `sender_address`: pings the member that it names.
  void HandlePingRequest(TimePoint now, const std::string& sender_address, const proto::Packet& packet,
                         Outbox& outbox);
  // Relays an answer to the requester of its ping; ignores answers to other pings.
  void HandleAck(const proto::Packet& packet, Outbox& outbox);
  // Sends a Nack for each request whose answer is late, and discards expired requests.
  void Tick(TimePoint now, Outbox& outbox);
  // Discards all requests.
  void Clear() { requests_.clear(); }

 private:
  struct Request {
    std::string requester_address;
    std::uint64_t requester_nonce = 0;  // the nonce of the ping request
    TimePoint expires_at{};
    TimePoint nack_due_at{};
    AgeRequest age_request;
    bool nack_sent = false;
  };

  Duration period_;
  const MemberTable& members_;
  PacketBuilder& packets_;
  std::map<std::uint64_t, Request> requests_;  // by the nonce of the relayed ping
};

}  // namespace lynxgrade::membership
