#include "routing/request.h"

#include <algorithm>

namespace lynxgrade {

bool Request::HasPendingAttempt() const {
  return std::ranges::any_of(attempts, [](const Attempt& attempt) { return attempt.pending; });
}

bool Request::WasSentTo(ServerId server) const {
  return std::ranges::any_of(attempts, [=](const Attempt& attempt) { return attempt.server == server; });
}

bool Request::MayHaveRunOutside(ZoneIndex zone) const {
  return std::ranges::any_of(
      attempts, [=](const Attempt& attempt) { return attempt.may_have_run && attempt.zone != zone; });
}

bool Request::MayHaveRun() const {
  return std::ranges::any_of(attempts, [](const Attempt& attempt) { return attempt.may_have_run; });
}

bool Request::ReachedAnyServer() const {
  return std::ranges::any_of(attempts, [](const Attempt& attempt) { return attempt.reached_server; });
}

std::size_t Request::CountedAttempts() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(attempts, [](const Attempt& attempt) { return !attempt.expired; }));
}

bool NeedsPrimary(const RequestClass& request_class) {
  return request_class.kind == AccessKind::kWrite || request_class.kind == AccessKind::kStrongRead;
}

}  // namespace lynxgrade
