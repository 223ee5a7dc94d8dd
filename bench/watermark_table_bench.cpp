// Compares SessionWatermarkTable with a std::map in the same run: memory per session, time per look-up and
// per write, and the cost of expiry. The table has no expiry; its slowest operation is a write into a full
// bucket.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "consistency/session_watermark_table.h"

namespace lynxgrade::consistency {
namespace {

constexpr GroupId kGroup{1};
constexpr ServerId kServer{1};
constexpr std::size_t kNames = 1u << 16;  // random session names, prepared before the measurement

LogPosition At(std::int64_t milliseconds) {
  return LogPosition(Duration(1'700'000'000'000'000 + milliseconds * 1000));
}

// Sixteen hexadecimal digits, the format of the platform's session names.
std::string SessionName(std::uint64_t number) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(number * 0x9E3779B97F4A7C15ull));
  return text.data();
}

std::vector<std::string> RandomNames(std::size_t sessions) {
  std::mt19937_64 random(1);
  std::vector<std::string> names;
  for (std::size_t i = 0; i < kNames; ++i) names.push_back(SessionName(random() % sessions));
  return names;
}

std::size_t AllocatedBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

class PlainMap {
 public:
  explicit PlainMap(std::size_t) {}
  void Record(const std::string& session, LogPosition position) {
    LogPosition& newest = positions_[session];
    newest = std::max(newest, position);
  }
  auto Find(const std::string& session) const { return positions_.find(session); }
  void RemoveBefore(LogPosition position) {
    benchmark::DoNotOptimize(
        std::erase_if(positions_, [&](const auto& item) { return item.second < position; }));
  }
  std::optional<std::uint64_t> evicted() const { return std::nullopt; }

 private:
  std::map<std::string, LogPosition> positions_;
};

class FlatTable {
 public:
  explicit FlatTable(std::size_t sessions) : table_(sessions) {}
  void Record(const std::string& session, LogPosition position) {
    table_.Record(SessionKeyOf(kGroup, session), {position, kServer});
  }
  auto Find(const std::string& session) const { return table_.Find(SessionKeyOf(kGroup, session)); }
  std::optional<std::uint64_t> evicted() const { return table_.evicted(); }

 private:
  SessionWatermarkTable table_;
};

template <typename Table>
void Fill(Table& table, std::size_t sessions) {
  for (std::size_t i = 0; i < sessions; ++i) {
    table.Record(SessionName(i), At(static_cast<std::int64_t>(i / 100)));
  }
}

// Measures `call(table, name, number)` for random sessions of a filled table. `number` counts the calls.
template <typename Table, typename Call>
void MeasureFilled(benchmark::State& state, Call call) {
  const auto sessions = static_cast<std::size_t>(state.range(0));
  const auto names = RandomNames(sessions);
  const std::size_t allocated_before = AllocatedBytes();
  Table table(sessions);
  Fill(table, sessions);
  std::size_t number = 0;
  for (auto _ : state) {
    call(table, names[number % kNames], number);
    ++number;
  }
  const auto count = static_cast<double>(sessions);
  state.counters["bytes_a_session"] = static_cast<double>(AllocatedBytes() - allocated_before) / count;
  if (table.evicted()) state.counters["forgotten_share"] = static_cast<double>(*table.evicted()) / count;
}

template <typename Table>
void LookUp(benchmark::State& state) {
  MeasureFilled<Table>(state, [](Table& table, const std::string& name, std::size_t) {
    benchmark::DoNotOptimize(table.Find(name));
  });
}

template <typename Table>
void Write(benchmark::State& state) {
  const std::int64_t sessions = state.range(0);
  MeasureFilled<Table>(state, [sessions](Table& table, const std::string& name, std::size_t number) {
    table.Record(name, At(sessions + static_cast<std::int64_t>(number)));
  });
}

// Expiry of the map: a scan over all sessions.
void ExpireScan(benchmark::State& state) {
  const auto sessions = static_cast<std::size_t>(state.range(0));
  PlainMap map(sessions);
  Fill(map, sessions);
  for (auto _ : state) map.RemoveBefore(At(-1));
}

// Writes to a table that has been filled with four times as many sessions as its size, so that each write
// evicts another session's watermark.
void WriteEvicting(benchmark::State& state) {
  SessionWatermarkTable table(static_cast<std::size_t>(state.range(0)));
  std::mt19937_64 random(2);
  std::int64_t milliseconds = 0;
  const auto record = [&] { table.Record(SessionKey(random()), {At(++milliseconds), kServer}); };
  for (std::int64_t i = 0; i < state.range(0) * 4; ++i) record();
  for (auto _ : state) record();
}

constexpr std::int64_t kSmall = 10'000;
constexpr std::int64_t kLarge = 1'000'000;
constexpr std::int64_t kHuge = 10'000'000;
BENCHMARK(LookUp<PlainMap>)->Arg(kSmall)->Arg(kLarge)->Arg(kHuge);
BENCHMARK(LookUp<FlatTable>)->Arg(kSmall)->Arg(kLarge)->Arg(kHuge);
BENCHMARK(Write<PlainMap>)->Arg(kSmall)->Arg(kLarge)->Arg(kHuge);
BENCHMARK(Write<FlatTable>)->Arg(kSmall)->Arg(kLarge)->Arg(kHuge);
BENCHMARK(ExpireScan)->Arg(kSmall)->Arg(kLarge)->Arg(kHuge)->Unit(benchmark::kMicrosecond);
BENCHMARK(WriteEvicting)->Arg(kSmall)->Arg(kLarge)->Arg(kHuge);

}  // namespace
}  // namespace lynxgrade::consistency

BENCHMARK_MAIN();
