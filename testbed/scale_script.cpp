#include "scale_script.h"

#include <algorithm>
#include <cmath>

namespace lynxgrade::testbed {
namespace {

constexpr int kZones = 7, kZonesInFirstRegion = 4, kPoolersPerRack = 10;
constexpr int kMaxPoolers = 1000, kMaxDatabases = 2000, kMaxReal = 40, kMaxHosts = 40;
// Memory of each simulated pooler, rounded up from measurements with 40 and 205 poolers, of each real one,
// and of all other parts together.
constexpr double kMemoryMbPerPooler = 6, kMemoryMbPerPeer = 0.004, kMemoryMbOther = 200,
                 kMemoryMbPerRealPooler = 30;
constexpr std::size_t kMaxMemoryMb = 12 * 1024;  // half of the memory of the reference machine
// One UDP socket, one connection to discovery, and one for a reconnect while the former is still open.
constexpr int kDescriptorsPerPooler = 3, kDescriptorsOther = 100;
// Share of the cores that a run may use; the rest is left to the kernel and other processes.
constexpr double kUsableCoresShare = 0.8;
// Cores that a simulated pooler among many in one process uses, rounded up from measurements with 37 to 212
// poolers and 30 and 730 databases: base, per peer, additionally per peer that is sent watermarks, per
// database, and with a load per statement per second and additionally per watermark sent.
constexpr double kCoresPerPooler = 0.004, kCoresPerPeer = 2e-6, kCoresPerWatermarkPeer = 3.2e-4;
constexpr double kCoresPerDatabase = 3e-6, kCoresPerStatement = 3.8e-5, kCoresPerWatermark = 2.6e-4;
constexpr Duration kConvergenceGossip{3'000'000};  // gossip goes on after the membership has converged
// With a load: until the recall time (recall_s, 10 s) for writes acknowledged before the start has passed.
constexpr Duration kRecallWait{13'000'000};
constexpr Duration kMaxGossipTime{420'000'000};  // the time for 820 poolers; bounds the duration of a run
constexpr double kSecondsPerDay = 86400;
// The capacity target: failovers per day, the duration of a partition of the regions, and the databases' part
// of the 7 failed and 86 restarted machines per day, of 730 databases, 410 poolers and 7 others.
constexpr double kFailoversPerDay = 2, kPartitionSeconds = 300,
                 kListChangesPerDay = (7 + 86) * 730.0 / (730 + 410 + 7);
constexpr double kMachinesPerDay = 7 + 86, kConfigurationsPerDay = 290;

// A fraction of the measured time.
Duration FractionOfRun(const ScaleOptions& options, double fraction) {
  return Duration(static_cast<std::int64_t>(fraction * options.seconds * 1e6));
}

std::string FormatNumber(double number) {
  std::string digits = std::to_string(number);
  digits.erase(digits.find_last_not_of('0') + 1);
  if (digits.back() == '.') digits.pop_back();
  return digits;
}

// The simulated poolers whose placement fulfils the condition.
std::vector<int> SimulatedPoolersWhere(const ScaleOptions& options, auto&& condition) {
  std::vector<int> poolers;
  for (int i = options.real; i < options.poolers; ++i) {
    if (condition(PlacementOf(i, options.real))) poolers.push_back(i);
  }
  return poolers;
}

}  // namespace

std::vector<std::string> ScaleScriptNames() {
  return {"quiet", "load", "primaries", "replaced", "rack", "zone", "regions", "configuration"};
}

bool HasLoad(const std::string& script) { return script != "quiet"; }

double OwnReadsShare(const ScaleOptions& options) {
  return options.own_reads_share >= 0 ? options.own_reads_share : (1 - options.writes_share) / 2;
}

double EstimatedCores(const ScaleOptions& options) {
  const bool each = options.watermarks == "each";
  double cores = kCoresPerPooler + (kCoresPerPeer + (each ? kCoresPerWatermarkPeer : 0)) * options.poolers +
                 kCoresPerDatabase * options.databases;
  if (HasLoad(options.script)) {
    const double watermarks = each ? options.writes_share * options.poolers : 0;
    cores += options.statements_per_s * (kCoresPerStatement + kCoresPerWatermark * watermarks);
  }
  return cores * options.poolers;
}

bool IsOwner(const ScaleOptions& options, int pooler) {
  const int first = options.real + options.alone;
  return pooler >= first && pooler < first + options.owners;
}

int HostProcessCount(const ScaleOptions& options) {
  if (options.hosts > 0) return options.hosts;
  return std::clamp((options.poolers - options.real - options.alone - options.owners + 19) / 20, 1, 7);
}

Placement PlacementOf(int pooler, int real) {
  const int zone = pooler < real ? 0 : pooler % kZones;
  return {zone < kZonesInFirstRegion ? 0 : 1, zone, zone + kZones * (pooler / kZones / kPoolersPerRack)};
}

std::string ValidateScaleOptions(const ScaleOptions& options, const Machine& machine) {
  const auto range = [](const char* name, double value, double min, double max) {
    if (value >= min && value <= max) return std::string();
    return "--" + std::string(name) + " " + FormatNumber(value) + " is out of range: it must be between " +
           FormatNumber(min) + " and " + FormatNumber(max);
  };
  const auto scripts = ScaleScriptNames();
  if (std::ranges::find(scripts, options.script) == scripts.end()) {
    std::string known;
    for (const std::string& name : scripts) known += (known.empty() ? "" : ", ") + name;
    return "unknown script \"" + options.script + "\": it must be one of " + known;
  }
  const std::vector<std::string> exchanges = {"each", "directory", "directory-plain", "none"};
  if (std::ranges::find(exchanges, options.watermarks) == exchanges.end()) {
    return "--marks \"" + options.watermarks +
           "\" is unknown: it must be one of each, directory, directory-plain, none";
  }
  if (options.scope != "everywhere" && options.scope != "instance") {
    return "--scope \"" + options.scope + "\" is unknown: it must be one of everywhere, instance";
  }
  for (const std::string& problem :
       {range("poolers", options.poolers, 3, kMaxPoolers),
        range("databases", options.databases, 1, kMaxDatabases), range("real", options.real, 0, kMaxReal),
        range("seconds", options.seconds, 1, 600), range("hosts", options.hosts, 0, kMaxHosts),
        range("settle-s", options.settle_s, 1, 600), range("warm-s", options.warm_s, -1, 600),
        range("statements-per-s", options.statements_per_s, 0, 10000),
        range("writes-share", options.writes_share, 0, 1), range("roam-share", options.roam_share, 0, 1),
        range("own-reads-share", options.own_reads_share, -1, 1), range("alone", options.alone, 0, kMaxHosts),
        range("owners", options.owners, 0, kMaxHosts), range("bytes-per-s", options.bytes_per_s, 0, 1e9),
        range("coalesce-ms", options.coalesce_ms, 0, 100),
        range("changes-per-s", options.changes_per_s, -1, 100)}) {
    if (!problem.empty()) return problem;
  }
  if (options.poolers <= options.real)
    return "at least one pooler must be simulated: --poolers must be greater than --real";
  if (options.watermarks == "none" && options.real > 0) {
    return "real poolers always exchange watermarks: --marks none requires --real 0";
  }
  if (options.scope == "instance" && options.real > 0) {
    return "real poolers report their peers only with --scope everywhere: --scope instance requires --real 0";
  }
  const int simulated = options.poolers - options.real;
  const int separate = options.alone + options.owners;
  if (HostProcessCount(options) + separate > simulated) {
    return "there are more processes than simulated poolers: " +
           std::to_string(HostProcessCount(options) + separate) + " and " + std::to_string(simulated);
  }
  if (options.writes_share + OwnReadsShare(options) > 1) {
    return "--writes-share and --own-reads-share add up to more than 1";
  }
  if ((options.owners > 0 || options.bytes_per_s > 0) && options.watermarks.find("directory") != 0) {
    return "--owners and --bytes-per-s require --marks directory";
  }
  // The coordinator has discovery's watches and, with real poolers, a listener and connections for each
  // database.
  const auto poolers_per_host =
      static_cast<std::size_t>((simulated - separate) / HostProcessCount(options) + 1);
  const std::size_t coordinator =
      static_cast<std::size_t>(options.poolers * 2 + kDescriptorsOther) +
      (options.real > 0 ? static_cast<std::size_t>(options.databases * (1 + 2 * options.real)) : 0);
  const std::size_t descriptors =
      std::max(coordinator, poolers_per_host * kDescriptorsPerPooler + kDescriptorsOther);
  if (descriptors > machine.descriptors) {
    return "a process of the run needs " + std::to_string(descriptors) +
           " file descriptors and its limit is " + std::to_string(machine.descriptors);
  }
  const auto memory =
      static_cast<std::size_t>(simulated * (kMemoryMbPerPooler + kMemoryMbPerPeer * options.poolers) +
                               options.real * kMemoryMbPerRealPooler + kMemoryMbOther);
  const std::size_t usable_mb = std::min(machine.memory_mb, kMaxMemoryMb);
  if (memory > usable_mb) {
    return "the run needs " + std::to_string(memory) + " MB of memory and may use " +
           std::to_string(usable_mb);
  }
  if (const double cores = EstimatedCores(options); cores > machine.cores * kUsableCoresShare) {
    return "the run keeps an estimated " + FormatNumber(std::ceil(cores * 10) / 10) +
           " cores busy and may use " + FormatNumber(machine.cores * kUsableCoresShare) + " of " +
           FormatNumber(machine.cores);
  }
  return {};
}

std::vector<Step> MakeSteps(const ScaleOptions& options, int groups) {
  using Action = Step::Action;
  const auto& name = options.script;
  std::vector<Step> steps;
  if (name == "primaries") {
    // One failover every 4 s, each in another group; the last one is completed before the end.
    int group = 0;
    for (int at = 1; at + 6 <= options.seconds || at == 1; at += 4) {
      steps.push_back({Duration(at * 1'000'000), Action::kPrimary, {group++ % groups}});
    }
  } else if (name == "replaced") {
    // A tenth of the simulated poolers, at most eight, one after the other and each once; no lease manager.
    auto all = SimulatedPoolersWhere(options, [](const Placement&) { return true; });
    std::erase_if(all, [&](int pooler) { return IsOwner(options, pooler); });
    const std::size_t count = std::clamp<std::size_t>(all.size() / 10, 1, 8);
    for (std::size_t i = 0; i < count; ++i) {
      steps.push_back(
          {FractionOfRun(options, 0.1 + 0.5 * static_cast<double>(i) / static_cast<double>(count)),
           Action::kReplace,
           {all[i]}});
    }
  } else if (name == "rack" || name == "zone") {
    const auto failed = SimulatedPoolersWhere(options, [&](const Placement& place) {
      return place.zone == kZones - 1 && (name == "zone" || place.rack == kZones - 1);
    });
    steps.push_back({FractionOfRun(options, 0.2), Action::kKill, failed});
    steps.push_back({FractionOfRun(options, 0.6), Action::kRestart, failed});
  } else if (name == "regions") {
    steps.push_back(
        {FractionOfRun(options, 0.15), Action::kCut,
         SimulatedPoolersWhere(options, [](const Placement& place) { return place.region == 1; })});
    steps.push_back({FractionOfRun(options, 0.6), Action::kHeal, {}});
  } else if (name == "configuration") {
    steps.push_back({FractionOfRun(options, 0.3), Action::kConfiguration, {}});
  }
  return steps;
}

// Gossip is piggybacked on packets. Unless watermarks go to all instances there are few of them: each pooler
// sends the state of each member about 3 log2(n) times, six states in a packet, ten packets per second.
Duration StartupGossipTime(const ScaleOptions& options) {
  const Duration time = HasLoad(options.script) ? kRecallWait : kConvergenceGossip;
  if (options.watermarks == "each") return time;
  const double n = options.poolers;
  return std::min(kMaxGossipTime,
                  time + Duration(static_cast<std::int64_t>(1e6 * n * 3 * std::log2(n + 2) / 60)));
}

double ListChangesPerS(const ScaleOptions& options) {
  if (options.changes_per_s >= 0) return options.changes_per_s;
  return HasLoad(options.script) ? 0.2 : 0;
}

double ScriptSpeedup(const ScaleOptions& options, int groups) {
  const auto steps = MakeSteps(options, groups);
  const double events_per_day = static_cast<double>(steps.size()) * kSecondsPerDay / options.seconds;
  if (options.script == "primaries") return events_per_day / kFailoversPerDay;
  if (options.script == "replaced") return events_per_day / kMachinesPerDay;
  if (options.script == "configuration") return events_per_day / kConfigurationsPerDay;
  if (options.script == "regions") return kPartitionSeconds / (0.45 * options.seconds);
  return 1;
}

double ListSpeedup(const ScaleOptions& options) {
  const double changes = ListChangesPerS(options);
  return changes == 0 ? 1 : changes * kSecondsPerDay / kListChangesPerDay;
}

}  // namespace lynxgrade::testbed
