// Decides whether a request may be sent again: idempotency, attempt limit, hedged requests and retry budget.
#pragma once

#include "routing/decision_context.h"
#include "routing/server.h"

namespace lynxgrade {

class RetryPolicy {
 public:
  // Maximum number of retries that the budget holds.
  static constexpr double kMaxBudget = 20;

  explicit RetryPolicy(const DecisionContext& context) : context_(context) {}

  // Adds a fraction of a retry to the budget for an arriving request.
  void RecordRequest();
  // Takes one retry from the budget; false if none is left.
  bool ConsumeBudget();

  // How long another attempt may still be sent, considering that earlier ones may have run: Duration::max()
  // if none may have run or the request is idempotent, zero or less if it must not be repeated.
  Duration RetryWindow(const Request& request) const;
  bool MayRetry(const Request& request) const { return RetryWindow(request) > Duration{0}; }
  // Whether another attempt may be sent to a server in the zone now, in parallel to or after the earlier
  // ones.
  bool MayAttempt(const Request& request, ZoneIndex zone) const;
  bool HasAttemptsLeft(const Request& request) const;
  // Whether the request may be rejected, which tells the client that a retry is safe.
  bool MayReject(const Request& request) const;

 private:
  const DecisionContext& context_;
  double budget_ = kMaxBudget;
};

}  // namespace lynxgrade
