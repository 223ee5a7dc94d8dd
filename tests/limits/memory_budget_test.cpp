// The memory budget, and its share of a process's limit.
#include "limits/memory_budget.h"

#include <doctest/doctest.h>

namespace lynxgrade::limits {
namespace {

TEST_CASE("queued input leaves half of the budget, and requests a quarter") {
  MemoryBudget budget(1000);
  CHECK(budget.TryReserve(500, MemoryUse::kQueuedInput));
  CHECK_FALSE(budget.TryReserve(1, MemoryUse::kQueuedInput));
  CHECK(budget.TryReserve(250, MemoryUse::kRequest));
  CHECK_FALSE(budget.TryReserve(1, MemoryUse::kRequest));
  CHECK(budget.TryReserve(250, MemoryUse::kResponse));
  CHECK_FALSE(budget.TryReserve(1, MemoryUse::kResponse));
  budget.Release(251);
  CHECK(budget.TryReserve(1, MemoryUse::kRequest));
  CHECK(budget.peak() == 1000);
}

TEST_CASE("what must not fail exceeds the limit, and nothing else is granted meanwhile") {
  MemoryBudget budget(100);
  budget.Reserve(300);
  CHECK_FALSE(budget.TryReserve(1, MemoryUse::kResponse));
  CHECK_FALSE(budget.TryReserve(MemoryBudget::kUnlimited, MemoryUse::kResponse));
  budget.Release(299);
  CHECK(budget.TryReserve(99, MemoryUse::kResponse));
}

TEST_CASE("a reservation is released once, by its last owner") {
  MemoryBudget budget(100);
  REQUIRE(budget.TryReserve(60, MemoryUse::kResponse));
  {
    MemoryReservation first(budget, 60);
    MemoryReservation second;
    second = std::move(first);
    const MemoryReservation third(std::move(second));
    CHECK(budget.reserved() == 60);
  }
  CHECK(budget.reserved() == 0);
}

TEST_CASE("at each size that the pages name, program, connections and buffers fit into the limit") {
  constexpr std::size_t kMegabyte = 1000000;
  for (const std::size_t megabytes : {32, 64, 192, 2048}) {
    for (const std::size_t descriptors : {256, 1024}) {
      const std::size_t buffers = BufferMemoryLimit(megabytes * kMegabyte, descriptors);
      CHECK(buffers >= 5 * kMegabyte);
      CHECK(buffers * 2 + descriptors * 8192 + 12 * kMegabyte <= megabytes * kMegabyte);
    }
  }
  CHECK(BufferMemoryLimit(kMegabyte, 1024) > 0);
}

}  // namespace
}  // namespace lynxgrade::limits
