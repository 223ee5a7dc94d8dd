// The newest answered write of a session, and the key that identifies a session between instances.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "routing/balancer.h"

namespace lynxgrade::consistency {

// A session of one group, as a 64-bit hash of both. Every instance computes the same key, so that watermarks
// can be exchanged by it. Two sessions whose hashes collide share the newer watermark; their reads may wait
// longer than needed, but never see old data.
enum class SessionKey : std::uint64_t {};

// XXH3 over the session's name, seeded with the group.
SessionKey SessionKeyOf(GroupId group, std::string_view session);

// The newest answered write of a session.
struct WriteWatermark {
  // Position of the write's commit in the primary's log.
  LogPosition position{};
  // The data server that answered the write as primary. Absent if unknown: a possible loss then applies
  // whichever server it was.
  std::optional<ServerId> server{};
  bool operator==(const WriteWatermark&) const = default;
};

// Log positions in (after, through].
struct WriteInterval {
  LogPosition after{};
  LogPosition through{};
};

}  // namespace lynxgrade::consistency
