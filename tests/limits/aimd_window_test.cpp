// Tests of AimdWindow.
#include "limits/aimd_window.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace lynxgrade {
namespace {

Duration Milliseconds(std::int64_t count) { return Duration(count * 1000); }

TEST_CASE("a window grows with responses, shrinks at most once per interval, and never below one") {
  limits::AimdWindow window;
  CHECK(window.HasCapacity());
  window.Acquire();
  CHECK_FALSE(window.HasCapacity());
  window.Release(limits::WindowGrowth::kNone);
  int max_in_flight = 0;
  for (int i = 0; i < 20; ++i) {
    int in_flight = 0;
    while (window.HasCapacity()) window.Acquire(), ++in_flight;
    max_in_flight = std::max(max_in_flight, in_flight);
    while (in_flight-- > 0)
      window.Release(i < 5 ? limits::WindowGrowth::kIncrease : limits::WindowGrowth::kNone);
  }
  CHECK(max_in_flight >= 3);
  for (int i = 0; i < 100; ++i) window.Decrease(Milliseconds(1000 + i));  // one interval
  int in_flight = 0;
  while (window.HasCapacity()) window.Acquire(), ++in_flight;
  CHECK(in_flight >= 0.6 * max_in_flight);
  while (in_flight-- > 0) window.Release(limits::WindowGrowth::kNone);
  for (int i = 0; i < 100; ++i) window.Decrease(Milliseconds(2000 + 300 * i));
  CHECK(window.HasCapacity());
}

}  // namespace
}  // namespace lynxgrade
