#include "fleet/warm_server_throughput.h"

#include <algorithm>
#include <cmath>

namespace lynxgrade::fleet {
namespace {

constexpr double kTimeConstantSeconds = 5;  // shorter than a slow start, longer than a burst

}  // namespace

void WarmServerThroughput::EndInterval(double seconds, double warm_servers) {
  const double keep = std::exp(-seconds / kTimeConstantSeconds);
  rate_ = rate_ * keep + work_ / seconds / std::max(1.0, warm_servers) * (1 - keep);
  work_ = 0;
}

}  // namespace lynxgrade::fleet
