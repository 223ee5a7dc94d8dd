#include "net/loop.h"

#include <algorithm>

namespace lynxgrade::net {
namespace {

// GLib passes no user data to its poll function; there is one loop per process.
Loop* g_loop = nullptr;
std::chrono::steady_clock::time_point SteadyNow() { return std::chrono::steady_clock::now(); }

constexpr Duration kImmediatePoll{100};  // a poll that returns within this has found events that were pending
constexpr Duration kMaxWakeupDelay{5000};  // a poll that returns later than its timeout plus this was held up

constexpr Duration kMinStall{20000};

GSourceFuncs kCallbackSource = {
    nullptr, nullptr, [](GSource*, GSourceFunc call, gpointer data) { return call(data); },
    nullptr, nullptr, nullptr};

}  // namespace

Loop::Loop()
    : anchor_(SteadyNow()),
      unix_anchor_(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())),
      now_(unix_anchor_),
      earliest_arrival_(unix_anchor_) {
  g_loop = this;
  g_main_context_set_poll_func(nullptr, &Loop::Poll);
  source_.reset(g_source_new(&kCallbackSource, sizeof(GSource)));
  g_source_set_callback(source_.get(), &Loop::OnTimersDue, this, nullptr);
  g_source_set_priority(source_.get(), G_PRIORITY_DEFAULT);
  g_source_attach(source_.get(), nullptr);
}

Loop::~Loop() {
  g_main_context_set_poll_func(nullptr, nullptr);
  g_loop = nullptr;
}

TimePoint Loop::PreciseNow() const {
  return std::max(now_, unix_anchor_ + std::chrono::duration_cast<Duration>(SteadyNow() - anchor_));
}

void Loop::Run() {
  running_ = true;
  while (running_) g_main_context_iteration(nullptr, TRUE);
}

gint Loop::Poll(GPollFD* fds, guint count, gint timeout) {
  const TimePoint entered = g_loop != nullptr ? g_loop->PreciseNow() : TimePoint{};
  const gint ready = g_poll(fds, count, timeout);
  if (g_loop == nullptr) return ready;
  const TimePoint now = g_loop->PreciseNow();
  const Duration waited = now - entered;
  TimePoint earliest = now;
  if (timeout == 0 || waited < kImmediatePoll) {
    earliest = g_loop->now_;  // the events may have arrived at any time in the last pass
  } else if (timeout > 0 && waited > std::chrono::milliseconds(timeout) + kMaxWakeupDelay) {
    earliest = entered;  // the process was stopped at some time after it began to wait
  }
  if (now - earliest > kMinStall) g_loop->last_stall_ = now;
  // Events that earlier passes left over have arrived before those.
  const bool has_backlog = g_loop->poller_.has_backlog();
  g_loop->earliest_arrival_ = has_backlog ? std::min(earliest, g_loop->earliest_arrival_) : earliest;
  g_loop->now_ = now;
  return ready;
}

Loop::TimerKey Loop::Schedule(TimePoint when, std::function<void()> callback) {
  const TimerKey key{when, next_timer_number_++};
  timers_.emplace(key, std::move(callback));
  // The insertion is a statement of its own: within one comparison, begin() may be evaluated first, which
  // left an earlier deadline unarmed, so that no timer ever fired.
  if (timers_.begin()->first == key) ArmSource();
  return key;
}

void Loop::Cancel(const TimerKey& key) {
  const auto it = timers_.find(key);
  if (it == timers_.end()) return;
  const bool first = it == timers_.begin();
  timers_.erase(it);
  if (first) ArmSource();
}

// GLib's ready times are microseconds of the same monotonic clock. Its poll timeout is in milliseconds,
// rounded up: a timer fires up to 1 ms late, and the loop does not spin before its deadline.
void Loop::ArmSource() {
  if (timers_.empty()) return g_source_set_ready_time(source_.get(), -1);
  const auto since_anchor = timers_.begin()->first.first - unix_anchor_;
  const auto anchor = std::chrono::duration_cast<Duration>(anchor_.time_since_epoch());
  g_source_set_ready_time(source_.get(), std::max<gint64>(0, (anchor + since_anchor).count()));
}

gboolean Loop::OnTimersDue(gpointer self) {
  static_cast<Loop*>(self)->FireDueTimers();
  return G_SOURCE_CONTINUE;
}

void Loop::FireDueTimers() {
  // Timers that a callback adds wait for the next pass, even if they are due: otherwise sockets might starve.
  const std::uint64_t first_new = next_timer_number_;
  auto it = timers_.begin();
  while (it != timers_.end() && it->first.first <= now_) {
    if (it->first.second >= first_new) {
      ++it;
      continue;
    }
    const auto callback = std::move(it->second);
    timers_.erase(it);
    callback();
    it = timers_.begin();
  }
  ArmSource();
}

}  // namespace lynxgrade::net
