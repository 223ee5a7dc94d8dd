// Whether a client is still connected, from what its connection has shown.
#pragma once

#include <algorithm>
#include <optional>

#include "net/connection.h"
#include "net/loop.h"

namespace lynxgrade::frontend {

// Owned by a client session, on the thread of the loop, which must outlive it.
class ClientPresence {
 public:
  explicit ClientPresence(net::Loop& loop) : loop_(loop) {}

  // The client was connected at that time, as input of it arrived then.
  void RecordArrival(TimePoint at) { present_at_ = std::max(present_at_, at); }
  // Whether the client is known to have been connected so recently that an attempt may be sent now. If not, a
  // probe may be sent, and a later call may succeed.
  bool Confirm(net::Connection& connection);
  // Evaluates the latest probe and sends another.
  void Probe(net::Connection& connection);

 private:
  bool IsRecent() const;
  // Writes a notice, to which the host of a client that has closed replies with a reset.
  void SendProbe(net::Connection& connection);
  void EvaluateProbe(const net::Connection& connection);

  net::Loop& loop_;
  TimePoint present_at_{};                  // the client was connected then or later
  std::optional<TimePoint> probe_sent_at_;  // of a notice that has not been evaluated
};

}  // namespace lynxgrade::frontend
