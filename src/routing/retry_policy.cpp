#include "routing/retry_policy.h"

#include <algorithm>

namespace lynxgrade {
namespace {

constexpr double kRetriesPerRequest = 0.2;  // added to the budget

}  // namespace

void RetryPolicy::RecordRequest() { budget_ = std::min(kMaxBudget, budget_ + kRetriesPerRequest); }

bool RetryPolicy::ConsumeBudget() {
  if (budget_ < 1) return false;
  budget_ -= 1;
  return true;
}

Duration RetryPolicy::RetryWindow(const Request& request) const {
  const RequestClass& request_class = context_.ClassOf(request);
  Duration window = Duration::max();
  if (request_class.idempotency == Idempotency::kIdempotent) return window;
  for (const Attempt& attempt : request.attempts) {
    if (!attempt.may_have_run) continue;
    if (request_class.idempotency == Idempotency::kNotIdempotent) return Duration{0};
    const TimePoint key_expires = attempt.sent + request_class.idempotency_window;
    window = std::min(window, key_expires - context_.settings().tick - context_.now());
  }
  return window;
}

bool RetryPolicy::HasAttemptsLeft(const Request& request) const {
  return request.CountedAttempts() < context_.settings().max_attempts;
}

bool RetryPolicy::MayAttempt(const Request& request, ZoneIndex zone) const {
  if (!HasAttemptsLeft(request) || request.deadline <= context_.now()) return false;
  const RequestClass& request_class = context_.ClassOf(request);
  const bool may_hedge =
      context_.settings().may_hedge && request_class.idempotency == Idempotency::kIdempotent;
  if (request.HasPendingAttempt() && !may_hedge) return false;
  if (!MayRetry(request)) return false;
  return !request_class.deduplicated_in_zone || !request.MayHaveRunOutside(zone);
}

bool RetryPolicy::MayReject(const Request& request) const {
  const RequestClass& request_class = context_.ClassOf(request);
  if (request_class.idempotency == Idempotency::kIdempotent) return true;
  if (request_class.idempotency == Idempotency::kIdempotencyKey && request_class.deduplicated_everywhere) {
    return true;
  }
  return !request.MayHaveRun();
}

}  // namespace lynxgrade
