// The durable state of this instance: a write-ahead log of what it knows of sessions and primary timelines.
//
// Appends a record for each answered write and reports when it is durable, so that the answer can go out. The
// log is rewritten as a snapshot once it has grown. If the disk fails, the files are removed, answers go out
// without waiting, and a new log is begun later: state that lacks answered writes must never be recovered.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <tl/expected.hpp>

#include "consistency/session_consistency_guard.h"
#include "durability/log_writer_thread.h"
#include "durability/recovery.h"
#include "durability/snapshot_encoder.h"
#include "net/loop.h"
#include "settings/program_settings.h"
#include "start_error.h"

namespace lynxgrade::durability {

// To be used on the main loop's thread alone.
class WriteAheadLog {
 public:
  using Callback = std::function<void()>;

  // `loop` and `guard` must outlive it.
  WriteAheadLog(net::Loop& loop, DurabilitySettings settings, std::string instance_name,
                consistency::SessionConsistencyGuard& guard);
  // Waits for the writer thread to write what was appended.
  ~WriteAheadLog() = default;
  WriteAheadLog(const WriteAheadLog&) = delete;
  WriteAheadLog& operator=(const WriteAheadLog&) = delete;

  // Makes the folder, recovers what it holds and starts the writer thread.
  tl::expected<void, StartError> Open();
  // What Open has found.
  const RecoveredState& recovered() const { return recovered_; }
  // Writes a snapshot of what the guard knows and blocks until it is durable, for some seconds at most. To be
  // called after Open and before anything is answered: from then on the folder holds every answered write.
  tl::expected<void, StartError> StartWriting();

  void AppendWatermark(consistency::SessionKey session, const consistency::WriteWatermark& watermark);
  // Appends the present timeline of every group. To be called when one has changed.
  void AppendTimelines();
  // Calls `durable` once all that was appended so far is durable, or the wait has timed out. False: it is
  // durable already, or nothing is being written, and `durable` is not called.
  bool NotifyWhenDurable(Callback durable);
  // Ends the log. To be called after the last answer has gone out.
  void RecordCleanShutdown();

  // Whether records are being written: false before StartWriting, after a failure and after the shutdown.
  bool is_writing() const { return writing_; }
  // Answers that went out because their wait had timed out.
  std::uint64_t wait_timeouts() const { return wait_timeouts_; }

 private:
  static constexpr Duration kCompleteThroughInterval{100'000};
  static constexpr Duration kTickInterval = kCompleteThroughInterval / 2;
  static constexpr Duration kRetryAfterFailure{30'000'000};
  static constexpr std::chrono::seconds kStartTimeout{5};
  static constexpr std::size_t kMaxQueuedBytes = 64u << 20;

  struct PendingWait {
    LogWriterThread::Ticket ticket = 0;
    Callback durable;
    TimePoint deadline{};
  };

  void Append(const Record& record);
  void BeginSnapshot();
  void ContinueSnapshot();
  void HandleTick();
  void ExtendDeadlinesByLoopStall();
  void AppendCompleteThrough();
  void ReleaseDurable(LogWriterThread::Ticket completed);
  void ReleaseTimedOut();
  void ReleaseFirst();
  void Abandon(const std::string& cause);

  net::Loop& loop_;
  const DurabilitySettings settings_;
  const std::string instance_name_;
  consistency::SessionConsistencyGuard& guard_;
  RecoveredState recovered_;
  FileEncoder encoder_;
  SnapshotEncoder snapshot_;
  bool writing_ = false;
  LogWriterThread::Ticket durable_ticket_ = 0;
  std::deque<PendingWait> waits_;  // by ticket
  net::Timer tick_timer_;
  net::Timer snapshot_timer_;
  TimePoint last_complete_through_{};
  TimePoint next_tick_{};
  TimePoint failed_at_{};
  std::uint64_t wait_timeouts_ = 0;
  LogWriterThread writer_;
};

}  // namespace lynxgrade::durability
