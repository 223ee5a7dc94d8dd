// Adds the primary timelines that this instance knows to packets to peers.
//
// Stateless: the progress with each peer is kept in its link, the timelines belong to the consistency guard.
#pragma once

#include "consistency/session_consistency_guard.h"
#include "replication/packet.pb.h"
#include "replication/peer_link.h"

namespace lynxgrade::replication {

// Encoded bytes of the packet's timelines.
std::size_t TimelineBytes(const proto::Packet& packet);

class TimelineGossip {
 public:
  // `consistency_guard` must outlive the gossip.
  explicit TimelineGossip(const consistency::SessionConsistencyGuard& consistency_guard)
      : consistency_guard_(consistency_guard) {}

  // Whether a primary has changed since timelines were last sent to the peer.
  bool HasUnsentUpdates(const TimelineProgress& progress) const;
  // Adds the timelines that have changed since they were last sent to the peer. Also repeats all timelines in
  // rounds, a few in each packet.
  void AppendTo(TimePoint now, TimelineProgress& progress, proto::Packet& packet) const;
  // Adds the group's timeline to a packet with a watermark of the group, if its present term began within the
  // write retention: it may then decide whether the write is lost.
  void AppendIfRecent(TimePoint now, GroupId group, proto::Packet& packet) const;
  // Adds the group's present term, and those before it that may still decide whether a write is lost.
  void Append(TimePoint now, GroupId group, proto::Packet& packet) const;

 private:
  const consistency::SessionConsistencyGuard& consistency_guard_;
};

}  // namespace lynxgrade::replication
