#include "estimate/stay.h"

#include <algorithm>

namespace lynxgrade::estimate {
namespace {

constexpr double kGain = 0.1;  // EWMA gain: about the last ten that tell something

}  // namespace

void Stay::Seen(double aims, bool left) {
  if (left == (aims < aims_)) aims_ += kGain * (std::min(aims, kMost) - aims_);
}

double Stay::Part() const { return std::min(1.0, aims_); }

}  // namespace lynxgrade::estimate
