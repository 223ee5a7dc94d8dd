// The event loop: one thread, one clock reading per pass, and one GLib source for all timers.
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

// Runs GLib's default main context; there is one loop per process, and it is to be used on one thread. Its
// clock is monotonic and set to Unix time when the loop is created: a TimePoint counts microseconds since
// 1970 and never decreases.
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // When the current pass over the sources began: the same time for all events of one pass.
  TimePoint Now() const { return now_; }
  // The current time of the clock; never before Now().
  TimePoint PreciseNow() const;
  // The events of the current pass have arrived no earlier than this. They may have arrived before Now():
  // during the previous pass, or while the process was stopped.
  TimePoint EarliestArrival() const { return earliest_arrival_; }
  // The end of the latest stall: of a pass that was long, or of a time in which the process was stopped.
  TimePoint last_stall() const { return last_stall_; }

  Poller& poller() { return poller_; }

  void Run();
  void Stop() { running_ = false; }

  using TimerKey = std::pair<TimePoint, std::uint64_t>;  // deadline and number
  // Calls `callback` once, in the first pass that begins at `when` or later.
  TimerKey Schedule(TimePoint when, std::function<void()> callback);
  void Cancel(const TimerKey& key);
  std::size_t timer_count() const { return timers_.size(); }

 private:
  static gint Poll(GPollFD* fds, guint count, gint timeout);
  static gboolean OnTimersDue(gpointer self);
  void FireDueTimers();
  void ArmSource();

  Poller poller_;
  std::chrono::steady_clock::time_point anchor_;
  TimePoint unix_anchor_;
  TimePoint now_;
  TimePoint earliest_arrival_;
  TimePoint last_stall_{};
  bool running_ = false;
  std::uint64_t next_timer_number_ = 0;
  std::map<TimerKey, std::function<void()>> timers_;
  SourcePtr source_;
};

// A one-shot timer, cancelled by its destructor. Scheduling it again replaces the previous deadline.
class Timer {
 public:
  explicit Timer(Loop& loop) : loop_(&loop) {}
  ~Timer() { Cancel(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void ScheduleAt(TimePoint when, std::function<void()> callback) {
    Cancel();
    armed_ = true;
    // The loop owns the callback while it runs, so the callback may reschedule or destroy this timer.
    key_ = loop_->Schedule(when, [this, callback = std::move(callback)] {
      armed_ = false;
      callback();
    });
  }
  void ScheduleAfter(Duration delay, std::function<void()> callback) {
    ScheduleAt(loop_->Now() + delay, std::move(callback));
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
