// What every part of the decision module shares while one event is handled: the settings, the time of the
// event, the seeded random engine and the list of actions that the event results in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>

#include "estimation/duration.h"
#include "routing/actions.h"
#include "routing/request.h"
#include "routing/settings.h"

namespace lynxgrade {

// Interval of the periodic tick, and the unit in which waits and ejections are counted.
inline constexpr Duration kTickInterval{50000};

// The upper half of a timer id; the lower half is the id of a request where the timer belongs to one.
enum class TimerKind : std::uint64_t { kRequestDeadline = 1, kPeriodicTick = 2, kWatchEndpointList = 3 };

class DecisionContext {
 public:
  DecisionContext(Settings settings, std::uint64_t seed);

  // Starts the handling of one event. `actions` must outlive it.
  void BeginEvent(TimePoint now, Actions& actions);

  const Settings& settings() const { return settings_; }
  const RequestClass& ClassOf(const Request& request) const {
    return settings_.classes[request.event.request_class];
  }
  bool NeedsPrimary(const Request& request) const { return lynxgrade::NeedsPrimary(ClassOf(request)); }

  // The time of the event, and the same as a duration since the clock's zero, which the estimators use.
  TimePoint now() const { return now_; }
  Duration now_since_epoch() const { return now_.time_since_epoch(); }

  void Emit(Action action) { actions_->push_back(std::move(action)); }
  void SetTimer(TimerKind kind, Duration delay, std::uint64_t request_id = 0);

  // Notes that waiting requests may be routable now; they are routed anew at the end of the event.
  void RequestRetryOfWaiting() { retry_waiting_ = true; }
  bool IsRetryOfWaitingRequested() const { return retry_waiting_; }
  void ClearRetryOfWaiting() { retry_waiting_ = false; }

  // Uniform in [0, 1).
  double DrawUniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  // True with the given probability; below 0 counts as 0, above 1 as 1.
  bool DrawChance(double probability) { return DrawUniform() < probability; }
  // An index below `size`, which must not be 0.
  std::size_t DrawIndex(std::size_t size) { return random_() % size; }
  // `duration` times a factor that is uniform in [0.5, 1.5), so that instances do not act in step.
  Duration Jitter(Duration duration);
  std::mt19937_64& random_engine() { return random_; }

 private:
  Settings settings_;
  std::mt19937_64 random_;
  TimePoint now_{};
  Actions* actions_ = nullptr;
  bool retry_waiting_ = false;
};

}  // namespace lynxgrade
