// Messages that instances exchange about session leases. Plain data; src/replication encodes it.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "consistency/write_watermark.h"
#include "lease/rendezvous_hash.h"
#include "routing/balancer.h"

namespace lynxgrade::lease {

struct LeaseMessage {
  // The numbers are those of the wire.
  enum class Kind {
    kAcquire,  // to the lease manager: requests the lease
    kGrant,    // to the requester: it holds the lease
    kRevoke,   // to the lease holder: it must release the lease
    kRelease,  // to the lease manager: the lease is not held, with the newest known write
  };
  Kind kind = Kind::kAcquire;
  // The membership view under which the receiver or sender manages the key.
  std::uint64_t view = 0;
  consistency::SessionKey key{};
  GroupId group{};
  // kAcquire, kGrant: identifies the request; assigned by the requester and never reused.
  std::uint64_t request_id = 0;
  // kGrant, kRevoke, kRelease: identifies the grant; assigned by the manager in ascending order.
  std::uint64_t grant_number = 0;
  // kGrant: the manager's view is complete, and it may not know writes that were answered longer than this
  // before it sent the grant. Absent: the lease allows answering writes only.
  std::optional<Duration> conservative_age{};
  // kGrant, kRelease: the newest known write of the session.
  std::optional<consistency::WriteWatermark> watermark{};
  // kGrant, kRelease: watermarks up to here may have been evicted by the sender.
  std::optional<LogPosition> evicted_through{};
};

struct OutgoingLeaseMessage {
  IncarnationId receiver = 0;
  LeaseMessage message;
  // How often it has been sent without a response, this time included.
  int attempts = 1;
  // Bandwidth is low: the message may be delayed to share a packet with others.
  bool may_batch = false;
};
using LeaseOutbox = std::vector<OutgoingLeaseMessage>;

}  // namespace lynxgrade::lease
