// Anti-entropy between members whose views differ: one sends its member table in parts, as membership
// digests, and the other answers each with the members about which it has newer information.
//
// Gossip alone does not suffice: each update is transmitted a limited number of times, so after a partition
// neither side still gossips what the other side missed.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "membership/member_table.h"
#include "membership/outgoing_packet.h"
#include "membership/packet_builder.h"
#include "replication/packet.pb.h"
#include "routing/balancer.h"

namespace lynxgrade::membership {

// Holds the position of the next digest part, and the differences found in digests of others. Not
// thread-safe.
class AntiEntropy {
 public:
  // `period`: the protocol period. The references must outlive the object.
  AntiEntropy(Duration period, MemberTable& members, PacketBuilder& packets)
      : period_(period), members_(members), packets_(packets) {}

  // To be called at the start of each protocol period.
  void StartPeriod() { pings_in_period_ = 0; }
  // Compares the view of a packet with that of this instance. If they differ, sends the next digest part to
  // the sender of the packet. At most one part is sent per period, whoever receives it: after a partition the
  // views of many members differ at once.
  void CompareViews(TimePoint now, const std::string& sender_address, const proto::Packet& packet,
                    std::uint64_t own_view, Outbox& outbox);
  // Answers a digest: sends the members that its sender lacks or has outdated information about, and pings
  // the ones that are dead here and running there.
  void HandleDigest(const std::string& sender_address, const proto::Packet& packet, Outbox& outbox);
  // Discards the differences found in the digests of a removed member.
  void RemoveMember(const std::string& name) { differences_.erase(name); }

  // By name of the sender of a digest: the names of the members that are running in its last digest and not
  // here, or the reverse.
  const std::map<std::string, std::vector<std::string>>& differences() const { return differences_; }

 private:
  using Entries = std::map<std::uint64_t, const proto::MembershipDigest::Entry*>;  // by incarnation id

  // The next part of this instance's digest.
  proto::MembershipDigest NextDigestPart();
  // Refutes the entry about this instance, if there is one by which it is not alive.
  void RefuteOwnEntry(const Entries& entries);
  // Handles a peer that is running here and not in the digest, or the reverse: adds it to the answer if this
  // instance has newer information, else pings it if it is dead here. `entry` is null if the digest lacks it.
  void ReconcileMember(const Peer& peer, const proto::MembershipDigest::Entry* entry, proto::Packet& answer,
                       Outbox& outbox);

  Duration period_;
  MemberTable& members_;
  PacketBuilder& packets_;
  TimePoint next_digest_at_{};
  std::uint64_t next_part_start_ = 0;  // first incarnation id of the next part
  int pings_in_period_ = 0;            // of members that are dead here and running in a digest
  std::map<std::string, std::vector<std::string>> differences_;
};

}  // namespace lynxgrade::membership
