#include "routing/health_checks.h"

#include <algorithm>
#include <vector>

namespace lynxgrade {
namespace {

// Routine checks may cost at most this fraction of a request's value.
constexpr double kBudgetFraction = 0.004;
constexpr double kMaxChecksPerRequest = 1;  // applies where checks have no price
constexpr std::size_t kMaxStaleChecksPerTick = 3;
// Age in ticks at which a position is stale: if responses do not report positions, and if they do.
constexpr int kStalePositionTicks = 3;
constexpr int kStalePositionTicksWithReports = 20;

}  // namespace

void HealthChecks::RecordRequest() {
  const double affordable = kBudgetFraction / context_.settings().health_check_price;
  budget_ += std::min({kMaxChecksPerRequest, affordable, kMaxBudget - budget_});
}

void HealthChecks::Start(Server& server) {
  HealthCheckState& check = server.health_check;
  if (!context_.settings().may_health_check || server.draining || check.in_flight) return;
  if (context_.now() - check.started < kTickInterval) return;
  check.in_flight = true;
  check.started = context_.now();
  context_.Emit(StartHealthCheck{server.id});
}

void HealthChecks::StartFromBudget(Server& server) {
  if (budget_ < 1) return;
  budget_ -= 1;
  Start(server);
}

void HealthChecks::CheckReplicasFor(const Request& request) {
  const std::optional<LogPosition> required = replication_.RequiredPosition(request);
  if (!required) return;
  for (ServerId id : servers_.GroupOf(request.event.group).servers) {
    Server& server = servers_.At(id);
    if (!server.IsUsable(context_.now()) || server.IsPrimary()) continue;
    if (server.position.MayHaveReached(context_.now_since_epoch(), required->time_since_epoch()))
      Start(server);
  }
}

void HealthChecks::SearchPrimaries(const std::set<GroupId>& groups) {
  for (GroupId id : groups) {
    const std::vector<ServerId>& servers = servers_.GroupOf(id).servers;
    if (!servers.empty()) StartFromBudget(servers_.At(servers[context_.DrawIndex(servers.size())]));
  }
}

// Limited per tick, as all instances may have started together and would check the same servers at once.
void HealthChecks::CheckStaleServers() {
  if (context_.settings().load_reporting == LoadReporting::kNone || budget_ < 1) return;
  const int stale_ticks =
      context_.settings().responses_report_position ? kStalePositionTicksWithReports : kStalePositionTicks;
  std::vector<Server*> stale;
  servers_.ForEach([&](Server& server) {
    if (server.draining || server.health_check.in_flight) return;
    const Duration refreshed =
        std::max(server.position.last_reported_at(), server.health_check.started.time_since_epoch());
    if (context_.now_since_epoch() - refreshed > kTickInterval * stale_ticks) stale.push_back(&server);
  });
  std::shuffle(stale.begin(), stale.end(), context_.random_engine());
  std::ranges::stable_sort(stale, {},
                           [](const Server* server) { return server->position.last_reported_at(); });
  for (std::size_t i = 0; i < std::min(kMaxStaleChecksPerTick, stale.size()); ++i) StartFromBudget(*stale[i]);
}

void HealthChecks::HandleResult(Server& server, const HealthCheckEvent& event) {
  server.health_check.in_flight = false;
  server.ejection.down = server.ejection.consecutive_failures > 0 && event.outcome != Outcome::kOk &&
                         event.outcome != Outcome::kError;
  if (event.report) replication_.RecordReport(server, *event.report, event.received);
}

}  // namespace lynxgrade
