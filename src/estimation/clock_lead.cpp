#include "estimation/clock_lead.h"

#include <algorithm>

namespace lynxgrade::estimation {
namespace {

constexpr Duration kPeriod{10000000};

}  // namespace

void ClockLead::LargestTwo::Add(Duration lead) {
  second = std::max(second, std::min(largest, lead));
  largest = std::max(largest, lead);
}

void ClockLead::Record(Instant received, Instant position) {
  if (position <= received) return;
  Advance(received);
  current_period_.Add(position - received);
}

Duration ClockLead::At(Instant now) const {
  const Duration age = now - period_start_;
  if (age >= 2 * kPeriod) return Duration{0};
  LargestTwo recent = current_period_;
  if (age < kPeriod) {
    recent.Add(previous_period_.largest);
    recent.Add(previous_period_.second);
  }
  return recent.second;
}

void ClockLead::Advance(Instant now) {
  if (now - period_start_ < kPeriod) return;
  previous_period_ = now - period_start_ < 2 * kPeriod ? current_period_ : LargestTwo{};
  current_period_ = LargestTwo{};
  period_start_ = now;
}

}  // namespace lynxgrade::estimation
