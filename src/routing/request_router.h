// Routes each request until it has its final answer: sends it to a server, lets it wait, or rejects it.
#pragma once

#include <map>
#include <set>

#include "routing/candidate_selection.h"
#include "routing/eligibility.h"
#include "routing/health_checks.h"
#include "routing/load_shedding.h"
#include "routing/primary_overflow.h"
#include "routing/primary_selection.h"

namespace lynxgrade {

// The parts of the decision module that the router uses. They must outlive it.
struct RoutingParts {
  DecisionContext& context;
  ServerTable& servers;
  ReplicationState& replication;
  LatencyModel& latencies;
  SlowStartAdmission& slow_start;
  RetryPolicy& retry_policy;
  HealthChecks& health_checks;
  LoadShedding& load_shedding;
  Eligibility& eligibility;
  CandidateSelection& candidate_selection;
  PrimarySelection& primary_selection;
  PrimaryOverflow& primary_overflow;
};

// Owns the requests that have no final answer yet.
class RequestRouter {
 public:
  explicit RequestRouter(const RoutingParts& parts) : parts_(parts), context_(parts.context) {}

  void HandleRequest(const RequestEvent& event);
  // Handles the end of an attempt. The server's state must have been updated before.
  void HandleAttemptEnd(Server& server, const AttemptEndedEvent& event);
  void HandleResponseStarted(const ResponseStartedEvent& event);
  void HandleClientDisconnected(const ClientDisconnectedEvent& event);
  void HandleDeadline(RequestId id);
  // See Balancer::SendDeadline.
  TimePoint SendDeadline(RequestId id, AttemptNumber attempt, Server& server);

  // Routes the waiting requests that are due or have become routable, in order of their shedding priority.
  void RetryWaiting();
  // Groups with requests that wait for a primary while the primary is being searched for.
  std::set<GroupId> GroupsSearchingPrimary() const;

 private:
  // The selected server and the candidates considered. Without a server the request has to wait.
  struct Route {
    Server* server = nullptr;
    bool overflow = false;
    std::vector<Server*> candidates;
  };

  Request* Find(RequestId id);
  void RouteRequest(Request& request);
  Route ChooseRoute(const Request& request);
  // Returns the server to send to after load shedding; null if the request must be rejected.
  Server* ApplyLoadShedding(const Request& request, const Route& route);
  void WaitForServer(Request& request);
  void Wait(Request& request, Duration pause);
  void SendTo(Request& request, const Route& route);
  bool MayRouteNow(const Request& request) const;
  bool MayReplicaCatchUpInTime(const Request& request) const;

  // After an attempt without a response: retries, waits or finishes.
  void ContinueAfterFailure(Request& request, Server& server, Outcome outcome);
  void ContinueAfterMisrouting(Request& request, Server& server);

  // Sends the final answer: a rejection if that is allowed, else a failure.
  void Finish(Request& request);
  void CancelPendingAttempts(const Request& request);
  void Forget(RequestId id);

  RoutingParts parts_;
  DecisionContext& context_;
  std::map<RequestId, Request> requests_;
  std::set<RequestId> waiting_;
};

}  // namespace lynxgrade
