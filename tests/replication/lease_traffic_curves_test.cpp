// Measures the traffic of session leases by size of the fleet; by hand, as it is skipped.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

#include "replication/lease_fleet.h"

namespace lynxgrade::replication {
namespace {

double FromEnvironment(const char* name, double otherwise) {
  const char* text = std::getenv(name);
  return text != nullptr ? std::atof(text) : otherwise;
}

std::vector<double> ListFromEnvironment(const char* name, const char* otherwise) {
  const char* given = std::getenv(name);
  std::vector<double> all;
  for (std::string text = given != nullptr ? given : otherwise; !text.empty();) {
    std::size_t used = 0;
    all.push_back(std::stod(text, &used));
    text.erase(0, used);
  }
  return all;
}

// By hand: bytes a second, sent and taken together, by size, share of roaming and way. The environment says
// SIZES, of poolers; OWNERS, set aside beside them; ROAM, in a hundred; TIMES, of the load; READS, own-reads
// a write; BYTES_PER_S, the budget; COALESCE_MS while that is short; ASKS a second; SETTLE_S after the start;
// EACH_UP_TO which size the other way is played too.
// NOLINTNEXTLINE(readability-function-cognitive-complexity): one table, run by hand
TEST_CASE("leases: traffic curves" * doctest::skip()) {
  const auto owners = static_cast<std::size_t>(FromEnvironment("OWNERS", 0));
  const double times = FromEnvironment("TIMES", 1);
  for (const double poolers : ListFromEnvironment("SIZES", "16 64")) {
    for (const Way way : {Way::kLeases, Way::kBroadcast}) {
      if (way == Way::kBroadcast && poolers > FromEnvironment("EACH_UP_TO", 16)) continue;
      for (const double roam : ListFromEnvironment("ROAM", "1 10")) {
        Options options{way, 0, FromEnvironment("ASKS", 20)};
        options.owners = owners;
        options.bytes_per_s = FromEnvironment("BYTES_PER_S", 0);
        options.coalesce = Duration(static_cast<std::int64_t>(FromEnvironment("COALESCE_MS", 0) * 1000));
        options.reads_a_write = FromEnvironment("READS", 2);
        const std::size_t size = static_cast<std::size_t>(poolers) + owners;
        Fleet fleet(size, options);
        // The group's reign began long ago, as it mostly has.
        for (const auto& node : fleet.nodes) {
          const LogPosition since = fleet.now - kSecond * 3600;
          node->consistency_guard.LearnTimeline(kGroup, kPrimary, since, since, fleet.now);
        }
        const bool whole = fleet.UntilWhole(kSecond * 30);
        // News of the start goes round for long in a large fleet.
        fleet.Pass(kSecond * static_cast<std::int64_t>(FromEnvironment("SETTLE_S", 2)));
        const auto begin = [&] {
          std::ranges::fill(fleet.bytes_out, 0);
          std::ranges::fill(fleet.bytes_in, 0);
          std::ranges::fill(fleet.spent, 0);
          fleet.directory_bytes = fleet.directory_packets = fleet.directory_entries = fleet.packets = 0;
        };
        // Of poolers, or of owners set aside, in the mean a second.
        const auto mean = [&](bool aside, double seconds) {
          double sum = 0;
          for (std::size_t i = 0; i < size; ++i) {
            if (fleet.Aside(i) == aside) sum += static_cast<double>(fleet.bytes_out[i] + fleet.bytes_in[i]);
          }
          return sum / seconds /
                 static_cast<double>(std::max<std::size_t>(1, aside ? owners : size - owners));
        };
        begin();
        fleet.Pass(kSecond * 2);
        const double quiet = mean(false, 2);
        fleet.Load(kSecond * 4, 51 * times, static_cast<int>(roam), true);
        begin();
        fleet.waited_ms.clear();
        fleet.reads_done = fleet.conservative = 0;
        const double seconds = FromEnvironment("MEASURE_S", size > 100 ? 2 : 4);
        const std::clock_t before = std::clock();
        fleet.Load(kSecond * static_cast<std::int64_t>(seconds), 51 * times, static_cast<int>(roam));
        const double cpu =
            static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC / seconds / static_cast<double>(size);
        std::clock_t spent = 0;
        for (const std::clock_t one : fleet.spent) spent += one;
        std::ranges::sort(fleet.waited_ms);
        std::vector<std::uint64_t> each;
        for (std::size_t i = 0; i < fleet.Poolers(); ++i)
          each.push_back(fleet.bytes_out[i] + fleet.bytes_in[i]);
        const double most = static_cast<double>(*std::ranges::max_element(each)) / seconds;
        const double of_each = seconds * static_cast<double>(fleet.Poolers());
        const double of_all = seconds * static_cast<double>(size);
        std::printf(
            "%s poolers %zu owners %zu roam %.0f%% times %.1f whole %d: quiet %.0f B/s; a pooler %.0f B/s in "
            "and out, at most %.0f, an owner %.0f; directory, each of all %.0f, %.2f messages a packet, "
            "%.0f bytes a packet; writes %.1f/s, answer waits p50 %.0f p99 %.0f ms; reads %.1f/s, "
            "conservative %d of %d, stale %d, writes not in time %d; cpu %.4f with the network's, of an "
            "owner %.4f\n",
            way == Way::kBroadcast ? "each" : "directory", fleet.Poolers(), owners, roam, times, whole, quiet,
            mean(false, seconds), most, mean(true, seconds),
            static_cast<double>(fleet.directory_bytes) * 2 / of_all,
            static_cast<double>(fleet.directory_entries) /
                static_cast<double>(std::max<std::uint64_t>(1, fleet.directory_packets)),
            static_cast<double>(fleet.directory_bytes) /
                static_cast<double>(std::max<std::uint64_t>(1, fleet.directory_packets)),
            static_cast<double>(fleet.waited_ms.size()) / of_each,
            fleet.waited_ms[fleet.waited_ms.size() / 2], fleet.waited_ms[fleet.waited_ms.size() * 99 / 100],
            static_cast<double>(fleet.reads_done) / of_each, fleet.conservative, fleet.reads_done,
            fleet.stale, fleet.writes_failed, cpu,
            static_cast<double>(spent) / CLOCKS_PER_SEC / seconds /
                static_cast<double>(std::max<std::size_t>(1, owners)));
        std::fflush(stdout);
      }
    }
  }
}

}  // namespace
}  // namespace lynxgrade::replication
