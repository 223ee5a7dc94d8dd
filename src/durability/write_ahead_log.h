// The durable state of this instance: what it knows of sessions and reigns, in a folder that lasts.
//
// Owns the folder's files and one thread that writes them; the main loop hands over bytes and is told when
// they are safe. `Recover` reads what an earlier life left. Whatever is wrong with it costs the knowledge,
// never the start.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "consistency/session_consistency_guard.h"
#include "durability/record_format.h"
#include "net/loop.h"
#include "net/poller.h"
#include "settings/program_settings.h"

namespace lynxgrade::durability {

struct Recovered {
  std::vector<Record> records;
  // All that this instance answered before is known up to here; the present, if it is known to be all.
  std::optional<TimePoint> complete_to{};
  bool complete = false;
  std::string sentence;  // for the log: what was found
  std::uint64_t generation = 0;
};

// Reads the folder. `boot` names this run of the machine; `synced`: answers waited for the disk.
Recovered Recover(const std::string& folder, const std::string& instance, std::uint64_t boot, bool synced);
// A hash of the machine's present boot; zero where it cannot be told.
std::uint64_t ThisBoot();
// Gives the keeper what was recovered.
void Apply(const Recovered& recovered, consistency::SessionConsistencyGuard& consistency_guard);

class WriteAheadLog final : private net::Poller::Handler {
 public:
  WriteAheadLog(net::Loop& loop, const DurabilitySettings& setup, const std::string& instance,
                consistency::SessionConsistencyGuard& consistency_guard);
  ~WriteAheadLog();
  WriteAheadLog(const WriteAheadLog&) = delete;
  WriteAheadLog& operator=(const WriteAheadLog&) = delete;

  // Recovers what there is. Empty, or one sentence on why there will be no state: the service goes on
  // without.
  std::string Open();
  // Begins a file of its own from what the keeper knows, and waits for it. The same.
  std::string Begin();
  const Recovered& recovered() const { return recovered_; }

  void Wrote(consistency::SessionKey key, const consistency::WriteWatermark& watermark);
  // Calls back once all that was written so far is safe, or the wait was too long; false where it is already,
  // or where there is no state.
  bool WhenSafe(std::function<void()> call);
  // The reigns have changed.
  void ReignsChanged();
  // To be called when the last answer has gone out.
  void Stop();
  bool on() const { return on_; }
  std::uint64_t stalls() const { return stalls_; }

 private:
  static constexpr Duration kClockEvery{100000};
  static constexpr Duration kAgain{30000000};  // after the disk failed
  static constexpr std::chrono::seconds kBeginWithin{5};
  static constexpr std::size_t kMostQueued = 64u << 20;
  static constexpr std::size_t kBucketsATurn = 2048;  // of a snapshot, so that no turn of the loop takes long

  struct Job {
    enum class Kind { kBegin, kBytes, kFinish, kEnd, kAbandon } kind = Kind::kBytes;
    std::string bytes;
    std::uint64_t generation = 0;
    std::uint64_t ticket = 0;
  };
  struct Waiter {
    std::uint64_t ticket = 0;
    std::function<void()> call;
    TimePoint until{};
  };

  std::string PathOf(std::uint64_t generation, bool finished) const;
  void Append(const Record& record);
  void Push(Job job);
  void BeginSnapshot();
  void GoOnWithSnapshot();
  void Beat();
  void Fail(const std::string& why);
  void OnEvents(std::uint32_t events) override;
  void Release(std::uint64_t ticket);

  // On the thread.
  void Work();
  std::string Carry(const Job& job);

  net::Loop& loop_;
  DurabilitySettings setup_;
  std::string instance_;
  consistency::SessionConsistencyGuard& consistency_guard_;
  Recovered recovered_;
  Head head_;
  std::uint64_t index_ = 0;
  std::uint64_t bytes_ = 0;
  bool on_ = false;
  std::optional<std::size_t> snapshot_at_;
  std::uint64_t tickets_ = 0, safe_ = 0;
  std::deque<Waiter> waiters_;
  net::Timer beat_, go_on_;
  TimePoint last_clock_{};
  TimePoint beat_due_{};
  TimePoint failed_{};
  std::uint64_t stalls_ = 0;
  int wake_ = -1;

  std::mutex mutex_;
  std::condition_variable condition_;
  std::deque<Job> jobs_;
  std::size_t queued_ = 0;
  std::uint64_t done_ = 0;
  std::string fault_;
  bool ending_ = false;
  int file_ = -1;           // the thread's alone
  std::uint64_t open_ = 0;  // and its generation
  std::thread thread_;
};

}  // namespace lynxgrade::durability
