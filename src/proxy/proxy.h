// Connects the clients and the upstream to the routing decisions: keeps the table of pending requests, passes
// each event to the session consistency guard and then to the balancer, and executes the balancer's actions.
// Independent of any protocol.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

#include "consistency/session_consistency_guard.h"
#include "net/loop.h"
#include "proxy/ports.h"
#include "routing/balancer.h"

namespace lynxgrade::proxy {

// All calls are made on the thread of `loop`. `loop` and `upstream` are not owned and must outlive the proxy.
class Proxy final : public UpstreamEvents {
 public:
  Proxy(net::Loop& loop, Settings settings, std::uint64_t seed, Upstream& upstream,
        consistency::Options sessions = {});
  virtual ~Proxy() = default;
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  // Starts a request. `client` is called exactly once, possibly before this returns, unless CancelRequest is
  // called first; it must stay valid until then. `id` is set before `client` can be called.
  void StartRequest(Request request, Client& client, RequestId& id);
  // Cancels a request whose client has disconnected or has cancelled it; the client is not called. Returns
  // whether the request may have run.
  bool CancelRequest(RequestId request);
  // Ends a request at once, before the process exits: as rejected if no attempt was started, else as failed.
  void AbortRequest(RequestId request);
  // Applies a complete endpoint list or a change of it.
  void ApplyEndpointList(EndpointListEvent list);
  // The number of requests whose client has not been called yet.
  std::size_t requests_in_flight() const { return in_flight_; }
  consistency::SessionConsistencyGuard& consistency_guard() { return consistency_guard_; }
  const consistency::SessionConsistencyGuard& consistency_guard() const { return consistency_guard_; }
  // To be called after the consistency guard has received watermarks of other instances: rejects the reads
  // whose consistency can no longer be guaranteed, and dispatches the delayed reads that need not wait
  // longer.
  void HandleReplicatedWatermarks();

  // Callbacks into the replication between instances; each may be empty.
  struct ReplicationHooks {
    // Called when a data server has acknowledged a write, before its response is sent to the client.
    consistency::SessionConsistencyGuard::WriteCallback on_write;
    // Returns false if the response to the latest write of the session may be sent now. Otherwise returns
    // true and calls the function once it may be sent. If that has not happened by the deadline of the
    // request, the client receives a failure.
    std::function<bool(GroupId, consistency::SessionKey, std::function<void()>)> delay_response;
    // Requests the current watermarks of the other instances, for a read that was delayed.
    std::function<void()> poll_peers;
  };
  void SetReplicationHooks(ReplicationHooks hooks) { replication_hooks_ = std::move(hooks); }

  // Totals since the start of the process.
  struct Counts {
    std::uint64_t received = 0, served = 0, rejected = 0, failed = 0, cancelled = 0, attempts = 0,
                  health_checks = 0;
    std::uint64_t discarded_responses = 0;  // of replicas that were sent the read as the primary
  };
  const Counts& counts() const { return counts_; }

 private:
  // A request, until the balancer knows that it is finished.
  struct PendingRequest {
    Client* client = nullptr;  // null once it has been called
    std::shared_ptr<const Statement> statement;
    AttemptNumber attempts = 0;
    bool known_to_balancer = false;
    TimePoint deadline{};  // of the response, less response_margin_
    std::unique_ptr<net::Timer> deadline_timer;
  };

  void OnAttemptFinished(AttemptResult result) override;
  void OnHealthCheckFinished(const HealthCheckEvent& health_check) override;
  bool MaySendAttempt(RequestId request) override;
  TimePoint SendDeadline(RequestId request, AttemptNumber attempt, ServerId server) override {
    return balancer_.SendDeadline(request, attempt, server);
  }
  void HandleEvent(Event event);
  // Passes the event to the consistency guard, which may amend it, and rejects the reads whose consistency
  // can no longer be guaranteed after it.
  void PrepareEvent(Event& event);
  void RejectUnsatisfiableReads();
  // Passes the queued events to the balancer and executes its actions. A nested call returns at once.
  void HandleQueuedEvents();
  void DispatchRequest(RequestId id, Event event);
  // Dispatches the delayed reads for which all earlier writes are known, or whose maximum delay has passed.
  void ReleaseDelayedReads();
  void SendResponse(RequestId id, Client& client, Response response, TimePoint deadline);
  void SendHeldResponse(RequestId id);
  // Fails a write whose deadline has passed before its response might be sent.
  void FailHeldResponse(RequestId id);
  // Detaches the client of a request to make its final call; null if it is already detached.
  Client* TakeClient(RequestId request);
  bool IsFinished(RequestId request) const;

  void Execute(const StartAttempt& action);
  void Execute(const Reject& action);
  void Execute(const Fail& action);
  void Execute(const Cancel& action) { upstream_.CancelAttempt(action.id, action.attempt); }
  void Execute(const SetTimer& action);
  // Checks the primaries of groups with guarded writes that have not been heard for long.
  void CheckQuietPrimaries();
  void Execute(const StartHealthCheck& action);
  void Execute(const CloseIdleConnections& action) { upstream_.CloseIdleConnections(action.server); }
  void Execute(const Log& action);
  void Execute(const WatchEndpointList&) {}  // the watch always runs
  void Execute(const FetchEndpointList&) {}  // the watch delivers the complete list after a gap
  void Execute(const SendToPeers&) {}        // not supported by the pooler

  net::Loop& loop_;
  Upstream& upstream_;
  consistency::SessionConsistencyGuard consistency_guard_;
  Duration rejected_read_retry_after_;
  ReplicationHooks replication_hooks_;
  Duration response_margin_;  // the part of a request's time that is reserved for sending the response
  // The session of the write that is acknowledged by the event in preparation, if any.
  std::optional<std::pair<GroupId, consistency::SessionKey>> written_session_;
  // Responses to writes that are held until ReplicationHooks::delay_response calls back.
  struct HeldResponse {
    Client* client = nullptr;
    Response response;
    std::unique_ptr<net::Timer> deadline_timer;
  };
  std::unordered_map<RequestId, HeldResponse> held_responses_;
  // Reads that are delayed until the other instances have reported their watermarks, oldest first.
  struct DelayedRead {
    RequestId id{};
    RequestEvent event;
    TimePoint received{};  // the loop time of StartRequest
    TimePoint deadline{};
  };
  std::deque<DelayedRead> delayed_reads_;
  net::Timer delay_timer_;
  Balancer balancer_;
  std::unordered_map<RequestId, PendingRequest> requests_;
  std::deque<Event> events_;
  std::deque<Action> actions_;
  Actions new_actions_;
  // Timers hold a weak reference to it, so that one that expires after the proxy is destroyed does nothing.
  std::shared_ptr<Proxy*> self_ = std::make_shared<Proxy*>(this);
  bool handling_events_ = false;
  std::uint32_t last_request_id_ = 0;
  std::size_t in_flight_ = 0;
  Counts counts_;
};

}  // namespace lynxgrade::proxy
