#include "routing/outlier_ejection.h"

#include <algorithm>

namespace lynxgrade {
namespace {

constexpr double kFailureRateGain = 0.15;
constexpr double kEjectAboveFailureRate = 0.45;
// What an ejected server returns with: one more failure ejects it again.
constexpr double kFailureRateAfterEjection = 0.3;
// First ejections, in ticks; each further one in a row is twice as long.
constexpr int kFailingTicks = 10;
constexpr int kUnreachableTicks = 2;
constexpr int kMaxEjectionDoublings = 4;
constexpr int kMaxRefusedDoublings = 6;
constexpr int kMaxOverloadedTicks = 4;
// How long connections are given back after one could not be had.
constexpr int kScarceConnectionTicks = 100;

}  // namespace

void OutlierEjection::RecordOutcome(Server& server, Outcome outcome, Duration elapsed) {
  EjectionState& ejection = server.ejection;
  if (outcome == Outcome::kOk) return RecordSuccess(ejection);
  if (outcome == Outcome::kMisrouted || outcome == Outcome::kCancelled || outcome == Outcome::kNotRun) return;
  ++ejection.consecutive_failures;
  const bool lost = outcome == Outcome::kUnreachable || outcome == Outcome::kConnectionLost;
  const bool unanswered = lost || outcome == Outcome::kTimeout;
  ejection.consecutive_losses = unanswered ? ejection.consecutive_losses + 1 : 0;
  if (server.IsPrimary() && unanswered) servers_.GroupOf(server.group).searching_primary = true;
  if (outcome == Outcome::kOverloaded && context_.now() >= ejection.ejected_until) {
    // Its queue is full or it drains: more work would be rejected too, and counts as load.
    const int ticks = std::min(ejection.consecutive_failures, kMaxOverloadedTicks);
    ejection.ejected_until = context_.now() + context_.Jitter(kTickInterval * ticks);
  }
  if (lost) HandleLostAttempt(server, outcome, elapsed);
  ejection.failure_rate += kFailureRateGain * (1 - ejection.failure_rate);
  if (ejection.failure_rate > kEjectAboveFailureRate && !server.IsPrimary()) {
    Eject(server, kFailingTicks);
    ejection.failure_rate = kFailureRateAfterEjection;
  }
}

void OutlierEjection::RecordSuccess(EjectionState& ejection) {
  ejection.failure_rate -= kFailureRateGain * ejection.failure_rate;
  ejection.consecutive_failures = 0;
  ejection.consecutive_losses = 0;
  ejection.down = false;
  if (ejection.failure_rate < kFailureRateAfterEjection / 2) ejection.ejections = 0;
}

void OutlierEjection::HandleLostAttempt(Server& server, Outcome outcome, Duration elapsed) {
  EjectionState& ejection = server.ejection;
  ejection.down = ejection.down || outcome == Outcome::kConnectionLost;
  // A process that broke off and cannot be reached may be restarting, long before the endpoint list says so.
  if (ejection.consecutive_failures > 1 && ejection.down) slow_start_.BeginSlowStart(server, context_.now());
  if (!ejection.down && elapsed < context_.settings().connect_timeout / 2) {
    BackOffFromRefusedConnection(server);
  } else {
    Eject(server, kUnreachableTicks);
  }
}

// Refused at once: the server is short of connections, or its process has ended; only a health check can
// tell. The backoff doubles with each refusal in a row. What is short is kept idle by all instances, so idle
// connections to this server are given back for a while.
void OutlierEjection::BackOffFromRefusedConnection(Server& server) {
  health_checks_.StartFromBudget(server);
  EjectionState& ejection = server.ejection;
  const int doublings = std::min(ejection.consecutive_failures - 1, kMaxRefusedDoublings);
  ejection.ejected_until =
      std::max(ejection.ejected_until, context_.now() + context_.Jitter(kTickInterval * (1 << doublings)));
  ejection.connections_scarce_until = context_.now() + kTickInterval * kScarceConnectionTicks;
}

void OutlierEjection::Eject(Server& server, int ticks) {
  const int doublings = std::min(server.ejection.ejections, kMaxEjectionDoublings);
  const Duration duration = kTickInterval * (ticks * (1 << doublings));
  server.ejection.ejected_until = context_.now() + context_.Jitter(duration);
  ++server.ejection.ejections;
}

void OutlierEjection::CloseIdleIfScarce(const Server& server) {
  if (context_.now() < server.ejection.connections_scarce_until && server.load.in_flight.empty()) {
    context_.Emit(CloseIdleConnections{server.id});
  }
}

}  // namespace lynxgrade
