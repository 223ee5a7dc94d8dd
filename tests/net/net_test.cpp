// The event loop, the poller, the ring buffer and the descriptor budget.
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "net/connection.h"
#include "net/descriptor_budget.h"
#include "net/listener.h"
#include "net/loop.h"
#include "net/ring_buffer.h"

namespace lynxgrade::net {

TEST_CASE("timers fire in the order of their deadlines, and a cancelled one does not") {
  Loop loop;
  std::string order;
  Timer late(loop), early(loop), never(loop);
  never.ScheduleAfter(Duration(5000), [&] { order += "never "; });
  early.ScheduleAfter(Duration(2000), [&] {
    order += "early ";
    never.Cancel();
    // Both deadlines count from the same Now(), so the order holds even if a late pass finds both due.
    late.ScheduleAfter(Duration(9000), [&] {
      order += "late ";
      loop.Stop();
    });
    early.ScheduleAfter(Duration(2000), [&] { order += "again "; });
  });
  loop.Run();
  CHECK(order == "early again late ");
}

// A pair of connected sockets.
struct SocketPair {
  SocketPair() { REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0); }
  SocketPair(const SocketPair&) = delete;
  SocketPair& operator=(const SocketPair&) = delete;
  ~SocketPair() {
    for (int end : ends) close(end);
  }
  int ends[2];
};

struct CallbackHandler final : Poller::Handler {
  std::function<void()> callback;
  void OnEvents(std::uint32_t) override { callback(); }
};

TEST_CASE("a removed descriptor gets no event, even one from the same batch") {
  Loop loop;
  SocketPair first_pair, second_pair;
  CallbackHandler first, second;
  int calls = 0;
  const auto rewatch_both = [&] {
    ++calls;
    loop.poller().Remove(first_pair.ends[0]);
    loop.poller().Remove(second_pair.ends[0]);
    loop.poller().Add(first_pair.ends[0], 0, first);  // the descriptor number is reused
    loop.poller().Add(second_pair.ends[0], 0, second);
  };
  first.callback = second.callback = rewatch_both;
  loop.poller().Add(first_pair.ends[0], EPOLLIN, first);
  loop.poller().Add(second_pair.ends[0], EPOLLIN, second);
  for (SocketPair* pair : {&first_pair, &second_pair}) REQUIRE(write(pair->ends[1], "x", 1) == 1);
  Timer stop(loop);
  stop.ScheduleAfter(Duration(20000), [&] { loop.Stop(); });
  loop.Run();
  CHECK(calls == 1);
  for (SocketPair* pair : {&first_pair, &second_pair}) loop.poller().Remove(pair->ends[0]);
}

// When each pass of the loop polled every connection, hundreds of idle ones made it so slow that data servers
// appeared to be slow.
TEST_CASE("idle connections are not polled in each pass of the loop") {
  Loop loop;
  struct IdleOwner final : Connection::Owner {
    void OnReadable() override {}
    void OnEndOfStream() override {}
    void OnDisconnected() override {}
  } owner;
  std::vector<std::shared_ptr<Connection>> connections;
  Listener listener(
      loop, [] { return true; },
      [&](ObjectPtr<GSocket> socket) {
        connections.push_back(Connection::Adopt(loop, std::move(socket), owner, 4096, 4096));
      });
  REQUIRE(listener.Open({"127.0.0.1", 0}));
  const auto count_polled_descriptors = [] {
    gint timeout = 0, priority = 0;
    GMainContext* context = g_main_context_default();
    g_main_context_prepare(context, &priority);
    return g_main_context_query(context, priority, &timeout, nullptr, 0);
  };
  const int before = count_polled_descriptors();
  for (int i = 0; i < 20; ++i) {
    bool out_of_descriptors = false;
    connections.push_back(
        Connection::Connect(loop, {"127.0.0.1", listener.port()}, owner, 4096, 4096, &out_of_descriptors));
  }
  while (connections.size() < 40) g_main_context_iteration(nullptr, TRUE);
  CHECK(count_polled_descriptors() <= before);
}

// More sockets become readable at once than one pass handles.
TEST_CASE("input that had to wait for a later pass counts as arrived before the first") {
  struct SlowReader final : Connection::Owner {
    explicit SlowReader(Loop& loop) : loop(loop) {}
    void OnReadable() override {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      latest_estimate = std::max(latest_estimate, loop.EarliestArrival());
      ++reads;
    }
    void OnEndOfStream() override {}
    void OnDisconnected() override {}
    Loop& loop;
    TimePoint latest_estimate{};
    int reads = 0;
  };
  constexpr int kConnections = 200;
  Loop loop;
  SlowReader reader(loop);
  std::vector<std::shared_ptr<Connection>> accepted;
  Listener listener(
      loop, [] { return true; },
      [&](ObjectPtr<GSocket> socket) {
        accepted.push_back(Connection::Adopt(loop, std::move(socket), reader, 4096, 4096));
      });
  REQUIRE(listener.Open({"127.0.0.1", 0}));
  std::vector<std::shared_ptr<Connection>> clients;
  while (clients.size() < kConnections) {
    bool out_of_descriptors = false;
    clients.push_back(
        Connection::Connect(loop, {"127.0.0.1", listener.port()}, reader, 4096, 4096, &out_of_descriptors));
  }
  const auto is_connected = [](const auto& client) { return client->connected(); };
  while (accepted.size() < kConnections || !std::ranges::all_of(clients, is_connected))
    g_main_context_iteration(nullptr, TRUE);
  for (const auto& client : clients) REQUIRE(send(client->descriptor(), "x", 1, 0) == 1);
  const TimePoint sent = loop.PreciseNow();
  while (reader.reads < kConnections) g_main_context_iteration(nullptr, TRUE);
  CHECK(reader.latest_estimate <= sent);
}

TEST_CASE("a ring buffer keeps its bytes in order while it wraps and grows") {
  constexpr std::size_t kMaxRingBytes = std::size_t{64} * 1024;
  RingBuffer ring(kMaxRingBytes);
  std::string model;
  for (int i = 0; i < 400; ++i) {
    const std::string piece(static_cast<std::size_t>(i * 7 % 501), static_cast<char>('a' + i % 26));
    const bool fits = model.size() + piece.size() <= kMaxRingBytes;
    CHECK(ring.Append(piece) == fits);
    if (fits) model += piece;
    const std::size_t consumed = std::min<std::size_t>(model.size(), static_cast<std::size_t>(i * 5 % 311));
    ring.Consume(consumed);
    model.erase(0, consumed);
    REQUIRE(ring.size() == model.size());
  }
  CHECK(ring.Linearize() == model);
  CHECK_FALSE(ring.Append(std::string(kMaxRingBytes, 'x')));
  ring.Consume(model.size());
  CHECK(ring.capacity() <= 16 * 1024);
}

TEST_CASE("neither clients nor backends can take all descriptors") {
  DescriptorBudget budget(140);  // 100 to share, at least 25 of them for each side
  budget.clients() = 75;
  CHECK_FALSE(budget.CanAddClient());
  CHECK(budget.CanAddBackend());
  budget.backends() = 25;
  CHECK_FALSE(budget.CanAddBackend());
}

}  // namespace lynxgrade::net
