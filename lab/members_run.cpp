#include "members_run.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

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
#include <set>
#include <sstream>
#include <stdexcept>
#include <vector>

#include "net/loop.h"
#include "net/poller.h"
#include "pooler_process.h"

namespace lynxgrade::lab {
namespace {

constexpr Duration kSecond{1'000'000};

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

std::string At(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

// One socket stands for each instance: what another sends there is passed on from that other's own, so an
// answer finds its way back through the relay as well.
class Relay final : private net::Poller::Handler {
 public:
  Relay(net::Loop& loop, int instances, std::uint64_t seed)
      : loop_(loop), random_(seed), landing_(loop) {
    for (int i = 0; i < instances; ++i) {
      const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      sockaddr_in address = Loopback(0);
      socklen_t size = sizeof address;
      if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
          getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        throw std::runtime_error("the relay gets no socket");
      }
      sockets_.push_back(fd);
      ports_.push_back(ntohs(address.sin_port));
      loop_.poller().Add(fd, EPOLLIN, *this);
    }
  }
  ~Relay() {
    for (int fd : sockets_) {
      loop_.poller().Remove(fd);
      close(fd);
    }
  }
  std::uint16_t port(int of) const { return ports_[static_cast<std::size_t>(of)]; }
  void Behind(const std::vector<std::uint16_t>& real) { real_ = real; }

  std::set<std::pair<int, int>> cut;  // from, to
  int loss = 0;                       // percent
  Duration delay{0}, jitter{0};
  std::uint64_t bytes = 0;

 private:
  void OnEvents(std::uint32_t) override {
    for (std::size_t to = 0; to < sockets_.size(); ++to) {
      char buffer[65536];
      sockaddr_in sender{};
      socklen_t size = sizeof sender;
      for (ssize_t n; (n = recvfrom(sockets_[to], buffer, sizeof buffer, 0,
                                    reinterpret_cast<sockaddr*>(&sender), &size)) >= 0;) {
        const auto from = std::ranges::find(real_, ntohs(sender.sin_port));
        if (from == real_.end()) continue;
        Pass(static_cast<int>(from - real_.begin()), static_cast<int>(to),
             {buffer, static_cast<std::size_t>(n)});
      }
    }
  }

  void Pass(int from, int to, std::string datagram) {
    bytes += datagram.size();
    if (cut.contains({from, to}) || static_cast<int>(random_() % 100) < loss) return;
    const Duration late = delay + jitter * static_cast<std::int64_t>(random_() % 100) / 100;
    if (late == Duration{0}) return Deliver(from, to, datagram);
    flying_.emplace(loop_.Now() + late, Flying{from, to, std::move(datagram)});
    Land();
  }

  // Delivers what is due, and waits for the next.
  void Land() {
    while (!flying_.empty() && flying_.begin()->first <= loop_.Now()) {
      const Flying due = std::move(flying_.begin()->second);
      flying_.erase(flying_.begin());
      Deliver(due.from, due.to, due.datagram);
    }
    if (flying_.empty()) return;
    landing_.After(flying_.begin()->first - loop_.Now(), [this] { Land(); });
  }

  void Deliver(int from, int to, const std::string& datagram) {
    const sockaddr_in address = Loopback(real_[static_cast<std::size_t>(to)]);
    sendto(sockets_[static_cast<std::size_t>(from)], datagram.data(), datagram.size(), 0,
           reinterpret_cast<const sockaddr*>(&address), sizeof address);
  }

  net::Loop& loop_;
  std::mt19937_64 random_;
  std::vector<int> sockets_;
  std::vector<std::uint16_t> ports_, real_;
  struct Flying {
    int from, to;
    std::string datagram;
  };
  std::multimap<Time, Flying> flying_;
  net::Timer landing_;
};

using Sides = std::vector<std::vector<int>>;

// What one process said of its part, with the times of its own log.
struct Said {
  double at = 0;  // Unix seconds
  std::string part;
  int reached = 0;
};

double UnixNow() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return static_cast<double>(now.tv_sec) + 1e-9 * static_cast<double>(now.tv_nsec);
}

std::vector<Said> ReadLog(const std::string& path) {
  std::vector<Said> said;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    const auto at = line.find(" I peers: ");
    const auto colon = line.find(": ", at + 10);
    if (at == std::string::npos || line.find(" instances in reach") == std::string::npos) continue;
    std::tm time{};
    int milliseconds = 0, reached = 0;
    if (strptime(line.c_str(), "%Y-%m-%d %H:%M:%S", &time) == nullptr) continue;
    std::sscanf(line.c_str() + 19, ".%d", &milliseconds);
    std::sscanf(line.c_str() + colon + 2, "%d", &reached);
    time.tm_isdst = -1;
    said.push_back({static_cast<double>(std::mktime(&time)) + 1e-3 * milliseconds,
                    line.substr(at + 10, colon - at - 10), reached});
  }
  return said;
}

struct Fleet {
  Fleet(const MembersOptions& options, const std::string& script)
      : options(options), relay(loop, options.instances, options.seed) {
    const std::string key = folder.Write("key", "1 " + std::string(64, 'a') + "\n");
    for (int i = 0; i < options.instances; ++i) real.push_back(FreePort(true));
    relay.Behind(real);
    for (int i = 0; i < options.instances; ++i) {
      std::string seeds;
      for (int j = 0; j < options.instances; ++j) {
        if (j == i) continue;
        seeds += (seeds.empty() ? "\"" : ", \"") + At(relay.port(j)) + "\"";
      }
      const std::string name = "n" + std::to_string(i);
      PoolerProcess::Files files;
      files.program = options.pooler;
      files.config = folder.Write(name + ".json", ConfigFor(name, FreePort(false), FreePort(false), "off"));
      files.settings = folder.Write(
          name + ".toml", "[sessions]\nscope = \"everywhere\"\n[peers]\nlisten = \"" +
                              At(real[static_cast<std::size_t>(i)]) + "\"\nadvertise = \"" +
                              At(relay.port(i)) + "\"\nseeds = [" + seeds + "]\nkey_file = \"" + key +
                              "\"\nprobe_ms = " + std::to_string(options.probe_ms) + "\n");
      files.log = folder.path() + "/" + name + ".log";
      logs.push_back(files.log);
      processes.push_back(std::make_unique<PoolerProcess>(files));
      const std::string fault = processes.back()->Start();
      if (!fault.empty()) throw std::runtime_error("a pooler cannot be started: " + fault);
    }
    if (options.keep_logs) std::printf("%s: logs in %s\n", script.c_str(), folder.path().c_str());
  }

  void Pass(Duration time) {
    net::Timer end(loop);
    end.After(time, [this] { loop.Stop(); });
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
    cuts.push_back({UnixNow(), sides});
  }
  void Heal() { Cut({}); }
  std::string PartOf(int i) const {
    const auto said = ReadLog(logs[static_cast<std::size_t>(i)]);
    return said.empty() ? "nothing" : said.back().part;
  }
  bool All(const std::vector<int>& of, const std::string& part) const {
    return std::ranges::all_of(of, [&](int i) { return PartOf(i) == part; });
  }

  // Moments, 50 ms apart, at which processes on two sides of a cut both held theirs for the larger.
  int BothLarger() const {
    int moments = 0;
    std::vector<std::vector<Said>> said;
    for (const std::string& log : logs) said.push_back(ReadLog(log));
    const auto larger = [&](int i, double at) {
      std::string part;
      for (const Said& one : said[static_cast<std::size_t>(i)]) {
        if (one.at <= at) part = one.part;
      }
      return part == "larger part" || part == "some missing";
    };
    for (std::size_t c = 0; c < cuts.size(); ++c) {
      const double end = c + 1 < cuts.size() ? cuts[c + 1].at : UnixNow();
      for (double at = cuts[c].at; at < end; at += 0.05) {
        int sides = 0;
        for (const auto& side : cuts[c].sides) {
          sides += std::ranges::any_of(side, [&](int i) { return larger(i, at); });
        }
        moments += sides > 1;
      }
    }
    return moments;
  }

  struct CutAt {
    double at;
    Sides sides;
  };
  MembersOptions options;
  net::Loop loop;
  Folder folder;
  Relay relay;
  std::vector<std::uint16_t> real;
  std::vector<std::string> logs;
  std::vector<std::unique_ptr<PoolerProcess>> processes;
  std::vector<CutAt> cuts;
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
         return right && f.Until([&] { return f.All(Range(0, n), "whole"); });
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
      {"stopped",
       [](Fleet& f, int n) {
         f.processes[0]->Signal(SIGSTOP);
         f.Pass(kSecond * 10);
         const auto before = ReadLog(f.logs[0]).size();
         f.processes[0]->Signal(SIGCONT);
         f.Until([&] { return ReadLog(f.logs[0]).size() > before; });
         const auto said = ReadLog(f.logs[0]);
         const bool doubts = said.size() > before && said[before].part == "in doubt";
         return doubts && f.Until([&] { return f.All(Range(0, n), "whole"); });
       }},
      {"killed",
       [](Fleet& f, int n) {
         f.processes[0]->End(SIGKILL);
         const bool right = f.Until([&] { return f.All(Range(1, n), "some missing"); });
         if (!f.processes[0]->Start().empty()) return false;
         return right && f.Until([&] { return f.All(Range(0, n), "whole"); });
       }},
  };
  return all;
}

}  // namespace

int RunMembers(const MembersOptions& options) {
  nlohmann::json json = {{"seed", options.seed}, {"instances", options.instances}};
  int both = 0, wrong = 0, crashed = 0;
  for (const Script& script : Scripts()) {
    if (!options.only.empty() && options.only != script.name) continue;
    Fleet fleet(options, script.name);
    const bool met = fleet.Until([&] { return fleet.All(Range(0, options.instances), "whole"); });
    const std::uint64_t bytes = fleet.relay.bytes;
    const double from = UnixNow();
    const bool right = met && script.play(fleet, options.instances);
    const double each =
        static_cast<double>(fleet.relay.bytes - bytes) / (UnixNow() - from) / options.instances;
    const int larger = fleet.BothLarger();
    for (const auto& process : fleet.processes) crashed += process->Crashed();
    both += larger;
    wrong += !right;
    std::printf("%s: ended as it should: %s\n%s both_larger: %d\n%s bytes_per_s: %.0f\n", script.name,
                right ? "yes" : met ? "no" : "no, they did not meet", script.name, larger, script.name, each);
    std::fflush(stdout);
    json[script.name] = {{"right", right}, {"both_larger", larger}, {"bytes_per_s", each}};
  }
  std::printf("both_larger: %d\nwrong_end: %d\ncrashed: %d\n", both, wrong, crashed);
  json["both_larger"] = both;
  json["wrong_end"] = wrong;
  json["crashed"] = crashed;
  if (!options.json.empty()) std::ofstream(options.json) << json.dump(2) << '\n';
  return both + wrong + crashed > 0 ? 1 : 0;
}

}  // namespace lynxgrade::lab
