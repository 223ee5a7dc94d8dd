#include "fleet/slow_start.h"

#include <algorithm>

namespace lynxgrade::fleet {
namespace {

constexpr double kSafety = 0.7;  // of the rule's budget in use: the parts are estimates
constexpr double kGrowth = 0.4;  // more of it in the end, as what the member can do is under-rated ever more
constexpr double kLeastHold = 0.1;  // seconds

double Seconds(Duration d) { return static_cast<double>(d.count()) * 1e-6; }

double Grown(Duration age, Duration time) {
  return std::clamp(Seconds(age) / std::max(1e-6, Seconds(time)), 0.0, 1.0);
}

}  // namespace

double SlowStartRule::Share(Duration age) const { return start + (1 - start) * Grown(age, time); }

double SlowStartRule::Rate(Duration age, double carry) const {
  return kSafety * (1 + kGrowth * Grown(age, time)) * factor * Share(age) * carry;
}

double SlowStartRule::Hold() const { return std::max(kLeastHold, Seconds(fall) / 2); }

void WarmingTokenBucket::Begin(Duration now, const SlowStartRule& rule) {
  work_ = 0;
  at_ = now - rule.fall / 2;
}

double WarmingTokenBucket::Fill(Duration now, double rate, double hold, double most) {
  work_ = std::min(rate * hold, work_ + rate * std::min(Seconds(now - at_), most));
  at_ = now;
  return rate * hold;
}

}  // namespace lynxgrade::fleet
