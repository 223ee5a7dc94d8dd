// What must hold over a whole fleet: what all instances together send to warming and ended servers.
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

TEST_CASE("what all instances send a warming server stays under what overloads it, and uses it") {
  for (const std::uint32_t instances : {1u, 3u, 30u, 100u, 300u}) {
    for (const bool uneven : {false, true}) {
      CAPTURE(instances);
      CAPTURE(uneven);
      const RoutingFleet fleet({.instances = instances,
                                .configured_instances = instances,
                                .uneven_traffic = uneven,
                                .seed = 11 + instances});
      CHECK(fleet.WorstOverload() < 1);
      // At 300, some of which see a request every few seconds, less: 0.44 where traffic is uneven.
      CHECK(fleet.LeastUtilization() > (instances > 100 ? 0.4 : 0.58));
    }
  }
}

// The operators put down to chance what is within 2 x root of N + 2 beyond N calls, however many processes
// share a server's budget, and whatever they share nothing of.
TEST_CASE(
    "beyond what a warming server may be sent, all instances together stay within what chance excuses") {
  for (const std::uint32_t instances : {1u, 3u, 20u, 30u, 300u}) {
    double worst = -9, least = 9;
    std::mutex of_both;
    std::atomic<std::uint64_t> seeds{0};
    const auto run_seeds = [&] {  // each seed runs by itself, whichever thread runs it
      for (std::uint64_t seed = ++seeds; seed <= 50; seed = ++seeds) {
        const RoutingFleet fleet({.instances = instances,
                                  .configured_instances = instances,
                                  .uneven_traffic = seed % 2 == 0,
                                  .seed = 700 + seed,
                                  .health_check_price = 0.038,
                                  .restarts = seed % 3 == 0});
        const std::lock_guard lock(of_both);
        worst = std::max(worst, fleet.WorstExcessOverChance());
        least = std::min(least, fleet.LeastUtilization());
      }
    };
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < std::max(1u, std::thread::hardware_concurrency()); ++i)
      workers.emplace_back(run_seeds);
    for (std::thread& worker : workers) worker.join();
    CAPTURE(instances);
    CHECK(worst < 1);
    MESSAGE(instances, ": worst ", worst, " of what chance excuses; least used ", least);
  }
}

// Taken for the only one, each of 300 instances would send a warming server all that it may be sent.
TEST_CASE("a fleet that is not configured with its size spares warming servers all the same") {
  CHECK(RoutingFleet({.instances = 300, .configured_instances = 0, .uneven_traffic = true, .seed = 311})
            .WorstOverload() < 1);
  CHECK(fleet::EffectiveFleetSize(0) >= 300);
  CHECK(fleet::EffectiveFleetSize(7) == 7);
}

// What each instance does alone adds up: at 300 a health check each for a waiting write, or for each position
// that has grown old, would be a load of its own.
TEST_CASE("the health checks of a fleet stay within their part of the goal, whatever its size") {
  constexpr double kPrice = 0.038, kPoints = 0.004, kBurst = 20;
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
      // Each start has a few in hand.
      CHECK(fleet.health_checks() <= kPoints / kPrice * fleet.requests() + kBurst * fleet.starts());
      CHECK(fleet.health_checks() > 0);
    }
  }
}

TEST_CASE("a listed process that has ended is dialled ever less often, and costs no others a connection") {
  for (const std::uint32_t instances : {1u, 3u, 30u, 100u, 300u}) {
    CAPTURE(instances);
    const RoutingFleet sound({.instances = instances,
                              .configured_instances = instances,
                              .uneven_traffic = true,
                              .seed = 50 + instances});
    const RoutingFleet one({.instances = instances,
                            .configured_instances = instances,
                            .uneven_traffic = true,
                            .seed = 50 + instances,
                            .ended_server = 9});
    // Those that would have gone to it go to other servers, some of which have no idle connection.
    CHECK(one.connects() <= 1.15 * sound.connects());
    CHECK(sound.connects() <= (instances > 30 ? 0.6 : 0.15) * sound.requests());
    CHECK(one.refused() > 0);
    // 50 ms to 3.2 s, doubling: seven in the first six seconds, then one in half of the longest at the least.
    CHECK(one.refused() <= one.starts() * (7 + 17 / 1.6));
    MESSAGE(instances, ": ", sound.connects(), " connects, ", one.connects(), " with one ended, ",
            one.refused(), " refused");
  }
}

}  // namespace
}  // namespace lynxgrade
