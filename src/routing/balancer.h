// The decision module of lynxgrade: which server a request goes to, when it is retried, and when it is
// rejected.
//
// One Balancer serves one instance. It is fed events in order with the instance's clock and appends actions
// to a list; it reads no clock, shares nothing and draws from one seeded engine, so that the same events give
// the same actions.
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

  // Handles one event at the clock time `now`, which never decreases, and appends the actions that result.
  // Throws std::out_of_range for a request of an unknown class.
  void Handle(TimePoint now, const Event& event, Actions& actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lynxgrade
