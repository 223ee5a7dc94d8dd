// Steps of the event loop for tests of deadlines: a process that is suspended, and work late in one pass.
#pragma once

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <thread>

#include "net/loop.h"

namespace lynxgrade {

inline constexpr Duration kMs{1000};

inline void StandStill(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

inline void Until(const std::function<bool()>& holds, net::Loop& loop) {
  bool late = false;
  net::Timer limit(loop), look(loop);
  limit.ScheduleAfter(10000 * kMs, [&] { late = true; });
  std::function<void()> again = [&] { look.ScheduleAfter(kMs, again); };
  again();
  while (!holds() && !late) g_main_context_iteration(nullptr, TRUE);
  REQUIRE(holds());
}

inline void Wait(net::Loop& loop, int ms) {
  const TimePoint from = loop.PreciseNow();
  Until([&] { return loop.PreciseNow() - from >= ms * kMs; }, loop);
}

// Runs `call` inside one pass of the loop.
inline void InAPass(net::Loop& loop, const std::function<void()>& call) {
  bool done = false;
  net::Timer timer(loop);
  timer.ScheduleAfter(Duration{0}, [&] {
    call();
    done = true;
  });
  while (!done) g_main_context_iteration(nullptr, TRUE);
}

}  // namespace lynxgrade
