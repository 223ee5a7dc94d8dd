// Interfaces between the proxy and its two sides: clients that send requests, and the upstream that executes
// them. Neither side depends on the other, and the proxy depends on no protocol.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "routing/balancer.h"

namespace lynxgrade::proxy {

// A statement for a data server: created by the frontend, read only by the upstream.
class Work {
 public:
  Work() = default;
  virtual ~Work() = default;
  Work(const Work&) = delete;
  Work& operator=(const Work&) = delete;
  // The statement's text for an attempt with `left` until its deadline.
  virtual std::string TextFor(Duration left) const = 0;
};

// A data server's response, forwarded unchanged.
struct Answer {
  std::string description;
  std::string row;
  std::string tag;
};

// Receives the result of a request: exactly one call, or none if the request was withdrawn before.
class Client {
 public:
  virtual void Served(const Answer& answer) = 0;
  // The request was rejected without side effects; `come_back` is its Retry-After (zero: none).
  virtual void Refused(Duration come_back) = 0;
  virtual void Failed() = 0;
  // The statement is invalid on every data server.
  virtual void Unusable() = 0;

 protected:
  ~Client() = default;
};

struct Ask {
  RequestEvent event;  // the proxy sets its id
  std::shared_ptr<const Work> work;
};

// The result of one attempt. With kOk, `answer` holds the complete response.
struct AttemptEnd {
  RequestId request{};
  AttemptNumber attempt = 0;
  ServerId server{};
  Outcome outcome = Outcome::kError;
  Duration elapsed{0};
  ResponseMetadata metadata{};
  std::optional<LoadReport> report{};
  std::optional<Answer> answer{};
  bool unusable = false;  // with kNotRun: the server rejected the statement, and every other would
};

// Receives the results of attempts and health checks.
class BackendEvents {
 public:
  virtual void OnAttemptEnd(AttemptEnd end) = 0;
  virtual void OnProbeEnd(const HealthCheckEvent& event) = 0;

 protected:
  ~BackendEvents() = default;
};

struct SendTimes {
  Duration limit{0};                         // timeout of the attempt
  Duration write_timeout = Duration::max();  // until its last byte must have been sent
};

// The upstream port. Each Send and each Probe is followed by exactly one event, even if nothing could be
// sent.
class Backends {
 public:
  virtual void Send(RequestId request, AttemptNumber attempt, ServerId server,
                    std::shared_ptr<const Work> work, SendTimes times) = 0;
  virtual void Cancel(RequestId request, AttemptNumber attempt) = 0;
  // The request is finished: its attempts that have not been written yet never will be, and end as kNotRun.
  virtual void Drop(RequestId request) = 0;
  virtual void Probe(ServerId server) = 0;
  virtual void CloseIdle(ServerId server) = 0;

 protected:
  ~Backends() = default;
};

}  // namespace lynxgrade::proxy
