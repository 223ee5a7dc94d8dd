#include "frontend/frontend.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace lynxgrade::frontend {
namespace {

constexpr Duration kSweepInterval{250000};
constexpr Duration kStoppingSweepInterval{20000};  // after the listener is closed
// Time in which a client has to complete its startup or a message. A misbehaving client has to be closed
// within 3 s; the timeout and the sweep interval together are well below that.
constexpr Duration kInputTimeout{2000000};
constexpr Duration kWriteTimeout{10000000};  // for a client to read its response
// The same where the memory is needed. Above the time in which a client that reads gets a whole response.
constexpr Duration kWriteTimeoutWithoutMemory{250000};
constexpr Duration kCloseTimeout{500000};  // for a client to read the final error and close
// Input that a client sent immediately after connecting has been read after this time. Until then its session
// is not closed to free a descriptor.
constexpr Duration kAcceptGrace{100000};
// Idle sessions hold descriptors that new requests need, so the idle timeout is shorter while there are many.
constexpr Duration kIdleTimeoutFull{500000};      // sessions hold most of the descriptors meant for requests
constexpr Duration kIdleTimeoutCrowded{2200000};  // still allows for a client that is slow to send again
constexpr Duration kIdleTimeout{15000000};
// After SIGTERM the pooler serves existing and new connections until little time is left: by then the load
// balancer has removed it, and has added any other pooler that was restarting. The process is killed no
// earlier than 0.7 s plus the longest deadline after the signal; of that deadline at most 3 s count.
constexpr Duration kMaxCountedDeadline{3000000};
constexpr Duration kKillMargin{700000};
constexpr Duration kCloseListenerMargin{900000};  // before the kill
constexpr Duration kAbortMargin{200000};
// New connections arrive for up to 0.4 s after the signal, and a request that arrives within 0.7 s has to get
// its full budget. If all deadlines are short, that budget ends no later than the earliest kill.
constexpr Duration kMinDrainTime{700000};
// While stopping: time for a new connection to send its first input, and for the rest of a message.
constexpr Duration kStoppingQuietTimeout{100000};
constexpr Duration kStoppingPartialTimeout{300000};
// Sessions that are examined when one has to be closed to free a descriptor.
constexpr std::size_t kMaxExamined = 16;

// Returns the time from SIGTERM to the earliest possible kill.
Duration KillGrace(const std::vector<RequestClass>& classes) {
  Duration longest{0};
  for (const RequestClass& request_class : classes) longest = std::max(longest, request_class.deadline);
  return std::min(longest, kMaxCountedDeadline) + kKillMargin;
}

}  // namespace

Frontend::Frontend(net::Loop& loop, proxy::Proxy& proxy, net::DescriptorBudget& budget,
                   limits::MemoryBudget& memory, std::vector<std::string> classes,
                   std::vector<std::string> tenants, const Settings& settings,
                   std::function<bool()> close_idle_server_connection)
    : loop_(loop),
      proxy_(proxy),
      budget_(budget),
      memory_(memory),
      memory_retry_after_(
          limits::RetryAfterMemoryShortage(settings.clients_honor_retry_after, settings.max_retry_after)),
      request_catalog_(std::move(classes), std::move(tenants), settings.classes),
      close_idle_server_connection_(std::move(close_idle_server_connection)),
      listener_(
          loop, [this] { return MayAccept(); },
          [this](net::ObjectPtr<GSocket> socket) { StartSession(std::move(socket)); }),
      error_log_limit_(loop),
      kill_grace_(KillGrace(settings.classes)),
      sweep_timer_(loop),
      drain_timer_(loop),
      abort_timer_(loop) {
  sweep_timer_.ScheduleAfter(kSweepInterval, [this] { CloseExpired(); });
  memory_.SetReclaimer([this] { return ReclaimMemory(nullptr); });
}

Frontend::~Frontend() { memory_.SetReclaimer(nullptr); }

bool Frontend::MayAccept() {
  return budget_.CanAddClient() || CloseLeastActive() ||
         (close_idle_server_connection_() && budget_.CanAddClient());
}

void Frontend::StartSession(net::ObjectPtr<GSocket> socket) {
  auto session = std::make_shared<ClientSession>(*this, budget_);
  sessions_.emplace(session.get(), session);
  MoveToPhase(*session, ClientSession::Phase::kAwaitingInput, loop_.Now());
  session->Start(std::move(socket), listener_.queued_since());
}

void Frontend::MoveToPhase(ClientSession& session, ClientSession::Phase phase, TimePoint since) {
  SessionList& to = sessions_by_phase_[static_cast<std::size_t>(phase)];
  if (session.phase_) sessions_by_phase_[static_cast<std::size_t>(*session.phase_)].erase(session.position_);
  // Nearly all sessions are inserted at the end.
  auto position = to.end();
  while (position != to.begin() && (*std::prev(position))->phase_since_ > since) --position;
  session.position_ = to.insert(position, &session);
  session.phase_ = phase;
  session.phase_since_ = since;
}

void Frontend::RemoveSession(ClientSession& session) {
  if (session.phase_) sessions_by_phase_[static_cast<std::size_t>(*session.phase_)].erase(session.position_);
  session.phase_.reset();
  if (session.process_id_ != 0) sessions_by_process_id_.erase(session.process_id_);
  sessions_.erase(&session);
  if (stopping_ && sessions_.empty() && on_drained_) std::exchange(on_drained_, nullptr)();
}

bool Frontend::CloseLeastActive() {
  const auto& awaiting_input =
      sessions_by_phase_[static_cast<std::size_t>(ClientSession::Phase::kAwaitingInput)];
  const auto& idle = sessions_by_phase_[static_cast<std::size_t>(ClientSession::Phase::kIdle)];
  const auto& closing = sessions_by_phase_[static_cast<std::size_t>(ClientSession::Phase::kClosing)];
  const SessionList* candidates = &closing;
  if (candidates->empty() && !awaiting_input.empty() &&
      loop_.Now() - awaiting_input.front()->phase_since_ >= kAcceptGrace) {
    candidates = &awaiting_input;
  }
  // Many sessions that have just connected will soon send a request or time out: idle ones stay open.
  if (candidates->empty() && awaiting_input.size() <= idle.size()) candidates = &idle;
  // A session with unread input is not closed, since the close would reset the connection.
  std::size_t examined = 0;
  for (ClientSession* session : *candidates) {
    if (++examined > kMaxExamined) break;
    if (candidates != &closing && !session->HasNoUnreadInput()) continue;
    const auto keep_alive = sessions_.at(session);
    keep_alive->Close();
    ++closed_clients_.descriptors;
    return true;
  }
  return false;
}

bool Frontend::ReclaimMemory(const ClientSession* requester) {
  return DiscardOldestMessage(requester) || CloseOldestUnreadResponse(requester);
}

bool Frontend::DiscardOldestMessage(const ClientSession* requester) {
  for (ClientSession* session :
       sessions_by_phase_[static_cast<std::size_t>(ClientSession::Phase::kAwaitingInput)]) {
    if (session == requester) continue;
    const auto keep_alive = sessions_.at(session);
    if (keep_alive->DiscardIncompleteMessage()) return true;
  }
  return false;
}

bool Frontend::CloseOldestUnreadResponse(const ClientSession* requester) {
  for (ClientSession* session :
       sessions_by_phase_[static_cast<std::size_t>(ClientSession::Phase::kSendingResponse)]) {
    if (session == requester || !session->HoldsUnsentOutput()) continue;
    if (loop_.Now() - session->phase_since_ < kWriteTimeoutWithoutMemory) return false;
    const auto keep_alive = sessions_.at(session);
    keep_alive->Close();
    ++memory_counts_.closed_clients;
    return true;
  }
  return false;
}

std::uint32_t Frontend::AssignProcessId(ClientSession& session) {
  do {
    ++last_process_id_;
  } while (last_process_id_ == 0 || sessions_by_process_id_.contains(last_process_id_));
  sessions_by_process_id_[last_process_id_] = &session;
  return last_process_id_;
}

void Frontend::Cancel(std::uint32_t process_id, std::uint32_t secret, TimePoint arrived_at) {
  const auto it = sessions_by_process_id_.find(process_id);
  if (it == sessions_by_process_id_.end()) return;
  const auto session = sessions_.at(it->second);
  session->Cancel(secret, arrived_at);
}

void Frontend::ExpireOlderThan(ClientSession::Phase phase, Duration timeout) {
  const SessionList& in_phase = sessions_by_phase_[static_cast<std::size_t>(phase)];
  // Examines each session once: one that stays open moves to the end of the list.
  for (std::size_t left = in_phase.size(); left > 0 && !in_phase.empty(); --left) {
    if (loop_.Now() - in_phase.front()->phase_since_ < timeout) return;
    const auto session = sessions_.at(in_phase.front());
    session->Expire();
  }
}

void Frontend::CloseExpired() {
  ExpireOlderThan(ClientSession::Phase::kClosing, kCloseTimeout);
  if (stopping_) return CloseExpiredWhileStopping();
  ExpireOlderThan(ClientSession::Phase::kAwaitingInput, kInputTimeout);
  ExpireOlderThan(ClientSession::Phase::kSendingResponse, kWriteTimeout);
  ExpireOlderThan(ClientSession::Phase::kIdle, budget_.ClientsExceedFraction(4)   ? kIdleTimeoutFull
                                               : budget_.ClientsExceedFraction(8) ? kIdleTimeoutCrowded
                                                                                  : kIdleTimeout);
  sweep_timer_.ScheduleAfter(kSweepInterval, [this] { CloseExpired(); });
}

Duration Frontend::LimitToShutdown(Duration budget) const {
  if (!drain_started_) return budget;
  return std::min(budget, *drain_started_ + kill_grace_ - kAbortMargin - loop_.Now());
}

void Frontend::StartDrain(std::function<void()> on_drained) {
  if (drain_started_) return;
  on_drained_ = std::move(on_drained);
  drain_started_ = loop_.Now();
  drain_timer_.ScheduleAfter(std::max(kMinDrainTime, kill_grace_ - kCloseListenerMargin),
                             [this] { CloseListener(); });
  abort_timer_.ScheduleAfter(kill_grace_ - kAbortMargin, [this] { AbortInFlight(); });
}

// Accepts no further connections. Requests that have arrived are completed, including those of the last
// connections; then each session shuts down its sending side, and requests that arrive after that are
// discarded.
void Frontend::CloseListener() {
  stopping_ = true;
  listener_.Close();
  CloseExpiredWhileStopping();
  if (sessions_.empty() && on_drained_) std::exchange(on_drained_, nullptr)();
}

void Frontend::CloseExpiredWhileStopping() {
  ExpireOlderThan(ClientSession::Phase::kIdle, Duration{0});
  std::vector<std::shared_ptr<ClientSession>> expired;
  for (ClientSession* session :
       sessions_by_phase_[static_cast<std::size_t>(ClientSession::Phase::kAwaitingInput)]) {
    const Duration timeout = session->HasNoUnreadInput() ? kStoppingQuietTimeout : kStoppingPartialTimeout;
    if (loop_.Now() - session->phase_since_ >= timeout) expired.push_back(sessions_.at(session));
  }
  for (const auto& session : expired) session->Expire();
  sweep_timer_.ScheduleAfter(kStoppingSweepInterval, [this] { CloseExpired(); });
}

void Frontend::AbortInFlight() {
  std::vector<std::shared_ptr<ClientSession>> in_flight;
  for (ClientSession* session :
       sessions_by_phase_[static_cast<std::size_t>(ClientSession::Phase::kInFlight)]) {
    in_flight.push_back(sessions_.at(session));
  }
  for (const auto& session : in_flight) session->AbortRequest();
}

}  // namespace lynxgrade::frontend
