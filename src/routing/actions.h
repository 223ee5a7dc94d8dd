// The actions that the decision module asks its host for.
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
  // Retries of what may have run: the last byte goes out within this, or not at all.
  Duration write_timeout = Duration::max();
};
// The final answer that promises that a retry does no harm.
struct Reject {
  RequestId id{};
  Duration retry_after{0};  // 0: no advice
};
// The final answer where the request may have run.
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
};
struct StartHealthCheck {
  ServerId server{};
};
struct WatchEndpointList {
  bool enabled = true;
};
struct FetchEndpointList {};
struct SendToPeers {
  std::optional<std::uint32_t> peer{};  // absent: all
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
