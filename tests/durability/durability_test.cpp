// Recovery of what an earlier incarnation left, intact or damaged, and the write-ahead log on a real folder.
#include <doctest/doctest.h>
#include <sys/resource.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <string>

#include "durability/record_format.h"
#include "durability/recovery.h"
#include "durability/write_ahead_log.h"
#include "settings/program_settings.h"

namespace lynxgrade::durability {
namespace {

namespace fs = std::filesystem;
constexpr std::uint64_t kBootIdHash = 77;
constexpr const char* kInstanceName = "n1";

LogPosition TimeAt(std::int64_t ms) { return LogPosition(Duration(1'700'000'000'000'000 + ms * 1000)); }

struct TemporaryFolder {
  TemporaryFolder() {
    std::string name = (fs::temp_directory_path() / "lynxgrade-state-XXXXXX").string();
    REQUIRE(mkdtemp(name.data()) != nullptr);
    path = name;
  }
  ~TemporaryFolder() { fs::remove_all(path); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  void Put(const std::string& name, const std::string& bytes) const {
    std::ofstream(path + "/" + name, std::ios::binary) << bytes;
  }
  std::string Get(const std::string& name) const {
    std::ifstream file(path + "/" + name, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
  }
  std::string path;
};

consistency::Options Everywhere() {
  consistency::Options options;
  options.scope = consistency::Scope::kEverywhere;
  options.write_retention = Duration(30'000'000);
  return options;
}

Settings SessionSettings() {
  Settings settings;
  settings.classes.resize(1);
  return settings;
}

std::uint64_t NameHash() {
  // The header of a file that the log itself wrote says how a name is hashed.
  static const std::uint64_t kHash = [] {
    TemporaryFolder folder;
    net::Loop loop;
    consistency::SessionConsistencyGuard consistency_guard(SessionSettings(), Everywhere());
    DurabilitySettings settings;
    settings.folder = folder.path;
    WriteAheadLog log(loop, settings, kInstanceName, consistency_guard);
    REQUIRE(log.Open());
    REQUIRE(log.StartWriting());
    const auto header = DecodeHeader(folder.Get("sessions-1"));
    REQUIRE(header);
    return header->instance_hash;
  }();
  return kHash;
}

WatermarkRecord Watermark(std::uint64_t session, std::int64_t ms) {
  return {consistency::SessionKey(session), {TimeAt(ms), ServerId(1)}};
}

// A file as an incarnation leaves it: a snapshot of two watermarks and a timeline, then more records.
std::string EncodedFile(std::uint64_t boot_id_hash = kBootIdHash) {
  const FileHeader header{NameHash(), boot_id_hash, 5, TimeAt(0)};
  std::string file;
  AppendHeader(file, header);
  const Record records[] = {Watermark(11, 10),
                            Watermark(12, 11),
                            TimelineRecord{GroupId(2), ServerId(1), TimeAt(1), {}, {}},
                            SnapshotEndRecord{TimeAt(12)},
                            Watermark(13, 13),
                            CompleteThroughRecord{TimeAt(14)},
                            Watermark(14, 15)};
  std::uint64_t index = 0;
  for (const Record& record : records) AppendRecord(file, header, index++, record);
  return file;
}

TEST_CASE(
    "recovery: a log cut at any byte yields a prefix of its records, and is never complete with a torn one") {
  const std::string file = EncodedFile();
  const std::size_t snapshot = kHeaderSize + 4 * kRecordSize;
  for (std::size_t cut = 0; cut <= file.size(); ++cut) {
    CAPTURE(cut);
    TemporaryFolder folder;
    folder.Put("sessions-5", file.substr(0, cut));
    const RecoveredState found = Recover(folder.path, kInstanceName, kBootIdHash, CommitMode::kKernel);
    CHECK(found.records.size() == (cut < snapshot ? 0 : (cut - kHeaderSize) / kRecordSize));
    const bool boundary = cut >= snapshot && (cut - kHeaderSize) % kRecordSize == 0;
    CHECK(found.complete == boundary);
    if (cut >= snapshot && cut < file.size() - kRecordSize) CHECK(*found.complete_through == TimeAt(12));
    if (cut < snapshot) CHECK_FALSE(found.complete_through);
    CHECK_FALSE(Describe(found.report).empty());
  }
}

TEST_CASE("recovery: a flipped bit loses the records that follow it, and the state is not complete") {
  const std::string file = EncodedFile();
  for (std::size_t at = 0; at < file.size(); ++at) {
    CAPTURE(at);
    std::string bytes = file;
    bytes[at] = static_cast<char>(bytes[at] ^ 16);
    TemporaryFolder folder;
    folder.Put("sessions-5", bytes);
    const RecoveredState found = Recover(folder.path, kInstanceName, kBootIdHash, CommitMode::kDisk);
    CHECK_FALSE(found.complete);
    for (const Record& record : found.records) CHECK_FALSE(std::holds_alternative<UnknownRecord>(record));
    CHECK(found.records.size() < 7);
  }
}

TEST_CASE("recovery: each fault of the folder is described in one sentence and yields no records") {
  std::string future = EncodedFile();
  future[8] = 9;  // the checksum does not match, so it counts as damaged
  struct Case {
    const char* name;
    std::string bytes, says;
  };
  std::string foreign_magic = EncodedFile();
  foreign_magic[0] = 'X';
  for (const Case& c : {Case{"sessions-5", foreign_magic, "not state of this program"},
                        Case{"sessions-5", future, "damaged header"}, Case{"sessions-5", "", "too short"},
                        Case{"other", EncodedFile(), "holds no state"},
                        Case{"sessions-5.new", EncodedFile(), "holds no state"}}) {
    CAPTURE(c.says);
    TemporaryFolder folder;
    folder.Put(c.name, c.bytes);
    const RecoveredState found = Recover(folder.path, kInstanceName, kBootIdHash, CommitMode::kKernel);
    CHECK(Describe(found.report).find(c.says) != std::string::npos);
    CHECK(Describe(found.report).find('\n') == std::string::npos);
    CHECK(found.records.empty());
    CHECK_FALSE(found.complete);
  }
  TemporaryFolder folder;
  folder.Put("sessions-5", EncodedFile());
  CHECK(Describe(Recover(folder.path, "n2", kBootIdHash, CommitMode::kKernel).report)
            .find("another instance") != std::string::npos);
  CHECK(Describe(Recover(folder.path + "/nowhere", kInstanceName, kBootIdHash, CommitMode::kKernel).report)
            .find("cannot be read") != std::string::npos);
}

TEST_CASE("recovery: after a reboot of the machine only a log committed to disk is complete") {
  TemporaryFolder folder;
  folder.Put("sessions-5", EncodedFile());
  CHECK(Recover(folder.path, kInstanceName, kBootIdHash, CommitMode::kKernel).complete);
  const RecoveredState other = Recover(folder.path, kInstanceName, kBootIdHash + 1, CommitMode::kKernel);
  CHECK_FALSE(other.complete);
  CHECK(*other.complete_through == TimeAt(14));
  CHECK(other.records.size() == 7);
  CHECK(Recover(folder.path, kInstanceName, kBootIdHash + 1, CommitMode::kDisk).complete);
}

TEST_CASE("recovery: an older file does not replace a newer one that is damaged") {
  TemporaryFolder folder;
  folder.Put("sessions-4", EncodedFile());
  folder.Put("sessions-5", EncodedFile().substr(0, 100));
  CHECK(Recover(folder.path, kInstanceName, kBootIdHash, CommitMode::kKernel).records.empty());
}

consistency::SessionKey KeyNumber(std::uint64_t number) {
  return consistency::SessionKeyOf(GroupId(1), std::to_string(number));
}

// A log on a real folder, and the main loop that it needs.
struct RunningLog {
  explicit RunningLog(const std::string& folder, std::size_t snapshot_bytes = 1u << 20)
      : consistency_guard(SessionSettings(), Everywhere()),
        log(loop, SettingsFor(folder, snapshot_bytes), kInstanceName, consistency_guard) {
    started = log.Open();
    if (started) {
      ApplyRecoveredState(log.recovered(), consistency_guard);
      started = log.StartWriting();
    }
  }
  static DurabilitySettings SettingsFor(const std::string& folder, std::size_t snapshot_bytes) {
    DurabilitySettings settings;
    settings.folder = folder;
    settings.snapshot_bytes = snapshot_bytes;
    settings.wait_timeout = Duration(2'000'000);
    return settings;
  }
  void Write(std::uint64_t key, LogPosition position) {
    const consistency::WriteWatermark watermark{position, ServerId(1)};
    consistency_guard.LearnWatermark(std::nullopt, KeyNumber(key), watermark);
    log.AppendWatermark(KeyNumber(key), watermark);
  }
  void Until(const std::function<bool()>& condition) {
    bool late = false;
    net::Timer limit(loop);
    net::Timer poll(loop);
    limit.ScheduleAfter(Duration(20'000'000), [&] { late = true; });
    std::function<void()> again = [&] { poll.ScheduleAfter(Duration(1000), again); };
    again();
    while (!condition() && !late) g_main_context_iteration(nullptr, TRUE);
    REQUIRE(condition());
  }
  void WaitUntilDurable() {
    bool durable = false;
    if (log.NotifyWhenDurable([&] { durable = true; })) Until([&] { return durable; });
  }
  net::Loop loop;
  consistency::SessionConsistencyGuard consistency_guard;
  WriteAheadLog log;
  tl::expected<void, StartError> started;
};

TEST_CASE("log: after a crash every durable write is recovered, and snapshots keep the folder to one file") {
  TemporaryFolder folder;
  const LogPosition now =
      LogPosition(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
  {
    RunningLog running(folder.path, 4096);
    REQUIRE(running.started);
    CHECK_FALSE(running.log.recovered().complete);
    for (std::uint64_t i = 0; i < 2000; ++i) {
      running.Write(1 + i % 50, now + Duration(1000) * static_cast<std::int64_t>(i));
      if (i % 100 == 99) running.WaitUntilDurable();
    }
    running.Until(
        [&] { return !fs::exists(folder.path + "/sessions-1"); });  // replaced by a later generation
    running.Write(999, now);
    running.WaitUntilDurable();
  }
  RunningLog next(folder.path);
  CHECK(next.log.recovered().complete);
  CHECK(next.consistency_guard.watermark_table().Find(KeyNumber(999)).watermark);
  CHECK(next.consistency_guard.watermark_table().Find(KeyNumber(50)).watermark->position >=
        now + Duration(1000) * 1999);
  CHECK(std::distance(fs::directory_iterator(folder.path), {}) == 1);
}

TEST_CASE("log: after a clean shutdown the state is complete even across a reboot") {
  TemporaryFolder folder;
  {
    RunningLog running(folder.path);
    running.Write(5, TimeAt(10));
    running.log.RecordCleanShutdown();
  }
  CHECK(Recover(folder.path, kInstanceName, CurrentBootIdHash() + 1, CommitMode::kKernel).complete);
}

TEST_CASE("log: on a full disk waits are released, and no file is left that could pass for complete") {
  TemporaryFolder folder;
  RunningLog running(folder.path);
  REQUIRE(running.started);
  std::signal(SIGXFSZ, SIG_IGN);
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_FSIZE, &before) == 0);
  rlimit small = before;
  small.rlim_cur = 4096;
  REQUIRE(setrlimit(RLIMIT_FSIZE, &small) == 0);
  for (std::uint64_t i = 0; i < 200; ++i) running.Write(i + 1, TimeAt(static_cast<std::int64_t>(i)));
  bool released = false;
  REQUIRE(running.log.NotifyWhenDurable([&] { released = true; }));
  running.Until([&] { return released && !running.log.is_writing(); });
  setrlimit(RLIMIT_FSIZE, &before);
  running.Until([&] { return fs::is_empty(folder.path); });
  CHECK_FALSE(Recover(folder.path, kInstanceName, CurrentBootIdHash(), CommitMode::kKernel).complete);
}

}  // namespace
}  // namespace lynxgrade::durability
