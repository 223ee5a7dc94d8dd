// The thread that writes the files of the state folder.
//
// The main loop submits jobs and is notified on its own thread when they are done. All jobs that wait are
// taken as one group: one write and, with CommitMode::kDisk, one sync for all of their bytes.
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
// One plain sentence, without a full stop.
std::string Describe(const WriteError& error, const std::string& folder);

struct WriteJob {
  enum class Kind {
    kAppend,          // writes `bytes` to the present file
    kCreateFile,      // starts the unfinished file of `generation` and writes `bytes` to it
    kFinishFile,      // syncs and renames the present file, and removes all others
    kCloseFile,       // closes the present file
    kRemoveAllFiles,  // removes all state files and closes the present one
  };
  Kind kind = Kind::kAppend;
  std::string bytes{};
  std::uint64_t generation = 0;
};

// Owns the thread, the present file and the queue between both threads. Every method is for the main loop's
// thread.
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor): it is final
class LogWriterThread final : private net::Poller::Handler {
 public:
  // Numbers jobs in the order of their submission, from one.
  using Ticket = std::uint64_t;

  // `on_progress` is called on the main loop after jobs have been done or have failed.
  LogWriterThread(net::Loop& loop, std::string folder, CommitMode commit, std::function<void()> on_progress);
  // Waits until all submitted jobs are done.
  ~LogWriterThread();
  LogWriterThread(const LogWriterThread&) = delete;
  LogWriterThread& operator=(const LogWriterThread&) = delete;

  // Starts the thread. To be called once, before anything is submitted.
  tl::expected<void, StartError> Start();

  Ticket Submit(WriteJob job);
  // Drops the jobs that the thread has not begun.
  void DiscardQueued();

  // The ticket of the last job submitted; zero if there was none.
  Ticket last_submitted() const { return last_submitted_; }
  // All jobs up to this ticket are done.
  Ticket completed() const;

  struct Progress {
    Ticket completed = 0;
    std::size_t queued_bytes = 0;     // that the thread has not begun to write
    std::optional<WriteError> error;  // the newest one since the last call
  };
  Progress FetchProgress();

  enum class WaitResult { kCompleted, kFailed, kTimedOut };
  // Blocks until all submitted jobs are done, one has failed, or `timeout` has passed.
  WaitResult WaitForAll(std::chrono::steady_clock::duration timeout);

 private:
  using Jobs = std::deque<std::pair<Ticket, WriteJob>>;

  // What both threads use; guarded by `mutex_`.
  struct Shared {
    Jobs queue;
    std::size_t queued_bytes = 0;
    Ticket completed = 0;
    std::optional<WriteError> error;
  };

  // On the main loop.
  void OnEvents(std::uint32_t events) override;

  // On the writer thread.
  void Run(const std::stop_token& stop);
  std::optional<WriteError> ExecuteAll(Jobs jobs);
  std::optional<WriteError> Execute(const WriteJob& job);
  std::optional<WriteError> CreateFile(std::uint64_t generation);
  std::optional<WriteError> WriteAll(std::string_view bytes);
  std::optional<WriteError> FinishFile();
  void RemoveFiles(std::optional<std::uint64_t> except_generation);

  net::Loop& loop_;
  const std::string folder_;
  const CommitMode commit_;
  std::function<void()> on_progress_;
  Ticket last_submitted_ = 0;
  FileDescriptor wake_;  // eventfd: wakes the main loop

  mutable std::mutex mutex_;
  std::condition_variable_any changed_;
  Shared shared_;

  // The writer thread's alone.
  FileDescriptor file_;
  std::uint64_t file_generation_ = 0;

  std::jthread thread_;  // last: it is joined before what it uses is destroyed
};

}  // namespace lynxgrade::durability
