// Whether a request may be sent once more: idempotency, attempt limits, hedged requests and the retry budget.
#pragma once

#include "routing/decision_context.h"
#include "routing/server.h"

namespace lynxgrade {

class RetryPolicy {
 public:
  // The most retries that are saved up.
  static constexpr double kMaxBudget = 20;

  explicit RetryPolicy(const DecisionContext& context) : context_(context) {}

  // A request arrived: it earns the budget a fraction of a retry.
  void RecordRequest();
  // Takes one retry from the budget; false if none is left.
  bool ConsumeBudget();

  // For how long another attempt may still be written, by what the earlier ones may have done: forever if
  // none may have run or the request is idempotent, zero if it must not be repeated.
  Duration RetryWindow(const Request& request) const;
  bool MayRetry(const Request& request) const { return RetryWindow(request) > Duration{0}; }
  // Whether one more attempt may go to a server in the zone now, beside or after the earlier ones.
  bool MayAttempt(const Request& request, ZoneIndex zone) const;
  bool HasAttemptsLeft(const Request& request) const;
  // Whether the request may be rejected, which promises its client that a retry does no harm.
  bool MayReject(const Request& request) const;

 private:
  const DecisionContext& context_;
  double budget_ = kMaxBudget;
};

}  // namespace lynxgrade
