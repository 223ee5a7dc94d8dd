// The reuse of connections to data servers. What a data server sends beyond a response (a second copy, noise)
// may reach the pooler at any time up to the response to the next query on that connection.
#include <deque>
#include <map>
#include <random>

#include "support/event_loop_steps.h"
#include "support/pool_fixture.h"
#include "support/simulated_fleet.h"

namespace lynxgrade {
namespace {

constexpr int kAttemptTimeoutMs = 60000;  // longer than any test

// Limits that no test reaches, however slow the machine is.
upstream::PoolSettings PatientSettings() {
  upstream::PoolSettings settings;
  settings.connect_timeout = 30000 * kMs;
  return settings;
}

upstream::PoolSettings SettingsWithConnectTimeout(int ms) {
  upstream::PoolSettings settings;
  settings.connect_timeout = ms * kMs;
  return settings;
}

struct FixedStatement final : proxy::Statement {
  explicit FixedStatement(std::string statement) : text(std::move(statement)) {}
  std::string TextWithBudget(Duration) const override { return text; }
  std::string text;
};

// The single value of a response.
std::string ValueOf(const proxy::AttemptResult& result) {
  return result.response ? result.response->data_row.substr(6) : "no response";
}

std::string Statement(int number) { return "statement " + std::to_string(number); }

// Starts an attempt of statement `number`.
void StartAttempt(PoolFixture& fixture, int number) {
  fixture.statement = std::make_shared<FixedStatement>(Statement(number));
  fixture.Send(kAttemptTimeoutMs);
}

// Runs an attempt of statement `number` to its end.
const proxy::AttemptResult& RunAttempt(PoolFixture& fixture, int number) {
  const std::size_t finished = fixture.attempt_results.size();
  StartAttempt(fixture, number);
  RunLoopUntil([&] { return fixture.attempt_results.size() > finished; }, fixture.loop);
  return fixture.attempt_results.back();
}

const HealthCheckEvent& RunHealthCheck(PoolFixture& fixture) {
  const std::size_t finished = fixture.health_checks.size();
  fixture.pool.StartHealthCheck(PoolFixture::kServer);
  RunLoopUntil([&] { return fixture.health_checks.size() > finished; }, fixture.loop);
  return fixture.health_checks.back();
}

// Sends `extra(query, number of the query on its connection)` behind the response to a query, so late that it
// arrives together with the response to the next query on that connection: the last moment at which bytes in
// order can arrive.
class LateExtraBytes {
 public:
  using Extra = std::function<std::string(const std::string& query, int number)>;
  LateExtraBytes(DataServer& server, Extra extra) : extra_(std::move(extra)) {
    server.before_response = [this](TestConnection& connection, const std::string& query) {
      State& state = states_[&connection];
      if (!state.late.empty()) connection.Send(state.late);
      state.late = extra_(query, ++state.queries);
    };
  }

 private:
  struct State {
    std::string late;
    int queries = 0;
  };
  Extra extra_;
  std::map<TestConnection*, State> states_;
};

bool IsStatement(const std::string& query) { return query.starts_with("statement"); }

const QueryHandler kRepeatStatement = [](TestConnection& connection, const std::string& text) {
  connection.Send(RowResponse(text));
};

// Runs attempts one after the other: each gets its own response, and all use the same connection.
void CheckServedOnOneConnection(PoolFixture& fixture) {
  for (int number = 1; number <= 20; ++number) {
    CAPTURE(number);
    const proxy::AttemptResult& result = RunAttempt(fixture, number);
    CHECK(result.outcome == Outcome::kOk);
    CHECK(ValueOf(result) == Statement(number));
    RunLoopUntil([&] { return fixture.pool.idle() == 1; }, fixture.loop);
  }
  CHECK(fixture.server.connections.size() == 1);
}

// Guards against serving a client with the response to another client's request: a copy of a response that
// arrived after its connection had been used again was read as the response to the next query.
TEST_CASE("a copy of a response that arrives late is not the response to the next attempt") {
  PoolFixture fixture(PatientSettings());
  fixture.server.on_query = kRepeatStatement;
  const LateExtraBytes copies(fixture.server, [](const std::string& query, int) {
    return IsStatement(query) ? RowResponse(query) : "";
  });
  for (int number = 1; number <= 20; ++number) {
    CAPTURE(number);
    const proxy::AttemptResult& result = RunAttempt(fixture, number);
    CHECK(result.outcome == Outcome::kOk);
    CHECK(ValueOf(result) == Statement(number));
  }
}

// Guards against a second run of a write: the late copy of an error that proves that nothing has run was read
// as the outcome of the next statement, which did run.
TEST_CASE("a copy of an error that arrives late is not the outcome of the next attempt") {
  for (const char* code : {"25006", "72000", "53300", "42601", "XX000"}) {
    CAPTURE(code);
    PoolFixture fixture(PatientSettings());
    fixture.server.on_query = [&](TestConnection& connection, const std::string& text) {
      connection.Send(text == Statement(1) ? ErrorResponse(code) : RowResponse(text));
    };
    const LateExtraBytes copies(fixture.server, [&](const std::string& query, int) {
      return query == Statement(1) ? ErrorResponse(code) : "";
    });
    CHECK(RunAttempt(fixture, 1).outcome != Outcome::kOk);
    const proxy::AttemptResult& result = RunAttempt(fixture, 2);
    CHECK(result.outcome == Outcome::kOk);
    CHECK(ValueOf(result) == Statement(2));
    CHECK(std::ranges::count(fixture.server.queries, Statement(2)) == 1);
  }
}

// Guards against serving a load report as a client's value, and against judging a server by a client's value.
TEST_CASE("late copies are not exchanged between health checks and attempts") {
  PoolFixture fixture(PatientSettings());
  fixture.server.on_query = kRepeatStatement;
  const LateExtraBytes copies(fixture.server, [&](const std::string& query, int) {
    if (query == "SHOW pressure") return RowResponse(fixture.server.load_report);
    return IsStatement(query) ? RowResponse(query) : "";
  });
  for (int number = 1; number <= 10; ++number) {
    CAPTURE(number);
    const HealthCheckEvent& check = RunHealthCheck(fixture);
    CHECK(check.outcome == Outcome::kOk);
    CHECK(check.report.has_value());
    const proxy::AttemptResult& result = RunAttempt(fixture, number);
    CHECK(result.outcome == Outcome::kOk);
    CHECK(ValueOf(result) == Statement(number));
  }
}

// Guards against failing a request because of noise behind the response to an earlier one.
TEST_CASE("noise that arrives late does not fail the next attempt") {
  for (const std::string& noise : {"\x7fnoise\n"s, "Z"s, "T\0\0\0\x20"s, "D\xb2\xd0\x5e\0"s}) {
    CAPTURE(noise);
    PoolFixture fixture(PatientSettings());
    fixture.server.on_query = kRepeatStatement;
    const LateExtraBytes extra(
        fixture.server, [&](const std::string& query, int) { return IsStatement(query) ? noise : ""; });
    for (int number = 1; number <= 4; ++number) {
      const proxy::AttemptResult& result = RunAttempt(fixture, number);
      CHECK(result.outcome == Outcome::kOk);
      CHECK(ValueOf(result) == Statement(number));
    }
  }
}

// Guards against losing requests or connections to copies of the barrier's own response.
TEST_CASE("a copy of the response to the empty query neither fails the next attempt nor its connection") {
  PoolFixture fixture(PatientSettings());
  fixture.server.on_query = kRepeatStatement;
  const LateExtraBytes copies(fixture.server, [](const std::string& query, int) {
    return query.empty() ? EmptyQueryResponse() : "";
  });
  CheckServedOnOneConnection(fixture);
}

// Guards against one connection for each statement where a data server rejects empty queries, and against
// taking that rejection for the outcome of a statement.
TEST_CASE("a data server that rejects empty queries serves on the same connection, also with late copies") {
  PoolFixture fixture(PatientSettings());
  fixture.server.on_query = kRepeatStatement;
  fixture.server.on_empty_query = [](TestConnection& connection, const std::string&) {
    connection.Send(ErrorResponse("08P01"));
  };
  const LateExtraBytes copies(fixture.server, [](const std::string& query, int) {
    return query.empty() ? ErrorResponse("08P01") : "";
  });
  CheckServedOnOneConnection(fixture);
}

// Guards against taking the copy of an invalid statement's error for the rejection of the empty query.
TEST_CASE("a late copy of an error does not pass for the rejection of an empty query") {
  PoolFixture fixture(PatientSettings());
  fixture.server.on_query = [](TestConnection& connection, const std::string& text) {
    connection.Send(text == Statement(1) ? ErrorResponse("08P01") : RowResponse(text));
  };
  fixture.server.on_empty_query = [](TestConnection& connection, const std::string&) {
    connection.Send(ErrorResponse("42601"));
  };
  const LateExtraBytes copies(fixture.server, [](const std::string& query, int) {
    return query == Statement(1) ? ErrorResponse("08P01") : "";
  });
  CHECK(RunAttempt(fixture, 1).outcome == Outcome::kNotRun);
  for (int number = 2; number <= 4; ++number) {
    const proxy::AttemptResult& result = RunAttempt(fixture, number);
    CHECK(result.outcome == Outcome::kOk);
    CHECK(ValueOf(result) == Statement(number));
  }
  CHECK(fixture.server.connections.size() == 2);
}

// Guards against reusing a connection on the strength of elapsed time.
TEST_CASE("no statement is written on a connection before its empty query has been answered") {
  PoolFixture fixture(PatientSettings());
  std::vector<TestConnection*> unanswered;
  fixture.server.on_query = kRepeatStatement;
  fixture.server.on_empty_query = [&](TestConnection& connection, const std::string&) {
    unanswered.push_back(&connection);
  };
  RunAttempt(fixture, 1);
  RunLoopUntil([&] { return unanswered.size() == 1; }, fixture.loop);
  StartAttempt(fixture, 2);
  RunLoopFor(fixture.loop, 30);
  CHECK(fixture.server.queries.size() == 1);
  CHECK(fixture.server.connections.size() == 1);  // no new connection, since this one is about to be free
  unanswered[0]->Send(EmptyQueryResponse());
  RunLoopUntil([&] { return fixture.attempt_results.size() == 2; }, fixture.loop);
  CHECK(ValueOf(fixture.attempt_results[1]) == Statement(2));
  CHECK(fixture.server.connections.size() == 1);
}

// Guards against attempts that wait in vain for a connection whose data server does not answer any more.
TEST_CASE("a connection whose empty query is not answered, or not as such, is closed and replaced") {
  const struct {
    const char* what;
    std::string response;
  } cases[] = {{"nothing", ""},
               {"an overload", ErrorResponse("53300")},
               {"an error of the server", ErrorResponse("XX000")},
               {"a row", RowResponse("x")},
               {"the end of the response alone", EmptyQueryResponse().substr(5)},
               {"the beginning of the response alone", EmptyQueryResponse().substr(0, 5)}};
  for (const auto& c : cases) {
    CAPTURE(c.what);
    PoolFixture fixture(SettingsWithConnectTimeout(1000));
    fixture.server.on_query = kRepeatStatement;
    fixture.server.on_empty_query = [&](TestConnection& connection, const std::string&) {
      connection.Send(c.response);
    };
    for (int number = 1; number <= 3; ++number) {
      const proxy::AttemptResult& result = RunAttempt(fixture, number);
      CHECK(result.outcome == Outcome::kOk);
      CHECK(ValueOf(result) == Statement(number));
    }
    RunLoopUntil([&] { return fixture.server.connections[0]->peer_closed; }, fixture.loop);
    CHECK(fixture.server.connections.size() == 3);
    CHECK(fixture.pool.idle() == 0);
  }
}

// Guards against one connection for each statement on a slow link, and against attempts that wait for that
// link.
TEST_CASE(
    "an empty query answered late delays the attempts for a while only, and frees its connection then") {
  PoolFixture fixture(SettingsWithConnectTimeout(5000));
  TestConnection* unanswered = nullptr;
  fixture.server.on_query = kRepeatStatement;
  fixture.server.on_empty_query = [&](TestConnection& connection, const std::string&) {
    if (unanswered != nullptr) return connection.Send(EmptyQueryResponse());
    unanswered = &connection;
  };
  RunAttempt(fixture, 1);
  CHECK(ValueOf(RunAttempt(fixture, 2)) == Statement(2));
  CHECK(fixture.server.connections.size() == 2);
  REQUIRE(unanswered != nullptr);
  unanswered->Send(EmptyQueryResponse());
  RunLoopUntil([&] { return fixture.pool.idle() == 2; }, fixture.loop);
}

// Guards against the exchange where the process stood still while the copy and the answer came.
TEST_CASE("a copy that arrives while the loop is blocked is not the response to the next attempt") {
  PoolFixture fixture(SettingsWithConnectTimeout(2000));
  fixture.server.on_query = kRepeatStatement;
  const LateExtraBytes copies(fixture.server, [](const std::string& query, int) {
    return IsStatement(query) ? RowResponse(query) : "";
  });
  for (int number = 1; number <= 3; ++number) {
    RunAttempt(fixture, number);
    BlockThread(1000);  // longer than attempts wait for a barrier
    CHECK(ValueOf(fixture.attempt_results.back()) == Statement(number));
  }
}

// Guards against giving the next attempt the response to one that has ended without it.
TEST_CASE("the response to a cancelled or timed out attempt is not the response to the next one") {
  for (const bool cancelled : {true, false}) {
    CAPTURE(cancelled);
    PoolFixture fixture(PatientSettings());
    TestConnection* first = nullptr;
    fixture.server.on_query = [&](TestConnection& connection, const std::string& text) {
      if (text != Statement(1)) return connection.Send(RowResponse(text));
      first = &connection;
    };
    fixture.statement = std::make_shared<FixedStatement>(Statement(1));
    fixture.Send(cancelled ? kAttemptTimeoutMs : 300);
    RunLoopUntil([&] { return first != nullptr; }, fixture.loop);
    if (cancelled) fixture.pool.CancelAttempt(RequestId(1), 0);
    RunLoopUntil([&] { return fixture.attempt_results.size() == 1; }, fixture.loop);
    first->Send(RowResponse(Statement(1)));
    CHECK(ValueOf(RunAttempt(fixture, 2)) == Statement(2));
  }
}

// Guards against an error of the startup that is read as the outcome of the first statement, which does run.
TEST_CASE("a connection whose startup is rejected runs no attempt") {
  PoolFixture fixture(PatientSettings());
  fixture.server.accepts_startup = false;
  fixture.server.on_query = kRepeatStatement;
  StartAttempt(fixture, 1);
  RunLoopUntil(
      [&] {
        return fixture.server.connections.size() == 1 && fixture.server.connections[0]->startup_received;
      },
      fixture.loop);
  fixture.server.connections[0]->Send(ErrorResponse("53300"));
  RunLoopUntil([&] { return fixture.attempt_results.size() == 1; }, fixture.loop);
  CHECK(fixture.attempt_results[0].outcome == Outcome::kUnreachable);
  CHECK(fixture.server.queries.empty());
}

// Guards against the exchange on the first use of a connection.
TEST_CASE("a copy of the response to the startup is not the response to the first attempt") {
  PoolFixture fixture(PatientSettings());
  fixture.server.on_query = [](TestConnection& connection, const std::string& text) {
    connection.Send(StartupResponse() + RowResponse(text));
  };
  for (int number = 1; number <= 3; ++number) {
    const proxy::AttemptResult& result = RunAttempt(fixture, number);
    CHECK(result.outcome == Outcome::kError);  // it may have run
  }
  CHECK(fixture.server.connections.size() == 3);
}

// Guards against losing a statement to a data server that closes its connection right after a response.
TEST_CASE("a data server that closes the connection right after each response fails no attempt") {
  PoolFixture fixture(PatientSettings());
  fixture.server.on_query = kRepeatStatement;
  fixture.server.on_empty_query = [](TestConnection& connection, const std::string&) {
    connection.connection->Close();  // before it has read the empty query, as far as the pooler can tell
  };
  for (int number = 1; number <= 5; ++number) {
    const proxy::AttemptResult& result = RunAttempt(fixture, number);
    CHECK(result.outcome == Outcome::kOk);
    CHECK(ValueOf(result) == Statement(number));
  }
}

// Guards against running out of descriptors while connections wait for the response to their empty query.
TEST_CASE("a connection that waits for its empty query may be closed, unless an attempt waits for it") {
  PoolFixture fixture(SettingsWithConnectTimeout(2000));
  fixture.server.on_query = kRepeatStatement;
  fixture.server.on_empty_query = kNoResponse;
  RunAttempt(fixture, 1);
  CHECK(fixture.pool.idle() == 0);
  CHECK(fixture.pool.CloseLongestIdle());
  CHECK_FALSE(fixture.pool.CloseLongestIdle());
  RunAttempt(fixture, 2);
  StartAttempt(fixture, 3);
  CHECK_FALSE(fixture.pool.CloseLongestIdle());
  fixture.pool.CloseIdleConnections(PoolFixture::kServer);
  RunLoopUntil([&] { return fixture.attempt_results.size() == 3; }, fixture.loop);
  CHECK(ValueOf(fixture.attempt_results[2]) == Statement(3));
  fixture.pool.CloseIdleConnections(PoolFixture::kServer);
  RunLoopUntil(
      [&] {
        return std::ranges::all_of(fixture.server.connections,
                                   [](const auto& connection) { return connection->peer_closed; });
      },
      fixture.loop);
}

// A data server's side of a link on which each piece of data travels for a random time, in order. Some
// responses, of any kind, are followed by a copy.
class JitteryLink {
 public:
  JitteryLink(net::Loop& loop, std::uint64_t seed) : loop_(loop), engine_(seed) {}
  void Send(TestConnection& connection, const std::string& response) {
    Schedule(connection, response);
    if (engine_() % 4 != 0) return;
    Schedule(connection, response);
    ++copies_;
  }
  int copies() const { return copies_; }

 private:
  void Schedule(TestConnection& connection, const std::string& bytes) {
    TimePoint& last = last_arrival_[&connection];
    last = std::max(last, loop_.PreciseNow() + Duration(static_cast<std::int64_t>(engine_() % 3000)));
    auto timer = std::make_unique<net::Timer>(loop_);
    timer->ScheduleAt(last, [&connection, bytes] {
      if (!connection.connection->closed()) connection.Send(bytes);
    });
    timers_.push_back(std::move(timer));
  }

  net::Loop& loop_;
  std::mt19937_64 engine_;
  std::map<TestConnection*, TimePoint> last_arrival_;
  std::deque<std::unique_ptr<net::Timer>> timers_;
  int copies_ = 0;
};

// Guards against the same exchange under load, where connections are used again as soon as they are free.
TEST_CASE("under load, with copies at random distances, each attempt gets its own outcome") {
  constexpr int kAttempts = 1200;
  constexpr int kConcurrent = 6;
  for (const std::uint64_t seed : {1, 2, 3, 4}) {
    CAPTURE(seed);
    const bool rejects_empty_queries = seed % 2 == 0;
    PoolFixture fixture(PatientSettings());
    JitteryLink link(fixture.loop, seed);
    // Every fifth statement is rejected as misrouted.
    const auto is_misrouted = [](const std::string& text) { return std::stoi(text.substr(10)) % 5 == 0; };
    fixture.server.on_query = [&](TestConnection& connection, const std::string& text) {
      link.Send(connection, is_misrouted(text) ? ErrorResponse("25006") : RowResponse(text));
    };
    fixture.server.on_empty_query = [&](TestConnection& connection, const std::string&) {
      link.Send(connection, rejects_empty_queries ? ErrorResponse("08P01") : EmptyQueryResponse());
    };
    int started = 0;
    RunLoopUntil(
        [&] {
          while (started < kAttempts &&
                 started - static_cast<int>(fixture.attempt_results.size()) < kConcurrent)
            StartAttempt(fixture, ++started);
          return fixture.attempt_results.size() == kAttempts;
        },
        fixture.loop);
    int wrong = 0;
    for (const proxy::AttemptResult& result : fixture.attempt_results) {
      const std::string text = Statement(static_cast<int>(result.request));
      const bool own = is_misrouted(text) ? result.outcome == Outcome::kMisrouted
                                          : result.outcome == Outcome::kOk && ValueOf(result) == text;
      if (!own) ++wrong;
    }
    CHECK(wrong == 0);
    CHECK(link.copies() > kAttempts / 10);
  }
}

// The same at the clients: each value names the object that was asked for.
TEST_CASE("rule 1: a client is not served with the response to another client's request") {
  SimulatedFleet fleet;
  DataServer& server = fleet.AddServer(kEchoValue);
  const LateExtraBytes copies(server, [](const std::string& query, int) {
    return query.empty() || query == "SHOW pressure" ? ""
                                                     : RowResponse(query.substr(query.rfind('\'') - 1, 1));
  });
  fleet.ApplyEndpointList();
  for (char object = 'a'; object <= 'p'; ++object) {
    CAPTURE(object);
    TestConnection& client = fleet.ConnectClient({RequestText("any", std::string(1, object).c_str())});
    fleet.RunUntil([&] { return client.MessageTypes().ends_with("TDCZ"); });
    CHECK(client.HasReceived("\0\0\0\1"s + object + "C"));
  }
}

TEST_CASE("the memory of a response counts until it has ended, though its messages have been read") {
  PoolFixture fixture;
  fixture.OpenConnection();
  const std::size_t at_rest = fixture.memory.reserved();
  constexpr std::size_t kNameBytes = 60000;
  std::string description = kRowDescription;
  description.insert(2, std::string(kNameBytes, 'n'));
  std::string unfinished;
  pg::AppendMessage(unfinished, 'T', description);
  fixture.server.on_query = [&](TestConnection& connection, const std::string&) {
    connection.Send(unfinished);
  };
  fixture.Send(1000);
  // The buffer is empty and freed by then; while it held the message, it took 64 KiB.
  const auto counts_message = [&] {
    return fixture.memory.reserved() >= kNameBytes && fixture.memory.reserved() < kNameBytes + 4096;
  };
  RunLoopUntil(counts_message, fixture.loop);
  RunLoopUntil([&] { return fixture.attempt_results.size() == 2; }, fixture.loop);
  CHECK(fixture.attempt_results.back().outcome == Outcome::kError);
  CHECK(fixture.memory.reserved() <= at_rest);
}

TEST_CASE("a connection whose data server sends a long error is not kept for reuse") {
  PoolFixture fixture;
  fixture.OpenConnection();
  std::string response;
  pg::AppendErrorResponse(response, "ERROR", "XX000", std::string(60000, 'e'));
  pg::AppendReadyForQuery(response);
  fixture.server.on_query = [&](TestConnection& connection, const std::string&) {
    connection.Send(response);
  };
  fixture.Send(1000);
  RunLoopUntil([&] { return fixture.attempt_results.size() == 2; }, fixture.loop);
  CHECK(fixture.attempt_results.back().outcome == Outcome::kError);
  CHECK(fixture.pool.idle() == 0);
  CHECK(fixture.pool.counts().barrier_queries == 1);
}

}  // namespace
}  // namespace lynxgrade
