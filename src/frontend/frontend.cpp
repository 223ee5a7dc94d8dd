#include "frontend/frontend.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace lynxgrade::frontend {
namespace {

constexpr Duration kSweepInterval{250000};
constexpr Duration kStoppingSweepInterval{20000};  // while the program stops
// For a client to complete its startup or a message; with the sweep interval this is well within the 3 s in
// which a misbehaving client has to be closed.
constexpr Duration kInputTimeout{2000000};
constexpr Duration kWriteTimeout{10000000};  // for a client to read its response
constexpr Duration kCloseTimeout{500000};    // for a client to read the final error and close
// Input sent with the connect has been read after this; until then a session is not closed for a descriptor.
constexpr Duration kAcceptGrace{100000};
// Idle sessions occupy descriptors that new requests need, so the idle timeout shrinks as sessions crowd.
constexpr Duration kIdleTimeoutFull{500000};  // sessions hold most of the descriptors meant for requests
constexpr Duration kIdleTimeoutCrowded{2200000};
constexpr Duration kIdleTimeout{15000000};
// After SIGTERM the pooler serves open and new connections until little time is left: by then the load
// balancer has removed it, and has added any other pooler that was restarting. The process is killed no
// earlier than the longest deadline (at most 3 s is counted) plus 0.7 s after the signal.
constexpr Duration kMaxCountedDeadline{3000000};
constexpr Duration kKillMargin{700000};
constexpr Duration kCloseListenerMargin{900000};  // before the kill
constexpr Duration kAbortMargin{200000};
// New connections arrive for up to 0.4 s, and a request that arrives within 0.7 s is due its complete budget,
// which with short deadlines ends no later than the earliest kill.
constexpr Duration kMinDrainTime{700000};
// While stopping, for a new connection to send its first input.
constexpr Duration kStoppingQuietTimeout{100000};
constexpr Duration kStoppingPartialTimeout{300000};  // and for the rest of an incomplete message
constexpr std::size_t kMaxExamined = 16;             // sessions examined for one to close for its descriptor

Duration KillGrace(const std::vector<RequestClass>& kinds) {
  Duration longest{0};
  for (const RequestClass& kind : kinds) longest = std::max(longest, kind.deadline);
  return std::min(longest, kMaxCountedDeadline) + kKillMargin;
}

}  // namespace

Frontend::Frontend(net::Loop& loop, proxy::Proxy& proxy, net::DescriptorBudget& budget,
                   std::vector<std::string> classes, std::vector<std::string> tenants,
                   const Settings& settings, std::function<bool()> make_room)
    : loop_(loop),
      proxy_(proxy),
      budget_(budget),
      classes_(std::move(classes)),
      tenants_(std::move(tenants)),
      kinds_(settings.classes),
      make_room_(std::move(make_room)),
      listener_(
          loop, [this] { return MayAccept(); },
          [this](net::ObjectPtr<GSocket> socket) { StartSession(std::move(socket)); }),
      error_log_limit_(loop),
      kill_grace_(KillGrace(settings.classes)),
      sweep_timer_(loop),
      drain_timer_(loop),
      abort_timer_(loop) {
  sweep_timer_.ScheduleAfter(kSweepInterval, [this] { CloseExpired(); });
}

Frontend::~Frontend() = default;

bool Frontend::MayAccept() {
  return budget_.CanAddClient() || CloseLeastActive() || (make_room_() && budget_.CanAddClient());
}

void Frontend::StartSession(net::ObjectPtr<GSocket> socket) {
  auto session = std::make_shared<ClientSession>(*this, budget_);
  sessions_.emplace(session.get(), session);
  MoveToPhase(*session, ClientSession::Phase::kAwaitingInput, loop_.Now());
  session->Begin(std::move(socket), listener_.queued_since());
}

void Frontend::MoveToPhase(ClientSession& session, ClientSession::Phase phase, TimePoint since) {
  SessionList& to = sessions_by_phase_[static_cast<std::size_t>(phase)];
  if (session.phase_) sessions_by_phase_[static_cast<std::size_t>(*session.phase_)].erase(session.position_);
  // Nearly all belong at the end.
  auto position = to.end();
  while (position != to.begin() && (*std::prev(position))->phase_since_ > since) --position;
  session.position_ = to.insert(position, &session);
  session.phase_ = phase;
  session.phase_since_ = since;
}

void Frontend::RemoveSession(ClientSession& session) {
  if (session.phase_) sessions_by_phase_[static_cast<std::size_t>(*session.phase_)].erase(session.position_);
  session.phase_.reset();
  if (session.process_ != 0) sessions_by_process_.erase(session.process_);
  sessions_.erase(&session);
  if (stopping_ && sessions_.empty() && done_) std::exchange(done_, nullptr)();
}

bool Frontend::CloseLeastActive() {
  const auto& silent = sessions_by_phase_[static_cast<std::size_t>(ClientSession::Phase::kAwaitingInput)];
  const auto& idle = sessions_by_phase_[static_cast<std::size_t>(ClientSession::Phase::kIdle)];
  const auto& closing = sessions_by_phase_[static_cast<std::size_t>(ClientSession::Phase::kClosing)];
  const SessionList* from = &closing;
  if (from->empty() && !silent.empty() && loop_.Now() - silent.front()->phase_since_ >= kAcceptGrace)
    from = &silent;
  // Many sessions that have just connected soon send a request or time out: no reason to close idle ones.
  if (from->empty() && silent.size() <= idle.size()) from = &idle;
  // A close with unread input would be a reset.
  std::size_t examined = 0;
  for (ClientSession* session : *from) {
    if (++examined > kMaxExamined) break;
    if (from != &closing && !session->HasNoUnreadInput()) continue;
    const auto held = sessions_.at(session);
    held->Close();
    return true;
  }
  return false;
}

std::uint32_t Frontend::AssignProcessNumber(ClientSession& session) {
  do {
    ++last_process_;
  } while (last_process_ == 0 || sessions_by_process_.contains(last_process_));
  sessions_by_process_[last_process_] = &session;
  return last_process_;
}

void Frontend::Cancel(std::uint32_t process, std::uint32_t secret, TimePoint arrived_at) {
  const auto it = sessions_by_process_.find(process);
  if (it == sessions_by_process_.end()) return;
  const auto held = sessions_.at(it->second);
  held->Cancel(secret, arrived_at);
}

void Frontend::ExpireOlderThan(ClientSession::Phase phase, Duration time) {
  const SessionList& from = sessions_by_phase_[static_cast<std::size_t>(phase)];
  // Examines each once: a session that continues moves to the end.
  for (std::size_t left = from.size(); left > 0 && !from.empty(); --left) {
    if (loop_.Now() - from.front()->phase_since_ < time) return;
    const auto held = sessions_.at(from.front());
    held->Expire();
  }
}

void Frontend::CloseExpired() {
  ExpireOlderThan(ClientSession::Phase::kClosing, kCloseTimeout);
  if (stopping_) return CloseExpiredWhileStopping();
  ExpireOlderThan(ClientSession::Phase::kAwaitingInput, kInputTimeout);
  ExpireOlderThan(ClientSession::Phase::kAwaitingWrite, kWriteTimeout);
  ExpireOlderThan(ClientSession::Phase::kIdle, budget_.ClientsExceedFraction(4)   ? kIdleTimeoutFull
                                               : budget_.ClientsExceedFraction(8) ? kIdleTimeoutCrowded
                                                                                  : kIdleTimeout);
  sweep_timer_.ScheduleAfter(kSweepInterval, [this] { CloseExpired(); });
}

Duration Frontend::LimitToShutdown(Duration budget) const {
  if (!drain_started_) return budget;
  return std::min(budget, *drain_started_ + kill_grace_ - kAbortMargin - loop_.Now());
}

void Frontend::StartDrain(std::function<void()> done) {
  if (drain_started_) return;
  done_ = std::move(done);
  drain_started_ = loop_.Now();
  drain_timer_.ScheduleAfter(std::max(kMinDrainTime, kill_grace_ - kCloseListenerMargin),
                             [this] { CloseListener(); });
  abort_timer_.ScheduleAfter(kill_grace_ - kAbortMargin, [this] { AbortInFlight(); });
}

// No new connections from here on. Requests received are completed, those of the last connections included;
// then each session ends sending, and requests that cross this are not forwarded.
void Frontend::CloseListener() {
  stopping_ = true;
  listener_.Close();
  CloseExpiredWhileStopping();
  if (sessions_.empty() && done_) std::exchange(done_, nullptr)();
}

void Frontend::CloseExpiredWhileStopping() {
  ExpireOlderThan(ClientSession::Phase::kIdle, Duration{0});
  std::vector<std::shared_ptr<ClientSession>> expired;
  for (ClientSession* session :
       sessions_by_phase_[static_cast<std::size_t>(ClientSession::Phase::kAwaitingInput)]) {
    const Duration time = session->HasNoUnreadInput() ? kStoppingQuietTimeout : kStoppingPartialTimeout;
    if (loop_.Now() - session->phase_since_ >= time) expired.push_back(sessions_.at(session));
  }
  for (const auto& session : expired) session->Expire();
  sweep_timer_.ScheduleAfter(kStoppingSweepInterval, [this] { CloseExpired(); });
}

void Frontend::AbortInFlight() {
  std::vector<std::shared_ptr<ClientSession>> served;
  for (ClientSession* session :
       sessions_by_phase_[static_cast<std::size_t>(ClientSession::Phase::kInFlight)]) {
    served.push_back(sessions_.at(session));
  }
  for (const auto& session : served) session->GiveUp();
}

}  // namespace lynxgrade::frontend
