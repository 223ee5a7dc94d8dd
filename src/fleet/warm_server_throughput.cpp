#include "fleet/warm_server_throughput.h"

#include <algorithm>
#include <cmath>

namespace lynxgrade::fleet {
namespace {

constexpr double kOver = 5;  // seconds: short beside a warm-up, long beside a burst

}  // namespace

void WarmServerThroughput::End(double span, double warm) {
  const double keep = std::exp(-span / kOver);
  rate_ = rate_ * keep + work_ / span / std::max(1.0, warm) * (1 - keep);
  work_ = 0;
}

}  // namespace lynxgrade::fleet
