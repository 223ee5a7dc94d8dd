#include "durability/log_writer_thread.h"

#include <fcntl.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

#include "durability/state_folder.h"

namespace lynxgrade::durability {
namespace {

constexpr mode_t kFileMode = 0600;

WriteError SystemError(WriteError::Operation operation) { return {operation, errno}; }

}  // namespace

std::string Describe(const WriteError& error, const std::string& folder) {
  const char* operation = "";
  switch (error.operation) {
    case WriteError::Operation::kCreateFile:
      operation = "creating";
      break;
    case WriteError::Operation::kWrite:
      operation = "writing";
      break;
    case WriteError::Operation::kSync:
      operation = "syncing";
      break;
    case WriteError::Operation::kRename:
      operation = "renaming";
      break;
  }
  return std::string(operation) + " a state file in " + folder +
         " failed: " + std::strerror(error.error_number);
}

LogWriterThread::LogWriterThread(net::Loop& loop, std::string folder, CommitMode commit,
                                 std::function<void()> on_progress)
    : loop_(loop), folder_(std::move(folder)), commit_(commit), on_progress_(std::move(on_progress)) {}

LogWriterThread::~LogWriterThread() {
  if (thread_.joinable()) {
    thread_.request_stop();
    thread_.join();
  }
  if (progress_event_.valid()) loop_.poller().Remove(progress_event_.get());
}

tl::expected<void, StartError> LogWriterThread::Start() {
  progress_event_ = FileDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  if (!progress_event_.valid()) {
    return tl::unexpected(StartError{
        StartErrorCode::kStateWrite,
        {},
        std::string("the eventfd of the log writer thread cannot be created: ") + std::strerror(errno)});
  }
  loop_.poller().Add(progress_event_.get(), EPOLLIN, *this);
  thread_ = std::jthread([this](const std::stop_token& stop) { RunWriter(stop); });
  return {};
}

// ---- On the thread of the main loop ---------------------------------------------------------------------

LogWriterThread::Ticket LogWriterThread::Submit(WriteJob job) {
  const Ticket ticket = ++last_submitted_;
  {
    const std::lock_guard lock(mutex_);
    shared_.queued_bytes += job.bytes.size();
    shared_.queue.emplace_back(ticket, std::move(job));
  }
  shared_changed_.notify_one();
  return ticket;
}

void LogWriterThread::DiscardQueued() {
  const std::lock_guard lock(mutex_);
  shared_.queue.clear();
  shared_.queued_bytes = 0;
}

LogWriterThread::Ticket LogWriterThread::completed() const {
  const std::lock_guard lock(mutex_);
  return shared_.completed;
}

LogWriterThread::Progress LogWriterThread::FetchProgress() {
  const std::lock_guard lock(mutex_);
  return {shared_.completed, shared_.queued_bytes, std::exchange(shared_.error, std::nullopt)};
}

LogWriterThread::WaitResult LogWriterThread::WaitForAll(std::chrono::steady_clock::duration timeout) {
  std::unique_lock lock(mutex_);
  const bool finished = shared_changed_.wait_for(
      lock, timeout, [this] { return shared_.completed >= last_submitted_ || shared_.error; });
  if (!finished) return WaitResult::kTimedOut;
  return shared_.error ? WaitResult::kFailed : WaitResult::kCompleted;
}

void LogWriterThread::OnEvents(std::uint32_t /*events*/) {
  std::uint64_t count = 0;
  while (read(progress_event_.get(), &count, sizeof count) > 0) {
  }
  on_progress_();
}

// ---- On the writer thread -------------------------------------------------------------------------------

void LogWriterThread::RunWriter(const std::stop_token& stop) {
  while (true) {
    Jobs jobs;
    {
      std::unique_lock lock(mutex_);
      shared_changed_.wait(lock, stop, [this] { return !shared_.queue.empty(); });
      if (shared_.queue.empty()) return;
      jobs.swap(shared_.queue);
      shared_.queued_bytes = 0;
    }
    const Ticket last = jobs.back().first;
    const std::optional<WriteError> error = ExecuteJobs(std::move(jobs));
    {
      const std::lock_guard lock(mutex_);
      // After an error `completed` does not advance: the main loop first abandons the log, then calls the
      // callbacks that wait.
      if (error) {
        shared_.error = error;
      } else {
        shared_.completed = last;
      }
    }
    shared_changed_.notify_all();
    const std::uint64_t increment = 1;
    // Fails only if the eventfd's counter is at its maximum, and then the main loop has been woken already.
    [[maybe_unused]] const ssize_t written = write(progress_event_.get(), &increment, sizeof increment);
  }
}

// Combines consecutive appends, so that they need one write and one sync.
std::optional<WriteError> LogWriterThread::ExecuteJobs(Jobs jobs) {
  while (!jobs.empty()) {
    WriteJob job = std::move(jobs.front().second);
    jobs.pop_front();
    while (job.kind == WriteJob::Kind::kAppend && !jobs.empty() &&
           jobs.front().second.kind == WriteJob::Kind::kAppend) {
      job.bytes += jobs.front().second.bytes;
      jobs.pop_front();
    }
    if (const auto error = ExecuteJob(job)) return error;
  }
  return std::nullopt;
}

std::optional<WriteError> LogWriterThread::ExecuteJob(const WriteJob& job) {
  switch (job.kind) {
    case WriteJob::Kind::kAppend:
      if (!file_.valid()) return std::nullopt;
      if (const auto error = WriteAll(job.bytes)) return error;
      if (commit_ == CommitMode::kDisk && fdatasync(file_.get()) != 0) {
        return SystemError(WriteError::Operation::kSync);
      }
      return std::nullopt;
    case WriteJob::Kind::kCreateFile:
      if (const auto error = CreateFile(job.generation)) return error;
      return WriteAll(job.bytes);
    case WriteJob::Kind::kFinishFile:
      if (const auto error = FinishFile()) return error;
      RemoveFiles(file_generation_);
      return std::nullopt;
    case WriteJob::Kind::kRemoveAllFiles:
      RemoveFiles(std::nullopt);
      file_.Close();
      return std::nullopt;
    case WriteJob::Kind::kCloseFile:
      file_.Close();
      return std::nullopt;
  }
  return std::nullopt;
}

std::optional<WriteError> LogWriterThread::CreateFile(std::uint64_t generation) {
  file_.Close();
  const std::string path = StateFilePath(folder_, generation, StateFileStatus::kUnfinished);
  file_ = FileDescriptor(open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode));
  if (!file_.valid()) return SystemError(WriteError::Operation::kCreateFile);
  file_generation_ = generation;
  return std::nullopt;
}

std::optional<WriteError> LogWriterThread::WriteAll(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = write(file_.get(), bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return SystemError(WriteError::Operation::kWrite);
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return std::nullopt;
}

std::optional<WriteError> LogWriterThread::FinishFile() {
  if (fsync(file_.get()) != 0) return SystemError(WriteError::Operation::kSync);
  const std::string unfinished = StateFilePath(folder_, file_generation_, StateFileStatus::kUnfinished);
  const std::string finished = StateFilePath(folder_, file_generation_, StateFileStatus::kFinished);
  if (std::rename(unfinished.c_str(), finished.c_str()) != 0) {
    return SystemError(WriteError::Operation::kRename);
  }
  // The new name is durable once the folder has been synced.
  const FileDescriptor folder(open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (folder.valid()) fsync(folder.get());
  return std::nullopt;
}

void LogWriterThread::RemoveFiles(std::optional<std::uint64_t> except_generation) {
  for (const StateFile& file : ListStateFiles(folder_).files) {
    if (file.generation != except_generation) unlink(file.path.c_str());
  }
}

}  // namespace lynxgrade::durability
