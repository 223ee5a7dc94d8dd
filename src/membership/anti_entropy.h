// Reconciles members whose views differ: one sends its member table, a part at a time as a membership digest,
// and the other answers with what it knows better.
//
// Gossip alone does not suffice: it stops after some transmissions, and after a partition both sides have
// stopped.
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

// Holds which part of the digest is next, and what the digests of others have shown.
class AntiEntropy {
 public:
  // `period`: the protocol period. The references outlive the object.
  AntiEntropy(Duration period, MemberTable& members, PacketBuilder& packets)
      : period_(period), members_(members), packets_(packets) {}

  // To be called at the start of each period.
  void StartPeriod() { pings_in_period_ = 0; }
  // Compares the view that a packet names with this instance's. Where they differ sends the sender the next
  // part of the digest, at most one part a period to whomever: after a partition all differ from all.
  void CompareViews(TimePoint now, const std::string& sender_address, const proto::Packet& packet,
                    std::uint64_t own_view, Outbox& outbox);
  // Answers a digest: sends the members that its sender does not have or has outdated, and pings those that
  // are dead here and running there.
  void HandleDigest(const std::string& sender_address, const proto::Packet& packet, Outbox& outbox);
  // Discards what is noted of a removed member's digests.
  void RemoveMember(const std::string& name) { differences_.erase(name); }

  // By the name of another member: the names of members that are running in its last digest and not here, or
  // the reverse.
  const std::map<std::string, std::vector<std::string>>& differences() const { return differences_; }

 private:
  using Entries = std::map<std::uint64_t, const proto::MembershipDigest::Entry*>;  // by incarnation id

  // The part of this instance's digest that is due next.
  proto::MembershipDigest NextPart();
  // This instance's entry, if it is there, may say that it is not alive.
  void RefuteOwnEntry(const Entries& entries);
  // Adds what is known better here to `news`, or pings the member, where the entry contradicts it.
  void Reconcile(const Peer& peer, const proto::MembershipDigest::Entry* entry, proto::Packet& news,
                 Outbox& outbox);

  Duration period_;
  MemberTable& members_;
  PacketBuilder& packets_;
  TimePoint next_digest_{};
  std::uint64_t next_part_ = 0;  // the incarnation id at which the next part starts
  int pings_in_period_ = 0;      // of members that are dead here and running in a digest
  std::map<std::string, std::vector<std::string>> differences_;
};

}  // namespace lynxgrade::membership
