// Interfaces between the proxy and its two sides: the clients that send requests, and the upstream that
// executes them on data servers. Neither side depends on the other, and the proxy depends on no protocol.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "routing/balancer.h"

namespace lynxgrade::proxy {

// The statement of a request. Created by the frontend and read by the upstream; the proxy only passes it on.
class Statement {
 public:
  Statement() = default;
  virtual ~Statement() = default;
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;
  // Returns the text to send in an attempt that has `remaining` time until its deadline.
  virtual std::string TextWithBudget(Duration remaining) const = 0;
};

// The complete response of a data server, as the bodies of its messages. Forwarded unchanged.
struct Response {
  std::string row_description;
  std::string data_row;
  std::string command_tag;
};

// Receives the result of a request: exactly one call, or none if the request was cancelled before.
class Client {
 public:
  virtual void OnResponse(const Response& response) = 0;
  // The request was rejected and has had no effect on any data server. Zero: no Retry-After.
  virtual void OnRejected(Duration retry_after) = 0;
  // No data server has responded; the statement may have been executed.
  virtual void OnFailed() = 0;
  // A data server rejected the statement itself, as every other server would.
  virtual void OnInvalidStatement() = 0;
  // Whether the client is known to have been connected so recently that an attempt may be sent now. If not,
  // the client is probed, and a later call may succeed. Calls back into no other object.
  virtual bool ConfirmPresence() { return true; }

 protected:
  ~Client() = default;
};

struct Request {
  RequestEvent event;  // the proxy sets its id
  std::shared_ptr<const Statement> statement;
};

// The result of one attempt. `response` is set exactly if the outcome is kOk.
struct AttemptResult {
  RequestId request{};
  AttemptNumber attempt = 0;
  ServerId server{};
  Outcome outcome = Outcome::kError;
  Duration elapsed{0};
  ResponseMetadata metadata{};
  std::optional<LoadReport> report{};
  std::optional<Response> response{};
  bool statement_invalid = false;  // the server rejected the statement itself; the outcome is kNotRun
};

// Receives the results of attempts and health checks.
class UpstreamEvents {
 public:
  virtual void OnAttemptFinished(AttemptResult result) = 0;
  virtual void OnHealthCheckFinished(const HealthCheckEvent& event) = 0;
  // Called right before an attempt is sent. If it returns false, the client may have left: the attempt is
  // postponed for a few milliseconds.
  virtual bool MaySendAttempt(RequestId) { return true; }
  // The time by which the last byte of the attempt's statement must have been sent, by what is known now. To
  // be asked again right before the statement is written. An attempt that misses it ends as kSendExpired, or
  // as kSentLate if the server may have received all of it.
  virtual TimePoint SendDeadline(RequestId, AttemptNumber, ServerId) { return TimePoint::max(); }

 protected:
  ~UpstreamEvents() = default;
};

// Time limits of an attempt, from its start.
struct AttemptTimeouts {
  Duration timeout{0};                       // until the response is complete
  Duration write_timeout = Duration::max();  // until the last byte of the statement is written
};

// Runs attempts and health checks on data servers. Each attempt is followed by exactly one event, even if
// nothing could be sent, and so is each health check; one that is started while another of the same server is
// in flight shares the event of that one. Calls and events happen on the thread of the event loop.
class Upstream {
 public:
  virtual void StartAttempt(RequestId request, AttemptNumber attempt, ServerId server,
                            std::shared_ptr<const Statement> statement, AttemptTimeouts timeouts) = 0;
  virtual void CancelAttempt(RequestId request, AttemptNumber attempt) = 0;
  // Cancels the attempts of a finished request that still wait for a connection; they end as kNotRun.
  virtual void CancelUnsentAttempts(RequestId request) = 0;
  virtual void StartHealthCheck(ServerId server) = 0;
  virtual void CloseIdleConnections(ServerId server) = 0;

 protected:
  ~Upstream() = default;
};

}  // namespace lynxgrade::proxy
