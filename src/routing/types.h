// The clock, positions and ids of the decision module.
#pragma once

#include <chrono>
#include <cstdint>

#include "estimation/duration.h"

namespace lynxgrade {

// The instance's clock: monotonic, with an arbitrary zero, in microseconds.
struct ProxyClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<ProxyClock>;
  // The Clock requirements name it so.
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};
using TimePoint = ProxyClock::time_point;

// A position in a group's write-ahead log, expressed as a time on the instances' clock: a server at the
// position has applied everything that was committed by then.
using LogPosition = TimePoint;

enum class RequestId : std::uint32_t {};
enum class ServerId : std::uint32_t {};
enum class GroupId : std::int64_t {};  // a primary and its replicas
enum class TimerId : std::uint64_t {};
using ClassIndex = std::uint32_t;  // of Settings::classes
using TenantIndex = std::uint32_t;
using ZoneIndex = std::uint32_t;
using AttemptNumber = std::uint32_t;  // counted from 0 for each request

}  // namespace lynxgrade
