// Routing and batching of lease messages while bandwidth is low.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lease/lease_message.h"

namespace lynxgrade::lease {

// Most bytes of a lease message are its packet's headers. While bandwidth is low, an instance therefore sends
// its messages to all lease managers through one of them, its relay, and delays them a little to share a
// packet. Managers forward what is for others, and batch what is for the same receiver.
//
// Owns the delayed messages and which relay each instance was last heard through. Neither changes nor answers
// a message: to the lease client and manager it is a network that delays and loses. Not thread-safe; reads no
// clock and does no I/O.
class LeaseMessageRelay {
 public:
  struct Options {
    IncarnationId self = 0;
    // For how long a message is delayed at most.
    Duration batching_delay{};
  };
  // A message on its way to the next instance.
  struct Hop {
    IncarnationId receiver = 0;
    LeaseMessage message;
    int attempts = 1;
    // Set between an instance and its relay.
    bool via_relay = false;
    // Set between two managers: the instance that sent the message to the manager of its key.
    IncarnationId origin = 0;
    // Set between two managers: the instance for which the manager of its key sent the message.
    IncarnationId relay_to = 0;
  };
  using Hops = std::vector<Hop>;
  struct Counts {
    std::uint64_t batched = 0;
    std::uint64_t relayed = 0;
    // Relayed messages of another view, or that this instance may not relay.
    std::uint64_t dropped = 0;
  };

  explicit LeaseMessageRelay(const Options& options) : options_(options) {}

  // Sets the acknowledged view, its lease managers, and the one of them that is this instance's relay. Zero:
  // it has none, as there are no dedicated managers, some do not relay, or this instance is one itself.
  void UpdateView(std::uint64_t view, const std::vector<IncarnationId>& managers, IncarnationId relay);
  // Sends a message of this instance: appends it to `out`, now or in FlushDue.
  void Send(TimePoint now, const OutgoingLeaseMessage& outgoing, Hops& out);
  // Handles a hop from `sender`; its `receiver` is ignored. Returns the instance that sent the message if it
  // is for this instance. Returns zero if it was forwarded (appended to `out`, now or in FlushDue) or
  // dropped; its sender retries.
  IncarnationId Receive(TimePoint now, IncarnationId sender, const Hop& hop, Hops& out);
  // Appends the messages whose delay is over. Call every few milliseconds.
  void FlushDue(TimePoint now, Hops& out);

  const Counts& counts() const { return counts_; }

 private:
  // How long an instance that has sent through a relay gets its responses and revocations through it.
  static constexpr Duration kRouteLifetime{2000000};
  struct Route {
    IncarnationId relay = 0;
    TimePoint until{};
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
  // Handles a message that a relay has forwarded or is to forward. `manager` is that of the message's key.
  IncarnationId ReceiveViaRelay(TimePoint now, IncarnationId sender, const LeaseMessage& message,
                                IncarnationId manager, Hops& out);
  IncarnationId ReceiveToRelay(TimePoint now, IncarnationId sender, const Hop& hop, IncarnationId manager);
  IncarnationId Drop();
  void AddToBatch(TimePoint now, Hop hop);

  Options options_;
  std::uint64_t view_ = 0;
  std::vector<IncarnationId> managers_;
  IncarnationId relay_ = 0;
  // By receiver and view, as a packet has one of each.
  std::map<std::pair<IncarnationId, std::uint64_t>, Batch> batches_;
  std::unordered_map<IncarnationId, Route> routes_;
  TimePoint routes_expired_at_{};
  Counts counts_;
};

}  // namespace lynxgrade::lease
