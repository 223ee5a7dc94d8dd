#include "durability/write_ahead_log.h"

#include <spdlog/spdlog.h>
#include <sys/stat.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace lynxgrade::durability {
namespace {

constexpr mode_t kFolderMode = 0700;

WriteJob AppendJob(std::string bytes) { return {WriteJob::Kind::kAppend, std::move(bytes), 0}; }

}  // namespace

WriteAheadLog::WriteAheadLog(net::Loop& loop, DurabilitySettings settings, std::string instance_name,
                             consistency::SessionConsistencyGuard& guard)
    : loop_(loop),
      settings_(std::move(settings)),
      instance_name_(std::move(instance_name)),
      guard_(guard),
      snapshot_(guard, encoder_),
      tick_timer_(loop),
      snapshot_timer_(loop),
      writer_(loop, settings_.folder, settings_.commit,
              [this] { ReleaseDurableWaits(writer_.completed()); }) {}

tl::expected<void, StartError> WriteAheadLog::Open() {
  if (mkdir(settings_.folder.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    return tl::unexpected(StartError{StartErrorCode::kStateFolder, settings_.folder, std::strerror(errno)});
  }
  const std::uint64_t boot_id_hash = CurrentBootIdHash();
  recovered_ = RecoverState(settings_.folder, instance_name_, boot_id_hash, settings_.commit);
  encoder_.SetIdentity(StableHash(instance_name_), boot_id_hash, recovered_.generation);
  return writer_.Start();
}

tl::expected<void, StartError> WriteAheadLog::StartWriting() {
  BeginSnapshot();
  while (snapshot_.in_progress()) ContinueSnapshot();
  std::string cause;
  switch (writer_.WaitForAll(kStartTimeout)) {
    case LogWriterThread::WaitResult::kCompleted:
      durable_ticket_ = writer_.last_submitted();
      tick_timer_.ScheduleAfter(kCompleteThroughInterval, [this] { HandleTick(); });
      return {};
    case LogWriterThread::WaitResult::kFailed:
      cause = Describe(writer_.FetchProgress().error.value_or(WriteError{}), settings_.folder);
      break;
    case LogWriterThread::WaitResult::kTimedOut:
      cause = "the snapshot in " + settings_.folder + " was not written within " +
              std::to_string(kStartTimeout.count()) + " s";
      break;
  }
  writing_ = false;
  return tl::unexpected(StartError{StartErrorCode::kStateWrite, settings_.folder, cause});
}

void WriteAheadLog::AppendRecord(const Record& record) {
  std::string bytes;
  encoder_.Append(bytes, record);
  writer_.Submit(AppendJob(std::move(bytes)));
}

void WriteAheadLog::AppendWatermark(consistency::SessionKey session,
                                    const consistency::WriteWatermark& watermark) {
  if (!writing_) return;
  AppendRecord(WatermarkRecord{session, watermark});
}

void WriteAheadLog::AppendTimeline(GroupId group) {
  if (!writing_) return;
  const auto timeline = guard_.timelines().find(group);
  if (timeline == guard_.timelines().end()) return;
  const LogPosition oldest = loop_.Now() - guard_.write_retention();
  for (const consistency::PrimaryTermReport& report : timeline->second.ReportsSince(oldest)) {
    AppendTerm(group, report);
  }
}

void WriteAheadLog::AppendTerm(GroupId group, const consistency::PrimaryTermReport& report) {
  TermProofRecord proof{group, loop_.Now()};
  if (report.predecessor) {
    proof.predecessor = report.predecessor->primary;
    proof.predecessor_since = report.predecessor->since;
    proof.predecessor_confirmed = report.predecessor->confirmed;
  }
  AppendRecord(proof);
  AppendTimelineRecord(group, report.term);
}

void WriteAheadLog::AppendTimelineRecord(GroupId group, const consistency::PrimaryTerm& term) {
  AppendRecord(TimelineRecord{group, term.primary, term.since, term.replicated_through, term.confirmed});
  written_confirmed_[group] = term.confirmed;
}

// A later process can continue a term only if it knows until when its primary was in office.
void WriteAheadLog::AppendConfirmedPositions() {
  for (const auto& [group, timeline] : guard_.timelines()) {
    if (!timeline.primary()) continue;
    if (timeline.confirmed() - written_confirmed_[group] < kConfirmedInterval) continue;
    AppendTimelineRecord(group, timeline.terms().back());
  }
}

bool WriteAheadLog::NotifyWhenDurable(Callback on_durable) {
  if (durable_ticket_ >= writer_.last_submitted()) return false;
  waits_.push_back({writer_.last_submitted(), std::move(on_durable), loop_.Now() + settings_.wait_timeout});
  return true;
}

void WriteAheadLog::RecordCleanShutdown() {
  if (!writing_) return;
  AppendRecord(CleanShutdownRecord{loop_.Now()});
  writer_.Submit({WriteJob::Kind::kCloseFile, {}, 0});
  writing_ = false;
}

// Starts a new file. Until its snapshot is finished, recovery uses the former file, whose last record refers
// to the new one: all later records are written there.
void WriteAheadLog::BeginSnapshot() {
  if (writing_) AppendRecord(ContinuedInRecord{encoder_.generation() + 1, loop_.Now()});
  std::string header = encoder_.BeginFile(loop_.Now());
  writer_.Submit({WriteJob::Kind::kCreateFile, std::move(header), encoder_.generation()});
  writing_ = true;
  if (const auto position = guard_.watermark_table().newest_evicted()) {
    AppendRecord(ConservativePositionRecord{*position});
  }
  for (const auto& [group, timeline] : guard_.timelines()) AppendTimeline(group);
  snapshot_.Begin();
  ContinueSnapshot();
}

void WriteAheadLog::ContinueSnapshot() {
  if (!writing_ || !snapshot_.in_progress()) return;
  std::string part = snapshot_.EncodeNextPart(loop_.Now());
  if (!part.empty()) writer_.Submit(AppendJob(std::move(part)));
  if (snapshot_.in_progress()) {
    snapshot_timer_.ScheduleAfter(Duration{0}, [this] { ContinueSnapshot(); });
    return;
  }
  AppendRecord(SnapshotEndRecord{loop_.Now()});
  writer_.Submit({WriteJob::Kind::kFinishFile, {}, encoder_.generation()});
}

void WriteAheadLog::HandleTick() {
  ExtendDeadlinesByLoopStall();
  next_tick_at_ = loop_.Now() + kTickInterval;
  tick_timer_.ScheduleAt(next_tick_at_, [this] { HandleTick(); });
  const LogWriterThread::Progress progress = writer_.FetchProgress();
  ReleaseDurableWaits(progress.completed);
  ReleaseTimedOutWaits();
  if (progress.error) return AbandonLog(Describe(*progress.error, settings_.folder));
  if (writing_ && progress.queued_bytes > kMaxQueuedBytes) {
    return AbandonLog("more than " + std::to_string(kMaxQueuedBytes >> 20) + " MiB are queued for " +
                      settings_.folder + ": the disk is slower than the appends");
  }
  if (writing_) {
    AppendCompleteThrough();
  } else if (loop_.Now() - failed_at_ >= kRetryAfterFailure) {
    BeginSnapshot();
  }
}

// While the process was paused or its loop was blocked, completed writes could not be noticed. That time must
// not count towards the wait timeout, or answers would go out before their writes are known to be durable.
void WriteAheadLog::ExtendDeadlinesByLoopStall() {
  const Duration late = next_tick_at_ == TimePoint{} ? Duration{0} : loop_.Now() - next_tick_at_;
  if (late <= kTickInterval) return;
  for (PendingWait& wait : waits_) wait.deadline += late;
}

void WriteAheadLog::AppendCompleteThrough() {
  if (loop_.Now() - last_complete_through_at_ < kCompleteThroughInterval) return;
  last_complete_through_at_ = loop_.Now();
  AppendConfirmedPositions();
  AppendRecord(CompleteThroughRecord{loop_.Now()});
  // A snapshot is only useful if it makes the file much smaller, so not if most records are of live sessions.
  const std::uint64_t live_bytes = kRecordSize * guard_.watermark_table().size();
  if (encoder_.file_bytes() > settings_.snapshot_bytes && !snapshot_.in_progress() &&
      encoder_.file_bytes() > 2 * live_bytes) {
    BeginSnapshot();
  }
}

void WriteAheadLog::ReleaseDurableWaits(LogWriterThread::Ticket completed) {
  durable_ticket_ = std::max(durable_ticket_, completed);
  while (!waits_.empty() && waits_.front().ticket <= durable_ticket_) ReleaseFirstWait();
}

// A disk that hangs must not delay answers indefinitely.
void WriteAheadLog::ReleaseTimedOutWaits() {
  while (!waits_.empty() && waits_.front().deadline <= loop_.Now()) {
    if (wait_timeouts_++ == 0) {
      spdlog::error(
          "durability: write not durable within the wait timeout; answering without waiting; "
          "wait_timeout_ms={}",
          settings_.wait_timeout.count() / 1000);
    }
    ReleaseFirstWait();
  }
}

void WriteAheadLog::ReleaseFirstWait() {
  const Callback on_durable = std::move(waits_.front().on_durable);
  waits_.pop_front();
  on_durable();
}

// The files no longer hold every answered write. They are removed before anything else is answered, as a
// later start would consider them complete.
void WriteAheadLog::AbandonLog(const std::string& cause) {
  spdlog::error("durability: {}; removing the state files; retry_after_s={}", cause,
                kRetryAfterFailure.count() / 1000000);
  writing_ = false;
  snapshot_.Cancel();
  failed_at_ = loop_.Now();
  writer_.DiscardQueued();
  writer_.Submit({WriteJob::Kind::kRemoveAllFiles, {}, 0});
}

}  // namespace lynxgrade::durability
