// What stands on either side of the proxy: fronts that ask, and backends that run. Neither side knows the
// other, and the proxy between them reads no protocol.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "routing/balancer.h"

namespace lynxgrade::proxy {

// What a data server is asked to run. A front makes it; only the backends read it.
class Work {
 public:
  virtual ~Work() = default;
  // The text for an attempt that may take so long.
  virtual std::string TextFor(Duration left) const = 0;
};

// A data server's answer, handed on as it came.
struct Answer {
  std::string description;
  std::string row;
  std::string tag;
};

// The one who asked; called exactly once for a request, unless it withdraws it before.
class Client {
 public:
  virtual void Served(const Answer& answer) = 0;
  // Trying again does no harm, best after so long (zero: no advice).
  virtual void Refused(Duration come_back) = 0;
  virtual void Failed() = 0;
  // What was asked cannot be used, wherever it is sent.
  virtual void Unusable() = 0;

 protected:
  ~Client() = default;
};

struct Ask {
  RequestEvent event;  // its id is given by the proxy
  std::shared_ptr<const Work> work;
};

// How one attempt ended. A whole answer comes with kOk.
struct AttemptEnd {
  RequestId request{};
  AttemptNumber attempt = 0;
  ServerId server{};
  Outcome outcome = Outcome::kError;
  Duration elapsed{0};
  ResponseMetadata metadata{};
  std::optional<LoadReport> report{};
  std::optional<Answer> answer{};
  bool unusable = false;  // with kVoid: the data server has not run it, and no other would
};

class BackendEvents {
 public:
  virtual void OnAttemptEnd(AttemptEnd end) = 0;
  virtual void OnProbeEnd(const HealthCheckEvent& event) = 0;

 protected:
  ~BackendEvents() = default;
};

// How long an attempt is waited for, and how long its last byte may take to go out.
struct SendTimes {
  Duration limit{0};
  Duration write_within = Duration::max();
};

// Every Send and every Probe brings one end, also when nothing could be sent.
class Backends {
 public:
  virtual void Send(RequestId request, AttemptNumber attempt, ServerId server,
                    std::shared_ptr<const Work> work, SendTimes times) = 0;
  virtual void Cancel(RequestId request, AttemptNumber attempt) = 0;
  // The request is over: of its attempts, those that have not begun to be written never will be. They end as
  // void.
  virtual void Drop(RequestId request) = 0;
  virtual void Probe(ServerId server) = 0;
  virtual void CloseIdle(ServerId server) = 0;

 protected:
  ~Backends() = default;
};

}  // namespace lynxgrade::proxy
