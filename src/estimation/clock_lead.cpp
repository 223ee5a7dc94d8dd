#include "estimation/clock_lead.h"

#include <algorithm>

namespace lynxgrade::estimation {
namespace {

constexpr Duration kPeriod{10000000};

}  // namespace

void ClockLead::Record(Instant received, Instant position) {
  if (position <= received) return;
  Advance(received);
  current_period_ = std::max(current_period_, position - received);
}

Duration ClockLead::At(Instant now) const {
  const Duration age = now - period_start_;
  if (age < kPeriod) return std::max(current_period_, previous_period_);
  return age < 2 * kPeriod ? current_period_ : Duration{0};
}

void ClockLead::Advance(Instant now) {
  if (now - period_start_ < kPeriod) return;
  previous_period_ = now - period_start_ < 2 * kPeriod ? current_period_ : Duration{0};
  current_period_ = Duration{0};
  period_start_ = now;
}

}  // namespace lynxgrade::estimation
