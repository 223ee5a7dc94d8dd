// The durable state of this instance: a write-ahead log of session watermarks and primary timelines.
//
// Each write is appended before it is answered, and its answer goes out once the record is durable. The log
// is replaced by a snapshot once it has grown. If the disk fails, the state files are removed, answers go out
// without waiting, and a new log is started later: state that lacks answered writes must never be recovered.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
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

// Must be used on the thread of the main loop only.
class WriteAheadLog {
 public:
  using Callback = std::function<void()>;

  // `loop` and `guard` must outlive the log.
  WriteAheadLog(net::Loop& loop, DurabilitySettings settings, std::string instance_name,
                consistency::SessionConsistencyGuard& guard);
  // Blocks until the writer thread has written everything that was appended.
  ~WriteAheadLog() = default;
  WriteAheadLog(const WriteAheadLog&) = delete;
  WriteAheadLog& operator=(const WriteAheadLog&) = delete;

  // Creates the folder if it is missing, recovers its state and starts the writer thread. Fails with
  // kStateFolder or kStateWrite.
  tl::expected<void, StartError> Open();
  // The state that Open has recovered.
  const RecoveredState& recovered() const { return recovered_; }
  // Writes a snapshot of the guard's state and blocks until it is durable, for 5 s at most. To be called
  // after Open and before the first answer: from then on the folder holds every answered write. Fails with
  // kStateWrite.
  tl::expected<void, StartError> StartWriting();

  // Appends the watermark of a session.
  void AppendWatermark(consistency::SessionKey session, const consistency::WriteWatermark& watermark);
  // Appends the recent terms of the group's primaries. To be called when a term was added.
  void AppendTimeline(GroupId group);
  // Calls `on_durable` once all records appended so far are durable, or the wait has timed out. Returns
  // false, and does not call it, if they are durable already or nothing is being written.
  bool NotifyWhenDurable(Callback on_durable);
  // Appends the record of a clean shutdown and closes the file. To be called after the last answer was sent.
  void RecordCleanShutdown();

  // Whether records are being written: false before StartWriting, after a failure and after the shutdown.
  bool is_writing() const { return writing_; }
  // Number of answers that went out because their wait timed out.
  std::uint64_t wait_timeouts() const { return wait_timeouts_; }

 private:
  static constexpr Duration kCompleteThroughInterval{100'000};
  // Between two records of the position at which a group's primary was last known to be in office.
  static constexpr Duration kConfirmedInterval{500'000};
  static constexpr Duration kTickInterval = kCompleteThroughInterval / 2;
  static constexpr Duration kRetryAfterFailure{30'000'000};
  static constexpr std::chrono::seconds kStartTimeout{5};  // for the snapshot of StartWriting
  static constexpr std::size_t kMaxQueuedBytes = 64u << 20;

  struct PendingWait {
    LogWriterThread::Ticket ticket = 0;
    Callback on_durable;
    TimePoint deadline{};
  };

  void AppendRecord(const Record& record);
  void AppendTerm(GroupId group, const consistency::PrimaryTermReport& report);
  void AppendTimelineRecord(GroupId group, const consistency::PrimaryTerm& term);
  void AppendConfirmedPositions();
  void BeginSnapshot();
  void ContinueSnapshot();
  void HandleTick();
  void ExtendDeadlinesByLoopStall();
  void AppendCompleteThrough();
  void ReleaseDurableWaits(LogWriterThread::Ticket completed);
  void ReleaseTimedOutWaits();
  void ReleaseFirstWait();
  void AbandonLog(const std::string& cause);

  net::Loop& loop_;
  const DurabilitySettings settings_;
  const std::string instance_name_;
  consistency::SessionConsistencyGuard& guard_;
  RecoveredState recovered_;
  FileEncoder encoder_;
  SnapshotEncoder snapshot_;
  std::map<GroupId, LogPosition> written_confirmed_;
  bool writing_ = false;
  LogWriterThread::Ticket durable_ticket_ = 0;
  std::deque<PendingWait> waits_;  // in ascending order of tickets
  net::Timer tick_timer_;
  net::Timer snapshot_timer_;
  TimePoint last_complete_through_at_{};
  TimePoint next_tick_at_{};
  TimePoint failed_at_{};
  std::uint64_t wait_timeouts_ = 0;
  LogWriterThread writer_;
};

}  // namespace lynxgrade::durability
