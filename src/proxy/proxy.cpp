#include "proxy/proxy.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace lynxgrade::proxy {

namespace {

// Retry-After of a read whose guarantee cannot be met: about the interval between writes of a session.
constexpr Duration kRejectedReadRetryAfter{500000};

}  // namespace

Proxy::Proxy(net::Loop& loop, Settings settings, std::uint64_t seed, Upstream& upstream,
             consistency::Options sessions)
    : loop_(loop),
      upstream_(upstream),
      consistency_guard_(settings, sessions),
      rejected_read_retry_after_(settings.clients_honor_retry_after
                                     ? std::min(kRejectedReadRetryAfter, settings.max_retry_after)
                                     : Duration{0}),
      response_margin_(settings.tick * 2),
      delay_timer_(loop),
      balancer_(std::move(settings), seed) {
  consistency_guard_.OnWrite(
      [this](GroupId group, consistency::SessionKey key, const consistency::WriteWatermark& watermark) {
        written_session_.emplace(group, key);
        if (replication_hooks_.on_write) replication_hooks_.on_write(group, key, watermark);
      });
  consistency_guard_.OnLog([](const std::string& text) { spdlog::warn("sessions: {}", text); });
}

void Proxy::StartRequest(Request request, Client& client, RequestId& id) {
  do {
    id = RequestId(++last_request_id_);
  } while (requests_.contains(id));
  ++counts_.received;
  ++in_flight_;
  requests_[id] = {&client, std::move(request.statement)};
  requests_[id].deadline = loop_.Now() + request.event.time_left - response_margin_;
  request.event.id = id;
  // The request may have been sent after this pass of the loop began, following a write acknowledged by
  // another instance meanwhile: its required position therefore counts up to the precise time.
  const TimePoint arrived = loop_.PreciseNow();
  request.event.arrived = arrived;
  if (replication_hooks_.poll_peers && consistency_guard_.ShouldDelayRead(request.event, arrived)) {
    delayed_reads_.push_back(
        {id, std::move(request.event), loop_.Now(), arrived + consistency_guard_.max_read_delay()});
    if (!delay_timer_.armed()) {
      delay_timer_.ScheduleAt(delayed_reads_.front().deadline, [this] { ReleaseDelayedReads(); });
    }
    replication_hooks_.poll_peers();
    return;
  }
  DispatchRequest(id, std::move(request.event));
}

void Proxy::DispatchRequest(RequestId id, Event event) {
  PrepareEvent(event);
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  it->second.known_to_balancer = true;
  HandleEvent(std::move(event));
}

void Proxy::ReleaseDelayedReads() {
  std::deque<DelayedRead> reads;
  reads.swap(delayed_reads_);
  for (DelayedRead& read : reads) {
    if (loop_.Now() < read.deadline && requests_.contains(read.id) &&
        !consistency_guard_.IsDelayOver(read.event)) {
      delayed_reads_.push_back(std::move(read));
      continue;
    }
    if (!requests_.contains(read.id) || IsFinished(read.id)) continue;
    // Its deadline was set from the time of the loop, so the delay is measured by the same clock.
    const Duration held = loop_.Now() - read.received;
    read.event.waited += held;
    read.event.time_left -= held;
    DispatchRequest(read.id, std::move(read.event));
  }
  delay_timer_.Cancel();
  if (!delayed_reads_.empty()) {
    delay_timer_.ScheduleAt(delayed_reads_.front().deadline, [this] { ReleaseDelayedReads(); });
  }
}

void Proxy::SendHeldResponse(RequestId id) {
  auto ready = held_responses_.extract(id);
  if (ready.empty()) return;
  ++counts_.served;
  --in_flight_;
  ready.mapped().client->OnResponse(ready.mapped().response);
}

void Proxy::FailHeldResponse(RequestId id) {
  auto ready = held_responses_.extract(id);
  if (ready.empty()) return;
  ++counts_.failed;
  --in_flight_;
  ready.mapped().client->OnFailed();
}

void Proxy::CancelRequest(RequestId request) {
  if (held_responses_.erase(request) > 0) {
    --in_flight_;
    ++counts_.cancelled;
    return;
  }
  if (TakeClient(request) == nullptr) return;
  ++counts_.cancelled;
  consistency_guard_.FinishRequest(request);
  HandleEvent(ClientDisconnectedEvent{request});
  // Without cancellation in the settings the balancer cancels nothing, and an attempt that waits for a
  // connection would start long after the client disconnected.
  upstream_.CancelUnsentAttempts(request);
}

void Proxy::AbortRequest(RequestId request) {
  if (auto ready = held_responses_.extract(request)) {  // executed, but its response may not be sent yet
    --in_flight_;
    ++counts_.failed;
    return ready.mapped().client->OnFailed();
  }
  const auto it = requests_.find(request);
  if (it == requests_.end()) return;
  const bool sent = it->second.attempts > 0;
  Client* client = TakeClient(request);
  if (client == nullptr) return;
  consistency_guard_.FinishRequest(request);
  HandleEvent(ClientDisconnectedEvent{request});
  upstream_.CancelUnsentAttempts(request);
  ++(sent ? counts_.failed : counts_.rejected);
  sent ? client->OnFailed() : client->OnRejected(rejected_read_retry_after_);
}

void Proxy::ApplyEndpointList(EndpointListEvent list) {
  Event event = std::move(list);
  PrepareEvent(event);
  HandleEvent(std::move(event));
}

void Proxy::PrepareEvent(Event& event) {
  consistency_guard_.PrepareEvent(loop_.Now(), event);
  RejectUnsatisfiableReads();
}

void Proxy::HandleReplicatedWatermarks() {
  RejectUnsatisfiableReads();
  ReleaseDelayedReads();
}

void Proxy::RejectUnsatisfiableReads() {
  for (const consistency::RejectedRead& rejected : consistency_guard_.DrainRejectedReads()) {
    Client* client = TakeClient(rejected.id);
    const auto it = requests_.find(rejected.id);
    if (it == requests_.end()) continue;
    // The balancer does not know of a request that is rejected on arrival.
    if (!it->second.known_to_balancer) {
      requests_.erase(it);
    } else {
      HandleEvent(ClientDisconnectedEvent{rejected.id});
      upstream_.CancelUnsentAttempts(rejected.id);
    }
    if (client == nullptr) continue;
    ++counts_.rejected;
    client->OnRejected(rejected_read_retry_after_);
  }
}

Client* Proxy::TakeClient(RequestId request) {
  const auto it = requests_.find(request);
  if (it == requests_.end() || it->second.client == nullptr) return nullptr;
  --in_flight_;
  return std::exchange(it->second.client, nullptr);
}

bool Proxy::IsFinished(RequestId request) const {
  const auto it = requests_.find(request);
  return it == requests_.end() || it->second.client == nullptr;
}

void Proxy::OnAttemptFinished(AttemptResult result) {
  Event event = AttemptEndedEvent{result.request, result.attempt, result.server,   result.outcome,
                                  result.elapsed, false,          result.metadata, result.report};
  auto& outcome = std::get<AttemptEndedEvent>(event);
  // The guard sees the response's metadata before the client gets it: they may show that it is not
  // trustworthy.
  written_session_.reset();
  PrepareEvent(event);
  // The first success is sent to the client and finishes the request.
  if (outcome.outcome == Outcome::kOk) {
    if (Client* client = TakeClient(result.request)) {
      SendResponse(result.request, *client, std::move(*result.response),
                   requests_.at(result.request).deadline);
    }
  }
  // A statement that no server can execute says nothing about this server's health, and is finished.
  if (result.statement_invalid) {
    if (Client* client = TakeClient(result.request)) {
      ++counts_.failed;
      client->OnInvalidStatement();
    }
  }
  outcome.request_done = IsFinished(result.request);
  const bool over = outcome.request_done;
  if (over) consistency_guard_.FinishRequest(result.request);
  HandleEvent(std::move(event));
  if (over) upstream_.CancelUnsentAttempts(result.request);
}

void Proxy::SendResponse(RequestId id, Client& client, Response response, TimePoint deadline) {
  const bool held = written_session_ && replication_hooks_.delay_response &&
                    replication_hooks_.delay_response(written_session_->first, written_session_->second,
                                                      [this, id] { SendHeldResponse(id); });
  if (!held) {
    ++counts_.served;
    client.OnResponse(response);
    return;
  }
  ++in_flight_;  // until the held response is sent
  held_responses_[id] = {&client, std::move(response)};
  loop_.Schedule(std::max(deadline, loop_.Now()), [self = std::weak_ptr(self_), id] {
    if (const auto proxy = self.lock()) (*proxy)->FailHeldResponse(id);
  });
}

void Proxy::OnHealthCheckFinished(const HealthCheckEvent& health_check) {
  Event event = health_check;
  PrepareEvent(event);
  HandleEvent(std::move(event));
}

void Proxy::HandleEvent(Event event) {
  events_.push_back(std::move(event));
  HandleQueuedEvents();
}

// An event caused synchronously by an action (such as a refused connection) is queued behind the current one,
// so the balancer is never reentered and sees events in order.
void Proxy::HandleQueuedEvents() {
  if (handling_events_) return;
  handling_events_ = true;
  while (!events_.empty()) {
    const Event event = std::move(events_.front());
    events_.pop_front();
    new_actions_.clear();
    balancer_.Handle(loop_.Now(), event, new_actions_);
    consistency_guard_.HandleActions(new_actions_);
    if (const auto* disconnected = std::get_if<ClientDisconnectedEvent>(&event)) {
      requests_.erase(disconnected->id);
    }
    const auto* outcome = std::get_if<AttemptEndedEvent>(&event);
    if (outcome != nullptr && outcome->request_done) requests_.erase(outcome->id);
    for (Action& action : new_actions_) actions_.push_back(std::move(action));
    while (!actions_.empty()) {
      const Action action = std::move(actions_.front());
      actions_.pop_front();
      std::visit([this](const auto& a) { Execute(a); }, action);
    }
  }
  handling_events_ = false;
}

void Proxy::Execute(const StartAttempt& action) {
  const auto it = requests_.find(action.id);
  if (it == requests_.end()) {
    spdlog::error("module: a send for request {}, which is over", static_cast<std::uint32_t>(action.id));
    return;
  }
  const AttemptNumber number = it->second.attempts++;
  if (it->second.client == nullptr) {
    // The client was detached and the balancer has not been notified yet. Each attempt needs an end, or the
    // balancer would count this one as in flight forever.
    AttemptEndedEvent not_run;
    not_run.id = action.id;
    not_run.attempt = number;
    not_run.server = action.server;
    not_run.outcome = Outcome::kNotRun;
    not_run.request_done = true;
    events_.emplace_back(not_run);
    return;
  }
  ++counts_.attempts;
  upstream_.StartAttempt(action.id, number, action.server, it->second.statement,
                         {action.timeout, action.write_timeout});
}

void Proxy::Execute(const Reject& action) {
  Client* client = TakeClient(action.id);
  requests_.erase(action.id);
  upstream_.CancelUnsentAttempts(action.id);
  if (client == nullptr) return;
  ++counts_.rejected;
  client->OnRejected(action.retry_after);
}

void Proxy::Execute(const Fail& action) {
  Client* client = TakeClient(action.id);
  requests_.erase(action.id);
  upstream_.CancelUnsentAttempts(action.id);
  if (client == nullptr) return;
  ++counts_.failed;
  client->OnFailed();
}

void Proxy::Execute(const SetTimer& action) {
  loop_.Schedule(loop_.Now() + action.delay, [self = std::weak_ptr(self_), id = action.id] {
    if (const auto proxy = self.lock()) (*proxy)->HandleEvent(TimerEvent{id});
  });
}

void Proxy::Execute(const StartHealthCheck& action) {
  ++counts_.health_checks;
  upstream_.StartHealthCheck(action.server);
}

void Proxy::Execute(const Log& action) { spdlog::info("module: {}", action.text); }

}  // namespace lynxgrade::proxy
