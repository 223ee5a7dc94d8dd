// Fetches all primary timelines from a few peers when an incarnation starts, and serves them to others.
//
// An incarnation that starts without state cannot tell when the present timelines began, and would have to
// reject reads for as long as writes are retained.
#pragma once

#include <string>

#include "consistency/session_consistency_guard.h"
#include "replication/outbox.h"
#include "replication/peer_links.h"

namespace lynxgrade::replication {

class TimelineBootstrap {
 public:
  // Both must outlive the bootstrap.
  TimelineBootstrap(PeerLinks& links, const consistency::SessionConsistencyGuard& consistency_guard)
      : links_(links), consistency_guard_(consistency_guard) {}

  // Asks the next peer if one is due. To be called every few milliseconds.
  void Tick(TimePoint now, Outbox& outbox);
  // Answers a peer that has asked.
  void SendAll(const std::string& address, Outbox& outbox) const;

 private:
  // Different peers, one after the other: the answer of any of them may be lost or incomplete.
  static constexpr int kRequests = 3;
  static constexpr Duration kRequestInterval{300000};

  PeerLinks& links_;
  const consistency::SessionConsistencyGuard& consistency_guard_;
  int requests_left_ = kRequests;
  TimePoint next_request_{};
};

}  // namespace lynxgrade::replication
