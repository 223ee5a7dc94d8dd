// The instance that rendezvous hashing selects for a session key.
#include "lease/rendezvous_hash.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

namespace lynxgrade::lease {
namespace {

consistency::SessionKey KeyNumber(int number) {
  return consistency::SessionKeyOf(GroupId(1), "s" + std::to_string(number));
}

TEST_CASE(
    "rendezvous hash: the order of candidates does not matter, removing one moves only its keys, and keys "
    "are "
    "spread evenly") {
  std::vector<IncarnationId> candidates;
  for (IncarnationId number = 1; number <= 41; ++number) candidates.push_back(number * 7919);
  const IncarnationId removed = candidates[5];
  std::map<IncarnationId, int> selections;
  for (int i = 0; i < 41'000; ++i) {
    const consistency::SessionKey key = KeyNumber(i);
    const IncarnationId selected = SelectLeaseManager(key, candidates);
    ++selections[selected];
    std::vector<IncarnationId> reversed(candidates.rbegin(), candidates.rend());
    CHECK(SelectLeaseManager(key, reversed) == selected);
    std::erase(reversed, removed);
    if (selected != removed) CHECK(SelectLeaseManager(key, reversed) == selected);
  }
  for (const auto& [candidate, count] : selections) {
    CHECK(count > 800);
    CHECK(count < 1200);
  }
  CHECK(selections.size() == 41);
  CHECK(SelectLeaseManager(KeyNumber(1), {}) == 0);
}

}  // namespace
}  // namespace lynxgrade::lease
