// Steps of the event loop for tests of deadlines: a suspended process, and work that begins late in one pass.
#pragma once

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <thread>

#include "net/loop.h"

namespace lynxgrade {

inline constexpr Duration kMs{1000};

// Blocks the thread, as if the process were suspended or busy.
inline void BlockThread(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

// Runs the loop until `condition` holds; fails the test after 10 seconds.
inline void RunLoopUntil(const std::function<bool()>& condition, net::Loop& loop) {
  bool timed_out = false;
  net::Timer timeout(loop), poll(loop);
  timeout.ScheduleAfter(10000 * kMs, [&] { timed_out = true; });
  std::function<void()> poll_again = [&] { poll.ScheduleAfter(kMs, poll_again); };
  poll_again();
  while (!condition() && !timed_out) g_main_context_iteration(nullptr, TRUE);
  REQUIRE(condition());
}

inline void RunLoopFor(net::Loop& loop, int ms) {
  const TimePoint started = loop.PreciseNow();
  RunLoopUntil([&] { return loop.PreciseNow() - started >= ms * kMs; }, loop);
}

// Runs `call` inside one pass of the loop.
inline void RunInOnePass(net::Loop& loop, const std::function<void()>& call) {
  bool done = false;
  net::Timer timer(loop);
  timer.ScheduleAfter(Duration{0}, [&] {
    call();
    done = true;
  });
  while (!done) g_main_context_iteration(nullptr, TRUE);
}

}  // namespace lynxgrade
