// The thread that writes the files of the state folder.
//
// The main loop submits jobs and is notified on its own thread when they have been executed. The thread takes
// all queued jobs at once (group commit): consecutive appends share one write and, with CommitMode::kDisk,
// one sync.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <stop_token>
#include <string>
#include <thread>
#include <tl/expected.hpp>

#include "durability/file_descriptor.h"
#include "net/loop.h"
#include "net/poller.h"
#include "settings/program_settings.h"
#include "start_error.h"

namespace lynxgrade::durability {

// Why a job failed.
struct WriteError {
  enum class Operation { kCreateFile, kWrite, kSync, kRename };
  Operation operation = Operation::kWrite;
  int error_number = 0;  // errno
};
// One sentence for the log, without a full stop.
std::string Describe(const WriteError& error, const std::string& folder);

// An operation on the state files. The current file is the one that was created last.
struct WriteJob {
  enum class Kind {
    kAppend,          // writes `bytes` to the current file
    kCreateFile,      // creates the unfinished file of `generation` and writes `bytes` to it
    kFinishFile,      // syncs the current file, renames it to its finished name, and removes all others
    kCloseFile,       // closes the current file
    kRemoveAllFiles,  // removes all state files and closes the current one
  };
  Kind kind = Kind::kAppend;
  std::string bytes{};
  std::uint64_t generation = 0;  // kCreateFile
};

// Owns the thread, the current file and the job queue. Public methods are for the main loop's thread only.
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor): it is final
class LogWriterThread final : private net::Poller::Handler {
 public:
  // Numbers jobs in the order of their submission, from one.
  using Ticket = std::uint64_t;

  // `on_progress` is called on the thread of the main loop after jobs have been completed or have failed.
  LogWriterThread(net::Loop& loop, std::string folder, CommitMode commit, std::function<void()> on_progress);
  // Blocks until all submitted jobs have been executed.
  ~LogWriterThread();
  LogWriterThread(const LogWriterThread&) = delete;
  LogWriterThread& operator=(const LogWriterThread&) = delete;

  // Starts the thread. To be called once, before the first Submit. Fails with kStateWrite.
  tl::expected<void, StartError> Start();

  // Queues a job and returns its ticket.
  Ticket Submit(WriteJob job);
  // Discards the jobs that the thread has not started.
  void DiscardQueued();

  // The ticket of the last submitted job; zero if there is none.
  Ticket last_submitted() const { return last_submitted_; }
  // All jobs up to this ticket have been completed.
  Ticket completed() const;

  struct Progress {
    Ticket completed = 0;
    std::size_t queued_bytes = 0;     // bytes of the jobs that the thread has not started
    std::optional<WriteError> error;  // the last error since the previous call
  };
  Progress FetchProgress();

  enum class WaitResult { kCompleted, kFailed, kTimedOut };
  // Blocks until all submitted jobs have been completed, one has failed, or `timeout` has expired.
  WaitResult WaitForAll(std::chrono::steady_clock::duration timeout);

 private:
  using Jobs = std::deque<std::pair<Ticket, WriteJob>>;

  // Data used by both threads; guarded by `mutex_`.
  struct Shared {
    Jobs queue;
    std::size_t queued_bytes = 0;
    Ticket completed = 0;
    std::optional<WriteError> error;
  };

  // On the thread of the main loop.
  void OnEvents(std::uint32_t events) override;

  // On the writer thread.
  void RunWriter(const std::stop_token& stop);
  std::optional<WriteError> ExecuteJobs(Jobs jobs);
  std::optional<WriteError> ExecuteJob(const WriteJob& job);
  std::optional<WriteError> CreateFile(std::uint64_t generation);
  std::optional<WriteError> WriteAll(std::string_view bytes);
  std::optional<WriteError> FinishFile();
  void RemoveFiles(std::optional<std::uint64_t> except_generation);

  net::Loop& loop_;
  const std::string folder_;
  const CommitMode commit_;
  std::function<void()> on_progress_;
  Ticket last_submitted_ = 0;
  FileDescriptor progress_event_;  // eventfd that wakes the main loop

  mutable std::mutex mutex_;
  std::condition_variable_any shared_changed_;  // notified by both threads
  Shared shared_;

  // The current file, used on the writer thread only.
  FileDescriptor file_;
  std::uint64_t file_generation_ = 0;

  std::jthread thread_;  // the last member, so that it is joined before the ones that it uses are destroyed
};

}  // namespace lynxgrade::durability
