// The messages about session leases that instances exchange. Plain data; src/replication encodes them.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "consistency/write_watermark.h"
#include "lease/rendezvous_hash.h"
#include "routing/balancer.h"

namespace lynxgrade::lease {

struct LeaseMessage {
  // The values are those of proto::LeaseBatch::Kind on the wire.
  enum class Kind {
    kAcquire,  // to the lease manager: requests the lease
    kGrant,    // to the requester: grants the lease
    kRevoke,   // to the lease holder: requests the release of the lease
    kRelease,  // to the lease manager: the sender does not hold the lease; carries the newest known write
  };
  Kind kind = Kind::kAcquire;
  // The membership view under which the receiver or the sender is the manager of the key.
  std::uint64_t view = 0;
  consistency::SessionKey key{};
  GroupId group{};
  // kAcquire, kGrant: id of the request; assigned by the requester and never reused.
  std::uint64_t request_id = 0;
  // kGrant, kRevoke, kRelease: id of the grant; assigned by the manager in ascending order.
  std::uint64_t grant_number = 0;
  // kGrant: age of the conservative position when the grant was sent. The manager knows all writes that were
  // answered after that position. Absent if the manager's view is not complete: the lease then allows
  // answering writes, but does not prove that all writes are known.
  std::optional<Duration> conservative_age{};
  // kGrant, kRelease: the newest known write of the session.
  std::optional<consistency::WriteWatermark> watermark{};
  // kGrant, kRelease: the sender may have evicted watermarks up to this position.
  std::optional<LogPosition> evicted_through{};
};

struct OutgoingLeaseMessage {
  IncarnationId receiver = 0;
  LeaseMessage message;
  // Number of times it has been sent without a response, including this time.
  int attempts = 1;
  // Bandwidth is low: the message may be delayed so that it shares a packet with others.
  bool may_batch = false;
};
using LeaseOutbox = std::vector<OutgoingLeaseMessage>;

}  // namespace lynxgrade::lease
