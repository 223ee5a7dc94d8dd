#include "routing/primary_overflow.h"

namespace lynxgrade {

Server* PrimaryOverflow::PrimaryWithSpareCapacity(const Request& request) {
  Server* primary = replication_.PrimaryOf(request.event.group);
  if (primary == nullptr || !primary->IsUsable(context_.now())) return nullptr;
  if (!eligibility_.MaySend(request, *primary) || !HasSpareCapacity(*primary)) return nullptr;
  return primary->overflow_window.HasCapacity() ? primary : nullptr;
}

bool PrimaryOverflow::HasSpareCapacity(Server& primary) {
  const std::vector<RequestClass>& classes = context_.settings().classes;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    if (!NeedsPrimary(classes[i]) || latencies_.IsWellWithinObjective(static_cast<ClassIndex>(i), primary))
      continue;
    primary.overflow_window.Decrease(context_.now_since_epoch());
    return false;
  }
  return true;
}

void PrimaryOverflow::RecordSent(Server& primary) { primary.overflow_window.Acquire(); }

void PrimaryOverflow::RecordEnd(Server& primary, Outcome outcome) {
  const bool grows = outcome == Outcome::kOk && HasSpareCapacity(primary);
  primary.overflow_window.Release(grows ? limits::WindowGrowth::kIncrease : limits::WindowGrowth::kNone);
  context_.RequestRetryOfWaiting();
}

}  // namespace lynxgrade
