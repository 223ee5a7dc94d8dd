#include "routing/decision_context.h"

namespace lynxgrade {

DecisionContext::DecisionContext(Settings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed) {}

void DecisionContext::BeginEvent(TimePoint now, Actions& actions) {
  now_ = now;
  actions_ = &actions;
}

void DecisionContext::SetTimer(TimerKind kind, Duration delay) {
  Emit(lynxgrade::SetTimer{TimerId(static_cast<std::uint64_t>(kind) << 32), delay});
}

void DecisionContext::SetRequestDeadline(RequestId request, Duration delay) {
  const auto kind = static_cast<std::uint64_t>(TimerKind::kRequestDeadline);
  Emit(lynxgrade::SetTimer{TimerId(kind << 32 | static_cast<std::uint64_t>(request)), delay, request});
}

Duration DecisionContext::Jitter(Duration duration) {
  return Scale(duration, std::uniform_real_distribution<double>(0.5, 1.5)(random_));
}

}  // namespace lynxgrade
