// Interfaces between the proxy and its two sides: clients that send requests, and the upstream that executes
// them. Neither side depends on the other, and the proxy depends on no protocol.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "routing/balancer.h"

namespace lynxgrade::proxy {

// A statement for a data server: created by the frontend, read only by the upstream.
class Statement {
 public:
  Statement() = default;
  virtual ~Statement() = default;
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;
  // The statement's text for an attempt with `left` until its deadline.
  virtual std::string TextWithBudget(Duration left) const = 0;
};

// A data server's response, forwarded unchanged.
struct Response {
  std::string row_description;
  std::string data_row;
  std::string command_tag;
};

// Receives the result of a request: exactly one call, or none if the request was withdrawn before.
class Client {
 public:
  virtual void OnResponse(const Response& response) = 0;
  // The request was rejected without side effects; `retry_after` is its Retry-After (zero: none).
  virtual void OnRejected(Duration retry_after) = 0;
  virtual void OnFailed() = 0;
  // The statement is invalid on every data server.
  virtual void OnInvalidStatement() = 0;

 protected:
  ~Client() = default;
};

struct Request {
  RequestEvent event;  // the proxy sets its id
  std::shared_ptr<const Statement> statement;
};

// The result of one attempt. With kOk, `answer` holds the complete response.
struct AttemptResult {
  RequestId request{};
  AttemptNumber attempt = 0;
  ServerId server{};
  Outcome outcome = Outcome::kError;
  Duration elapsed{0};
  ResponseMetadata metadata{};
  std::optional<LoadReport> report{};
  std::optional<Response> response{};
  bool statement_invalid = false;  // with kNotRun: the server rejected the statement, and every other would
};

// Receives the results of attempts and health checks.
class UpstreamEvents {
 public:
  virtual void OnAttemptFinished(AttemptResult result) = 0;
  virtual void OnHealthCheckFinished(const HealthCheckEvent& event) = 0;

 protected:
  ~UpstreamEvents() = default;
};

struct AttemptTimeouts {
  Duration timeout{0};                       // timeout of the attempt
  Duration write_timeout = Duration::max();  // until its last byte must have been sent
};

// The upstream port. Each Send and each Probe is followed by exactly one event, even if nothing could be
// sent.
class Upstream {
 public:
  virtual void StartAttempt(RequestId request, AttemptNumber attempt, ServerId server,
                            std::shared_ptr<const Statement> statement, AttemptTimeouts timeouts) = 0;
  virtual void CancelAttempt(RequestId request, AttemptNumber attempt) = 0;
  // The request is finished: its attempts that have not been written yet never will be, and end as kNotRun.
  virtual void CancelUnsentAttempts(RequestId request) = 0;
  virtual void StartHealthCheck(ServerId server) = 0;
  virtual void CloseIdleConnections(ServerId server) = 0;

 protected:
  ~Upstream() = default;
};

}  // namespace lynxgrade::proxy
