#include "durability/write_ahead_log.h"

#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <sys/eventfd.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

namespace lynxgrade::durability {
namespace {

constexpr std::string_view kPrefix = "sessions-";
constexpr std::string_view kUnfinished = ".new";
constexpr std::size_t kMostFile = 8ull << 30;  // no state of ours is larger; a larger file is not read

std::uint64_t HashOf(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }
std::int64_t Us(TimePoint time) { return time.time_since_epoch().count(); }
TimePoint At(std::int64_t us) { return TimePoint(Duration(us)); }

std::optional<std::uint64_t> GenerationOf(std::string_view name) {
  if (!name.starts_with(kPrefix)) return std::nullopt;
  name.remove_prefix(kPrefix.size());
  std::uint64_t generation = 0;
  const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), generation);
  if (error != std::errc() || end != name.data() + name.size()) return std::nullopt;
  return generation;
}

Record RecordOf(consistency::SessionKey key, const consistency::WriteWatermark& watermark) {
  Record record{Type::kMark, watermark.by ? static_cast<std::uint32_t>(*watermark.by) : 0};
  record.a = static_cast<std::uint64_t>(key);
  record.b = Us(watermark.position);
  return record;
}

const char* FaultName(HeadFault fault) {
  switch (fault) {
    case HeadFault::kShort:
      return "is too short for a head";
    case HeadFault::kForeign:
      return "is not state of this program";
    case HeadFault::kFuture:
      return "is of a version that is not known here";
    case HeadFault::kDamaged:
      return "has a damaged head";
    case HeadFault::kNone:
      break;
  }
  return "is sound";
}

}  // namespace

std::uint64_t ThisBoot() {
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string text;
  std::getline(file, text);
  return text.empty() ? 0 : HashOf(text);
}

namespace {

struct File {
  Head head;
  Contents contents;
  std::string fault;  // a predicate for the log, where it cannot be used
};

File ReadFile(const std::string& path, const std::string& instance) {
  File read;
  std::error_code error;
  const std::uintmax_t size = std::filesystem::file_size(path, error);
  std::ifstream file(path, std::ios::binary);
  if (error || !file || size > kMostFile) {
    read.fault = "cannot be read";
    return read;
  }
  const std::string bytes{std::istreambuf_iterator<char>(file), {}};
  const HeadFault fault = ReadHead(bytes, read.head);
  if (fault != HeadFault::kNone) {
    read.fault = FaultName(fault);
  } else if (read.head.instance != HashOf(instance)) {
    read.fault = "is the state of another instance";
  } else {
    read.contents = ReadRecords(bytes, read.head);
  }
  return read;
}

}  // namespace

// The newest finished file, and the unfinished one after it where it says that it goes on there. An older one
// lacks what was answered since, and cannot say so.
Recovered Recover(const std::string& folder, const std::string& instance, std::uint64_t boot, bool synced) {
  Recovered recovered;
  std::error_code error;
  std::optional<std::uint64_t> newest;
  for (std::filesystem::directory_iterator it(folder, error), end; !error && it != end; it.increment(error)) {
    std::string name = it->path().filename().string();
    const bool unfinished = name.ends_with(kUnfinished);
    if (unfinished) name.resize(name.size() - kUnfinished.size());
    const auto generation = GenerationOf(name);
    if (!generation) continue;
    recovered.generation = std::max(recovered.generation, *generation);
    if (!unfinished) newest = std::max(newest.value_or(*generation), *generation);
  }
  if (error) {
    recovered.sentence = "the folder " + folder + " cannot be read (" + error.message() + ")";
    return recovered;
  }
  if (!newest) {
    recovered.sentence = "the folder " + folder + " holds no state";
    return recovered;
  }
  const std::string path = folder + "/" + std::string(kPrefix) + std::to_string(*newest);
  File file = ReadFile(path, instance);
  if (file.fault.empty() && !file.contents.whole) file.fault = "is damaged before the end of its snapshot";
  if (!file.fault.empty()) {
    recovered.sentence = path + " " + file.fault;
    return recovered;
  }
  Contents contents = std::move(file.contents);
  bool there = true;
  if (contents.moved) {
    File next = ReadFile(
        folder + "/" + std::string(kPrefix) + std::to_string(*contents.moved) + std::string(kUnfinished),
        instance);
    there = next.fault.empty();
    if (there) {
      contents.records.insert(contents.records.end(), next.contents.records.begin(),
                              next.contents.records.end());
      contents.torn = next.contents.torn;
      contents.damaged = next.contents.damaged;
      contents.stopped = next.contents.stopped;
      if (next.contents.clock) contents.clock = next.contents.clock;
    }
  }
  recovered.records = std::move(contents.records);
  // What the kernel was given outlives a killed process, and answers waited for that: a record is never torn
  // then. What it had not brought to the disk does not outlive the machine; where answers waited for the
  // disk, a torn record is of a write that was not answered.
  const bool kept = (boot != 0 && file.head.boot == boot && !contents.torn) || synced || contents.stopped;
  recovered.complete = there && contents.damaged == 0 && kept;
  recovered.complete_to = contents.clock;
  recovered.sentence = path + " holds " + std::to_string(recovered.records.size()) + " records";
  if (contents.torn) recovered.sentence += ", the last one torn";
  if (contents.damaged > 0) {
    recovered.sentence += ", then " + std::to_string(contents.damaged) + " bytes that are damaged";
  }
  if (!there) recovered.sentence += ", and what came after them is missing";
  if (!recovered.complete)
    recovered.sentence += "; what was answered after its last clock record is not known";
  return recovered;
}

void Apply(const Recovered& recovered, consistency::SessionConsistencyGuard& consistency_guard) {
  for (const Record& record : recovered.records) {
    switch (record.type) {
      case Type::kMark:
        consistency_guard.Learn(
            std::nullopt, consistency::SessionKey(record.a),
            {At(record.b), record.who == 0 ? std::nullopt : std::optional(ServerId(record.who))});
        break;
      case Type::kReign:
        consistency_guard.LearnReign(GroupId(static_cast<std::int64_t>(record.a)), ServerId(record.who),
                                     At(record.b), At(record.c), At(record.d));
        break;
      case Type::kForgotten:
        consistency_guard.LearnForgotten(At(record.b));
        break;
      case Type::kWhole:
      case Type::kClock:
      case Type::kStopped:
      case Type::kMoved:
        break;
    }
  }
}

WriteAheadLog::WriteAheadLog(net::Loop& loop, const DurabilitySettings& setup, const std::string& instance,
                             consistency::SessionConsistencyGuard& consistency_guard)
    : loop_(loop),
      setup_(setup),
      instance_(instance),
      consistency_guard_(consistency_guard),
      beat_(loop),
      go_on_(loop) {}

WriteAheadLog::~WriteAheadLog() {
  if (thread_.joinable()) {
    {
      const std::lock_guard lock(mutex_);
      ending_ = true;
    }
    condition_.notify_all();
    thread_.join();
  }
  if (wake_ >= 0) {
    loop_.poller().Remove(wake_);
    close(wake_);
  }
}

std::string WriteAheadLog::PathOf(std::uint64_t generation, bool finished) const {
  return setup_.folder + "/" + std::string(kPrefix) + std::to_string(generation) +
         (finished ? "" : std::string(kUnfinished));
}

std::string WriteAheadLog::Open() {
  if (mkdir(setup_.folder.c_str(), 0700) != 0 && errno != EEXIST) {
    return "the folder " + setup_.folder + " cannot be made: " + std::strerror(errno);
  }
  const std::uint64_t boot = ThisBoot();
  recovered_ = Recover(setup_.folder, instance_, boot, setup_.to_disk);
  head_.instance = HashOf(instance_);
  head_.boot = boot;
  head_.generation = recovered_.generation;
  wake_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (wake_ < 0) return std::string("no descriptor for the state's thread: ") + std::strerror(errno);
  loop_.poller().Add(wake_, EPOLLIN, *this);
  thread_ = std::thread([this] { Work(); });
  return {};
}

// Before anything is answered: from then on the folder holds all of it, or nothing that could be taken for
// all.
std::string WriteAheadLog::Begin() {
  BeginSnapshot();
  while (snapshot_at_) GoOnWithSnapshot();
  std::unique_lock lock(mutex_);
  const bool done =
      condition_.wait_for(lock, kBeginWithin, [this] { return done_ >= tickets_ || !fault_.empty(); });
  const std::string fault = done ? fault_ : "the disk does not answer";
  lock.unlock();
  if (!fault.empty()) {
    on_ = false;
    return fault;
  }
  safe_ = tickets_;
  beat_.After(kClockEvery, [this] { Beat(); });
  return {};
}

// ---- The main loop's side -----------------------------------------------------------------------------

void WriteAheadLog::Push(Job job) {
  job.ticket = ++tickets_;
  {
    const std::lock_guard lock(mutex_);
    queued_ += job.bytes.size();
    jobs_.push_back(std::move(job));
  }
  condition_.notify_one();
}

void WriteAheadLog::Append(const Record& record) {
  Job job;
  AppendRecord(job.bytes, head_, index_++, record);
  bytes_ += job.bytes.size();
  Push(std::move(job));
}

void WriteAheadLog::Wrote(consistency::SessionKey key, const consistency::WriteWatermark& watermark) {
  if (!on_) return;
  Append(RecordOf(key, watermark));
}

bool WriteAheadLog::WhenSafe(std::function<void()> call) {
  if (safe_ >= tickets_) return false;
  waiters_.push_back({tickets_, std::move(call), loop_.Now() + setup_.stall});
  return true;
}

void WriteAheadLog::ReignsChanged() {
  if (!on_) return;
  for (const auto& [group, timelines] : consistency_guard_.timelines()) {
    if (!timelines.primary()) continue;
    Record record{Type::kReign, static_cast<std::uint32_t>(*timelines.primary())};
    record.a = static_cast<std::uint64_t>(group);
    record.b = Us(timelines.since());
    record.c = Us(timelines.held());
    record.d = Us(timelines.confirmed());
    Append(record);
  }
}

// A new file: the whole state, a part a turn, while what is answered meanwhile goes in between. Until it is
// finished the old one, which gets the same, is what counts.
void WriteAheadLog::BeginSnapshot() {
  if (on_) {
    Record moved{Type::kMoved};
    moved.a = head_.generation + 1;
    moved.b = Us(loop_.Now());
    Append(moved);
  }
  ++head_.generation;
  head_.begun = loop_.Now();
  index_ = 0;
  Job job;
  job.kind = Job::Kind::kBegin;
  job.generation = head_.generation;
  AppendHead(job.bytes, head_);
  bytes_ = job.bytes.size();
  Push(std::move(job));
  on_ = true;
  if (consistency_guard_.watermark_table().newest_forgotten()) {
    Record record{Type::kForgotten};
    record.b = Us(*consistency_guard_.watermark_table().newest_forgotten());
    Append(record);
  }
  ReignsChanged();
  snapshot_at_ = 0;
  GoOnWithSnapshot();
}

void WriteAheadLog::GoOnWithSnapshot() {
  if (!on_ || !snapshot_at_) return;
  const consistency::SessionWatermarkTable& watermark_table = consistency_guard_.watermark_table();
  const std::size_t end = std::min(watermark_table.buckets(), *snapshot_at_ + kBucketsATurn);
  Job part;
  for (std::size_t at = *snapshot_at_; at < end; ++at) {
    watermark_table.Visit(at, [&](consistency::SessionKey key, const consistency::WriteWatermark& watermark) {
      if (watermark.position + consistency_guard_.write_retention() < loop_.Now()) return;
      AppendRecord(part.bytes, head_, index_++, RecordOf(key, watermark));
    });
  }
  bytes_ += part.bytes.size();
  if (!part.bytes.empty()) Push(std::move(part));
  snapshot_at_ = end;
  if (end < watermark_table.buckets()) return go_on_.After(Duration{0}, [this] { GoOnWithSnapshot(); });
  snapshot_at_.reset();
  Record whole{Type::kWhole};
  whole.b = Us(loop_.Now());
  Append(whole);
  Job finish;
  finish.kind = Job::Kind::kFinish;
  finish.generation = head_.generation;
  Push(std::move(finish));
}

void WriteAheadLog::Beat() {
  // Time for which this loop, or the whole process, stood still is not the disk's: answers would go out
  // before their writes are safe.
  const Duration late = beat_due_ == TimePoint{} ? Duration{0} : loop_.Now() - beat_due_;
  if (late > kClockEvery / 2) {
    for (Waiter& waiter : waiters_) waiter.until += late;
  }
  beat_due_ = loop_.Now() + kClockEvery / 2;
  beat_.Set(beat_due_, [this] { Beat(); });
  std::string fault;
  std::size_t queued = 0;
  std::uint64_t done = 0;
  {
    const std::lock_guard lock(mutex_);
    fault = std::exchange(fault_, {});
    queued = queued_;
    done = done_;
  }
  Release(done);
  // A disk that hangs must not hold answers for ever: they go on without it.
  while (!waiters_.empty() && waiters_.front().until <= loop_.Now()) {
    if (stalls_++ == 0)
      spdlog::error("state: the disk has not taken a write in time; answers go on without it");
    auto call = std::move(waiters_.front().call);
    waiters_.pop_front();
    call();
  }
  if (!fault.empty()) return Fail(fault);
  if (on_ && queued > kMostQueued) return Fail("the disk takes less than is written");
  if (!on_) {
    if (loop_.Now() - failed_ >= kAgain) BeginSnapshot();
    return;
  }
  if (loop_.Now() - last_clock_ >= kClockEvery) {
    last_clock_ = loop_.Now();
    Record clock{Type::kClock};
    clock.b = Us(loop_.Now());
    Append(clock);
    if (bytes_ > setup_.snapshot_bytes && !snapshot_at_ &&
        bytes_ > 2 * kRecordSize * consistency_guard_.watermark_table().size()) {
      BeginSnapshot();
    }
  }
}

// What is in the folder is no longer all that was answered: it has to go before anything else is answered, as
// a later start would take it for whole.
void WriteAheadLog::Fail(const std::string& why) {
  spdlog::error("state: {}; the folder's state is given up, and begun anew in {} s", why,
                kAgain.count() / 1000000);
  on_ = false;
  snapshot_at_.reset();
  failed_ = loop_.Now();
  {
    const std::lock_guard lock(mutex_);
    jobs_.clear();
    queued_ = 0;
  }
  Job job;
  job.kind = Job::Kind::kAbandon;
  Push(std::move(job));
}

void WriteAheadLog::Stop() {
  if (!on_) return;
  Record stopped{Type::kStopped};
  stopped.b = Us(loop_.Now());
  Append(stopped);
  Job end;
  end.kind = Job::Kind::kEnd;
  Push(std::move(end));
  on_ = false;
}

void WriteAheadLog::OnEvents(std::uint32_t) {
  std::uint64_t count = 0;
  while (read(wake_, &count, sizeof count) > 0) {
  }
  std::uint64_t done = 0;
  {
    const std::lock_guard lock(mutex_);
    done = done_;
  }
  Release(done);
}

void WriteAheadLog::Release(std::uint64_t ticket) {
  safe_ = std::max(safe_, ticket);
  while (!waiters_.empty() && waiters_.front().ticket <= safe_) {
    auto call = std::move(waiters_.front().call);
    waiters_.pop_front();
    call();
  }
}

// ---- The thread's side --------------------------------------------------------------------------------

// Takes all that waits as one: one write and, where answers wait for the disk, one sync for all of it.
void WriteAheadLog::Work() {
  while (true) {
    std::deque<Job> jobs;
    {
      std::unique_lock lock(mutex_);
      condition_.wait(lock, [this] { return ending_ || !jobs_.empty(); });
      if (jobs_.empty()) break;
      jobs.swap(jobs_);
      queued_ = 0;
    }
    std::string fault;
    for (std::size_t i = 0; i < jobs.size() && fault.empty();) {
      Job job = std::move(jobs[i++]);
      while (job.kind == Job::Kind::kBytes && i < jobs.size() && jobs[i].kind == Job::Kind::kBytes) {
        job.bytes += jobs[i].bytes;
        job.ticket = jobs[i++].ticket;
      }
      fault = Carry(job);
    }
    {
      const std::lock_guard lock(mutex_);
      // After a fault those that wait are let go by the main loop, once it has given the state up.
      if (fault.empty()) {
        done_ = jobs.back().ticket;
      } else {
        fault_ = fault;
      }
    }
    condition_.notify_all();
    const std::uint64_t one = 1;
    if (write(wake_, &one, sizeof one) < 0) continue;  // it is awake already
  }
  if (file_ >= 0) close(file_);
}

std::string WriteAheadLog::Carry(const Job& job) {
  const auto failed = [this](const std::string& what) {
    return what + " in " + setup_.folder + " failed: " + std::strerror(errno);
  };
  if (job.kind == Job::Kind::kBegin) {
    if (file_ >= 0) close(file_);
    file_ = open(PathOf(job.generation, false).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file_ < 0) return failed("making a file");
    open_ = job.generation;
  }
  std::string_view rest = job.bytes;
  while (file_ >= 0 && !rest.empty()) {
    const ssize_t count = write(file_, rest.data(), rest.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return failed("a write");
    rest.remove_prefix(static_cast<std::size_t>(count));
  }
  if (job.kind == Job::Kind::kBytes && setup_.to_disk && file_ >= 0 && fdatasync(file_) != 0)
    return failed("a sync");
  if (job.kind == Job::Kind::kFinish) {
    if (fsync(file_) != 0) return failed("a sync");
    if (rename(PathOf(open_, false).c_str(), PathOf(open_, true).c_str()) != 0) return failed("a rename");
    const int folder = open(setup_.folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder >= 0) {
      fsync(folder);
      close(folder);
    }
  }
  // The files that this one stands for; or all, where nothing in the folder holds any more.
  if (job.kind == Job::Kind::kFinish || job.kind == Job::Kind::kAbandon) {
    std::error_code error;
    for (std::filesystem::directory_iterator it(setup_.folder, error), end; !error && it != end;
         it.increment(error)) {
      std::string name = it->path().filename().string();
      const bool unfinished = name.ends_with(kUnfinished);
      if (unfinished) name.resize(name.size() - kUnfinished.size());
      const auto generation = GenerationOf(name);
      if (!generation || (job.kind == Job::Kind::kFinish && *generation == open_)) continue;
      unlink(it->path().c_str());
    }
  }
  if (job.kind == Job::Kind::kAbandon || job.kind == Job::Kind::kEnd) {
    if (file_ >= 0) close(file_);
    file_ = -1;
  }
  return {};
}

}  // namespace lynxgrade::durability
