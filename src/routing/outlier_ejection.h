// Ejects servers that fail, for a time that doubles with each ejection in a row.
#pragma once

#include "routing/health_checks.h"
#include "routing/slow_start_admission.h"

namespace lynxgrade {

class OutlierEjection {
 public:
  OutlierEjection(DecisionContext& context, ServerTable& servers, HealthChecks& health_checks,
                  SlowStartAdmission& slow_start)
      : context_(context), servers_(servers), health_checks_(health_checks), slow_start_(slow_start) {}

  // An attempt at the server ended after `elapsed`.
  void RecordOutcome(Server& server, Outcome outcome, Duration elapsed);
  // Gives idle connections back while the server is short of them and none is in use.
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
