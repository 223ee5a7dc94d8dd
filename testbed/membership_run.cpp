#include "membership_run.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <regex>
#include <set>
#include <stdexcept>
#include <vector>

#include "net/loop.h"
#include "pooler_process.h"
#include "relay.h"

namespace lynxgrade::testbed {
namespace {

constexpr Duration kSecond{1'000'000};

std::string At(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

// The sides of a partition, each a list of instances.
using Sides = std::vector<std::vector<int>>;

// One log line of a process: a change of its view, or a peer that it declared dead.
struct LogEvent {
  double at = 0;     // Unix time in seconds, of the log line
  std::string part;  // how much of the fleet is in reach: "whole", "larger part" and so on
  std::string view;  // the view's id
  int dead = -1;     // the peer that was declared dead; -1: a change of the view
};

double UnixNow() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return static_cast<double>(now.tv_sec) + 1e-9 * static_cast<double>(now.tv_nsec);
}

std::vector<LogEvent> ReadLog(const std::string& path) {
  static const std::regex kLinePattern(
      R"((\S+ \S+)\.(\d+) I peers: (?:peer n(\d+) declared dead|(.+): \d+ of \d+ instances in reach, )"
      R"(view (\w+)))");
  std::vector<LogEvent> events;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    std::smatch match;
    std::tm time{};
    if (!std::regex_match(line, match, kLinePattern)) continue;
    strptime(match[1].str().c_str(), "%Y-%m-%d %H:%M:%S", &time);
    time.tm_isdst = -1;
    events.push_back({static_cast<double>(std::mktime(&time)) + 1e-3 * std::stoi(match[2]), match[4],
                      match[5], match[3].matched ? std::stoi(match[3]) : -1});
  }
  return events;
}

bool IsMajority(const std::string& part) {
  return part == "whole" || part == "some missing" || part == "larger part";
}

// The pooler processes of one script, the relay between them, and the record of which links were blocked and
// which processes were stopped at each time.
struct Fleet {
  Fleet(const MembershipOptions& options, const std::string& script)
      : options(options), relay(loop, options.instances, options.seed) {
    key = folder.Write("key", "1 " + std::string(64, 'a') + "\n");
    for (int i = 0; i < options.instances; ++i) ports.push_back(FreePort(true));
    relay.SetDestinations(ports);
    for (int i = 0; i < options.instances; ++i) StartInstance(i, ports[static_cast<std::size_t>(i)]);
    RecordTruth();
    if (options.keep_logs) std::printf("%s: logs in %s\n", script.c_str(), folder.path().c_str());
  }

  // Starts instance `i`: it advertises its address at the relay and listens on `port`.
  void StartInstance(int i, std::uint16_t port) {
    std::string seeds;
    for (int j = 0; j < options.instances; ++j) {
      if (j != i) seeds += (seeds.empty() ? "\"" : ", \"") + At(relay.port(j)) + "\"";
    }
    const std::string name = "n" + std::to_string(i), file = name + "-" + std::to_string(processes.size());
    PoolerProcess::Files files;
    files.program = options.pooler;
    files.config =
        folder.Write(file + ".json", MakePlatformConfig(name, FreePort(false), FreePort(false), "off"));
    files.settings = folder.Write(
        file + ".toml", "[sessions]\nscope = \"everywhere\"\n[peers]\nlisten = \"" + At(port) +
                            "\"\nadvertise = \"" + At(relay.port(i)) + "\"\nseeds = [" + seeds +
                            "]\nkey_file = \"" + key + "\"\nprobe_ms = " + std::to_string(options.probe_ms) +
                            "\nmembers = \"" + (options.plain ? "plain" : "proven") + "\"\n");
    files.log = folder.path() + "/" + file + ".log";
    logs.push_back(files.log);
    processes.push_back(std::make_unique<PoolerProcess>(files));
    const std::string problem = processes.back()->Start();
    if (!problem.empty()) throw std::runtime_error("cannot start a pooler: " + problem);
  }

  // Records the links that are blocked and the processes that are stopped from now on.
  void RecordTruth() { truth.push_back({UnixNow(), relay.blocked_links, down}); }
  void Signal(int i, int signal) {
    if (signal == SIGCONT) down.erase(i);
    if (signal != SIGCONT) down.insert(i);
    if (signal == SIGKILL) {
      processes[static_cast<std::size_t>(i)]->Stop(signal);
    } else {
      processes[static_cast<std::size_t>(i)]->Signal(signal);
    }
    RecordTruth();
  }
  bool Restart(int i) {
    down.erase(i);
    RecordTruth();
    return processes[static_cast<std::size_t>(i)]->Start().empty();
  }

  void RunFor(Duration time) {
    net::Timer end(loop);
    end.ScheduleAfter(time, [this] { loop.Stop(); });
    loop.Run();
  }
  // Runs until the condition holds, or for 60 s. The limit only ends scripts that never converge; it is not a
  // measure of speed.
  bool RunUntil(const std::function<bool()>& condition) {
    for (int i = 0; i < 300; ++i) {
      if (condition()) return true;
      RunFor(kSecond / 5);
    }
    return false;
  }
  // Blocks all links between different sides and unblocks all others.
  void Partition(const Sides& sides) {
    relay.blocked_links.clear();
    for (const auto& side : sides) {
      for (const auto& other : sides) {
        if (&side == &other) continue;
        for (int from : side) {
          for (int to : other) relay.blocked_links.insert({from, to});
        }
      }
    }
    RecordTruth();
    partitions.push_back({UnixNow(), sides});
  }
  void HealPartition() { Partition({}); }
  std::vector<LogEvent> ViewChanges(int i) const {
    auto events = ReadLog(logs[static_cast<std::size_t>(i)]);
    std::erase_if(events, [](const LogEvent& event) { return event.dead >= 0; });
    return events;
  }
  std::string CurrentPart(int i) const {
    const auto changes = ViewChanges(i);
    return changes.empty() ? "nothing" : changes.back().part;
  }
  // Whether the last view change of each instance is to `part`, and not before `since`. The log of a process
  // that was stopped keeps its former lines until the process has started again.
  bool AllReport(const std::vector<int>& instances, const std::string& part, double since = 0) const {
    return std::ranges::all_of(instances, [&](int i) {
      const auto changes = ViewChanges(i);
      return !changes.empty() && changes.back().part == part && changes.back().at >= since;
    });
  }

  // Adds, for each instance, the seconds from `since` to its first change to `part`.
  void CollectDelays(const std::vector<int>& instances, const std::string& part, double since,
                     std::vector<double>& delays) const {
    for (int i : instances) {
      for (const LogEvent& event : ViewChanges(i)) {
        if (event.at < since || event.part != part) continue;
        delays.push_back(event.at - since);
        break;
      }
    }
  }

  bool IsDownAt(int i, double at) const {
    const auto next = std::ranges::upper_bound(truth, at, {}, &TruthRecord::at);
    return next != truth.begin() && std::prev(next)->down.contains(i);
  }

  // Counts the samples, 50 ms apart, at which running processes of two different views both claimed a
  // majority. Raises `stale_view_s` to the longest time after a partition for which an instance on a side
  // with at most half of the fleet claimed a majority.
  int CountConflictingMajorities(double& stale_view_s) const {
    int conflicts = 0;
    std::vector<std::vector<LogEvent>> changes;
    for (int i = 0; i < options.instances; ++i) changes.push_back(ViewChanges(i));
    const auto majority_view = [&](int i, double at) {
      const LogEvent* last = nullptr;
      for (const LogEvent& event : changes[static_cast<std::size_t>(i)])
        last = event.at <= at ? &event : last;
      return last != nullptr && IsMajority(last->part) ? last->view : std::string();
    };
    const double end = UnixNow();
    for (double at = truth.front().at; at < end; at += 0.05) {
      std::set<std::string> views;
      for (int i = 0; i < options.instances; ++i) {
        if (!IsDownAt(i, at) && !majority_view(i, at).empty()) views.insert(majority_view(i, at));
      }
      conflicts += views.size() > 1;
    }
    for (std::size_t c = 0; c < partitions.size(); ++c) {
      const double until = c + 1 < partitions.size() ? partitions[c + 1].at : end;
      std::size_t on_a_side = 0;  // an instance on no side reaches all sides
      for (const auto& side : partitions[c].sides) on_a_side += side.size();
      for (const auto& side : partitions[c].sides) {
        if (side.size() * 2 > logs.size() || on_a_side < logs.size()) continue;
        for (int i : side) {
          for (double at = partitions[c].at; at < until && !majority_view(i, at).empty(); at += 0.05) {
            stale_view_s = std::max(stale_view_s, at + 0.05 - partitions[c].at);
          }
        }
      }
    }
    return conflicts;
  }

  // Counts the peers declared dead although both processes had run and reached each other for the last
  // `settle_s` seconds.
  int CountWronglyDead(double settle_s) const {
    int wrong = 0;
    for (int i = 0; i < options.instances; ++i) {
      for (const LogEvent& event : ReadLog(logs[static_cast<std::size_t>(i)])) {
        if (event.dead < 0 || event.dead == starved) continue;
        bool reachable = true;
        for (std::size_t t = 0; t < truth.size(); ++t) {
          const double until = t + 1 < truth.size() ? truth[t + 1].at : UnixNow();
          if (until < event.at - settle_s || truth[t].at > event.at) continue;
          reachable = reachable && !truth[t].blocked_links.contains({i, event.dead}) &&
                      !truth[t].blocked_links.contains({event.dead, i}) &&
                      !truth[t].down.contains(event.dead) && !truth[t].down.contains(i);
        }
        wrong += reachable;
      }
    }
    return wrong;
  }

  struct PartitionRecord {
    double at;
    Sides sides;
  };
  struct TruthRecord {
    double at;
    std::set<std::pair<int, int>> blocked_links;
    std::set<int> down;
  };
  MembershipOptions options;
  net::Loop loop;
  TemporaryFolder folder;
  Relay relay;
  std::vector<std::uint16_t> ports;
  std::vector<std::string> logs;
  std::vector<std::unique_ptr<PoolerProcess>> processes;
  std::vector<PartitionRecord> partitions;
  std::vector<TruthRecord> truth;
  std::set<int> down;
  std::string key;
  std::vector<double> detection_s, healing_s;
  int undetected = 0;  // processes that did not declare a killed one dead
  int starved = -1;    // declaring this instance dead is not counted as wrong
};

std::vector<int> InstanceRange(int from, int to) {
  std::vector<int> instances;
  for (int i = from; i < to; ++i) instances.push_back(i);
  return instances;
}

struct Script {
  const char* name;
  // Runs the script on a fleet of the given number of instances. Returns whether it ended as expected.
  std::function<bool(Fleet&, int)> run;
};

const std::vector<Script>& Scripts() {
  static const std::vector<Script> all = {
      {"cut",
       [](Fleet& fleet, int count) {
         const int majority = count / 2 + 1;
         fleet.Partition({InstanceRange(0, majority), InstanceRange(majority, count)});
         const bool as_expected = fleet.RunUntil([&] {
           return fleet.AllReport(InstanceRange(0, majority),
                                  count - majority > 1 ? "larger part" : "some missing") &&
                  fleet.AllReport(InstanceRange(majority, count),
                                  count - majority > 1 ? "smaller part" : "alone");
         });
         fleet.HealPartition();
         const double since = UnixNow();
         const bool healed =
             fleet.RunUntil([&] { return fleet.AllReport(InstanceRange(0, count), "whole"); });
         fleet.CollectDelays(InstanceRange(0, count), "whole", since, fleet.healing_s);
         return as_expected && healed;
       }},
      {"thirds",
       [](Fleet& fleet, int count) {
         fleet.Partition({InstanceRange(0, count / 3), InstanceRange(count / 3, 2 * count / 3),
                          InstanceRange(2 * count / 3, count)});
         return fleet.RunUntil([&] {
           const auto all = InstanceRange(0, count);
           return std::ranges::all_of(all, [&](int i) {
             return fleet.CurrentPart(i) == "smaller part" || fleet.CurrentPart(i) == "alone";
           });
         });
       }},
      {"bridge",
       [](Fleet& fleet, int count) {
         // One instance reaches both sides of the partition; each turn shifts the sides and with them that
         // instance.
         for (int turn = 0; turn < 4; ++turn) {
           fleet.Partition(
               {InstanceRange(0, count / 2 - (turn % 2)), InstanceRange(count / 2 + 1 - (turn % 2), count)});
           fleet.RunFor(kSecond * 4);
         }
         return true;
       }},
      {"loss",
       [](Fleet& fleet, int count) {
         fleet.relay.loss_percent = 30;
         // Acks return within half of a probe period. Networks with a higher latency need a longer period.
         fleet.relay.delay = Duration(1000) * fleet.options.probe_ms / 20;
         fleet.relay.jitter = Duration(1000) * fleet.options.probe_ms / 5;
         fleet.RunFor(kSecond * 10);
         fleet.relay.loss_percent = 0;
         return fleet.RunUntil([&] { return fleet.AllReport(InstanceRange(0, count), "whole"); });
       }},
      {"one_way",
       [](Fleet& fleet, int count) {
         for (int i : InstanceRange(2 * count / 3, count)) fleet.relay.blocked_links.insert({0, i});
         fleet.RecordTruth();
         fleet.RunFor(kSecond * 8);
         fleet.HealPartition();
         return fleet.RunUntil([&] { return fleet.AllReport(InstanceRange(0, count), "whole"); });
       }},
      {"bad_link",
       [](Fleet& fleet, int count) {
         fleet.relay.blocked_links = {{0, 1}, {1, 0}};
         fleet.RecordTruth();
         fleet.RunFor(kSecond * 8);
         // The others reach both instances, so neither may be declared dead and all keep a majority.
         const bool as_expected = std::ranges::all_of(
             InstanceRange(0, count), [&](int i) { return IsMajority(fleet.CurrentPart(i)); });
         fleet.HealPartition();
         return as_expected &&
                fleet.RunUntil([&] { return fleet.AllReport(InstanceRange(0, count), "whole"); });
       }},
      {"flapping",
       [](Fleet& fleet, int count) {
         for (int i = 0; i < 12; ++i) {
           i % 2 == 0
               ? fleet.Partition({InstanceRange(0, count / 2 + 1), InstanceRange(count / 2 + 1, count)})
               : fleet.HealPartition();
           fleet.RunFor(kSecond * (3 + i % 5) / 5);
         }
         fleet.HealPartition();
         return fleet.RunUntil([&] { return fleet.AllReport(InstanceRange(0, count), "whole"); });
       }},
      {"flood",
       [](Fleet& fleet, int count) {
         fleet.relay.Flood(0, kSecond * 5);
         fleet.RunFor(kSecond * 5);
         return fleet.RunUntil([&] { return fleet.AllReport(InstanceRange(0, count), "whole"); });
       }},
      {"starved",
       [](Fleet& fleet, int count) {
         // Instance 0 runs for 40 % of the time, in cycles of one and a half probe periods.
         fleet.relay.loss_percent = 10;
         fleet.starved = 0;
         for (int i = 0; i < 200; ++i) {
           fleet.processes[0]->Signal(SIGSTOP);
           fleet.RunFor(Duration(900) * fleet.options.probe_ms);
           fleet.processes[0]->Signal(SIGCONT);
           fleet.RunFor(Duration(600) * fleet.options.probe_ms);
         }
         fleet.relay.loss_percent = 0;
         return fleet.RunUntil([&] { return fleet.AllReport(InstanceRange(0, count), "whole"); });
       }},
      {"paused",
       [](Fleet& fleet, int count) {
         fleet.Signal(0, SIGSTOP);
         fleet.RunFor(kSecond);
         fleet.Signal(0, SIGCONT);
         return fleet.RunUntil([&] { return fleet.AllReport(InstanceRange(0, count), "whole"); });
       }},
      {"stopped",
       [](Fleet& fleet, int count) {
         fleet.Signal(0, SIGSTOP);
         fleet.RunFor(kSecond * 10);
         const auto before = fleet.ViewChanges(0).size();
         fleet.Signal(0, SIGCONT);
         fleet.RunUntil([&] { return fleet.ViewChanges(0).size() > before; });
         const auto changes = fleet.ViewChanges(0);
         const bool suspects = changes.size() > before && changes[before].part == "in doubt";
         return suspects && fleet.RunUntil([&] { return fleet.AllReport(InstanceRange(0, count), "whole"); });
       }},
      {"killed",
       [](Fleet& fleet, int count) {
         const double since = UnixNow();
         fleet.Signal(0, SIGKILL);
         const bool as_expected =
             fleet.RunUntil([&] { return fleet.AllReport(InstanceRange(1, count), "some missing"); });
         for (int i : InstanceRange(1, count)) {
           const auto events = ReadLog(fleet.logs[static_cast<std::size_t>(i)]);
           const auto death = std::ranges::find(events, 0, &LogEvent::dead);
           fleet.undetected += death == events.end();
           if (death != events.end()) fleet.detection_s.push_back(death->at - since);
         }
         const double restarted_at = UnixNow();
         return fleet.Restart(0) && as_expected && fleet.RunUntil([&] {
           return fleet.AllReport(InstanceRange(0, count), "whole", restarted_at);
         });
       }},
      {"restart",
       [](Fleet& fleet, int count) {
         for (int i : InstanceRange(0, count)) fleet.Signal(i, SIGKILL);
         const double since = UnixNow();
         bool started = true;
         for (int i : InstanceRange(0, count)) started = fleet.Restart(i) && started;
         return started &&
                fleet.RunUntil([&] { return fleet.AllReport(InstanceRange(0, count), "whole", since); });
       }},
  };
  return all;
}

// The results of all scripts together.
struct Totals {
  int conflicting_majorities = 0, wrongly_dead = 0, wrongly_dead_one_way = 0, undetected = 0,
      unexpected_end = 0, crashed = 0;
  double stale_view_s = 0;
  std::vector<double> detection_s, healing_s;
};

double Quantile(std::vector<double> values, double fraction) {
  if (values.empty()) return -1;
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

void RunScript(const MembershipOptions& options, const Script& script, nlohmann::json& json, Totals& totals) {
  Fleet fleet(options, script.name);
  const auto all = InstanceRange(0, options.instances);
  const bool converged = fleet.RunUntil([&] { return fleet.AllReport(all, "whole"); });
  const std::uint64_t bytes_before = fleet.relay.bytes;
  const double started_at = UnixNow();
  const bool as_expected = converged && script.run(fleet, options.instances);
  const double bytes_per_s =
      static_cast<double>(fleet.relay.bytes - bytes_before) / (UnixNow() - started_at) / options.instances;
  const int conflicts = fleet.CountConflictingMajorities(totals.stale_view_s);
  // An instance that has just come back may still be declared dead while the gossip of its return spreads.
  const int wrongly_dead = fleet.CountWronglyDead(1e-3 * options.probe_ms * 20);
  for (const auto& process : fleet.processes) totals.crashed += process->Crashed();
  totals.conflicting_majorities += conflicts;
  (std::string(script.name) == "one_way" ? totals.wrongly_dead_one_way : totals.wrongly_dead) += wrongly_dead;
  totals.undetected += fleet.undetected;
  totals.unexpected_end += !as_expected;
  totals.detection_s.insert(totals.detection_s.end(), fleet.detection_s.begin(), fleet.detection_s.end());
  totals.healing_s.insert(totals.healing_s.end(), fleet.healing_s.begin(), fleet.healing_s.end());
  std::printf("%s%s: ended as it should: %s; both_larger %d, wrongly_dead %d, %.0f bytes a second each\n",
              script.name, options.plain ? " (plain)" : "",
              as_expected ? "yes"
              : converged ? "no"
                          : "no, they did not meet",
              conflicts, wrongly_dead, bytes_per_s);
  std::fflush(stdout);
  if (options.plain) return;
  json[script.name] = {{"right", as_expected},
                       {"both_larger", conflicts},
                       {"wrongly_dead", wrongly_dead},
                       {"bytes_per_s", bytes_per_s}};
}

}  // namespace

int RunMembership(const MembershipOptions& options) {
  nlohmann::json json = {{"seed", options.seed}, {"instances", options.instances}};
  Totals proven, plain_totals;
  for (const Script& script : Scripts()) {
    if (options.only.empty() || options.only == script.name) RunScript(options, script, json, proven);
  }
  // The plain protocol is run with an odd number of instances, so that two sides that share one instance can
  // both see a majority.
  MembershipOptions plain = options;
  plain.plain = true;
  plain.instances -= 1 - plain.instances % 2;
  for (const Script& script : Scripts()) {
    const std::string name = script.name;
    if (options.compare && (name == "bridge" || name == "starved"))
      RunScript(plain, script, json, plain_totals);
  }
  const auto print = [&json](const char* name, double value) {
    std::printf("%s: %.6g\n", name, value);
    json[name] = value;
  };
  print("both_larger", proven.conflicting_majorities);
  print("wrongly_dead", proven.wrongly_dead);
  print("wrongly_dead_one_way", proven.wrongly_dead_one_way);
  print("never_found", proven.undetected);
  print("stale_view_s", proven.stale_view_s);
  if (!proven.detection_s.empty()) {
    print("detect_p50_ms", 1e3 * Quantile(proven.detection_s, 0.5));
    print("detect_p99_ms", 1e3 * Quantile(proven.detection_s, 0.99));
  }
  if (!proven.healing_s.empty()) print("heal_p99_ms", 1e3 * Quantile(proven.healing_s, 0.99));
  if (options.compare) {
    print("both_larger_off", plain_totals.conflicting_majorities);
    print("wrongly_dead_off", plain_totals.wrongly_dead);
  }
  print("wrong_end", proven.unexpected_end);
  print("crashed", proven.crashed + plain_totals.crashed);
  if (!options.json.empty()) std::ofstream(options.json) << json.dump(2) << '\n';
  const bool check_proven =
      !options.compare || (plain_totals.conflicting_majorities > 0 && plain_totals.wrongly_dead > 0);
  return proven.conflicting_majorities + proven.wrongly_dead + proven.undetected + proven.unexpected_end +
                         proven.crashed >
                     0 ||
                 !check_proven
             ? 1
             : 0;
}

}  // namespace lynxgrade::testbed
