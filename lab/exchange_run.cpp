#include "exchange_run.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <queue>
#include <random>

#include "peers/exchange.h"

namespace lynxgrade::lab {
namespace {

constexpr Duration kTick{5000};
constexpr std::int64_t kBase = 1'700'000'000'000'000;
constexpr std::size_t kHeads = 18 + 28;  // the envelope, UDP and IPv4
constexpr GroupId kGroup{1};

Settings SessionSettings() {
  Settings settings;
  settings.classes.resize(1);
  settings.classes[0].kind = ReadKind::kSession;
  settings.sessions_carried = false;
  return settings;
}

session::Options Everywhere() {
  session::Options options;
  options.scope = session::Scope::kEverywhere;
  options.sessions = 4096;
  return options;
}

// One instance, its keeper, and what it has been seen to do.
struct Instance {
  Instance(int number, std::uint64_t seed, Time now, const std::vector<std::string>& seeds)
      : keeper(SessionSettings(), Everywhere()) {
    peers::wire::Member self;
    self.set_name("n" + std::to_string(number));
    self.set_life(seed * 1000 + static_cast<std::uint64_t>(number) + 1);
    self.set_started_us(static_cast<std::uint64_t>(now.time_since_epoch().count()));
    self.set_address("a" + std::to_string(number));
    exchange = std::make_unique<peers::Exchange>(peers::Exchange::Options{}, self, seeds, false, keeper,
                                                 seed + static_cast<std::uint64_t>(number));
  }
  session::Keeper keeper;
  std::unique_ptr<peers::Exchange> exchange;
  bool dead = false;
  std::uint64_t bytes = 0;
};

struct Write {
  int by = 0;
  Time at{};
  session::Key key{};
  std::vector<bool> covered;
  int missing = 0;
};

struct Figures {
  double detect_first_ms = -1, detect_all_ms = -1, covered_p50_ms = 0, covered_p99_ms = 0, bytes_s = 0;
  std::uint64_t uncovered = 0, wrong = 0;
};

class World {
 public:
  World(const ExchangeOptions& options, int size, int loss)
      : options_(options),
        loss_(loss),
        random_(options.seed + static_cast<std::uint64_t>(size * 101 + loss)) {
    for (int i = 0; i < size; ++i) {
      std::vector<std::string> seeds;
      for (int s = 0; s < std::min(3, size); ++s) seeds.push_back("a" + std::to_string(s));
      instances_.push_back(std::make_unique<Instance>(i, options.seed, now_, seeds));
      ticks_.push({now_ + Duration(static_cast<std::int64_t>(random_() % 5000)), i});
    }
  }

  Figures Play() {
    Advance(Duration(3'000'000));  // all meet
    for (auto& instance : instances_) instance->bytes = 0;
    const Time from = now_;
    writing_ = true;
    Advance(Duration(static_cast<std::int64_t>(options_.seconds * 1e6)));
    writing_ = false;
    Figures figures;
    std::uint64_t bytes = 0;
    for (const auto& instance : instances_) bytes += instance->bytes;
    figures.bytes_s = static_cast<double>(bytes) / static_cast<double>(instances_.size()) /
                      (static_cast<double>((now_ - from).count()) / 1e6);
    Advance(Duration(3'000'000));  // the last ones get through
    figures.uncovered = writes_.size();
    figures.wrong = wrong_;
    std::sort(times_.begin(), times_.end());
    if (!times_.empty()) {
      figures.covered_p50_ms = times_[times_.size() / 2];
      figures.covered_p99_ms = times_[times_.size() * 99 / 100];
    }
    instances_.back()->dead = true;
    death_ = now_;
    const Time end = now_ + Duration(60'000'000);
    while (now_ < end && detect_all_ < 0) Advance(Duration(50'000));
    figures.detect_first_ms = detect_first_;
    figures.detect_all_ms = detect_all_;
    return figures;
  }

 private:
  struct Datagram {
    Time at{};
    std::uint64_t order = 0;
    int to = 0;
    std::string from;
    peers::wire::Packet packet;
    bool operator>(const Datagram& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void Send(int from, std::vector<peers::Out>& outs) {
    for (peers::Out& out : outs) {
      Instance& sender = *instances_[static_cast<std::size_t>(from)];
      sender.bytes += out.packet.ByteSizeLong() + kHeads;
      if (static_cast<int>(random_() % 100) < loss_) continue;
      const Duration delay(700 + static_cast<std::int64_t>(random_() % 600));
      const int to = std::atoi(out.address.c_str() + 1);
      wire_.push({now_ + delay, order_++, to, "a" + std::to_string(from), std::move(out.packet)});
    }
    outs.clear();
  }

  void Advance(Duration time) {
    const Time end = now_ + time;
    std::vector<peers::Out> outs;
    while (true) {
      const Time tick = ticks_.top().first;
      const bool datagram = !wire_.empty() && wire_.top().at <= tick;
      const Time next = datagram ? wire_.top().at : tick;
      if (next > end) break;
      now_ = next;
      if (datagram) {
        const Datagram came = wire_.top();
        wire_.pop();
        Instance& to = *instances_[static_cast<std::size_t>(came.to)];
        if (to.dead) continue;
        to.exchange->Take(now_, came.from, came.packet, outs);
        Send(came.to, outs);
        continue;
      }
      const int number = ticks_.top().second;
      ticks_.pop();
      Instance& instance = *instances_[static_cast<std::size_t>(number)];
      if (instance.dead) continue;
      ticks_.push({now_ + kTick, number});
      if (writing_ && std::uniform_real_distribution<double>(0, 1)(random_) <
                          options_.writes_per_s * static_cast<double>(kTick.count()) / 1e6) {
        AddWrite(number);
      }
      instance.exchange->Tick(now_, outs);
      Send(number, outs);
      Look(number);
    }
    now_ = end;
  }

  void AddWrite(int number) {
    Write write{number, now_, session::KeyOf(kGroup, "s" + std::to_string(++sessions_)), {}, 0};
    write.covered.resize(instances_.size());
    write.missing = static_cast<int>(instances_.size()) - 1;
    Instance& by = *instances_[static_cast<std::size_t>(number)];
    const session::Mark mark{now_, MemberId(7)};
    by.keeper.Learn(kGroup, write.key, mark);
    by.exchange->Wrote(kGroup, write.key, mark);
    writes_.push_back(std::move(write));
  }

  // What this instance now holds for covered, against what was really written.
  void Look(int number) {
    Instance& here = *instances_[static_cast<std::size_t>(number)];
    const auto covered = here.exchange->Covered();
    for (Write& write : writes_) {
      if (write.by == number || write.covered[static_cast<std::size_t>(number)]) continue;
      const auto peer = covered.find("n" + std::to_string(write.by));
      if (peer == covered.end() || peer->second <= write.at) continue;
      // Covered past the write, and without its mark: a reread here would miss it.
      if (!here.keeper.ledger().Find(write.key).mark) ++wrong_;
      write.covered[static_cast<std::size_t>(number)] = true;
      --write.missing;
      times_.push_back(static_cast<double>((now_ - write.at).count()) / 1000);
    }
    std::erase_if(writes_, [](const Write& write) { return write.missing == 0; });
    if (death_ == Time{}) return;
    const std::string name = "n" + std::to_string(instances_.size() - 1);
    int know = 0;
    for (const auto& instance : instances_) {
      if (instance->dead) continue;
      const auto peer = instance->exchange->swim().peers().find(name);
      const bool dead = peer == instance->exchange->swim().peers().end() ||
                        peer->second.member.state() == peers::wire::Member::DEAD;
      know += dead;
    }
    const double ms = static_cast<double>((now_ - death_).count()) / 1000;
    if (know > 0 && detect_first_ < 0) detect_first_ = ms;
    if (know + 1 == static_cast<int>(instances_.size()) && detect_all_ < 0) detect_all_ = ms;
  }

  ExchangeOptions options_;
  int loss_;
  std::mt19937_64 random_;
  Time now_{Duration(kBase)};
  std::vector<std::unique_ptr<Instance>> instances_;
  using Tick = std::pair<Time, int>;
  std::priority_queue<Tick, std::vector<Tick>, std::greater<>> ticks_;
  std::priority_queue<Datagram, std::vector<Datagram>, std::greater<>> wire_;
  std::uint64_t order_ = 0;
  bool writing_ = false;
  std::uint64_t sessions_ = 0;
  std::vector<Write> writes_;
  std::vector<double> times_;
  std::uint64_t wrong_ = 0;
  Time death_{};
  double detect_first_ = -1, detect_all_ = -1;
};

}  // namespace

int RunExchange(const ExchangeOptions& options) {
  nlohmann::json all;
  const auto print = [&](const std::string& name, double value) {
    std::printf("%s %.6g\n", name.c_str(), value);
    std::fflush(stdout);
    all[name] = value;
  };
  bool sound = true;
  for (const int size : options.sizes) {
    for (const int loss : options.losses) {
      const Figures figures = World(options, size, loss).Play();
      const std::string of = "_" + std::to_string(size) + "_" + std::to_string(loss);
      print("detect_first_ms" + of, figures.detect_first_ms);
      print("detect_all_ms" + of, figures.detect_all_ms);
      print("covered_p50_ms" + of, figures.covered_p50_ms);
      print("covered_p99_ms" + of, figures.covered_p99_ms);
      print("bytes_s" + of, figures.bytes_s);
      print("uncovered" + of, static_cast<double>(figures.uncovered));
      print("wrongly_covered" + of, static_cast<double>(figures.wrong));
      sound = sound && figures.uncovered == 0 && figures.wrong == 0 && figures.detect_all_ms >= 0;
    }
  }
  if (!options.json.empty()) std::ofstream(options.json) << all.dump(2) << "\n";
  return sound ? 0 : 1;
}

}  // namespace lynxgrade::lab
