// Tests of ChooseCapped.
#include "fleet/capped_weighted_choice.h"

#include <doctest/doctest.h>

#include <utility>
#include <vector>

namespace lynxgrade {
namespace {

TEST_CASE("a capped candidate's excess goes to the uncapped ones, or stays unassigned") {
  const auto measure_shares = [](std::vector<fleet::WeightedCandidate> candidates) {
    std::vector<double> shares(candidates.size() + 1);
    for (int i = 0; i < 1000; ++i)
      shares[fleet::ChooseCapped(candidates, (i + 0.5) / 1000).value_or(candidates.size())] += 0.001;
    return shares;
  };
  const auto check = [&](std::vector<fleet::WeightedCandidate> candidates,
                         const std::vector<double>& expected) {
    const auto shares = measure_shares(std::move(candidates));
    for (std::size_t i = 0; i < expected.size(); ++i)
      CHECK(shares[i] == doctest::Approx(expected[i]).epsilon(0.01));
  };
  check({{1}, {3}}, {0.25, 0.75, 0});
  check({{1}, {3, 0.25}}, {0.75, 0.25, 0});
  check({{1, 0.3}, {8, 0.5}, {1}}, {0.25, 0.5, 0.25, 0});
  check({{4, 0.4}, {5, 0.1}, {1, 0.2}}, {0.4, 0.1, 0.2, 0.3});
  check({{1, 0}}, {0, 1});
  CHECK_FALSE(fleet::ChooseCapped({}, 0.5));
}

}  // namespace
}  // namespace lynxgrade
