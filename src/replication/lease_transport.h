// Carries the messages of session leases between the lease client and relay of this instance and those of its
// peers.
//
// Owns the client and the relay, and the detours to incarnations that cannot be reached directly. Free of
// sockets and clocks. Messages may be lost, duplicated and late; the lease protocol repeats what is not
// answered.
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
#include "replication/timeline_bootstrap.h"
#include "replication/timeline_gossip.h"

namespace lynxgrade::replication {

class LeaseTransport {
 public:
  // `options.self`, `.proof` and `.alone` are filled in here. All references must outlive the transport.
  LeaseTransport(lease::SessionLeaseClient::Options options, const LeaseView::Options& view_options,
                 const membership::Swim& swim, PeerLinks& links,
                 consistency::SessionConsistencyGuard& consistency_guard, ReplicationCounts& counts);

  // Retries what is due. To be called every few milliseconds.
  void Tick(TimePoint now, Outbox& outbox);
  // A packet with lease messages, or one that is to be forwarded to another peer.
  void HandlePacket(TimePoint now, const std::string& sender_address, const proto::Packet& packet,
                    Outbox& outbox);

  // See SessionLeaseClient for these.
  std::optional<LogPosition> CompleteThrough(TimePoint now, consistency::SessionKey key);
  bool MayAnswerWrite(TimePoint now, consistency::SessionKey key);
  bool MayServe(TimePoint now);
  bool Acquire(TimePoint now, GroupId group, consistency::SessionKey key, lease::SessionLeaseClient::Use use,
               Outbox& outbox);
  // `bytes` were sent or received, including the headers of IP and UDP.
  void ChargeBandwidth(TimePoint now, std::size_t bytes) { client_.RecordTraffic(now, bytes); }

  LeaseView& view() { return view_; }
  const lease::SessionLeaseClient& client() const { return client_; }
  const lease::LeaseMessageRelay& relay() const { return relay_; }

 private:
  // The watermarks that the consistency guard knows, for the lease client.
  class GuardWatermarks final : public lease::KnownWatermarks {
   public:
    explicit GuardWatermarks(consistency::SessionConsistencyGuard& consistency_guard)
        : consistency_guard_(consistency_guard) {}
    consistency::SessionWatermarkTable::Known Newest(consistency::SessionKey key) const override;
    void Learn(consistency::SessionKey key, const consistency::WriteWatermark& watermark) override;

   private:
    consistency::SessionConsistencyGuard& consistency_guard_;
  };
  // The peer that forwards to an incarnation which is not reached directly.
  struct Detour {
    std::string address;
    TimePoint until{};
  };
  using Hop = lease::LeaseMessageRelay::Hop;
  using Hops = lease::LeaseMessageRelay::Hops;

  void Forward(const proto::Packet& packet, Outbox& outbox) const;
  void SendMessages(TimePoint now, const lease::LeaseOutbox& messages, Outbox& outbox);
  // Packs messages into packets, one or more for each receiver, view and way.
  void SendHops(TimePoint now, const Hops& hops, Outbox& outbox);
  membership::OutgoingPacket Pack(TimePoint now, const std::string& address,
                                  const std::vector<const Hop*>& hops, std::size_t& next) const;
  void Send(TimePoint now, lease::IncarnationId receiver, bool unanswered, membership::OutgoingPacket packet,
            Outbox& outbox);
  std::string DetourTo(TimePoint now, lease::IncarnationId receiver, bool unanswered);

  PeerLinks& links_;
  consistency::SessionConsistencyGuard& consistency_guard_;
  ReplicationCounts& counts_;
  GuardWatermarks watermarks_;
  lease::SessionLeaseClient client_;
  lease::LeaseMessageRelay relay_;
  LeaseView view_;
  TimelineGossip timelines_;
  TimelineBootstrap bootstrap_;
  std::map<lease::IncarnationId, Detour> detours_;
};

}  // namespace lynxgrade::replication
