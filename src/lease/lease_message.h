// What instances say to each other about who holds a session. Plain data: the exchange puts it into packets.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "consistency/session_watermark_table.h"
#include "lease/rendezvous_hash.h"
#include "routing/balancer.h"

namespace lynxgrade::lease {

struct LeaseMessage {
  enum class Kind {
    kAcquire,  // to the owner: may I hold it
    kGrant,    // to who asked: you hold it
    kRevoke,   // to the holder: give it up
    kRelease,  // to the owner: I do not hold it, and this is the newest that I know
  };
  Kind kind = Kind::kAcquire;
  std::uint64_t view = 0;  // under which the key has this owner
  consistency::SessionKey key{};
  GroupId group{};
  std::uint64_t id = 0;      // kAsk, kGrant: of the ask, by its sender; never used again
  std::uint64_t serial = 0;  // kGrant, kRecall, kRelease: of the grant, by the owner; ascending
  // kGrant: the owner is proven whole under the view, and what was answered longer ago than this, before it
  // was sent, is not known to it. Absent: the grant is good for answering writes alone.
  std::optional<Duration> floor_age{};
  // kGrant, kRelease: the newest write known, and up to which position some may have been forgotten.
  std::optional<consistency::WriteWatermark> watermark{};
  std::optional<LogPosition> forgotten{};
};

struct OutgoingLeaseMessage {
  IncarnationId to = 0;
  LeaseMessage message;
  int tries = 1;  // how often it has been said, this time included, without an answer
  // Bytes are short here: it may wait a little for others that go the same way.
  bool may_wait = false;
};
using LeaseOutbox = std::vector<OutgoingLeaseMessage>;

}  // namespace lynxgrade::lease
