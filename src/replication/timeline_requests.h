// Requests the primary timelines that peers know, and answers such requests.
//
// An incarnation that starts without state does not know when the present timelines began, and would
// otherwise have to reject reads until the write retention has passed. An instance that has not heard a
// primary for long does not know whether it was replaced meanwhile; peers that heard it prove that it was
// not.
#pragma once

#include <set>
#include <string>

#include "consistency/session_consistency_guard.h"
#include "replication/outbox.h"
#include "replication/packet.pb.h"
#include "replication/peer_links.h"
#include "replication/timeline_gossip.h"

namespace lynxgrade::replication {

class TimelineRequests {
 public:
  // All references must outlive the object.
  TimelineRequests(PeerLinks& links, consistency::SessionConsistencyGuard& consistency_guard,
                   const TimelineGossip& timelines)
      : links_(links), consistency_guard_(consistency_guard), timelines_(timelines) {}

  // Sends the requests that are due. Call every few milliseconds.
  void Tick(TimePoint now, Outbox& outbox);
  // Answer the requests of a peer.
  void SendAllTimelines(TimePoint now, const std::string& address, Outbox& outbox) const;
  using GroupIds = google::protobuf::RepeatedField<std::int64_t>;
  void SendTimelinesOf(TimePoint now, const GroupIds& groups, const std::string& address,
                       Outbox& outbox) const;

 private:
  // Requests go to different peers in turn, as any response may be lost or incomplete.
  static constexpr int kMaxRequests = 3;
  static constexpr Duration kRequestInterval{300000};
  static constexpr int kPeersPerUnheardRequest = 3;

  void RequestAllTimelines(TimePoint now, Outbox& outbox);
  void RequestUnheardTimelines(TimePoint now, Outbox& outbox);

  PeerLinks& links_;
  consistency::SessionConsistencyGuard& consistency_guard_;
  const TimelineGossip& timelines_;
  int requests_left_ = kMaxRequests;
  TimePoint next_request_{};
  TimePoint next_unheard_request_{};
};

}  // namespace lynxgrade::replication
