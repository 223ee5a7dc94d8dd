// Carries lease messages between the lease client and relay of this instance and those of its peers.
//
// Owns the client, the relay and the detours to incarnations that cannot be reached directly. Free of sockets
// and clocks. Messages may be lost, duplicated and delayed; the lease protocol retries unanswered ones.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "consistency/session_consistency_guard.h"
#include "lease/lease_message_relay.h"
#include "lease/session_lease_client.h"
#include "membership/swim.h"
#include "replication/lease_view.h"
#include "replication/outbox.h"
#include "replication/peer_links.h"
#include "replication/replication_counts.h"
#include "replication/timeline_gossip.h"
#include "replication/timeline_requests.h"

namespace lynxgrade::replication {

class LeaseTransport {
 public:
  // The constructor sets `self`, `view_validity` and `single_instance` of `options`. All references must
  // outlive the transport.
  LeaseTransport(lease::SessionLeaseClient::Options options, const LeaseView::Options& view_options,
                 const membership::Swim& swim, PeerLinks& links,
                 consistency::SessionConsistencyGuard& consistency_guard, ReplicationCounts& counts);

  // Sends retries and delayed messages that are due. Call every few milliseconds.
  void Tick(TimePoint now, Outbox& outbox);
  // Handles a packet with lease messages, which may have to be forwarded to another peer.
  void HandlePacket(TimePoint now, const std::string& sender_address, const proto::Packet& packet,
                    Outbox& outbox);

  // See SessionLeaseClient for the following calls.
  std::optional<LogPosition> AllWritesKnownAfter(TimePoint now, consistency::SessionKey key);
  bool MayAnswerWrite(TimePoint now, consistency::SessionKey key);
  // Whether the leases that an earlier incarnation of this instance may hold have expired.
  bool MayServeRequests(TimePoint now);
  bool AcquireLease(TimePoint now, GroupId group, consistency::SessionKey key,
                    lease::SessionLeaseClient::Use use, Outbox& outbox);
  // Records bytes that were sent or received, including the headers of IP and UDP.
  void RecordTraffic(TimePoint now, std::size_t bytes) { client_.RecordTraffic(now, bytes); }

  LeaseView& view() { return view_; }
  const lease::SessionLeaseClient& client() const { return client_; }
  const lease::LeaseMessageRelay& relay() const { return relay_; }

 private:
  // Gives the lease client access to the watermarks of the consistency guard.
  class GuardWatermarks final : public lease::KnownWatermarks {
   public:
    explicit GuardWatermarks(consistency::SessionConsistencyGuard& consistency_guard)
        : consistency_guard_(consistency_guard) {}
    consistency::SessionWatermarkTable::LookupResult FindWatermark(
        consistency::SessionKey key) const override;
    void RecordWatermark(consistency::SessionKey key, const consistency::WriteWatermark& watermark) override;

   private:
    consistency::SessionConsistencyGuard& consistency_guard_;
  };
  // A peer that forwards messages to an incarnation that cannot be reached directly.
  struct Detour {
    std::string address;
    TimePoint expires{};
  };
  using Hop = lease::LeaseMessageRelay::Hop;
  using Hops = lease::LeaseMessageRelay::Hops;

  void ForwardPacket(const proto::Packet& packet, Outbox& outbox) const;
  void SendMessages(TimePoint now, const lease::LeaseOutbox& messages, Outbox& outbox);
  // Sends messages in one or more packets for each combination of receiver, view and relaying.
  void SendHops(TimePoint now, const Hops& hops, Outbox& outbox);
  membership::OutgoingPacket BuildPacket(TimePoint now, const std::string& address,
                                         const std::vector<const Hop*>& hops, std::size_t& next) const;
  void SendPacket(TimePoint now, lease::IncarnationId receiver, bool unanswered,
                  membership::OutgoingPacket packet, Outbox& outbox);
  std::string FindDetour(TimePoint now, lease::IncarnationId receiver, bool unanswered);

  PeerLinks& links_;
  consistency::SessionConsistencyGuard& consistency_guard_;
  ReplicationCounts& counts_;
  GuardWatermarks watermarks_;
  lease::SessionLeaseClient client_;
  lease::LeaseMessageRelay relay_;
  LeaseView view_;
  TimelineGossip timelines_;
  TimelineRequests timeline_requests_;
  std::map<lease::IncarnationId, Detour> detours_;
};

}  // namespace lynxgrade::replication
