// From when the times of a client are counted: from when its bytes came, not from when they were looked at.
// Each test forces a delay between the two, on real sockets. docs/endings.md lists the times.
#include <rapidcheck.h>

#include <chrono>
#include <thread>

#include "net/arrivals.h"
#include "support/simulated_fleet.h"

namespace lynxgrade {
namespace {

Duration Ms(int ms) { return std::chrono::milliseconds(ms); }
TimePoint At(std::int64_t us) { return TimePoint(Duration(us)); }

// Runs the loop for so long by its own clock.
void Pass(SimulatedFleet& w, Duration time) {
  bool over = false;
  net::Timer timer(w.loop);
  timer.ScheduleAfter(time, [&] { over = true; });
  w.RunUntil([&] { return over; });
}

// The `d` that a data server was told, in ms.
int Told(const std::string& statement) { return std::atoi(statement.c_str() + statement.find("d=", 9) + 2); }

// A data server that keeps its first query until it is told to answer, and answers the rest at once.
struct Held {
  explicit Held(SimulatedFleet& w) : server(w.AddServer({})) {
    server.on_query = [this](TestConnection& peer, const std::string& text) {
      if (first != nullptr) return kEchoValue(peer, text);
      first = &peer;
      asked = text;
    };
    w.ApplyEndpointList();
  }
  void Answer() { kEchoValue(*first, asked); }
  DataServer& server;
  TestConnection* first = nullptr;
  std::string asked;
};

TEST_CASE("arrivals: each byte has the time at which it came, also after some were taken") {
  net::ArrivalTimes arrivals;
  arrivals.RecordArrival(10, At(1000000));
  arrivals.RecordArrival(5, At(1000500));  // as good as at once
  arrivals.RecordArrival(20, At(3000000));
  CHECK(arrivals.TimeAt(0) == At(1000000));
  CHECK(arrivals.TimeAt(14) == At(1000000));
  CHECK(arrivals.TimeAt(15) == At(3000000));
  CHECK(arrivals.TimeAt(99) == At(3000000));
  arrivals.Consume(12);
  CHECK(arrivals.FirstSpanBytes() == 3);
  CHECK(arrivals.TimeAt(2) == At(1000000));
  CHECK(arrivals.TimeAt(3) == At(3000000));
  arrivals.RecordArrival(1, At(2000000));  // a time that falls back is none
  CHECK(arrivals.TimeAt(23) == At(3000000));
  arrivals.Consume(1000);
  CHECK(arrivals.size() == 0);
}

TEST_CASE("arrivals: however bytes come and go, none is held for younger, and memory stays bounded") {
  rc::check([] {
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 40), rc::gen::inRange(0, 30000)));
    net::ArrivalTimes arrivals;
    std::vector<TimePoint> truth;
    TimePoint now = At(1000000);
    for (const auto& [size, wait] : steps) {
      now += Duration(wait);
      arrivals.RecordArrival(static_cast<std::size_t>(size), now);
      truth.insert(truth.end(), static_cast<std::size_t>(size), now);
      const std::size_t taken = truth.size() / 7;
      arrivals.Consume(taken);
      truth.erase(truth.begin(), truth.begin() + static_cast<std::ptrdiff_t>(taken));
      RC_ASSERT(arrivals.size() == truth.size());
      for (std::size_t i = 0; i < truth.size(); ++i) RC_ASSERT(arrivals.TimeAt(i) <= truth[i]);
    }
  });
  net::ArrivalTimes trickle;
  for (int i = 0; i < 100000; ++i) trickle.RecordArrival(1, At(std::int64_t{i} * 2000));
  int stretches = 0;
  for (; trickle.size() > 0; ++stretches) trickle.Consume(trickle.FirstSpanBytes());
  CHECK(stretches <= 128);
}

TEST_CASE("a request whose time was over as it waited behind another is refused at once and never sent on") {
  SimulatedFleet w(200, LongDeadlineSettings());
  Held held(w);
  TestConnection& client = w.ConnectClient(
      {RequestText("any", "1", 60000), RequestText("any", "2", 200), RequestText("any", "3", 60000)});
  w.RunUntil([&] { return held.first != nullptr; });
  Pass(w, Ms(300));
  held.Answer();
  // In the order in which they were asked: served, refused with a time to come back, served.
  w.RunUntil([&] { return client.MessageTypes().ends_with("TDCZEZTDCZ"); });
  CHECK(client.HasReceived("53300"));
  CHECK(client.HasReceived("\0D"s));
  REQUIRE(held.server.queries.size() == 2);
  CHECK(held.server.queries[1].find("'3'") != std::string::npos);
}

TEST_CASE("what a request waited behind others is off the time that its data server is told") {
  SimulatedFleet w(200, LongDeadlineSettings());
  Held held(w);
  w.ConnectClient({RequestText("any", "1", 60000), RequestText("any", "2", 60000)});
  w.RunUntil([&] { return held.first != nullptr; });
  Pass(w, Ms(400));
  held.Answer();
  w.RunUntil([&] { return held.server.queries.size() == 2; });
  CHECK(Told(held.server.queries[1]) <= 59600);
}

TEST_CASE("a request that came into the kernel while the ring was full has its time from then") {
  SimulatedFleet w(200, LongDeadlineSettings());
  Held held(w);
  // The first is taken out at once, and the ring holds 256 KiB: what is behind these stays in the kernel.
  const std::string wide = RequestText("any", "1", 60000) + std::string(150000, ' ');
  const std::string wide2 = RequestText("any", "1", 60000) + std::string(150000, ' ');
  const std::string wide3 = RequestText("any", "1", 60000) + std::string(150000, ' ');
  RawClient client(w.frontend.port(), QueryMessage(wide) + QueryMessage(wide2) + QueryMessage(wide3) +
                                          QueryMessage(RequestText("any", "2", 60000)));
  w.RunUntil([&] { return held.first != nullptr; });
  Pass(w, Ms(1000));
  client.Send(QueryMessage(RequestText("any", "3", 60000)));
  Pass(w, Ms(200));
  held.Answer();
  w.RunUntil([&] { return held.server.queries.size() == 5; });
  const int second = Told(held.server.queries[3]), third = Told(held.server.queries[4]);
  CHECK(third <= 59800);
  // A second lies between them, less what the client's own kernel kept back while this one's was full.
  CHECK(third > second + 500);
}

TEST_CASE("a request that came while the program stood still has its time from when it came") {
  SimulatedFleet w(200, LongDeadlineSettings());
  DataServer& server = w.AddServer(kEchoValue);
  w.ApplyEndpointList();
  RawClient client(w.frontend.port());
  w.RunUntil([&] { return client.HasReceived("Z\0\0\0\5I"s); });
  client.Send(QueryMessage(RequestText("any", "1", 200)));
  std::this_thread::sleep_for(Ms(300));
  w.RunUntil([&] { return client.HasReceived("53300"); });
  CHECK(server.queries.empty());
  std::this_thread::sleep_for(Ms(1500));
  client.Send(QueryMessage(RequestText("any", "2", 60000)));
  w.RunUntil([&] { return server.queries.size() == 1; });
  CHECK(Told(server.queries[0]) > 58500);  // the program stood still, but the request is new
}

TEST_CASE("a request on a connection that waited to be accepted has its time from when it came") {
  SimulatedFleet w(200, LongDeadlineSettings());
  DataServer& server = w.AddServer(kEchoValue);
  w.ApplyEndpointList();
  RawClient client(w.frontend.port(),
                   QueryMessage(RequestText("any", "1", 200)) + QueryMessage(RequestText("any", "2", 60000)));
  std::this_thread::sleep_for(Ms(300));
  w.RunUntil([&] { return client.HasReceived("53300") && server.queries.size() == 1; });
  CHECK(Told(server.queries[0]) <= 59700);
}

TEST_CASE("a cancel that waits to be accepted does not end a request that was taken after it came") {
  SimulatedFleet w(200, LongDeadlineSettings());
  Held held(w);
  TestConnection& client = w.ConnectClient({RequestText("any", "1", 60000), RequestText("any", "2", 60000)});
  w.RunUntil([&] { return held.first != nullptr; });
  const std::string key = CancelKeyOf(client);
  REQUIRE(key.size() == 8);
  held.server.on_query = kNoResponse;
  // It means the first, and stands behind so many in the queue that the second is taken before it is looked
  // at.
  std::vector<std::unique_ptr<RawClient>> crowd;
  crowd.reserve(70);
  for (int i = 0; i < 70; ++i) crowd.push_back(RawClient::WithoutStartup(w.frontend.port()));
  crowd.back()->Send(CancelRequestMessage(key));
  held.Answer();
  w.RunUntil([&] {
    crowd.back()->ReadAvailable();
    return held.server.queries.size() == 2 && crowd.back()->peer_closed;
  });
  CHECK_FALSE(client.HasReceived("57014"));
  CHECK(w.proxy.requests_in_flight() == 1);
}

TEST_CASE("a message in pieces has its time from its first byte, also behind a request that took long") {
  SimulatedFleet w(200, LongDeadlineSettings());
  Held held(w);
  TestConnection& client = w.ConnectClient({RequestText("any", "1", 60000)});
  w.RunUntil([&] { return held.first != nullptr; });
  client.Send(QueryMessage(RequestText("any", "2")).substr(0, 20));
  Pass(w, Ms(2100));
  bool late = false;
  net::Timer limit(w.loop);
  held.Answer();
  w.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
  limit.ScheduleAfter(Ms(1500), [&] { late = true; });
  w.RunUntil([&] { return client.HasReceived("08P01"); });
  CHECK_FALSE(late);
}

TEST_CASE("a message in pieces has its own time, not that of the one before it") {
  SimulatedFleet w(200, LongDeadlineSettings());
  w.AddServer(kEchoValue);
  w.ApplyEndpointList();
  TestConnection& client = w.ConnectClient({});
  const std::string set = QueryMessage("SET a = 1");
  client.Send(set.substr(0, 7));
  Pass(w, Ms(1300));
  client.Send(set.substr(7) + set.substr(0, 7));
  Pass(w, Ms(1300));
  client.Send(set.substr(7));
  w.RunUntil([&] { return client.MessageTypes().ends_with("CZCZ") || client.peer_closed; });
  CHECK_FALSE(client.peer_closed);
}

}  // namespace
}  // namespace lynxgrade
