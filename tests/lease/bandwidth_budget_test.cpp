// Checks the bandwidth budget against the sum of the bytes that it allowed.
#include "lease/bandwidth_budget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstddef>
#include <cstdint>
#include <tuple>
#include <utility>
#include <vector>

namespace lynxgrade::lease {
namespace {

constexpr Duration kMs{1000};
constexpr TimePoint kStart{Duration(1'700'000'000'000'000)};

TEST_CASE(
    "bandwidth budget: in any interval it allows at most its rate plus half a second's worth, whatever is "
    "spent") {
  // Each step: a wait, a number of bytes, and whether they cannot be deferred.
  CHECK(rc::check("spending", [](const std::vector<std::tuple<std::uint16_t, std::uint16_t, bool>>& steps) {
    constexpr double kRate = 12000;
    TimePoint now = kStart;
    BandwidthBudget budget(kRate, now);
    std::vector<std::pair<TimePoint, double>> allowed;
    for (const auto& [wait, bytes, must_send] : steps) {
      now += Duration(wait * 10);
      const bool allows = budget.Allows(now, bytes);
      if (!must_send && !allows) continue;
      budget.Spend(now, bytes);
      if (!must_send) allowed.emplace_back(now, bytes);
    }
    for (std::size_t from = 0; from < allowed.size(); ++from) {
      double sum = 0;
      for (std::size_t to = from; to < allowed.size(); ++to) {
        sum += allowed[to].second;
        const double seconds = 1e-6 * static_cast<double>((allowed[to].first - allowed[from].first).count());
        RC_ASSERT(sum <= kRate * (seconds + 0.5) + 1e-3);
      }
    }
  }));
}

TEST_CASE(
    "bandwidth budget: an overdraft lasts two seconds at most, and a clock that steps back refills nothing") {
  BandwidthBudget budget(1000, kStart);
  CHECK(budget.Allows(kStart, 500));
  CHECK_FALSE(budget.Allows(kStart, 501));
  budget.Spend(kStart, 1'000'000);  // a burst that cannot be deferred
  CHECK_FALSE(budget.Allows(kStart + kMs * 2050, 100));
  CHECK(budget.Allows(kStart + kMs * 2150, 100));
  CHECK_FALSE(budget.Allows(kStart - kMs * 5000, 500));
}

TEST_CASE("bandwidth budget: with a rate of zero everything is allowed") {
  BandwidthBudget unlimited(0, kStart);
  unlimited.Spend(kStart, 1'000'000);
  CHECK(unlimited.Allows(kStart, 1'000'000));
}

}  // namespace
}  // namespace lynxgrade::lease
