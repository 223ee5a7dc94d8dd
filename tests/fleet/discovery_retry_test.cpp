// Tests of the backoff of many instances that call discovery at the same time, in simulated time.
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

constexpr Duration kMinWindow{150000}, kWindowPerInstance{20000};

// Result of an outage: all instances lose discovery at second 0; it answers no calls for `outage_s` seconds,
// and then at most `capacity` calls per second.
struct Outage {
  int max_calls_per_second = 0;  // after the first second
  int calls_in_first_second = 0;
  double recovery_s = 0;  // when the last instance was answered
};

Outage RunOutage(std::uint32_t instances, double outage_s, int capacity, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::vector<Backoff> all(instances, Backoff(instances, kMinWindow, kWindowPerInstance));
  std::multimap<std::int64_t, std::size_t> calls;
  for (std::size_t i = 0; i < all.size(); ++i) calls.emplace(all[i].NextWait(uniform(random)).count(), i);
  std::map<std::int64_t, int> calls_made, served;
  Outage outage;
  while (!calls.empty()) {
    const auto [at, instance] = *calls.begin();
    calls.erase(calls.begin());
    const std::int64_t second = at / 1000000;
    ++calls_made[second];
    if (static_cast<double>(at) >= outage_s * 1e6 && served[second] < capacity) {
      ++served[second];
      outage.recovery_s = static_cast<double>(at) * 1e-6;
      continue;
    }
    calls.emplace(at + all[instance].NextWait(uniform(random)).count(), instance);
  }
  outage.calls_in_first_second = calls_made[0];
  for (const auto& [second, count] : calls_made) {
    if (second > 0) outage.max_calls_per_second = std::max(outage.max_calls_per_second, count);
  }
  return outage;
}

TEST_CASE("the call rate of a fleet after an outage is limited for any fleet size") {
  for (const std::uint32_t instances : {1u, 3u, 30u, 100u, 300u}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(instances);
      CAPTURE(seed);
      const Outage outage = RunOutage(instances, 20, 1000, seed);
      // 50 calls per second in the first round, plus the overlapping second round and random variation.
      CHECK(outage.calls_in_first_second <= 100);
      CHECK(outage.max_calls_per_second <= 100);
      // The last instance recovers within the maximum window, eight times the first one, after discovery
      // does.
      const double window = 0.15 + 0.02 * (instances - 1);
      CHECK(outage.recovery_s <= 20 + 8 * window + 0.1);
    }
  }
}

TEST_CASE("a fleet recovers even if discovery answers few calls per second") {
  for (const std::uint32_t instances : {1u, 3u, 30u, 100u, 300u}) {
    CAPTURE(instances);
    CHECK(RunOutage(instances, 5, 12, 7).recovery_s < 5 + 12.0 * (0.15 + 0.02 * (instances - 1)) + 1);
  }
}

TEST_CASE("waits are drawn from the whole window, which is reset by a success") {
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::set<std::int64_t> tenths;
  for (int i = 0; i < 200; ++i)
    tenths.insert(
        Backoff(100, kMinWindow, kWindowPerInstance).InitialWait(uniform(random), Duration(5000000)).count() /
        213000);
  CHECK(tenths.size() == 10);
  Backoff single(1, kMinWindow, kWindowPerInstance);
  for (int i = 0; i < 9; ++i) single.NextWait(0.5);
  CHECK(single.NextWait(0.5) == Duration(600000));
  single.RecordSuccess();
  CHECK(single.NextWait(0.5) == Duration(75000));
  CHECK(Backoff(0, kMinWindow, kWindowPerInstance).NextWait(0.5) == Duration(75000));
}

// Worst-case delays until a changed list is known: a watch that becomes silent just after it sent data, a
// call refused after that, and a call that hangs as discovery recovers. A change counts as known 6 s after
// discovery had it and was reachable, or at once if an agent has it. After the drain grace the removed server
// must not be used any more.
TEST_CASE("timeouts and waits add up to less than the time for which an old list may be used") {
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
        std::uniform_real_distribution<double> uniform(0, 1);
        for (int run = 0; run < 2000; ++run) {
          DiscoveryRetryPolicy waits(shared, instances, grace);
          const Duration first = waits.max_silence() + waits.NextWait(uniform(random), waits.max_silence());
          silent = std::max(silent, first + waits.answer_time());
          refused = std::max(refused, first + waits.NextWait(uniform(random), first) + waits.answer_time());
          // Discovery recovers just after a call started that will hang, after any number of failures.
          for (int i = 0; i < run % 12; ++i) waits.NextWait(uniform(random), long_ago);
          hung = std::max(
              hung, waits.call_timeout() + waits.NextWait(uniform(random), long_ago) + waits.answer_time());
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

TEST_CASE("the call rate of a fleet is limited although each instance meets its deadlines") {
  for (const std::uint32_t instances : {1u, 3u, 30u, 100u, 300u}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(instances);
      std::mt19937_64 random(seed);
      std::uniform_real_distribution<double> uniform(0, 1);
      std::map<std::int64_t, int> calls_made;
      for (std::uint32_t i = 0; i < instances; ++i) {
        DiscoveryRetryPolicy waits(true, instances, Duration(2000000));
        for (Duration at{0}; (at += waits.NextWait(uniform(random), at)) < Duration(60000000);)
          ++calls_made[at.count() / 1000000];
      }
      for (const auto& in_second : calls_made) {
        const std::int64_t second = in_second.first;
        const int count = in_second.second;
        CAPTURE(second);
        // Each instance makes two calls before the list must be known, and after that at most one per 2.9 s.
        CHECK(count <= (second < 8 ? 180 : 120));
      }
    }
  }
}

}  // namespace
}  // namespace lynxgrade
