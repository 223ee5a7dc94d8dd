// The session ledger against the plain map that it replaced: bytes a session, nanoseconds a look-up and a
// write, and the worst turn that expiry costs. Each figure stands beside its baseline in the same run.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <map>
#include <random>
#include <string>
#include <vector>

#include "consistency/session_watermark_table.h"

namespace lynxgrade::consistency {
namespace {

constexpr GroupId kGroup{1};
constexpr std::size_t kProbes = 1u << 16;
LogPosition At(std::int64_t ms) { return LogPosition(Duration(1'700'000'000'000'000 + ms * 1000)); }

// Sixteen hexadecimal digits, as this platform's sessions are named.
std::string NameOf(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(number * 0x9E3779B97F4A7C15ull));
  return text;
}

std::vector<std::string> Probes(std::size_t sessions) {
  std::mt19937_64 random(1);
  std::vector<std::string> names;
  for (std::size_t i = 0; i < kProbes; ++i) names.push_back(NameOf(random() % sessions));
  return names;
}

std::size_t Allocated() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

struct Plain {
  std::map<std::string, LogPosition> watermarks;
  void Record(const std::string& session, LogPosition position) {
    LogPosition& watermark = watermarks[session];
    watermark = std::max(watermark, position);
  }
};

struct Flat {
  explicit Flat(std::size_t sessions) : watermark_table(sessions) {}
  SessionWatermarkTable watermark_table;
  void Record(const std::string& session, LogPosition position) {
    watermark_table.Record(SessionKeyOf(kGroup, session), {position, ServerId(1)});
  }
};

template <typename WriteAheadLog>
void Fill(WriteAheadLog& store, std::size_t sessions) {
  for (std::size_t i = 0; i < sessions; ++i) store.Record(NameOf(i), At(static_cast<std::int64_t>(i / 100)));
}

template <typename WriteAheadLog, typename... Args>
void Report(benchmark::State& state, WriteAheadLog& store, std::size_t before) {
  const auto sessions = static_cast<double>(state.range(0));
  state.counters["bytes_a_session"] = static_cast<double>(Allocated() - before) / sessions;
  if constexpr (std::is_same_v<WriteAheadLog, Flat>) {
    state.counters["forgotten_share"] = static_cast<double>(store.watermark_table.evicted()) / sessions;
  }
}

template <typename WriteAheadLog>
WriteAheadLog Made(std::size_t sessions) {
  if constexpr (std::is_same_v<WriteAheadLog, Flat>) {
    return Flat(sessions);
  } else {
    return Plain{};
  }
}

template <typename WriteAheadLog>
void LookUp(benchmark::State& state) {
  const auto sessions = static_cast<std::size_t>(state.range(0));
  const auto names = Probes(sessions);
  const std::size_t before = Allocated();
  WriteAheadLog store = Made<WriteAheadLog>(sessions);
  Fill(store, sessions);
  std::size_t at = 0;
  for (auto _ : state) {
    if constexpr (std::is_same_v<WriteAheadLog, Flat>) {
      benchmark::DoNotOptimize(store.watermark_table.Find(SessionKeyOf(kGroup, names[at++ % kProbes])));
    } else {
      benchmark::DoNotOptimize(store.watermarks.find(names[at++ % kProbes]));
    }
  }
  Report(state, store, before);
}

template <typename WriteAheadLog>
void Write(benchmark::State& state) {
  const auto sessions = static_cast<std::size_t>(state.range(0));
  const auto names = Probes(sessions);
  const std::size_t before = Allocated();
  WriteAheadLog store = Made<WriteAheadLog>(sessions);
  Fill(store, sessions);
  std::size_t at = 0;
  for (auto _ : state) {
    store.Record(names[at % kProbes], At(static_cast<std::int64_t>(sessions + at)));
    ++at;
  }
  Report(state, store, before);
}

// What the module did on every beat: one walk over all. The ledger has none, so its worst turn is one write
// into a full bucket, which is what "Write" measures.
void ExpireWorstTurn(benchmark::State& state) {
  Plain store;
  Fill(store, static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        std::erase_if(store.watermarks, [](const auto& item) { return item.second < At(-1); }));
  }
}

// A write into a ledger far past its size: each forgets another session's mark.
void WriteForgetting(benchmark::State& state) {
  SessionWatermarkTable watermark_table(static_cast<std::size_t>(state.range(0)));
  std::mt19937_64 random(2);
  std::int64_t ms = 0;
  for (std::int64_t i = 0; i < state.range(0) * 4; ++i)
    watermark_table.Record(SessionKey(random()), {At(++ms), ServerId(1)});
  for (auto _ : state) watermark_table.Record(SessionKey(random()), {At(++ms), ServerId(1)});
}

constexpr std::int64_t kSmall = 10'000, kLarge = 1'000'000, kHuge = 10'000'000;
BENCHMARK(LookUp<Plain>)->Arg(kSmall)->Arg(kLarge)->Arg(kHuge);
BENCHMARK(LookUp<Flat>)->Arg(kSmall)->Arg(kLarge)->Arg(kHuge);
BENCHMARK(Write<Plain>)->Arg(kSmall)->Arg(kLarge)->Arg(kHuge);
BENCHMARK(Write<Flat>)->Arg(kSmall)->Arg(kLarge)->Arg(kHuge);
BENCHMARK(ExpireWorstTurn)->Arg(kSmall)->Arg(kLarge)->Arg(kHuge)->Unit(benchmark::kMicrosecond);
BENCHMARK(WriteForgetting)->Arg(kSmall)->Arg(kLarge)->Arg(kHuge);

}  // namespace
}  // namespace lynxgrade::consistency

BENCHMARK_MAIN();
