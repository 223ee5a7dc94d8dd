#include "scale_script.h"

#include <algorithm>
#include <cmath>

namespace lynxgrade::testbed {
namespace {

constexpr int kZones = 7, kZonesOfFirst = 4, kRackOf = 10;
constexpr int kMostPoolers = 1000, kMostDatabases = 2000, kMostReal = 40, kMostHosts = 40;
// Of each hollow pooler, rounded up from what was measured at 40 and 205; and of the stand-ins.
constexpr double kMemoryMbEach = 6, kMemoryMbAPeer = 0.004, kMemoryMbRest = 200, kMemoryMbReal = 30;
constexpr std::size_t kMostMemoryMb = 12 * 1024;  // half of the machine that this is played on
// A socket to the others, one to discovery, and one that may be opened anew beside it.
constexpr int kDescriptorsEach = 3, kDescriptorsRest = 100;
// Of the machine's cores, the others are for the kernel and for what else runs there.
constexpr double kCoresPart = 0.8;
// Cores of a hollow pooler among many in one process, rounded up from what was measured at 37 to 212 with 30
// and 730 databases: by itself, for each of the others, and for each of them that is told marks; for each
// database; and with a load for each statement a second, and for each mark that is told.
constexpr double kCoresEach = 0.004, kCoresAPeer = 2e-6, kCoresAPeerWithMarks = 3.2e-4;
constexpr double kCoresADatabase = 3e-6, kCoresAStatement = 3.8e-5, kCoresAMark = 2.6e-4;
constexpr Duration kMeeting{3'000'000};  // its news is still under way when all have met
// With a load, until what may have been answered before the start does not matter any more (recall_s).
constexpr Duration kRecalled{13'000'000};
constexpr Duration kLongestNews{420'000'000};  // that of 820; a run stays bounded
constexpr double kDay = 86400;
// The target: changes of primary a day; a cut of regions; and of 7 failed and 86 restarted machines a day the
// 730 databases' part among 410 poolers and 7 others.
constexpr double kPrimariesADay = 2, kCutSeconds = 300, kListChangesADay = (7 + 86) * 730.0 / (730 + 410 + 7);
constexpr double kMachinesADay = 7 + 86, kConfigurationsADay = 290;

Duration Part(const ScaleOptions& options, double part) {
  return Duration(static_cast<std::int64_t>(part * options.seconds * 1e6));
}

std::string Number(double number) {
  std::string digits = std::to_string(number);
  digits.erase(digits.find_last_not_of('0') + 1);
  if (digits.back() == '.') digits.pop_back();
  return digits;
}

std::vector<int> SimulatedPooler(const ScaleOptions& options, auto&& holds) {
  std::vector<int> who;
  for (int i = options.real; i < options.poolers; ++i) {
    if (holds(PlaceOf(i, options.real))) who.push_back(i);
  }
  return who;
}

}  // namespace

std::vector<std::string> ScaleScripts() {
  return {"quiet", "load", "primaries", "replaced", "rack", "zone", "regions", "configuration"};
}

bool HasLoad(const std::string& script) { return script != "quiet"; }

double OwnReadsShare(const ScaleOptions& options) {
  return options.own_reads_share >= 0 ? options.own_reads_share : (1 - options.writes_share) / 2;
}

double CoresFor(const ScaleOptions& options) {
  const bool each = options.watermarks == "each";
  double cores = kCoresEach + (kCoresAPeer + (each ? kCoresAPeerWithMarks : 0)) * options.poolers +
                 kCoresADatabase * options.databases;
  if (HasLoad(options.script)) {
    const double watermarks = each ? options.writes_share * options.poolers : 0;
    cores += options.statements_per_s * (kCoresAStatement + kCoresAMark * watermarks);
  }
  return cores * options.poolers;
}

bool IsOwner(const ScaleOptions& options, int pooler) {
  const int first = options.real + options.alone;
  return pooler >= first && pooler < first + options.owners;
}

int HostsFor(const ScaleOptions& options) {
  if (options.hosts > 0) return options.hosts;
  return std::clamp((options.poolers - options.real - options.alone - options.owners + 19) / 20, 1, 7);
}

Place PlaceOf(int pooler, int real) {
  const int zone = pooler < real ? 0 : pooler % kZones;
  return {zone < kZonesOfFirst ? 0 : 1, zone, zone + kZones * (pooler / kZones / kRackOf)};
}

std::string WhyNotPlayed(const ScaleOptions& options, const Machine& machine) {
  const auto range = [](const char* name, double value, double least, double most) {
    if (value >= least && value <= most) return std::string();
    return "--" + std::string(name) + " " + Number(value) + " cannot be played: it has to lie between " +
           Number(least) + " and " + Number(most);
  };
  const auto scripts = ScaleScripts();
  if (std::ranges::find(scripts, options.script) == scripts.end()) {
    std::string known;
    for (const std::string& one : scripts) known += (known.empty() ? "" : ", ") + one;
    return "there is no script \"" + options.script + "\": " + known;
  }
  const std::vector<std::string> ways = {"each", "directory", "directory-plain", "none"};
  if (std::ranges::find(ways, options.watermarks) == ways.end()) {
    return "marks cannot be exchanged by \"" + options.watermarks +
           "\": each, directory, directory-plain, none";
  }
  if (options.scope != "everywhere" && options.scope != "instance") {
    return "the sessions' scope is not \"" + options.scope + "\": everywhere, instance";
  }
  for (const std::string& wrong :
       {range("poolers", options.poolers, 3, kMostPoolers),
        range("databases", options.databases, 1, kMostDatabases), range("real", options.real, 0, kMostReal),
        range("seconds", options.seconds, 1, 600), range("hosts", options.hosts, 0, kMostHosts),
        range("settle-s", options.settle_s, 1, 600), range("warm-s", options.warm_s, -1, 600),
        range("statements-per-s", options.statements_per_s, 0, 10000),
        range("writes-share", options.writes_share, 0, 1), range("roam-share", options.roam_share, 0, 1),
        range("own-reads-share", options.own_reads_share, -1, 1),
        range("alone", options.alone, 0, kMostHosts), range("owners", options.owners, 0, kMostHosts),
        range("bytes-per-s", options.bytes_per_s, 0, 1e9), range("coalesce-ms", options.coalesce_ms, 0, 100),
        range("changes-per-s", options.changes_per_s, -1, 100)}) {
    if (!wrong.empty()) return wrong;
  }
  if (options.poolers <= options.real) return "of the poolers at least one has to be hollow";
  if (options.watermarks == "none" && options.real > 0) {
    return "real poolers exchange marks: --marks none is played with --real 0 alone";
  }
  if (options.scope == "instance" && options.real > 0) {
    return "real poolers are asked through their peers: --scope instance is played with --real 0 alone";
  }
  const int hollow = options.poolers - options.real;
  const int apart = options.alone + options.owners;
  if (HostsFor(options) + apart > hollow) {
    return "there are more processes for hollow poolers than hollow poolers: " +
           std::to_string(HostsFor(options) + apart) + " and " + std::to_string(hollow);
  }
  if (options.writes_share + OwnReadsShare(options) > 1) {
    return "writes and own-reads are more than all statements: --writes-share and --own-reads-share";
  }
  if ((options.owners > 0 || options.bytes_per_s > 0) && options.watermarks.find("directory") != 0) {
    return "owners and a budget of bytes are the directory's: --marks directory has to be given with them";
  }
  // The coordinator holds a listener for each database of real poolers and discovery's watchers.
  const auto each = static_cast<std::size_t>((hollow - apart) / HostsFor(options) + 1);
  const std::size_t own =
      static_cast<std::size_t>(options.poolers * 2 + kDescriptorsRest) +
      (options.real > 0 ? static_cast<std::size_t>(options.databases * (1 + 2 * options.real)) : 0);
  const std::size_t descriptors = std::max(own, each * kDescriptorsEach + kDescriptorsRest);
  if (descriptors > machine.descriptors) {
    return "a process would need " + std::to_string(descriptors) + " descriptors and may hold " +
           std::to_string(machine.descriptors);
  }
  const auto memory = static_cast<std::size_t>(hollow * (kMemoryMbEach + kMemoryMbAPeer * options.poolers) +
                                               options.real * kMemoryMbReal + kMemoryMbRest);
  const std::size_t free = std::min(machine.memory_mb, kMostMemoryMb);
  if (memory > free) {
    return "the run would need " + std::to_string(memory) + " MB of memory and may take " +
           std::to_string(free);
  }
  if (const double cores = CoresFor(options); cores > machine.cores * kCoresPart) {
    return "the run would keep " + Number(std::ceil(cores * 10) / 10) + " cores busy and may take " +
           Number(machine.cores * kCoresPart) + " of " + Number(machine.cores);
  }
  return {};
}

std::vector<Step> StepsOf(const ScaleOptions& options, int groups) {
  using What = Step::What;
  const auto& name = options.script;
  std::vector<Step> steps;
  if (name == "primaries") {
    // One every four seconds, each of another group, none so late that it is not over at the end.
    int group = 0;
    for (int at = 1; at + 6 <= options.seconds || at == 1; at += 4) {
      steps.push_back({Duration(at * 1'000'000), What::kPrimary, {group++ % groups}});
    }
  } else if (name == "replaced") {
    // A few machines, one after the other, never one that was replaced before, nor one set aside.
    auto all = SimulatedPooler(options, [](const Place&) { return true; });
    std::erase_if(all, [&](int pooler) { return IsOwner(options, pooler); });
    const std::size_t count = std::clamp<std::size_t>(all.size() / 10, 1, 8);
    for (std::size_t i = 0; i < count; ++i) {
      steps.push_back({Part(options, 0.1 + 0.5 * static_cast<double>(i) / static_cast<double>(count)),
                       What::kReplace,
                       {all[i]}});
    }
  } else if (name == "rack" || name == "zone") {
    const auto gone = SimulatedPooler(options, [&](const Place& place) {
      return place.zone == kZones - 1 && (name == "zone" || place.rack == kZones - 1);
    });
    steps.push_back({Part(options, 0.2), What::kKill, gone});
    steps.push_back({Part(options, 0.6), What::kRestart, gone});
  } else if (name == "regions") {
    steps.push_back({Part(options, 0.15), What::kCut,
                     SimulatedPooler(options, [](const Place& place) { return place.region == 1; })});
    steps.push_back({Part(options, 0.6), What::kHeal, {}});
  } else if (name == "configuration") {
    steps.push_back({Part(options, 0.3), What::kConfiguration, {}});
  }
  return steps;
}

// Where no marks go to all, the news has few packets to go with: each member is told some 3 log2(n) times by
// each, six in a packet, ten packets a second.
Duration NewsOfMeeting(const ScaleOptions& options) {
  const Duration time = HasLoad(options.script) ? kRecalled : kMeeting;
  if (options.watermarks == "each") return time;
  const double n = options.poolers;
  return std::min(kLongestNews,
                  time + Duration(static_cast<std::int64_t>(1e6 * n * 3 * std::log2(n + 2) / 60)));
}

double ChangesPerS(const ScaleOptions& options) {
  if (options.changes_per_s >= 0) return options.changes_per_s;
  return HasLoad(options.script) ? 0.2 : 0;
}

double ScriptCompressed(const ScaleOptions& options, int groups) {
  const auto steps = StepsOf(options, groups);
  const double a_day = static_cast<double>(steps.size()) * kDay / options.seconds;
  if (options.script == "primaries") return a_day / kPrimariesADay;
  if (options.script == "replaced") return a_day / kMachinesADay;
  if (options.script == "configuration") return a_day / kConfigurationsADay;
  if (options.script == "regions") return kCutSeconds / (0.45 * options.seconds);
  return 1;
}

double ListCompressed(const ScaleOptions& options) {
  const double changes = ChangesPerS(options);
  return changes == 0 ? 1 : changes * kDay / kListChangesADay;
}

}  // namespace lynxgrade::testbed
