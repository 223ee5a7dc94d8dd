#include "proxy/proxy.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace lynxgrade::proxy {

namespace {

// Retry-After of a read whose consistency cannot be guaranteed at present. About the interval between two
// writes of a session: its next write sets a new watermark, which the following reads can be checked against.
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
  consistency_guard_.OnLog([](const std::string& text) { spdlog::warn("session consistency: {}", text); });
}

void Proxy::StartRequest(Request request, Client& client, RequestId& id) {
  do {
    id = RequestId(++last_request_id_);
  } while (requests_.contains(id));
  ++counts_.received;
  ++in_flight_;
  PendingRequest& pending = requests_[id];
  pending.client = &client;
  pending.statement = std::move(request.statement);
  pending.deadline = loop_.Now() + request.event.time_left - response_margin_;
  request.event.id = id;
  // The request may have been sent after this iteration of the loop began, and after another instance
  // acknowledged a write in the meantime. Its required position therefore includes writes up to the precise
  // time.
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
    // The deadline was set from the loop time, so the delay is measured by the same clock.
    const Duration delay = loop_.Now() - read.received;
    read.event.waited += delay;
    read.event.time_left -= delay;
    DispatchRequest(read.id, std::move(read.event));
  }
  delay_timer_.Cancel();
  if (!delayed_reads_.empty()) {
    delay_timer_.ScheduleAt(delayed_reads_.front().deadline, [this] { ReleaseDelayedReads(); });
  }
}

void Proxy::SendHeldResponse(RequestId id) {
  auto held = held_responses_.extract(id);
  if (held.empty()) return;
  ++counts_.served;
  --in_flight_;
  held.mapped().client->OnResponse(held.mapped().response);
}

void Proxy::FailHeldResponse(RequestId id) {
  auto held = held_responses_.extract(id);
  if (held.empty()) return;
  ++counts_.failed;
  --in_flight_;
  held.mapped().client->OnFailed();
}

bool Proxy::CancelRequest(RequestId request) {
  if (held_responses_.erase(request) > 0) {
    --in_flight_;
    ++counts_.cancelled;
    return true;
  }
  if (TakeClient(request) == nullptr) return false;
  const bool attempted = requests_.at(request).attempts > 0;
  ++counts_.cancelled;
  consistency_guard_.FinishRequest(request);
  HandleEvent(ClientDisconnectedEvent{request});
  // If the settings disable cancellation, the balancer cancels nothing, and an attempt that waits for a
  // connection would be sent long after the client has disconnected.
  upstream_.CancelUnsentAttempts(request);
  return attempted;
}

void Proxy::AbortRequest(RequestId request) {
  if (auto held = held_responses_.extract(request)) {  // executed, but the response may not be sent yet
    --in_flight_;
    ++counts_.failed;
    return held.mapped().client->OnFailed();
  }
  const auto it = requests_.find(request);
  if (it == requests_.end()) return;
  const bool attempted = it->second.attempts > 0;
  Client* client = TakeClient(request);
  if (client == nullptr) return;
  consistency_guard_.FinishRequest(request);
  HandleEvent(ClientDisconnectedEvent{request});
  upstream_.CancelUnsentAttempts(request);
  ++(attempted ? counts_.failed : counts_.rejected);
  attempted ? client->OnFailed() : client->OnRejected(rejected_read_retry_after_);
}

void Proxy::ApplyEndpointList(EndpointListEvent list) {
  Event event = std::move(list);
  PrepareEvent(event);
  HandleEvent(std::move(event));
}

void Proxy::PrepareEvent(Event& event) {
  consistency_guard_.PrepareEvent(loop_.Now(), loop_.PreciseNow(), event);
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
    // A request that is rejected on arrival has not been passed to the balancer.
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
  auto& ended = std::get<AttemptEndedEvent>(event);
  ended.received = loop_.PreciseNow();
  if (ended.outcome == Outcome::kOk && !balancer_.MayServe(ended)) {
    ended.outcome = Outcome::kMisrouted;
    ++counts_.discarded_responses;
  }
  // The guard checks the metadata before the client receives the response: it changes the outcome of a stale
  // response.
  written_session_.reset();
  PrepareEvent(event);
  // The first successful response is sent to the client and finishes the request.
  if (ended.outcome == Outcome::kOk) {
    if (Client* client = TakeClient(result.request)) {
      SendResponse(result.request, *client, std::move(*result.response),
                   requests_.at(result.request).deadline);
    }
  }
  // An invalid statement finishes the request. It says nothing about the health of this server.
  if (result.statement_invalid) {
    if (Client* client = TakeClient(result.request)) {
      ++counts_.failed;
      client->OnInvalidStatement();
    }
  }
  ended.request_done = IsFinished(result.request);
  const bool finished = ended.request_done;
  if (finished) consistency_guard_.FinishRequest(result.request);
  HandleEvent(std::move(event));
  if (finished) upstream_.CancelUnsentAttempts(result.request);
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
  ++in_flight_;  // in flight again until the held response is sent
  HeldResponse& held_response = held_responses_[id];
  held_response = {&client, std::move(response), std::make_unique<net::Timer>(loop_)};
  held_response.deadline_timer->ScheduleAt(std::max(deadline, loop_.Now()),
                                           [this, id] { FailHeldResponse(id); });
}

void Proxy::OnHealthCheckFinished(const HealthCheckEvent& health_check) {
  Event event = health_check;
  std::get<HealthCheckEvent>(event).received = loop_.PreciseNow();
  PrepareEvent(event);
  HandleEvent(std::move(event));
}

bool Proxy::MaySendAttempt(RequestId request) {
  const auto it = requests_.find(request);
  return it != requests_.end() && it->second.client != nullptr && it->second.client->ConfirmPresence();
}

void Proxy::HandleEvent(Event event) {
  events_.push_back(std::move(event));
  HandleQueuedEvents();
}

// An event that an action causes synchronously, such as a refused connection, is queued behind the current
// one: the balancer is never reentered and receives the events in order.
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
    const auto* ended = std::get_if<AttemptEndedEvent>(&event);
    if (ended != nullptr && ended->request_done) requests_.erase(ended->id);
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
    spdlog::error("balancer started an attempt of a finished request; request={}",
                  static_cast<std::uint32_t>(action.id));
    return;
  }
  const AttemptNumber number = it->second.attempts++;
  if (it->second.client == nullptr) {
    // The client has been detached and the balancer has not been notified yet. Each attempt needs a result,
    // or the balancer would count this one as in flight forever.
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

// The deadline timer of a request ends with it: a client may name a deadline hours away.
void Proxy::Execute(const SetTimer& action) {
  if (action.request) {
    const auto it = requests_.find(*action.request);
    if (it == requests_.end()) return;
    it->second.deadline_timer = std::make_unique<net::Timer>(loop_);
    return it->second.deadline_timer->ScheduleAfter(action.delay,
                                                    [this, id = action.id] { HandleEvent(TimerEvent{id}); });
  }
  loop_.Schedule(loop_.Now() + action.delay, [self = std::weak_ptr(self_), id = action.id] {
    const auto proxy = self.lock();
    if (!proxy) return;
    (*proxy)->HandleEvent(TimerEvent{id});
    (*proxy)->CheckQuietPrimaries();
  });
}

void Proxy::CheckQuietPrimaries() {
  for (const ServerId primary : consistency_guard_.PrimariesToCheck(loop_.Now())) {
    Execute(StartHealthCheck{primary});
  }
}

void Proxy::Execute(const StartHealthCheck& action) {
  ++counts_.health_checks;
  upstream_.StartHealthCheck(action.server);
}

void Proxy::Execute(const Log& action) { spdlog::info("balancer: {}", action.text); }

}  // namespace lynxgrade::proxy
