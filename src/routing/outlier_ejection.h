// Ejects failing servers for a time that doubles with each consecutive ejection.
#pragma once

#include "routing/health_checks.h"
#include "routing/slow_start_admission.h"

namespace lynxgrade {

class OutlierEjection {
 public:
  OutlierEjection(DecisionContext& context, ServerTable& servers, HealthChecks& health_checks,
                  SlowStartAdmission& slow_start)
      : context_(context), servers_(servers), health_checks_(health_checks), slow_start_(slow_start) {}

  // Records the outcome of an attempt that ended after `elapsed`.
  void RecordOutcome(Server& server, Outcome outcome, Duration elapsed);
  // Closes idle connections to the server while it has no free connection slots and nothing is in flight to
  // it.
  void CloseIdleIfScarce(const Server& server);

 private:
  void RecordSuccess(EjectionState& ejection);
  void HandleLostAttempt(Server& server, Outcome outcome, Duration elapsed);
  void BackOffFromRefusedConnection(Server& server);
  void Eject(Server& server, int ticks);

  DecisionContext& context_;
  ServerTable& servers_;
  HealthChecks& health_checks_;
  SlowStartAdmission& slow_start_;
};

}  // namespace lynxgrade
