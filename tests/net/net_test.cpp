// The loop, the ring buffer and the descriptor budget.
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

#include "net/connection.h"
#include "net/descriptor_budget.h"
#include "net/listener.h"
#include "net/loop.h"
#include "net/ring_buffer.h"

namespace lynxgrade::net {

TEST_CASE("timers fire in the order of their deadlines, and a dropped one does not") {
  Loop loop;
  std::string order;
  Timer late(loop), early(loop), never(loop);
  never.ScheduleAfter(Duration(5000), [&] { order += "never "; });
  early.ScheduleAfter(Duration(2000), [&] {
    order += "early ";
    never.Cancel();
    // Counted from one moment, however late the loop is: each pass may have missed several.
    late.ScheduleAfter(Duration(9000), [&] {
      order += "late ";
      loop.Stop();
    });
    early.ScheduleAfter(Duration(2000), [&] { order += "again "; });
  });
  loop.Run();
  CHECK(order == "early again late ");
}

// A pair of connected sockets; what is sent on one end can be read at the other.
struct Pair {
  Pair() { REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0); }
  Pair(const Pair&) = delete;
  Pair& operator=(const Pair&) = delete;
  ~Pair() {
    for (int end : ends) close(end);
  }
  int ends[2];
};

struct Woken final : Poller::Handler {
  std::function<void()> call;
  void OnEvents(std::uint32_t) override { call(); }
};

TEST_CASE("what is no longer watched is not told, though its event came in the same batch") {
  Loop loop;
  Pair one, two;
  Woken first, second;
  int calls = 0;
  const auto only = [&] {
    ++calls;
    loop.poller().Remove(one.ends[0]);
    loop.poller().Remove(two.ends[0]);
    loop.poller().Add(one.ends[0], 0, first);  // the number is in use again, for something else
    loop.poller().Add(two.ends[0], 0, second);
  };
  first.call = second.call = only;
  loop.poller().Add(one.ends[0], EPOLLIN, first);
  loop.poller().Add(two.ends[0], EPOLLIN, second);
  for (Pair* pair : {&one, &two}) REQUIRE(write(pair->ends[1], "x", 1) == 1);
  Timer stop(loop);
  stop.ScheduleAfter(Duration(20000), [&] { loop.Stop(); });
  loop.Run();
  CHECK(calls == 1);
  for (Pair* pair : {&one, &two}) loop.poller().Remove(pair->ends[0]);
}

// Hundreds of silent connections made each turn of the loop so slow that data servers seemed to be.
TEST_CASE("connections that are silent cost a turn of the loop nothing") {
  Loop loop;
  struct Silent final : Connection::Owner {
    void OnReadable() override {}
    void OnEndOfStream() override {}
    void OnDisconnected() override {}
  } silent;
  std::vector<std::shared_ptr<Connection>> connections;
  Listener listener(
      loop, [] { return true; },
      [&](ObjectPtr<GSocket> socket) {
        connections.push_back(Connection::Adopt(loop, std::move(socket), silent, 4096, 4096));
      });
  REQUIRE(listener.Open({"127.0.0.1", 0}));
  const auto polled = [] {
    gint timeout = 0, priority = 0;
    GMainContext* context = g_main_context_default();
    g_main_context_prepare(context, &priority);
    return g_main_context_query(context, priority, &timeout, nullptr, 0);
  };
  const int before = polled();
  for (int i = 0; i < 20; ++i) {
    bool full = false;
    connections.push_back(
        Connection::Connect(loop, {"127.0.0.1", listener.port()}, silent, 4096, 4096, &full));
  }
  while (connections.size() < 40) g_main_context_iteration(nullptr, TRUE);
  CHECK(polled() <= before);
}

TEST_CASE("a ring keeps its bytes in order while it wraps and grows") {
  constexpr std::size_t kRingSize = std::size_t{64} * 1024;
  RingBuffer ring(kRingSize);
  std::string model;
  for (int i = 0; i < 400; ++i) {
    const std::string piece(static_cast<std::size_t>(i * 7 % 501), static_cast<char>('a' + i % 26));
    const bool fits = model.size() + piece.size() <= kRingSize;
    CHECK(ring.Append(piece) == fits);
    if (fits) model += piece;
    const std::size_t taken = std::min<std::size_t>(model.size(), static_cast<std::size_t>(i * 5 % 311));
    ring.Consume(taken);
    model.erase(0, taken);
    REQUIRE(ring.size() == model.size());
  }
  CHECK(ring.Linearize() == model);
  CHECK_FALSE(ring.Append(std::string(kRingSize, 'x')));
  ring.Consume(model.size());
  CHECK(ring.capacity() <= 16 * 1024);
}

TEST_CASE("neither side can take all descriptors") {
  DescriptorBudget budget(140);  // 100 to share, 25 for each side at least
  budget.clients() = 75;
  CHECK_FALSE(budget.CanAddClient());
  CHECK(budget.CanAddBackend());
  budget.backends() = 25;
  CHECK_FALSE(budget.CanAddBackend());
}

}  // namespace lynxgrade::net
