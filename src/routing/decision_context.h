// State that all parts of the decision module share: the settings, the seeded random engine, and, while an
// event is handled, its time and the list of resulting actions.
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

// Interval of the periodic tick, pause between attempts of a waiting request, and unit of ejection times.
inline constexpr Duration kTickInterval{50000};

// The upper 32 bits of a timer id. The lower 32 bits are the request id if the timer belongs to a request.
enum class TimerKind : std::uint64_t { kRequestDeadline = 1, kPeriodicTick = 2, kWatchEndpointList = 3 };

class DecisionContext {
 public:
  DecisionContext(Settings settings, std::uint64_t seed);

  // Starts handling an event. `actions` must stay valid until the event has been handled.
  void BeginEvent(TimePoint now, Actions& actions);

  const Settings& settings() const { return settings_; }
  const RequestClass& ClassOf(const Request& request) const {
    return settings_.classes[request.event.request_class];
  }
  bool NeedsPrimary(const Request& request) const { return lynxgrade::NeedsPrimary(ClassOf(request)); }

  // The time of the event, and the same time as a duration, which the estimators use.
  TimePoint now() const { return now_; }
  Duration now_since_epoch() const { return now_.time_since_epoch(); }

  void Emit(Action action) { actions_->push_back(std::move(action)); }
  void SetTimer(TimerKind kind, Duration delay);
  void SetRequestDeadline(RequestId request, Duration delay);

  // Requests that waiting requests are routed again at the end of the event, as some may be routable now.
  void RequestRetryOfWaiting() { retry_waiting_ = true; }
  bool IsRetryOfWaitingRequested() const { return retry_waiting_; }
  void ClearRetryOfWaiting() { retry_waiting_ = false; }

  // Uniform in [0, 1).
  double DrawUniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  // True with the given probability, clamped to [0, 1].
  bool DrawBernoulli(double probability) { return DrawUniform() < probability; }
  // Uniform in [0, size); `size` must not be 0.
  std::size_t DrawIndex(std::size_t size) { return random_() % size; }
  // `duration` times a uniform factor in [0.5, 1.5), which keeps instances from acting simultaneously.
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
