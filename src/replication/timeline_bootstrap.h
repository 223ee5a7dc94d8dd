// Requests all primary timelines from a few peers when an incarnation starts, and answers such requests.
//
// An incarnation that starts without state does not know when the present timelines began, and would
// otherwise have to reject reads until the write retention has passed.
#pragma once

#include <string>

#include "consistency/session_consistency_guard.h"
#include "replication/outbox.h"
#include "replication/peer_links.h"

namespace lynxgrade::replication {

class TimelineBootstrap {
 public:
  // Both references must outlive the bootstrap.
  TimelineBootstrap(PeerLinks& links, const consistency::SessionConsistencyGuard& consistency_guard)
      : links_(links), consistency_guard_(consistency_guard) {}

  // Sends the next request if it is due. Call every few milliseconds.
  void Tick(TimePoint now, Outbox& outbox);
  // Answers the request of a peer.
  void SendAllTimelines(const std::string& address, Outbox& outbox) const;

 private:
  // Requests go to different peers in turn, as any response may be lost or incomplete.
  static constexpr int kMaxRequests = 3;
  static constexpr Duration kRequestInterval{300000};

  PeerLinks& links_;
  const consistency::SessionConsistencyGuard& consistency_guard_;
  int requests_left_ = kMaxRequests;
  TimePoint next_request_{};
};

}  // namespace lynxgrade::replication
