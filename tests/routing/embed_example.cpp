// The README's example: routes one request through an embedded Balancer.
#include <cstdio>
#include <variant>

#include "routing/balancer.h"

namespace lynxgrade {
namespace {

// Returns whether the request was sent to a server.
bool SendOneRequest() {
  Settings settings;
  settings.classes.push_back({.kind = AccessKind::kEventualRead,
                              .latency_objective = Duration(200000),
                              .deadline = Duration(1000000)});
  settings.max_attempts = 3;
  Balancer balancer(settings, 42);

  Actions actions;
  const TimePoint now{Duration(1000000)};
  balancer.Handle(
      now, EndpointListEvent{EndpointListKind::kPersisted, {{.server = ServerId(7), .group = GroupId(1)}}},
      actions);
  balancer.Handle(now, RequestEvent{.id = RequestId(1), .group = GroupId(1), .time_left = Duration(1000000)},
                  actions);
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<StartAttempt>(&action)) {
      std::printf("send request %u to server %u\n", static_cast<unsigned>(send->id),
                  static_cast<unsigned>(send->server));
      return true;
    }
  }
  return false;
}

}  // namespace
}  // namespace lynxgrade

int main() { return lynxgrade::SendOneRequest() ? 0 : 1; }
