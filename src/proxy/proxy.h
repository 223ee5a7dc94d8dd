// Connects the routing decisions to the client and server sides: keeps the table of pending requests, passes
// events to the session consistency guard and then to the balancer, and executes the balancer's actions.
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

// Runs on the thread of `loop`; `loop` and `upstream` are borrowed and must outlive the proxy.
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
  // Cancels a request whose client disconnected or no longer wants a response; the client is not called.
  void CancelRequest(RequestId request);
  // Ends a request at once, for a shutdown that cannot wait: rejected if no attempt was started, else failed.
  void AbortRequest(RequestId request);
  // Applies an event of the endpoint list.
  void ApplyEndpointList(EndpointListEvent list);
  // Requests whose client has not been called yet.
  std::size_t requests_in_flight() const { return in_flight_; }
  consistency::SessionConsistencyGuard& consistency_guard() { return consistency_guard_; }
  const consistency::SessionConsistencyGuard& consistency_guard() const { return consistency_guard_; }
  // To be called when the consistency guard has learnt of watermarks from other instances: rejects reads that
  // can no longer be satisfied and releases delayed reads.
  void HandleReplicatedWatermarks();

  // Hooks of the replication between instances; each may be empty.
  struct ReplicationHooks {
    // Called when a write was acknowledged by its server, before its response is sent.
    consistency::SessionConsistencyGuard::WriteCallback on_write;
    // Returns false if the response of the session's latest write may be sent now; otherwise calls back once
    // it may. A response still held at the request's deadline becomes a failure.
    std::function<bool(GroupId, consistency::SessionKey, std::function<void()>)> delay_response;
    // Polls the other instances for their watermarks, on behalf of a read that was delayed.
    std::function<void()> poll_peers;
  };
  void SetReplicationHooks(ReplicationHooks hooks) { replication_hooks_ = std::move(hooks); }

  // Totals since the start.
  struct Counts {
    std::uint64_t received = 0, served = 0, rejected = 0, failed = 0, cancelled = 0, attempts = 0,
                  health_checks = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  // Kept until the balancer knows that the request is finished; `client` is null once it has been called.
  struct PendingRequest {
    Client* client = nullptr;
    std::shared_ptr<const Statement> statement;
    AttemptNumber attempts = 0;
    bool known_to_balancer = false;
    TimePoint deadline{};  // of its response, less the response margin
  };

  void OnAttemptFinished(AttemptResult result) override;
  void OnHealthCheckFinished(const HealthCheckEvent& health_check) override;
  void HandleEvent(Event event);
  // Passes the event to the consistency guard and rejects the reads whose guarantee it invalidates.
  void PrepareEvent(Event& event);
  void RejectUnsatisfiableReads();
  // Passes queued events to the balancer and executes its actions; not reentrant.
  void HandleQueuedEvents();
  void DispatchRequest(RequestId id, Event event);
  // Dispatches the delayed reads that know of all earlier writes, or have waited for the maximum delay.
  void ReleaseDelayedReads();
  void SendResponse(RequestId id, Client& client, Response response, TimePoint deadline);
  void SendHeldResponse(RequestId id);
  // The deadline passed before the response of the write could be sent.
  void FailHeldResponse(RequestId id);
  // Detaches the client of a request, for its final call; null if it was already detached.
  Client* TakeClient(RequestId request);
  bool IsFinished(RequestId request) const;

  void Execute(const StartAttempt& action);
  void Execute(const Reject& action);
  void Execute(const Fail& action);
  void Execute(const Cancel& action) { upstream_.CancelAttempt(action.id, action.attempt); }
  void Execute(const SetTimer& action);
  void Execute(const StartHealthCheck& action);
  void Execute(const CloseIdleConnections& action) { upstream_.CloseIdleConnections(action.server); }
  void Execute(const Log& action);
  void Execute(const WatchEndpointList&) {}  // the watch is always enabled
  void Execute(const FetchEndpointList&) {}  // and delivers the complete list after a gap
  void Execute(const SendToPeers&) {}        // not available to a pooler

  net::Loop& loop_;
  Upstream& upstream_;
  consistency::SessionConsistencyGuard consistency_guard_;
  Duration rejected_read_retry_after_;
  ReplicationHooks replication_hooks_;
  Duration response_margin_;  // part of a request's time reserved for sending the response
  // Session of the write that the event being prepared acknowledges.
  std::optional<std::pair<GroupId, consistency::SessionKey>> written_session_;
  // Responses of writes that are held until ReplicationHooks::delay_response calls back.
  struct HeldResponse {
    Client* client = nullptr;
    Response response;
  };
  std::unordered_map<RequestId, HeldResponse> held_responses_;
  // Reads delayed until other instances have reported their watermarks, oldest first.
  struct DelayedRead {
    RequestId id{};
    RequestEvent event;
    TimePoint received{};  // loop time at which Take was called
    TimePoint deadline{};
  };
  std::deque<DelayedRead> delayed_reads_;
  net::Timer delay_timer_;
  Balancer balancer_;
  std::unordered_map<RequestId, PendingRequest> requests_;
  std::deque<Event> events_;
  std::deque<Action> actions_;
  Actions new_actions_;
  // Timers refer to it weakly, so that those that expire after the proxy was destroyed do nothing.
  std::shared_ptr<Proxy*> self_ = std::make_shared<Proxy*>(this);
  bool handling_events_ = false;
  std::uint32_t last_request_id_ = 0;
  std::size_t in_flight_ = 0;
  Counts counts_;
};

}  // namespace lynxgrade::proxy
