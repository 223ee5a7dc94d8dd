// Spreads what this instance knows of each group's primary timeline on packets that go to peers anyway.
//
// Free of state: the progress with each peer stands in its link, the timelines are the consistency guard's.
#pragma once

#include "consistency/session_consistency_guard.h"
#include "replication/packet.pb.h"
#include "replication/peer_link.h"

namespace lynxgrade::replication {

class TimelineGossip {
 public:
  // `consistency_guard` must outlive the gossip.
  explicit TimelineGossip(const consistency::SessionConsistencyGuard& consistency_guard)
      : consistency_guard_(consistency_guard) {}

  // Whether a primary has changed since timelines were last sent to the peer.
  bool HasNews(const TimelineProgress& progress) const;
  // Adds the timelines that have changed since they were sent to the peer, and now and then all of them, a
  // few in each packet.
  void AppendTo(TimePoint now, TimelineProgress& progress, proto::Packet& packet) const;
  // Adds the group's timeline to a packet with a watermark of the group, if it began so recently that it may
  // decide whether the write is lost.
  void AppendIfRecent(TimePoint now, GroupId group, proto::Packet& packet) const;

 private:
  const consistency::SessionConsistencyGuard& consistency_guard_;
};

}  // namespace lynxgrade::replication
