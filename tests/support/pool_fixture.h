// A connection pool with one data server on real sockets, without the decision module and without clients.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "support/event_loop_steps.h"
#include "support/simulated_fleet.h"

namespace lynxgrade {

// A statement whose text is the remaining time in milliseconds.
struct RemainingTimeStatement final : proxy::Statement {
  std::string TextWithBudget(Duration time_left) const override {
    return std::to_string(time_left.count() / 1000);
  }
};

// A connection pool with one data server, and the results of its attempts and health checks.
struct PoolFixture : proxy::UpstreamEvents {
  virtual ~PoolFixture() = default;
  explicit PoolFixture(upstream::PoolSettings settings = {})
      : pool(loop, std::move(settings), budget, memory, [] { return false; }),
        server(loop,
               [](TestConnection& connection, const std::string&) { connection.Send(RowResponse("v")); }) {
    pool.SetEvents(*this);
    pool.SetAddress(kServer, {"127.0.0.1", server.listener.port()});
  }
  void OnAttemptFinished(proxy::AttemptResult result) override {
    attempt_results.push_back(std::move(result));
  }
  void OnHealthCheckFinished(const HealthCheckEvent& event) override { health_checks.push_back(event); }
  TimePoint SendDeadline(RequestId, AttemptNumber, ServerId) override {
    ++send_deadline_calls;
    return send_deadline_calls > 1 && extended_send_deadline ? *extended_send_deadline : send_deadline;
  }
  void Send(int limit_ms, Duration write_timeout = Duration::max()) {
    pool.StartAttempt(RequestId(++last_request_id), 0, kServer, statement, {limit_ms * kMs, write_timeout});
  }
  // Completes one attempt, after which its connection is idle.
  void OpenConnection() {
    Send(1000);
    RunLoopUntil([&] { return attempt_results.size() == 1 && pool.idle() == 1; }, loop);
    REQUIRE(attempt_results.front().outcome == Outcome::kOk);
  }
  static constexpr ServerId kServer{1};
  net::Loop loop;
  net::DescriptorBudget budget{200};
  limits::MemoryBudget memory;
  upstream::ConnectionPool pool;
  DataServer server;
  std::shared_ptr<const proxy::Statement> statement = std::make_shared<RemainingTimeStatement>();
  std::vector<proxy::AttemptResult> attempt_results;
  std::vector<HealthCheckEvent> health_checks;
  TimePoint send_deadline = TimePoint::max();       // of all attempts
  std::optional<TimePoint> extended_send_deadline;  // if set: from the second call on
  int send_deadline_calls = 0;
  std::uint32_t last_request_id = 0;
};

}  // namespace lynxgrade
