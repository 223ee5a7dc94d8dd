// The event loop: one thread, one clock reading per pass, and a single GLib source for all timers.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "net/glib_ptr.h"
#include "net/poller.h"
#include "routing/balancer.h"

namespace lynxgrade::net {

// Runs GLib's default main context. The clock is monotonic, anchored once to Unix time when the loop is
// made: a Time is a count of microseconds since 1970 that never falls.
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // The time at which this pass over the sources began: the same for all that one pass brings.
  TimePoint Now() const { return now_; }
  // The clock as it stands at this moment; never behind Now().
  TimePoint PreciseNow() const;
  // What this pass brings has come no earlier than this: what comes during a long pass waits for the next
  // one, and what comes to a process that stands still waits until it goes on.
  TimePoint EarliestArrival() const { return since_; }

  Poller& poller() { return poller_; }

  void Run();
  void Stop() { running_ = false; }

  using TimerKey = std::pair<TimePoint, std::uint64_t>;
  TimerKey Schedule(TimePoint when, std::function<void()> call);
  void Cancel(const TimerKey& key);
  std::size_t timer_count() const { return timers_.size(); }

 private:
  static gint Poll(GPollFD* fds, guint count, gint timeout);
  static gboolean Fire(gpointer self);
  void FireDue();
  void Arm();

  Poller poller_;
  std::chrono::steady_clock::time_point anchor_;
  TimePoint unix_anchor_;
  TimePoint now_;
  TimePoint since_;
  bool running_ = false;
  std::uint64_t next_ = 0;
  std::map<TimerKey, std::function<void()>> timers_;
  SourcePtr source_;
};

// A one-shot timer, cancelled on destruction. Setting it again replaces the previous deadline.
class Timer {
 public:
  explicit Timer(Loop& loop) : loop_(&loop) {}
  ~Timer() { Cancel(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void ScheduleAt(TimePoint when, std::function<void()> call) {
    Cancel();
    armed_ = true;
    // The loop holds the call while it runs: it may set this timer anew, or destroy it.
    key_ = loop_->Schedule(when, [this, call = std::move(call)] {
      armed_ = false;
      call();
    });
  }
  void ScheduleAfter(Duration delay, std::function<void()> call) {
    ScheduleAt(loop_->Now() + delay, std::move(call));
  }
  void Cancel() {
    if (armed_) loop_->Cancel(key_);
    armed_ = false;
  }
  bool armed() const { return armed_; }
  std::optional<TimePoint> deadline() const { return armed_ ? std::optional(key_.first) : std::nullopt; }

 private:
  Loop* loop_;
  Loop::TimerKey key_{};
  bool armed_ = false;
};

}  // namespace lynxgrade::net
