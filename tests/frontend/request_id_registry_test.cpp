// Which ids of requests are remembered, and for how long.
#include "frontend/request_id_registry.h"

#include <doctest/doctest.h>

#include <string>

namespace lynxgrade::frontend {
namespace {

using IdState = RequestIdRegistry::IdState;
constexpr TimePoint kStart{Duration{1000000}};

TEST_CASE("an id that may have run is remembered for the retention time, a repeatable one is not") {
  RequestIdRegistry registry;
  registry.Begin("a");
  registry.Begin("b");
  CHECK(registry.Find("a", kStart) == IdState::kInFlight);
  registry.End("a", RequestEnd::kMayHaveRun, kStart);
  registry.End("b", RequestEnd::kRepeatable, kStart);
  CHECK(registry.Find("b", kStart) == IdState::kUnknown);
  const TimePoint last = kStart + RequestIdRegistry::kRetention - Duration{1};
  CHECK(registry.Find("a", last) == IdState::kMayHaveRun);
  CHECK(registry.Find("a", last + Duration{1}) == IdState::kUnknown);
  CHECK(registry.remembered() == 0);
}

TEST_CASE("ever new ids take a bounded number of entries, and the oldest is forgotten first") {
  RequestIdRegistry registry;
  const std::size_t count = RequestIdRegistry::kMaxRemembered + 1;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string id = std::to_string(i);
    registry.Begin(id);
    registry.End(id, RequestEnd::kMayHaveRun, kStart);
  }
  CHECK(registry.remembered() == RequestIdRegistry::kMaxRemembered);
  CHECK(registry.Find("0", kStart) == IdState::kUnknown);
  CHECK(registry.Find("1", kStart) == IdState::kMayHaveRun);
  CHECK(registry.Find(std::to_string(count - 1), kStart) == IdState::kMayHaveRun);
}

}  // namespace
}  // namespace lynxgrade::frontend
