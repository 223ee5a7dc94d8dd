// Shares of a capped weighted choice.
#include "fleet/capped_weighted_choice.h"

#include <doctest/doctest.h>

#include <utility>
#include <vector>

namespace lynxgrade {
namespace {

TEST_CASE("a choice keeps to its caps and gives what they cut off to the others, or to none") {
  const auto parts = [](std::vector<fleet::WeightedCandidate> candidates) {
    std::vector<double> part(candidates.size() + 1);
    for (int i = 0; i < 1000; ++i)
      part[fleet::ChooseCapped(candidates, (i + 0.5) / 1000).value_or(candidates.size())] += 0.001;
    return part;
  };
  const auto is = [&](std::vector<fleet::WeightedCandidate> candidates, const std::vector<double>& wanted) {
    const auto got = parts(std::move(candidates));
    for (std::size_t i = 0; i < wanted.size(); ++i) CHECK(got[i] == doctest::Approx(wanted[i]).epsilon(0.01));
  };
  is({{1}, {3}}, {0.25, 0.75, 0});
  is({{1}, {3, 0.25}}, {0.75, 0.25, 0});
  is({{1, 0.3}, {8, 0.5}, {1}}, {0.25, 0.5, 0.25, 0});
  is({{4, 0.4}, {5, 0.1}, {1, 0.2}}, {0.4, 0.1, 0.2, 0.3});
  is({{1, 0}}, {0, 1});
  CHECK_FALSE(fleet::ChooseCapped({}, 0.5));
}

}  // namespace
}  // namespace lynxgrade
