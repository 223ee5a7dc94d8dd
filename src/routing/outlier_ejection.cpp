#include "routing/outlier_ejection.h"

#include <algorithm>

namespace lynxgrade {
namespace {

constexpr double kFailureRateGain = 0.15;
constexpr double kEjectAboveFailureRate = 0.45;
// Failure rate with which a server returns from an ejection: two more consecutive failures eject it again.
constexpr double kFailureRateAfterEjection = 0.3;
// Duration of the first ejection, in ticks, after failures and after lost connections. It doubles with each
// consecutive ejection.
constexpr int kFailureEjectionTicks = 10;
constexpr int kUnreachableEjectionTicks = 2;
constexpr int kMaxEjectionDoublings = 4;
constexpr int kMaxRefusedConnectionDoublings = 6;
constexpr int kMaxOverloadEjectionTicks = 4;
// How long idle connections are closed after the server has refused one.
constexpr int kConnectionScarcityTicks = 100;

bool SaysNothingAboutServer(Outcome outcome) {
  switch (outcome) {
    case Outcome::kMisrouted:
    case Outcome::kCancelled:
    case Outcome::kNotRun:
    case Outcome::kSendExpired:
    case Outcome::kSentLate:
      return true;
    case Outcome::kOk:
    case Outcome::kError:
    case Outcome::kOverloaded:
    case Outcome::kTimeout:
    case Outcome::kUnreachable:
    case Outcome::kConnectionLost:
      break;
  }
  return false;
}

}  // namespace

void OutlierEjection::RecordOutcome(Server& server, Outcome outcome, Duration elapsed) {
  EjectionState& ejection = server.ejection;
  if (outcome == Outcome::kOk) return RecordSuccess(ejection);
  if (SaysNothingAboutServer(outcome)) return;
  ++ejection.consecutive_failures;
  const bool lost = outcome == Outcome::kUnreachable || outcome == Outcome::kConnectionLost;
  const bool unanswered = lost || outcome == Outcome::kTimeout;
  ejection.consecutive_losses = unanswered ? ejection.consecutive_losses + 1 : 0;
  if (server.IsPrimary() && unanswered) servers_.GroupOf(server.group).searching_primary = true;
  if (outcome == Outcome::kOverloaded && context_.now() >= ejection.ejected_until) {
    // Its queue is full or it is draining: further requests would be rejected too, and add to its load.
    const int ticks = std::min(ejection.consecutive_failures, kMaxOverloadEjectionTicks);
    ejection.ejected_until = context_.now() + context_.Jitter(kTickInterval * ticks);
  }
  if (lost) HandleLostAttempt(server, outcome, elapsed);
  ejection.failure_rate += kFailureRateGain * (1 - ejection.failure_rate);
  if (ejection.failure_rate > kEjectAboveFailureRate && !server.IsPrimary()) {
    Eject(server, kFailureEjectionTicks);
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
  // A process whose connections broke and that is unreachable may be restarting, long before the endpoint
  // list reports it.
  if (ejection.consecutive_failures > 1 && ejection.down) slow_start_.BeginSlowStart(server, context_.now());
  if (!ejection.down && elapsed < context_.settings().connect_timeout / 2) {
    BackOffFromRefusedConnection(server);
  } else {
    Eject(server, kUnreachableEjectionTicks);
  }
}

// An immediate refusal means that the server has no free connection slots or that its process has ended; only
// a health check can distinguish these. The backoff doubles with each consecutive refusal. Idle connections
// of all instances occupy the slots, so those to this server are closed for a while.
void OutlierEjection::BackOffFromRefusedConnection(Server& server) {
  health_checks_.StartFromBudget(server);
  EjectionState& ejection = server.ejection;
  const int doublings = std::min(ejection.consecutive_failures - 1, kMaxRefusedConnectionDoublings);
  ejection.ejected_until =
      std::max(ejection.ejected_until, context_.now() + context_.Jitter(kTickInterval * (1 << doublings)));
  ejection.connections_scarce_until = context_.now() + kTickInterval * kConnectionScarcityTicks;
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
