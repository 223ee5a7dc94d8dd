// The loop, the ring buffer and the descriptor budget.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <string>

#include "net/budget.h"
#include "net/loop.h"
#include "net/ring_buffer.h"

namespace lynxgrade::net {

TEST_CASE("timers fire in the order of their deadlines, and a dropped one does not") {
  Loop loop;
  std::string order;
  Timer late(loop), early(loop), never(loop);
  late.After(Duration(9000), [&] {
    order += "late ";
    loop.Stop();
  });
  never.After(Duration(5000), [&] { order += "never "; });
  early.After(Duration(2000), [&] {
    order += "early ";
    never.Clear();
    early.After(Duration(2000), [&] { order += "again "; });
  });
  loop.Run();
  CHECK(order == "early again late ");
}

TEST_CASE("a ring keeps its bytes in order while it wraps and grows") {
  RingBuffer ring(64 * 1024);
  std::string model;
  for (int i = 0; i < 400; ++i) {
    const std::string piece(static_cast<std::size_t>(i * 7 % 501), static_cast<char>('a' + i % 26));
    const bool fits = model.size() + piece.size() <= 64 * 1024;
    CHECK(ring.Append(piece) == fits);
    if (fits) model += piece;
    const std::size_t taken = std::min<std::size_t>(model.size(), static_cast<std::size_t>(i * 5 % 311));
    ring.Consume(taken);
    model.erase(0, taken);
    REQUIRE(ring.size() == model.size());
  }
  CHECK(ring.All() == model);
  CHECK_FALSE(ring.Append(std::string(64 * 1024, 'x')));
  ring.Consume(model.size());
  CHECK(ring.capacity() <= 16 * 1024);
}

TEST_CASE("neither side can take all descriptors") {
  DescriptorBudget budget(140);  // 100 to share, 25 for each side at least
  budget.clients() = 75;
  CHECK_FALSE(budget.ClientFits());
  CHECK(budget.BackendFits());
  budget.backends() = 25;
  CHECK_FALSE(budget.BackendFits());
}

}  // namespace lynxgrade::net
