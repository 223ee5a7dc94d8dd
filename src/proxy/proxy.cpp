#include "proxy/proxy.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace lynxgrade::proxy {

namespace {

// Advice to one whose read cannot be kept now: about as long as a session takes to write again.
constexpr Duration kTurnedAway{500000};

}  // namespace

Proxy::Proxy(net::Loop& loop, Settings settings, std::uint64_t seed, Backends& backends,
             consistency::Options sessions)
    : loop_(loop),
      backends_(backends),
      consistency_guard_(settings, sessions),
      turned_away_(settings.clients_honor_retry_after ? std::min(kTurnedAway, settings.max_retry_after)
                                                      : Duration{0}),
      margin_(settings.tick * 2),
      held_until_(loop),
      balancer_(std::move(settings), seed) {
  consistency_guard_.OnWrite(
      [this](GroupId group, consistency::SessionKey key, const consistency::WriteWatermark& watermark) {
        wrote_.emplace(group, key);
        if (waits_.wrote) waits_.wrote(group, key, watermark);
      });
  consistency_guard_.OnLog([](const std::string& text) { spdlog::warn("sessions: {}", text); });
}

void Proxy::Take(Ask ask, Client& client, RequestId& id) {
  do {
    id = RequestId(++last_);
  } while (requests_.contains(id));
  ++counts_.taken;
  ++open_;
  requests_[id] = {&client, std::move(ask.work)};
  requests_[id].until = loop_.Now() + ask.event.time_left - margin_;
  ask.event.id = id;
  // It may have been sent after this pass began, and after a write that another instance has answered since:
  // what it has to see counts up to the moment at which it is taken.
  const TimePoint arrived = loop_.Precise();
  ask.event.arrived = arrived;
  if (waits_.ask_others && consistency_guard_.ShouldDelayRead(ask.event, arrived)) {
    held_.push_back({id, std::move(ask.event), loop_.Now(), arrived + consistency_guard_.max_read_delay()});
    if (!held_until_.armed()) held_until_.Set(held_.front().until, [this] { ReleaseReads(); });
    waits_.ask_others();
    return;
  }
  Begin(id, std::move(ask.event));
}

void Proxy::Begin(RequestId id, Event event) {
  Look(event);
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  it->second.fed = true;
  Feed(std::move(event));
}

// Those that now know of all writes answered before they came, and those that have waited long enough.
void Proxy::ReleaseReads() {
  std::deque<Waiting> all;
  all.swap(held_);
  for (Waiting& next : all) {
    if (loop_.Now() < next.until && requests_.contains(next.id) &&
        !consistency_guard_.IsDelayOver(next.event)) {
      held_.push_back(std::move(next));
      continue;
    }
    if (!requests_.contains(next.id) || Over(next.id)) continue;
    // Its time runs from the clock by which its deadline was told.
    const Duration held = loop_.Now() - next.from;
    next.event.waited += held;
    next.event.time_left -= held;
    Begin(next.id, std::move(next.event));
  }
  held_until_.Clear();
  if (!held_.empty()) held_until_.Set(held_.front().until, [this] { ReleaseReads(); });
}

// An answer that was held until it was safe to give.
void Proxy::Release(RequestId id) {
  auto ready = ready_.extract(id);
  if (ready.empty()) return;
  ++counts_.served;
  --open_;
  ready.mapped().client->Served(ready.mapped().answer);
}

void Proxy::FailReady(RequestId id) {
  auto ready = ready_.extract(id);
  if (ready.empty()) return;
  ++counts_.failed;
  --open_;
  ready.mapped().client->Failed();
}

void Proxy::Withdraw(RequestId request) {
  if (ready_.erase(request) > 0) {
    --open_;
    ++counts_.withdrawn;
    return;
  }
  if (Close(request) == nullptr) return;
  ++counts_.withdrawn;
  consistency_guard_.FinishRequest(request);
  Feed(ClientDisconnectedEvent{request});
  // Where the settings allow no cancels the module calls nothing off: an attempt that waits for its
  // connection would begin long after the client has gone.
  backends_.Drop(request);
}

void Proxy::GiveUp(RequestId request) {
  if (auto ready = ready_.extract(request)) {  // it has run, but may not be told so yet
    --open_;
    ++counts_.failed;
    return ready.mapped().client->Failed();
  }
  const auto it = requests_.find(request);
  if (it == requests_.end()) return;
  const bool sent = it->second.attempts > 0;
  Client* client = Close(request);
  if (client == nullptr) return;
  consistency_guard_.FinishRequest(request);
  Feed(ClientDisconnectedEvent{request});
  backends_.Drop(request);
  ++(sent ? counts_.failed : counts_.refused);
  sent ? client->Failed() : client->Refused(turned_away_);
}

void Proxy::ListChanged(ListEvent list) {
  Event event = std::move(list);
  Look(event);
  Feed(std::move(event));
}

void Proxy::Look(Event& event) {
  consistency_guard_.PrepareEvent(loop_.Now(), event);
  EndTurned();
}

void Proxy::Relearnt() {
  EndTurned();
  ReleaseReads();
}

void Proxy::EndTurned() {
  for (const consistency::RejectedRead& turned : consistency_guard_.DrainRejectedReads()) {
    Client* client = Close(turned.id);
    const auto it = requests_.find(turned.id);
    if (it == requests_.end()) continue;
    // The module has not seen a request that is turned away as it comes.
    if (!it->second.fed) {
      requests_.erase(it);
    } else {
      Feed(ClientDisconnectedEvent{turned.id});
      backends_.Drop(turned.id);
    }
    if (client == nullptr) continue;
    ++counts_.refused;
    client->Refused(turned_away_);
  }
}

Client* Proxy::Close(RequestId request) {
  const auto it = requests_.find(request);
  if (it == requests_.end() || it->second.client == nullptr) return nullptr;
  --open_;
  return std::exchange(it->second.client, nullptr);
}

bool Proxy::Over(RequestId request) const {
  const auto it = requests_.find(request);
  return it == requests_.end() || it->second.client == nullptr;
}

void Proxy::OnAttemptEnd(AttemptEnd end) {
  Event event = AttemptEndedEvent{
      end.request,          end.attempt, end.server, end.outcome, end.elapsed, false, std::move(end.metadata),
      std::move(end.report)};
  auto& outcome = std::get<AttemptEndedEvent>(event);
  // What the answer tells of its member comes before the answer: it may show that it cannot be trusted.
  wrote_.reset();
  Look(event);
  // The first success goes to the client by itself and ends the request.
  if (outcome.outcome == Outcome::kOk) {
    if (Client* client = Close(end.request)) {
      const RequestId id = end.request;
      const TimePoint until = requests_.at(id).until;
      if (wrote_ && waits_.safe && waits_.safe(wrote_->first, wrote_->second, [this, id] { Release(id); })) {
        ++open_;  // until it is given
        ready_[id] = {client, std::move(*end.answer)};
        loop_.At(std::max(until, loop_.Now()), [self = std::weak_ptr(self_), id] {
          if (const auto proxy = self.lock()) (*proxy)->FailReady(id);
        });
      } else {
        ++counts_.served;
        client->Served(*end.answer);
      }
    }
  }
  // A request that no data server can use says nothing of the one that was asked, and is over.
  if (end.unusable) {
    if (Client* client = Close(end.request)) {
      ++counts_.failed;
      client->Unusable();
    }
  }
  outcome.request_done = Over(end.request);
  const bool over = outcome.request_done;
  if (over) consistency_guard_.FinishRequest(end.request);
  Feed(std::move(event));
  if (over) backends_.Drop(end.request);
}

void Proxy::OnProbeEnd(const HealthCheckEvent& probe) {
  Event event = probe;
  Look(event);
  Feed(std::move(event));
}

void Proxy::Feed(Event event) {
  events_.push_back(std::move(event));
  FeedAll();
}

// What an action brings at once (a refused connection, say) queues behind the event being handled: the module
// is never entered twice, and sees events in the order in which they came.
void Proxy::FeedAll() {
  if (feeding_) return;
  feeding_ = true;
  while (!events_.empty()) {
    const Event event = std::move(events_.front());
    events_.pop_front();
    fresh_.clear();
    balancer_.Handle(loop_.Now(), event, fresh_);
    consistency_guard_.HandleActions(fresh_);
    if (const auto* gone = std::get_if<ClientDisconnectedEvent>(&event)) requests_.erase(gone->id);
    const auto* outcome = std::get_if<AttemptEndedEvent>(&event);
    if (outcome != nullptr && outcome->request_done) requests_.erase(outcome->id);
    for (Action& action : fresh_) actions_.push_back(std::move(action));
    while (!actions_.empty()) {
      const Action action = std::move(actions_.front());
      actions_.pop_front();
      std::visit([this](const auto& a) { Do(a); }, action);
    }
  }
  feeding_ = false;
}

void Proxy::Do(const StartAttempt& action) {
  const auto it = requests_.find(action.id);
  if (it == requests_.end()) {
    spdlog::error("module: a send for request {}, which is over", static_cast<std::uint32_t>(action.id));
    return;
  }
  const AttemptNumber number = it->second.attempts++;
  if (it->second.client == nullptr) {
    // The client has just gone and the module has not heard yet. Every send has an end, or the module would
    // count this one as out for ever.
    AttemptEndedEvent never;
    never.id = action.id;
    never.attempt = number;
    never.server = action.server;
    never.outcome = Outcome::kNotRun;
    never.request_done = true;
    events_.emplace_back(std::move(never));
    return;
  }
  ++counts_.attempts;
  backends_.Send(action.id, number, action.server, it->second.work, {action.timeout, action.write_within});
}

void Proxy::Do(const Reject& action) {
  Client* client = Close(action.id);
  requests_.erase(action.id);
  backends_.Drop(action.id);
  if (client == nullptr) return;
  ++counts_.refused;
  client->Refused(action.retry_after);
}

void Proxy::Do(const Fail& action) {
  Client* client = Close(action.id);
  requests_.erase(action.id);
  backends_.Drop(action.id);
  if (client == nullptr) return;
  ++counts_.failed;
  client->Failed();
}

void Proxy::Do(const SetTimer& action) {
  loop_.At(loop_.Now() + action.delay, [self = std::weak_ptr(self_), id = action.id] {
    if (const auto proxy = self.lock()) (*proxy)->Feed(TimerEvent{id});
  });
}

void Proxy::Do(const StartHealthCheck& action) {
  ++counts_.probes;
  backends_.Probe(action.server);
}

void Proxy::Do(const Log& action) { spdlog::info("module: {}", action.text); }

}  // namespace lynxgrade::proxy
