#include "net/loop.h"

#include <algorithm>

namespace lynxgrade::net {
namespace {

// GLib hands its poll function no user data; there is one loop a process.
Loop* g_loop = nullptr;
std::chrono::steady_clock::time_point SteadyNow() { return std::chrono::steady_clock::now(); }

constexpr Duration kAtOnce{100};      // a poll that returns within this has found what was there before
constexpr Duration kOverslept{5000};  // and one that returns so much later than asked for was held up

GSourceFuncs kPlainSource = {
    nullptr, nullptr, [](GSource*, GSourceFunc call, gpointer data) { return call(data); },
    nullptr, nullptr, nullptr};

}  // namespace

Loop::Loop()
    : anchor_(SteadyNow()),
      unix_anchor_(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())),
      now_(unix_anchor_),
      since_(unix_anchor_) {
  g_loop = this;
  g_main_context_set_poll_func(nullptr, &Loop::Poll);
  source_.reset(g_source_new(&kPlainSource, sizeof(GSource)));
  g_source_set_callback(source_.get(), &Loop::Fire, this, nullptr);
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
  if (timeout == 0 || waited < kAtOnce) {
    g_loop->since_ = g_loop->now_;  // it was there already: it came at any time in the last pass
  } else {
    // Later than asked for: the process stood still, from some moment after it began to wait.
    const bool late = timeout > 0 && waited > std::chrono::milliseconds(timeout) + kOverslept;
    g_loop->since_ = late ? entered : now;
  }
  g_loop->now_ = now;
  return ready;
}

Loop::TimerKey Loop::Schedule(TimePoint when, std::function<void()> call) {
  const TimerKey key{when, next_++};
  timers_.emplace(key, std::move(call));
  // A separate step: the operands of one comparison are evaluated in any order, and begin() taken before the
  // insertion left an earlier deadline unarmed, so that no timer ever fired.
  if (timers_.begin()->first == key) Arm();
  return key;
}

void Loop::Cancel(const TimerKey& key) {
  const auto it = timers_.find(key);
  if (it == timers_.end()) return;
  const bool first = it == timers_.begin();
  timers_.erase(it);
  if (first) Arm();
}

// GLib's ready times are microseconds of the same monotonic clock; its poll wakes on whole milliseconds,
// rounded up, so a deadline is met within one of them and nothing spins before it.
void Loop::Arm() {
  if (timers_.empty()) return g_source_set_ready_time(source_.get(), -1);
  const auto since = timers_.begin()->first.first - unix_anchor_;
  const auto anchor = std::chrono::duration_cast<Duration>(anchor_.time_since_epoch());
  g_source_set_ready_time(source_.get(), std::max<gint64>(0, (anchor + since).count()));
}

gboolean Loop::Fire(gpointer self) {
  static_cast<Loop*>(self)->FireDue();
  return G_SOURCE_CONTINUE;
}

void Loop::FireDue() {
  // A call may add timers that are due at once: those wait for the next pass, or sockets would starve.
  const std::uint64_t before = next_;
  auto it = timers_.begin();
  while (it != timers_.end() && it->first.first <= now_) {
    if (it->first.second >= before) {
      ++it;
      continue;
    }
    const auto call = std::move(it->second);
    timers_.erase(it);
    call();
    it = timers_.begin();
  }
  Arm();
}

}  // namespace lynxgrade::net
