#include "frontend/client_presence.h"

#include <algorithm>
#include <string>

#include "pg/message.h"

namespace lynxgrade::frontend {
namespace {

// No attempt may begin later than 0.1 s after its client has disconnected. The time of an arrival is known to
// about 55 ms, a tick of the decision module and a late wake-up.
constexpr Duration kMaxPresenceAge{40000};
// Several round trips between zones.
constexpr Duration kProbeReplyTime{10000};
// After a stall, the time in which the loop reads what has arrived meanwhile, also on new connections.
constexpr Duration kStallRecoveryTime{5000};

}  // namespace

bool ClientPresence::IsRecent() const { return loop_.PreciseNow() - present_at_ <= kMaxPresenceAge; }

// A client is connected if it has not shut down its sending side and nothing unread could hide that; else
// only a probe tells.
bool ClientPresence::Confirm(net::Connection& connection) {
  if (IsRecent()) return true;
  // A cancellation or a close that came during a stall has to be read first.
  if (loop_.Now() - loop_.last_stall() < kStallRecoveryTime) return false;
  if (!connection.HasPendingInput()) {
    present_at_ = loop_.PreciseNow();
    return true;
  }
  EvaluateProbe(connection);
  if (IsRecent()) return true;
  if (!probe_sent_at_) SendProbe(connection);
  return false;
}

void ClientPresence::Probe(net::Connection& connection) {
  EvaluateProbe(connection);
  SendProbe(connection);
}

// Clients ignore the notice. Nothing but the reset reveals the close: the client's FIN has been read already,
// or is queued behind input for which the buffer has no room.
void ClientPresence::SendProbe(net::Connection& connection) {
  std::string notice;
  pg::AppendNoticeResponse(notice, "still at work");
  if (!probe_sent_at_) probe_sent_at_ = loop_.PreciseNow();
  connection.Write(notice);  // the poller reports a connection that is broken
}

void ClientPresence::EvaluateProbe(const net::Connection& connection) {
  if (!probe_sent_at_ || !connection.all_written()) return;
  if (loop_.PreciseNow() - *probe_sent_at_ < kProbeReplyTime) return;
  if (!connection.HasHungUp()) RecordArrival(*probe_sent_at_);
  probe_sent_at_.reset();
}

}  // namespace lynxgrade::frontend
