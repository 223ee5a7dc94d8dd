// Actions that the decision module requests from its host, the program that embeds it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "routing/types.h"

namespace lynxgrade {

// Sends the request to the server. Attempts of a request are numbered from 0 in the order of these actions.
struct StartAttempt {
  RequestId id{};
  ServerId server{};
  Duration timeout{0};
  // For a retry of a request that may have run: the last byte must be sent within this time, else the attempt
  // is not made.
  Duration write_timeout = Duration::max();
};
// Final answer: the request was rejected, and the client may safely retry it.
struct Reject {
  RequestId id{};
  Duration retry_after{0};  // 0: no Retry-After
};
// Final answer: the request may have run.
struct Fail {
  RequestId id{};
};
struct Cancel {
  RequestId id{};
  AttemptNumber attempt = 0;
};
struct SetTimer {
  TimerId id{};
  Duration delay{0};
  // The request that it belongs to, if any: the timer is of no use once that has ended.
  std::optional<RequestId> request{};
};
struct StartHealthCheck {
  ServerId server{};
};
struct WatchEndpointList {
  bool enabled = true;
};
struct FetchEndpointList {};
struct SendToPeers {
  std::optional<std::uint32_t> peer{};  // absent: all peers
  std::string message;
};
struct CloseIdleConnections {
  ServerId server{};
};
struct Log {
  std::string text;
};

using Action = std::variant<StartAttempt, Reject, Fail, Cancel, SetTimer, StartHealthCheck, WatchEndpointList,
                            FetchEndpointList, SendToPeers, CloseIdleConnections, Log>;
using Actions = std::vector<Action>;

}  // namespace lynxgrade
