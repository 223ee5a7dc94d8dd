// Tests of a whole fleet: the load that all instances together put on warming and ended servers.
#include "fleet/routing_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

#include "fleet/fleet_size.h"

namespace lynxgrade {
namespace {

TEST_CASE("a fleet uses a warming server without overloading it") {
  for (const std::uint32_t instances : {1u, 3u, 30u, 100u, 300u}) {
    for (const bool uneven : {false, true}) {
      CAPTURE(instances);
      CAPTURE(uneven);
      const RoutingFleet fleet({.instances = instances,
                                .configured_instances = instances,
                                .uneven_traffic = uneven,
                                .seed = 11 + instances});
      CHECK(fleet.MaxOverload() < 1);
      // Lower at 300 instances, some of which see a request only every few seconds: 0.44 if traffic is
      // uneven.
      CHECK(fleet.MinUtilization() > (instances > 100 ? 0.4 : 0.58));
    }
  }
}

// The operators tolerate a random excess of 2 sqrt(N) + 2 calls over N allowed ones, for any number of
// instances that share a server's allowance.
TEST_CASE("a fleet exceeds the allowance of a warming server only within the tolerated random excess") {
  for (const std::uint32_t instances : {1u, 3u, 20u, 30u, 300u}) {
    double max_excess = -9, min_utilization = 9;
    std::mutex mutex;  // guards both
    std::atomic<std::uint64_t> seeds{0};
    const auto run_seeds = [&] {  // the result of a seed does not depend on the thread that runs it
      for (std::uint64_t seed = ++seeds; seed <= 50; seed = ++seeds) {
        const RoutingFleet fleet({.instances = instances,
                                  .configured_instances = instances,
                                  .uneven_traffic = seed % 2 == 0,
                                  .seed = 700 + seed,
                                  .health_check_price = 0.038,
                                  .restarts = seed % 3 == 0});
        const std::lock_guard lock(mutex);
        max_excess = std::max(max_excess, fleet.MaxExcess());
        min_utilization = std::min(min_utilization, fleet.MinUtilization());
      }
    };
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < std::max(1u, std::thread::hardware_concurrency()); ++i)
      workers.emplace_back(run_seeds);
    for (std::thread& worker : workers) worker.join();
    CAPTURE(instances);
    CHECK(max_excess < 1);
    MESSAGE(instances, " instances: maximum excess ", max_excess,
            " of the tolerated one; minimum utilization ", min_utilization);
  }
}

// With an assumed fleet size of 1, each of 300 instances would send a warming server its whole allowance.
TEST_CASE("a fleet of unconfigured size does not overload warming servers") {
  CHECK(RoutingFleet({.instances = 300, .configured_instances = 0, .uneven_traffic = true, .seed = 311})
            .MaxOverload() < 1);
  CHECK(fleet::EffectiveFleetSize(0) >= 300);
  CHECK(fleet::EffectiveFleetSize(7) == 7);
}

// If each of 300 instances checked servers for every waiting write or stale position, the checks alone would
// be a noticeable load.
TEST_CASE("the health checks of a fleet stay within their budget for any fleet size") {
  constexpr double kPrice = 0.038, kBudgetFraction = 0.004, kInitialBudget = 20;
  for (const std::uint32_t instances : {1u, 3u, 30u, 100u, 300u}) {
    for (const std::uint32_t ended : {0u, 9u}) {
      CAPTURE(instances);
      CAPTURE(ended);
      const RoutingFleet fleet({.instances = instances,
                                .configured_instances = instances,
                                .uneven_traffic = true,
                                .seed = 40 + instances,
                                .health_check_price = kPrice,
                                .ended_server = ended});
      // Each start of an instance begins with a full budget.
      CHECK(fleet.health_checks() <=
            kBudgetFraction / kPrice * fleet.requests() + kInitialBudget * fleet.starts());
      CHECK(fleet.health_checks() > 0);
    }
  }
}

TEST_CASE("connects to a listed server whose process has ended back off, and cost no other connections") {
  for (const std::uint32_t instances : {1u, 3u, 30u, 100u, 300u}) {
    CAPTURE(instances);
    const RoutingFleet healthy({.instances = instances,
                                .configured_instances = instances,
                                .uneven_traffic = true,
                                .seed = 50 + instances});
    const RoutingFleet with_ended_server({.instances = instances,
                                          .configured_instances = instances,
                                          .uneven_traffic = true,
                                          .seed = 50 + instances,
                                          .ended_server = 9});
    // Its requests go to other servers, some of which have no idle connection.
    CHECK(with_ended_server.connects() <= 1.15 * healthy.connects());
    CHECK(healthy.connects() <= (instances > 30 ? 0.6 : 0.15) * healthy.requests());
    CHECK(with_ended_server.refused() > 0);
    // The backoff doubles from 50 ms to 3.2 s: 7 refusals in the first 6 s, and then at most one per 1.6 s,
    // half of the longest backoff because of jitter.
    CHECK(with_ended_server.refused() <= with_ended_server.starts() * (7 + 17 / 1.6));
    MESSAGE(instances, ": ", healthy.connects(), " connects, ", with_ended_server.connects(),
            " with one server ended, ", with_ended_server.refused(), " refused");
  }
}

}  // namespace
}  // namespace lynxgrade
