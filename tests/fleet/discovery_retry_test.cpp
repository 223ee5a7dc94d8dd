// Backoff of many instances that call discovery at once, in virtual time.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "fleet/backoff.h"
#include "fleet/discovery_retry_policy.h"

namespace lynxgrade {
namespace {

using fleet::Backoff;
using fleet::DiscoveryRetryPolicy;

constexpr Duration kLeastWindow{150000}, kSpacing{20000};

// Discovery that one event has cut all instances off from at second 0 and that answers nobody for `away`
// seconds, then `capacity` calls a second; the rest of each second's are rejected. Times in microseconds.
struct Outage {
  int most_in_a_second = 0;  // calls, from the second second on
  int first_second = 0;
  double all_back_s = 0;
};

Outage RunOutage(std::uint32_t instances, double away, int capacity, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> even(0, 1);
  std::vector<Backoff> all(instances, Backoff(instances, kLeastWindow, kSpacing));
  std::multimap<std::int64_t, std::size_t> calls;
  for (std::size_t i = 0; i < all.size(); ++i) calls.emplace(all[i].NextWait(even(random)).count(), i);
  std::map<std::int64_t, int> made, served;
  Outage outage;
  while (!calls.empty()) {
    const auto [at, who] = *calls.begin();
    calls.erase(calls.begin());
    const std::int64_t second = at / 1000000;
    ++made[second];
    if (static_cast<double>(at) >= away * 1e6 && served[second] < capacity) {
      ++served[second];
      outage.all_back_s = static_cast<double>(at) * 1e-6;
      continue;
    }
    calls.emplace(at + all[who].NextWait(even(random)).count(), who);
  }
  outage.first_second = made[0];
  for (const auto& [second, count] : made) {
    if (second > 0) outage.most_in_a_second = std::max(outage.most_in_a_second, count);
  }
  return outage;
}

TEST_CASE("calls for the list by a fleet that one event has cut off stay under one rate, whatever its size") {
  for (const std::uint32_t instances : {1u, 3u, 30u, 100u, 300u}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(instances);
      CAPTURE(seed);
      const Outage outage = RunOutage(instances, 20, 1000, seed);
      // Fifty a second in the first round, with the second that overlaps it and what chance adds.
      CHECK(outage.first_second <= 100);
      CHECK(outage.most_in_a_second <= 100);
      // The last is back within one window after discovery is, eight times the first.
      const double window = 0.15 + 0.02 * (instances - 1);
      CHECK(outage.all_back_s <= 20 + 8 * window + 0.1);
    }
  }
}

TEST_CASE("a fleet finds its way back to discovery that can answer few calls") {
  for (const std::uint32_t instances : {1u, 3u, 30u, 100u, 300u}) {
    CAPTURE(instances);
    CHECK(RunOutage(instances, 5, 12, 7).all_back_s < 5 + 12.0 * (0.15 + 0.02 * (instances - 1)) + 1);
  }
}

TEST_CASE("the waits after one event are drawn over all of the window, and start again after a success") {
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> even(0, 1);
  std::set<std::int64_t> tenths;
  for (int i = 0; i < 200; ++i)
    tenths.insert(Backoff(100, kLeastWindow, kSpacing).InitialWait(even(random), Duration(5000000)).count() /
                  213000);
  CHECK(tenths.size() == 10);
  Backoff one(1, kLeastWindow, kSpacing);
  for (int i = 0; i < 9; ++i) one.NextWait(0.5);
  CHECK(one.NextWait(0.5) == Duration(600000));
  one.RecordSuccess();
  CHECK(one.NextWait(0.5) == Duration(75000));
  CHECK(Backoff(0, kLeastWindow, kSpacing).NextWait(0.5) == Duration(75000));
}

// Who fails at each point, and how late the list is known: a watch that falls silent just after a sign of
// life, a call that is refused then, one that hangs as discovery comes back. A change counts as known 6 s
// after discovery had it and could be reached, or at once where an agent has it; the drain grace later
// nothing may be sent there.
TEST_CASE("the waits of a watch add up to less than the time for which an old list may be followed") {
  const Duration known_after{6000000}, long_ago{60000000};
  for (const std::int64_t grace_ms : {1000, 2000, 4000}) {
    const Duration grace{grace_ms * 1000};
    for (const bool shared : {false, true}) {
      for (const std::uint32_t instances : {1u, 300u}) {
        CAPTURE(grace_ms);
        CAPTURE(shared);
        CAPTURE(instances);
        Duration silent{0}, refused{0}, hung{0};
        std::mt19937_64 random(5);
        std::uniform_real_distribution<double> even(0, 1);
        for (int run = 0; run < 2000; ++run) {
          DiscoveryRetryPolicy waits(shared, instances, grace);
          const Duration first = waits.max_silence() + waits.NextWait(even(random), waits.max_silence());
          silent = std::max(silent, first + waits.answer_time());
          refused = std::max(refused, first + waits.NextWait(even(random), first) + waits.answer_time());
          // It comes back just as a call has begun that will hang, after any number of failures.
          for (int i = 0; i < run % 12; ++i) waits.NextWait(even(random), long_ago);
          hung = std::max(
              hung, waits.call_timeout() + waits.NextWait(even(random), long_ago) + waits.answer_time());
        }
        CHECK(silent < known_after + grace);
        CHECK(refused < known_after + grace);
        CHECK(hung < (shared ? known_after : Duration{0}) + grace);
        MESSAGE("silent ", silent.count(), " us, refused ", refused.count(), " us, hung ", hung.count(),
                " us");
      }
    }
  }
}

TEST_CASE("calls for the list by a fleet that is cut off keep under one rate though none waits too long") {
  for (const std::uint32_t instances : {1u, 3u, 30u, 100u, 300u}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(instances);
      std::mt19937_64 random(seed);
      std::uniform_real_distribution<double> even(0, 1);
      std::map<std::int64_t, int> made;
      for (std::uint32_t i = 0; i < instances; ++i) {
        DiscoveryRetryPolicy waits(true, instances, Duration(2000000));
        for (Duration at{0}; (at += waits.NextWait(even(random), at)) < Duration(60000000);)
          ++made[at.count() / 1000000];
      }
      for (const auto& in_second : made) {
        const std::int64_t second = in_second.first;
        const int count = in_second.second;
        CAPTURE(second);
        // Two calls of each in what is left before the list binds; from then on one in 2.9 s at the most
        // often.
        CHECK(count <= (second < 8 ? 180 : 120));
      }
    }
  }
}

}  // namespace
}  // namespace lynxgrade
