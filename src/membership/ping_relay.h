// The other side of indirect probes: pings a member on request of another, and passes its answer on.
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

// Holds the requests that may still be answered.
class PingRelay {
 public:
  // `period`: the protocol period. The references outlive the relay.
  PingRelay(Duration period, const MemberTable& members, PacketBuilder& packets)
      : period_(period), members_(members), packets_(packets) {}

  // Pings the member that the packet, received from `sender_address`, requests to ping.
  void HandlePingRequest(TimePoint now, const std::string& sender_address, const proto::Packet& packet,
                         Outbox& outbox);
  // Passes an answer on to who requested the ping.
  void HandleAck(const proto::Packet& packet, Outbox& outbox);
  // Sends a Nack for each request whose answer is late, and forgets the outdated ones.
  void Tick(TimePoint now, Outbox& outbox);
  // Forgets all requests.
  void Clear() { requests_.clear(); }

 private:
  struct Request {
    std::string address;      // of the requester
    std::uint64_t nonce = 0;  // likewise
    TimePoint expires{};
    TimePoint nack_due{};
    AgeRequest age_request;
    bool nack_sent = false;
  };

  Duration period_;
  const MemberTable& members_;
  PacketBuilder& packets_;
  std::map<std::uint64_t, Request> requests_;  // by the nonce of the relayed ping
};

}  // namespace lynxgrade::membership
