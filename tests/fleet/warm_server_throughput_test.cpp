// Tests of WarmServerThroughput.
#include "fleet/warm_server_throughput.h"

#include <doctest/doctest.h>

#include <cmath>

namespace lynxgrade {
namespace {

TEST_CASE("the throughput per warm server is a moving average over about 5 s") {
  fleet::WarmServerThroughput throughput;
  for (int i = 0; i < 600; ++i) {
    throughput.RecordWork(0.1);
    throughput.EndInterval(0.05, 4);
  }
  CHECK(throughput.PerSecond() == doctest::Approx(0.5).epsilon(0.02));
  for (int i = 0; i < 100; ++i) throughput.EndInterval(0.05, 4);
  CHECK(throughput.PerSecond() == doctest::Approx(0.5 * std::exp(-1)).epsilon(0.02));
}

}  // namespace
}  // namespace lynxgrade
