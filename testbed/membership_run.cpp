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

using Sides = std::vector<std::vector<int>>;

// What one process said of its part or of another, with the times of its own log.
struct Said {
  double at = 0;  // Unix seconds
  std::string part, view;
  int dead = -1;  // held dead from now on; -1: it speaks of its part
};

double UnixNow() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return static_cast<double>(now.tv_sec) + 1e-9 * static_cast<double>(now.tv_nsec);
}

std::vector<Said> ReadLog(const std::string& path) {
  static const std::regex line_of(
      R"((\S+ \S+)\.(\d+) I peers: (?:peer n(\d+) declared dead|(.+): \d+ of \d+ instances in reach, )"
      R"(view (\w+)))");
  std::vector<Said> said;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    std::smatch found;
    std::tm time{};
    if (!std::regex_match(line, found, line_of)) continue;
    strptime(found[1].str().c_str(), "%Y-%m-%d %H:%M:%S", &time);
    time.tm_isdst = -1;
    said.push_back({static_cast<double>(std::mktime(&time)) + 1e-3 * std::stoi(found[2]), found[4], found[5],
                    found[3].matched ? std::stoi(found[3]) : -1});
  }
  return said;
}

bool IsMajority(const std::string& part) {
  return part == "whole" || part == "some missing" || part == "larger part";
}

struct Fleet {
  Fleet(const MembersOptions& options, const std::string& script)
      : options(options), relay(loop, options.instances, options.seed) {
    key = folder.Write("key", "1 " + std::string(64, 'a') + "\n");
    for (int i = 0; i < options.instances; ++i) real.push_back(FreePort(true));
    relay.Behind(real);
    for (int i = 0; i < options.instances; ++i) Launch(i, real[static_cast<std::size_t>(i)]);
    Note();
    if (options.keep_logs) std::printf("%s: logs in %s\n", script.c_str(), folder.path().c_str());
  }

  // One that calls itself by the i-th name and address of the relay, and listens on `port`.
  void Launch(int i, std::uint16_t port) {
    std::string seeds;
    for (int j = 0; j < options.instances; ++j) {
      if (j != i) seeds += (seeds.empty() ? "\"" : ", \"") + At(relay.port(j)) + "\"";
    }
    const std::string name = "n" + std::to_string(i), file = name + "-" + std::to_string(processes.size());
    PoolerProcess::Files files;
    files.program = options.pooler;
    files.config = folder.Write(file + ".json", ConfigFor(name, FreePort(false), FreePort(false), "off"));
    files.settings = folder.Write(
        file + ".toml", "[sessions]\nscope = \"everywhere\"\n[peers]\nlisten = \"" + At(port) +
                            "\"\nadvertise = \"" + At(relay.port(i)) + "\"\nseeds = [" + seeds +
                            "]\nkey_file = \"" + key + "\"\nprobe_ms = " + std::to_string(options.probe_ms) +
                            "\nmembers = \"" + (options.plain ? "plain" : "proven") + "\"\n");
    files.log = folder.path() + "/" + file + ".log";
    logs.push_back(files.log);
    processes.push_back(std::make_unique<PoolerProcess>(files));
    const std::string fault = processes.back()->Start();
    if (!fault.empty()) throw std::runtime_error("a pooler cannot be started: " + fault);
  }

  // What is true from now on: which links are cut, and which processes do not run.
  void Note() { truth.push_back({UnixNow(), relay.cut, down}); }
  void Signal(int i, int signal) {
    if (signal == SIGCONT) down.erase(i);
    if (signal != SIGCONT) down.insert(i);
    if (signal == SIGKILL) {
      processes[static_cast<std::size_t>(i)]->End(signal);
    } else {
      processes[static_cast<std::size_t>(i)]->Signal(signal);
    }
    Note();
  }
  bool Again(int i) {
    down.erase(i);
    Note();
    return processes[static_cast<std::size_t>(i)]->Start().empty();
  }

  void Pass(Duration time) {
    net::Timer end(loop);
    end.ScheduleAfter(time, [this] { loop.Stop(); });
    loop.Run();
  }
  // Runs until it holds. The limit is for what never will, not a measure of speed.
  bool Until(const std::function<bool()>& holds) {
    for (int i = 0; i < 300; ++i) {
      if (holds()) return true;
      Pass(kSecond / 5);
    }
    return false;
  }
  void Cut(const Sides& sides) {
    relay.cut.clear();
    for (const auto& a : sides) {
      for (const auto& b : sides) {
        if (&a == &b) continue;
        for (int from : a) {
          for (int to : b) relay.cut.insert({from, to});
        }
      }
    }
    Note();
    cuts.push_back({UnixNow(), sides});
  }
  void Heal() { Cut({}); }
  std::vector<Said> Parts(int i) const {
    auto said = ReadLog(logs[static_cast<std::size_t>(i)]);
    std::erase_if(said, [](const Said& one) { return one.dead >= 0; });
    return said;
  }
  std::string PartOf(int i) const {
    const auto said = Parts(i);
    return said.empty() ? "nothing" : said.back().part;
  }
  // `since`: and said it after that; a log is as it was until its process has started again.
  bool All(const std::vector<int>& of, const std::string& part, double since = 0) const {
    return std::ranges::all_of(of, [&](int i) {
      const auto said = Parts(i);
      return !said.empty() && said.back().part == part && said.back().at >= since;
    });
  }

  // Times from `since` on until each of these says `part`.
  void Times(const std::vector<int>& of, const std::string& part, double since,
             std::vector<double>& to) const {
    for (int i : of) {
      for (const Said& one : Parts(i)) {
        if (one.at < since || one.part != part) continue;
        to.push_back(one.at - since);
        break;
      }
    }
  }

  bool DownAt(int i, double at) const {
    const auto next = std::ranges::upper_bound(truth, at, {}, &Moment::at);
    return next != truth.begin() && std::prev(next)->down.contains(i);
  }

  // Moments, 50 ms apart, at which processes of two views both held themselves for more than half; and the
  // longest time after a cut for which one whose side has half or less did.
  int BothLarger(double& stale) const {
    int moments = 0;
    std::vector<std::vector<Said>> said;
    for (int i = 0; i < options.instances; ++i) said.push_back(Parts(i));
    const auto claimed = [&](int i, double at) {
      const Said* last = nullptr;
      for (const Said& one : said[static_cast<std::size_t>(i)]) last = one.at <= at ? &one : last;
      return last != nullptr && IsMajority(last->part) ? last->view : std::string();
    };
    const double end = UnixNow();
    for (double at = truth.front().at; at < end; at += 0.05) {
      std::set<std::string> views;
      for (int i = 0; i < options.instances; ++i) {
        if (!DownAt(i, at) && !claimed(i, at).empty()) views.insert(claimed(i, at));
      }
      moments += views.size() > 1;
    }
    for (std::size_t c = 0; c < cuts.size(); ++c) {
      const double until = c + 1 < cuts.size() ? cuts[c + 1].at : end;
      std::size_t on_a_side = 0;  // others hear both
      for (const auto& side : cuts[c].sides) on_a_side += side.size();
      for (const auto& side : cuts[c].sides) {
        if (side.size() * 2 > logs.size() || on_a_side < logs.size()) continue;
        for (int i : side) {
          for (double at = cuts[c].at; at < until && !claimed(i, at).empty(); at += 0.05) {
            stale = std::max(stale, at + 0.05 - cuts[c].at);
          }
        }
      }
    }
    return moments;
  }

  // Others that a process held dead though they ran and both heard each other for the last `settle` seconds.
  int WronglyDead(double settle) const {
    int wrong = 0;
    for (int i = 0; i < options.instances; ++i) {
      for (const Said& one : ReadLog(logs[static_cast<std::size_t>(i)])) {
        if (one.dead < 0 || one.dead == starved) continue;
        bool fine = true;
        for (std::size_t t = 0; t < truth.size(); ++t) {
          const double until = t + 1 < truth.size() ? truth[t + 1].at : UnixNow();
          if (until < one.at - settle || truth[t].at > one.at) continue;
          fine = fine && !truth[t].cut.contains({i, one.dead}) && !truth[t].cut.contains({one.dead, i}) &&
                 !truth[t].down.contains(one.dead) && !truth[t].down.contains(i);
        }
        wrong += fine;
      }
    }
    return wrong;
  }

  struct CutAt {
    double at;
    Sides sides;
  };
  struct Moment {
    double at;
    std::set<std::pair<int, int>> cut;
    std::set<int> down;
  };
  MembersOptions options;
  net::Loop loop;
  Folder folder;
  Relay relay;
  std::vector<std::uint16_t> real;
  std::vector<std::string> logs;
  std::vector<std::unique_ptr<PoolerProcess>> processes;
  std::vector<CutAt> cuts;
  std::vector<Moment> truth;
  std::set<int> down;
  std::string key;
  std::vector<double> detected, healed;  // seconds
  int never_found = 0;
  int starved = -1;  // of whom nobody is judged for what they hold
};

std::vector<int> Range(int from, int to) {
  std::vector<int> all;
  for (int i = from; i < to; ++i) all.push_back(i);
  return all;
}

struct Script {
  const char* name;
  std::function<bool(Fleet&, int)> play;  // whether it ended as it should; the number of instances
};

const std::vector<Script>& Scripts() {
  static const std::vector<Script> all = {
      {"cut",
       [](Fleet& f, int n) {
         const int more = n / 2 + 1;
         f.Cut({Range(0, more), Range(more, n)});
         const bool right = f.Until([&] {
           return f.All(Range(0, more), n - more > 1 ? "larger part" : "some missing") &&
                  f.All(Range(more, n), n - more > 1 ? "smaller part" : "alone");
         });
         f.Heal();
         const double since = UnixNow();
         const bool whole = f.Until([&] { return f.All(Range(0, n), "whole"); });
         f.Times(Range(0, n), "whole", since, f.healed);
         return right && whole;
       }},
      {"thirds",
       [](Fleet& f, int n) {
         f.Cut({Range(0, n / 3), Range(n / 3, 2 * n / 3), Range(2 * n / 3, n)});
         return f.Until([&] {
           const auto all = Range(0, n);
           return std::ranges::all_of(
               all, [&](int i) { return f.PartOf(i) == "smaller part" || f.PartOf(i) == "alone"; });
         });
       }},
      {"bridge",
       [](Fleet& f, int n) {
         // The middle hears both sides, and changes sides.
         for (int turn = 0; turn < 4; ++turn) {
           f.Cut({Range(0, n / 2 - (turn % 2)), Range(n / 2 + 1 - (turn % 2), n)});
           f.Pass(kSecond * 4);
         }
         return true;
       }},
      {"loss",
       [](Fleet& f, int n) {
         f.relay.loss = 30;
         // Answers come back within half of a period: on slower paths the period is to be longer.
         f.relay.delay = Duration(1000) * f.options.probe_ms / 20;
         f.relay.jitter = Duration(1000) * f.options.probe_ms / 5;
         f.Pass(kSecond * 10);
         f.relay.loss = 0;
         return f.Until([&] { return f.All(Range(0, n), "whole"); });
       }},
      {"one_way",
       [](Fleet& f, int n) {
         for (int i : Range(2 * n / 3, n)) f.relay.cut.insert({0, i});
         f.Note();
         f.Pass(kSecond * 8);
         f.Heal();
         return f.Until([&] { return f.All(Range(0, n), "whole"); });
       }},
      {"bad_link",
       [](Fleet& f, int n) {
         f.relay.cut = {{0, 1}, {1, 0}};
         f.Note();
         f.Pass(kSecond * 8);
         // The others reach both: neither is dead, and there are still more than half.
         const bool right = std::ranges::all_of(Range(0, n), [&](int i) { return IsMajority(f.PartOf(i)); });
         f.Heal();
         return right && f.Until([&] { return f.All(Range(0, n), "whole"); });
       }},
      {"flapping",
       [](Fleet& f, int n) {
         for (int i = 0; i < 12; ++i) {
           i % 2 == 0 ? f.Cut({Range(0, n / 2 + 1), Range(n / 2 + 1, n)}) : f.Heal();
           f.Pass(kSecond * (3 + i % 5) / 5);
         }
         f.Heal();
         return f.Until([&] { return f.All(Range(0, n), "whole"); });
       }},
      {"flood",
       [](Fleet& f, int n) {
         f.relay.Flood(0, kSecond * 5);
         f.Pass(kSecond * 5);
         return f.Until([&] { return f.All(Range(0, n), "whole"); });
       }},
      {"starved",
       [](Fleet& f, int n) {
         // It gets two fifths of its time, in pieces of a period and a half.
         f.relay.loss = 10;
         f.starved = 0;
         for (int i = 0; i < 200; ++i) {
           f.processes[0]->Signal(SIGSTOP);
           f.Pass(Duration(900) * f.options.probe_ms);
           f.processes[0]->Signal(SIGCONT);
           f.Pass(Duration(600) * f.options.probe_ms);
         }
         f.relay.loss = 0;
         return f.Until([&] { return f.All(Range(0, n), "whole"); });
       }},
      {"paused",
       [](Fleet& f, int n) {
         f.Signal(0, SIGSTOP);
         f.Pass(kSecond);
         f.Signal(0, SIGCONT);
         return f.Until([&] { return f.All(Range(0, n), "whole"); });
       }},
      {"stopped",
       [](Fleet& f, int n) {
         f.Signal(0, SIGSTOP);
         f.Pass(kSecond * 10);
         const auto before = f.Parts(0).size();
         f.Signal(0, SIGCONT);
         f.Until([&] { return f.Parts(0).size() > before; });
         const auto said = f.Parts(0);
         const bool doubts = said.size() > before && said[before].part == "in doubt";
         return doubts && f.Until([&] { return f.All(Range(0, n), "whole"); });
       }},
      {"killed",
       [](Fleet& f, int n) {
         const double since = UnixNow();
         f.Signal(0, SIGKILL);
         const bool right = f.Until([&] { return f.All(Range(1, n), "some missing"); });
         for (int i : Range(1, n)) {
           const auto said = ReadLog(f.logs[static_cast<std::size_t>(i)]);
           const auto found = std::ranges::find(said, 0, &Said::dead);
           f.never_found += found == said.end();
           if (found != said.end()) f.detected.push_back(found->at - since);
         }
         const double again = UnixNow();
         return f.Again(0) && right && f.Until([&] { return f.All(Range(0, n), "whole", again); });
       }},
      {"restart",
       [](Fleet& f, int n) {
         for (int i : Range(0, n)) f.Signal(i, SIGKILL);
         const double since = UnixNow();
         bool started = true;
         for (int i : Range(0, n)) started = f.Again(i) && started;
         return started && f.Until([&] { return f.All(Range(0, n), "whole", since); });
       }},
  };
  return all;
}

// What came of all scripts together.
struct Sum {
  int both = 0, wrongly_dead = 0, wrongly_dead_one_way = 0, never_found = 0, wrong_end = 0, crashed = 0;
  double stale = 0;
  std::vector<double> detected, healed;
};

double Quantile(std::vector<double> of, double part) {
  if (of.empty()) return -1;
  std::ranges::sort(of);
  return of[static_cast<std::size_t>(part * static_cast<double>(of.size() - 1))];
}

void Play(const MembersOptions& options, const Script& script, nlohmann::json& json, Sum& sum) {
  Fleet fleet(options, script.name);
  const auto all = Range(0, options.instances);
  const bool met = fleet.Until([&] { return fleet.All(all, "whole"); });
  const std::uint64_t bytes = fleet.relay.bytes;
  const double from = UnixNow();
  const bool right = met && script.play(fleet, options.instances);
  const double each = static_cast<double>(fleet.relay.bytes - bytes) / (UnixNow() - from) / options.instances;
  const int larger = fleet.BothLarger(sum.stale);
  // What was cut off, stopped or killed just before may be held dead as the news of its return goes round.
  const int wrongly = fleet.WronglyDead(1e-3 * options.probe_ms * 20);
  for (const auto& process : fleet.processes) sum.crashed += process->Crashed();
  sum.both += larger;
  (std::string(script.name) == "one_way" ? sum.wrongly_dead_one_way : sum.wrongly_dead) += wrongly;
  sum.never_found += fleet.never_found;
  sum.wrong_end += !right;
  sum.detected.insert(sum.detected.end(), fleet.detected.begin(), fleet.detected.end());
  sum.healed.insert(sum.healed.end(), fleet.healed.begin(), fleet.healed.end());
  std::printf("%s%s: ended as it should: %s; both_larger %d, wrongly_dead %d, %.0f bytes a second each\n",
              script.name, options.plain ? " (plain)" : "",
              right ? "yes"
              : met ? "no"
                    : "no, they did not meet",
              larger, wrongly, each);
  std::fflush(stdout);
  if (options.plain) return;
  json[script.name] = {
      {"right", right}, {"both_larger", larger}, {"wrongly_dead", wrongly}, {"bytes_per_s", each}};
}

}  // namespace

int RunMembers(const MembersOptions& options) {
  nlohmann::json json = {{"seed", options.seed}, {"instances", options.instances}};
  Sum with, off;
  for (const Script& script : Scripts()) {
    if (options.only.empty() || options.only == script.name) Play(options, script, json, with);
  }
  // With the mechanism taken out: an odd number, so that two sides that share one may both see more than
  // half.
  MembersOptions plain = options;
  plain.plain = true;
  plain.instances -= 1 - plain.instances % 2;
  for (const Script& script : Scripts()) {
    const std::string name = script.name;
    if (options.compare && (name == "bridge" || name == "starved")) Play(plain, script, json, off);
  }
  const auto tell = [&json](const char* name, double value) {
    std::printf("%s: %.6g\n", name, value);
    json[name] = value;
  };
  tell("both_larger", with.both);
  tell("wrongly_dead", with.wrongly_dead);
  tell("wrongly_dead_one_way", with.wrongly_dead_one_way);
  tell("never_found", with.never_found);
  tell("stale_view_s", with.stale);
  if (!with.detected.empty()) {
    tell("detect_p50_ms", 1e3 * Quantile(with.detected, 0.5));
    tell("detect_p99_ms", 1e3 * Quantile(with.detected, 0.99));
  }
  if (!with.healed.empty()) tell("heal_p99_ms", 1e3 * Quantile(with.healed, 0.99));
  if (options.compare) {
    tell("both_larger_off", off.both);
    tell("wrongly_dead_off", off.wrongly_dead);
  }
  tell("wrong_end", with.wrong_end);
  tell("crashed", with.crashed + off.crashed);
  if (!options.json.empty()) std::ofstream(options.json) << json.dump(2) << '\n';
  const bool judged = !options.compare || (off.both > 0 && off.wrongly_dead > 0);
  return with.both + with.wrongly_dead + with.never_found + with.wrong_end + with.crashed > 0 || !judged ? 1
                                                                                                         : 0;
}

}  // namespace lynxgrade::testbed
