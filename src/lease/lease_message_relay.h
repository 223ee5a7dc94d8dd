// Routing and batching of lease messages while bandwidth is low.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lease/lease_message.h"

namespace lynxgrade::lease {

// Most bytes of a lease message are the headers of its packet. While bandwidth is low, an instance therefore
// sends its messages for all lease managers through one of them, its relay, and delays them briefly so that
// they share a packet. Managers forward messages for other managers and batch messages for the same receiver.
//
// Owns the delayed messages and the routes: through which relay the last message of each instance came. It
// neither changes nor answers messages; to the lease client and manager it appears as a network that delays
// and loses messages. Not thread-safe; reads no clock and does no I/O.
class LeaseMessageRelay {
 public:
  struct Options {
    IncarnationId self = 0;
    // The longest time for which a message is delayed.
    Duration batching_delay{};
  };
  // A message on its way to the next instance.
  struct Hop {
    IncarnationId receiver = 0;
    LeaseMessage message;
    int attempts = 1;
    // Set on the hop between an instance and its relay, in either direction.
    bool via_relay = false;
    // Set on the hop from a relay to the manager of the key: the instance that sent the message.
    IncarnationId origin = 0;
    // Set on the hop from the manager of the key to a relay: the instance that is to receive the message.
    IncarnationId relay_to = 0;
  };
  using Hops = std::vector<Hop>;
  struct Counts {
    std::uint64_t batched = 0;
    std::uint64_t relayed = 0;
    // Messages not relayed: of another view, or not from the manager of their key.
    std::uint64_t dropped = 0;
  };

  explicit LeaseMessageRelay(const Options& options) : options_(options) {}

  // Sets the acknowledged view, its lease managers, and the manager that is this instance's relay. A `relay`
  // of zero: this instance has none because there are no dedicated managers, because some of them do not
  // relay, or because this instance is a dedicated manager itself.
  void UpdateView(std::uint64_t view, const std::vector<IncarnationId>& managers, IncarnationId relay);
  // Sends a message of this instance: appends it to `out`, either now or in a later FlushDue.
  void Send(TimePoint now, const OutgoingLeaseMessage& outgoing, Hops& out);
  // Handles a hop received from `sender`; its `receiver` is ignored. If the message is for this instance,
  // returns the instance that sent it. Otherwise returns zero: the message was either forwarded (appended to
  // `out`, now or in a later FlushDue) or dropped, in which case its sender retries.
  IncarnationId Receive(TimePoint now, IncarnationId sender, const Hop& hop, Hops& out);
  // Appends the messages whose delay has expired to `out`. Call every few milliseconds.
  void FlushDue(TimePoint now, Hops& out);

  const Counts& counts() const { return counts_; }

 private:
  // How long after a message through a relay the sender's responses and revocations go through that relay.
  static constexpr Duration kRouteLifetime{2000000};
  struct Route {
    IncarnationId relay = 0;
    TimePoint expires{};
  };
  struct Batch {
    TimePoint due{};
    Hops hops;
  };

  static bool IsForManager(const LeaseMessage& message) {
    return message.kind == LeaseMessage::Kind::kAcquire || message.kind == LeaseMessage::Kind::kRelease;
  }
  void SendToManager(TimePoint now, const OutgoingLeaseMessage& outgoing, Hops& out);
  void SendToHolder(TimePoint now, const OutgoingLeaseMessage& outgoing, Hops& out);
  // Handles a message between an instance and its relay. `manager` is the manager of the message's key.
  IncarnationId ReceiveViaRelay(TimePoint now, IncarnationId sender, const LeaseMessage& message,
                                IncarnationId manager, Hops& out);
  // Handles a message from `manager` that this instance is to relay.
  IncarnationId ReceiveToRelay(TimePoint now, IncarnationId sender, const Hop& hop, IncarnationId manager);
  // Counts a dropped message; returns zero, the result of Receive for it.
  IncarnationId Drop();
  void AddToBatch(TimePoint now, const Hop& hop);

  Options options_;
  std::uint64_t view_ = 0;
  std::vector<IncarnationId> managers_;
  IncarnationId relay_ = 0;
  // By receiver and view, since a packet has one receiver and one view.
  std::map<std::pair<IncarnationId, std::uint64_t>, Batch> batches_;
  std::unordered_map<IncarnationId, Route> routes_;  // by instance
  TimePoint last_route_expiry_{};
  Counts counts_;
};

}  // namespace lynxgrade::lease
