// The decision module of lynxgrade: selects the server for each request, and decides on retries and
// rejections.
//
// Each instance owns one Balancer and feeds it events in order. It is a deterministic state machine: it reads
// no clock, shares no state and draws from one seeded random engine, so that the same events and times result
// in the same actions. Not thread-safe.
#pragma once

#include <cstdint>
#include <memory>

#include "routing/actions.h"
#include "routing/events.h"
#include "routing/settings.h"
#include "routing/types.h"

namespace lynxgrade {

class Balancer {
 public:
  Balancer(Settings settings, std::uint64_t seed);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Handles one event at the clock time `now`, which must not decrease, and appends the resulting actions.
  // Throws std::out_of_range for a request of an unknown class.
  void Handle(TimePoint now, const Event& event, Actions& actions);

  // To be asked right before the host sends an attempt, which may be long after its StartAttempt: the time by
  // which the last byte must have been sent. TimePoint::max(): no limit; a time that has passed: it must end
  // as kSendExpired. Considers all events that have been handled.
  TimePoint SendDeadline(RequestId id, AttemptNumber attempt, ServerId server);
  // Whether a response with the outcome kOk may be served. To be asked before the event is handled. If not,
  // its outcome is kMisrouted: the server was sent the read as the primary, and answered as a replica.
  bool MayServe(const AttemptEndedEvent& event) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lynxgrade
