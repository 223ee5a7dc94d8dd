// Durable state: what an earlier life left, sound or not, and what a start makes of it.
#include <doctest/doctest.h>
#include <sys/resource.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <string>

#include "durability/write_ahead_log.h"
#include "settings/program_settings.h"

namespace lynxgrade::durability {
namespace {

namespace fs = std::filesystem;
constexpr std::uint64_t kBoot = 77;
constexpr const char* kName = "n1";

LogPosition At(std::int64_t ms) { return LogPosition(Duration(1'700'000'000'000'000 + ms * 1000)); }

struct Folder {
  Folder() {
    std::string name = (fs::temp_directory_path() / "lynxgrade-state-XXXXXX").string();
    REQUIRE(mkdtemp(name.data()) != nullptr);
    path = name;
  }
  ~Folder() { fs::remove_all(path); }
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
  // The head of a file that the store itself wrote says how a name is hashed.
  static const std::uint64_t hash = [] {
    Folder folder;
    net::Loop loop;
    consistency::SessionConsistencyGuard consistency_guard(SessionSettings(), Everywhere());
    DurabilitySettings setup;
    setup.folder = folder.path;
    WriteAheadLog store(loop, setup, kName, consistency_guard);
    REQUIRE(store.Open().empty());
    REQUIRE(store.Begin().empty());
    Head head;
    REQUIRE(ReadHead(folder.Get("sessions-1"), head) == HeadFault::kNone);
    return head.instance;
  }();
  return hash;
}

// A file as a life leaves it: a snapshot of two marks and a reign, then two marks and a clock.
std::string AFile(std::uint64_t boot = kBoot) {
  const Head head{NameHash(), boot, 5, At(0)};
  std::string file;
  AppendHead(file, head);
  const Record records[] = {{Type::kMark, 1, 11, At(10).time_since_epoch().count()},
                            {Type::kMark, 1, 12, At(11).time_since_epoch().count()},
                            {Type::kReign, 1, 2, At(1).time_since_epoch().count()},
                            {Type::kWhole, 0, 0, At(12).time_since_epoch().count()},
                            {Type::kMark, 1, 13, At(13).time_since_epoch().count()},
                            {Type::kClock, 0, 0, At(14).time_since_epoch().count()},
                            {Type::kMark, 1, 14, At(15).time_since_epoch().count()}};
  std::uint64_t index = 0;
  for (const Record& record : records) AppendRecord(file, head, index++, record);
  return file;
}

TEST_CASE("recovery: a log cut at every byte gives a prefix, and what is torn is never taken for complete") {
  const std::string whole = AFile();
  const std::size_t snapshot = kHeadSize + 4 * kRecordSize;
  for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
    CAPTURE(cut);
    Folder folder;
    folder.Put("sessions-5", whole.substr(0, cut));
    const Recovered found = Recover(folder.path, kName, kBoot, false);
    CHECK(found.records.size() == (cut < snapshot ? 0 : (cut - kHeadSize) / kRecordSize));
    const bool boundary = cut >= snapshot && (cut - kHeadSize) % kRecordSize == 0;
    CHECK(found.complete == boundary);
    if (cut >= snapshot && cut < whole.size() - kRecordSize) CHECK(*found.complete_to == At(12));
    if (cut < snapshot) CHECK_FALSE(found.complete_to);
    CHECK_FALSE(found.sentence.empty());
  }
}

TEST_CASE("recovery: a bit flipped anywhere costs what follows it, and is told") {
  const std::string whole = AFile();
  for (std::size_t at = 0; at < whole.size(); ++at) {
    CAPTURE(at);
    std::string bytes = whole;
    bytes[at] = static_cast<char>(bytes[at] ^ 16);
    Folder folder;
    folder.Put("sessions-5", bytes);
    const Recovered found = Recover(folder.path, kName, kBoot, true);
    CHECK_FALSE(found.complete);
    for (const Record& record : found.records) CHECK(record.type >= Type::kMark);
    CHECK(found.records.size() < 7);
  }
}

TEST_CASE("recovery: each fault of the folder is one sentence, and none of them state") {
  std::string future = AFile();
  future[8] = 9;  // its checksum is not of that version, so it counts as damaged; a true one is below
  struct Case {
    const char* name;
    std::string bytes, says;
  };
  std::string foreign_magic = AFile();
  foreign_magic[0] = 'X';
  for (const Case& c :
       {Case{"sessions-5", foreign_magic, "not state of this program"},
        Case{"sessions-5", future, "damaged head"}, Case{"sessions-5", "", "too short"},
        Case{"other", AFile(), "holds no state"}, Case{"sessions-5.new", AFile(), "holds no state"}}) {
    CAPTURE(c.says);
    Folder folder;
    folder.Put(c.name, c.bytes);
    const Recovered found = Recover(folder.path, kName, kBoot, false);
    CHECK(found.sentence.find(c.says) != std::string::npos);
    CHECK(found.sentence.find('\n') == std::string::npos);
    CHECK(found.records.empty());
    CHECK_FALSE(found.complete);
  }
  Folder folder;
  folder.Put("sessions-5", AFile());
  CHECK(Recover(folder.path, "n2", kBoot, false).sentence.find("another instance") != std::string::npos);
  CHECK(Recover(folder.path + "/nowhere", kName, kBoot, false).sentence.find("cannot be read") !=
        std::string::npos);
}

TEST_CASE("recovery: after another boot of the machine only what waited for the disk is complete") {
  Folder folder;
  folder.Put("sessions-5", AFile());
  CHECK(Recover(folder.path, kName, kBoot, false).complete);
  const Recovered other = Recover(folder.path, kName, kBoot + 1, false);
  CHECK_FALSE(other.complete);
  CHECK(*other.complete_to == At(14));
  CHECK(other.records.size() == 7);
  CHECK(Recover(folder.path, kName, kBoot + 1, true).complete);
}

TEST_CASE("recovery: an older file is no stand-in for a newer one that is damaged") {
  Folder folder;
  folder.Put("sessions-4", AFile());
  folder.Put("sessions-5", AFile().substr(0, 100));
  CHECK(Recover(folder.path, kName, kBoot, false).records.empty());
}

consistency::SessionKey KeyNumber(std::uint64_t number) {
  return consistency::SessionKeyOf(GroupId(1), std::to_string(number));
}

// A store on a real folder, with a loop to turn.
struct IncarnationId {
  IncarnationId(const std::string& folder, std::size_t snapshot_bytes = 1u << 20)
      : consistency_guard(SessionSettings(), Everywhere()),
        store(loop, SetupFor(folder, snapshot_bytes), kName, consistency_guard) {
    opened = store.Open();
    if (opened.empty()) {
      Apply(store.recovered(), consistency_guard);
      opened = store.Begin();
    }
  }
  static DurabilitySettings SetupFor(const std::string& folder, std::size_t snapshot_bytes) {
    DurabilitySettings setup;
    setup.folder = folder;
    setup.snapshot_bytes = snapshot_bytes;
    setup.stall = Duration(2'000'000);
    return setup;
  }
  void Write(std::uint64_t key, LogPosition position) {
    const consistency::WriteWatermark watermark{position, ServerId(1)};
    consistency_guard.Learn(std::nullopt, KeyNumber(key), watermark);
    store.Wrote(KeyNumber(key), watermark);
  }
  void Until(const std::function<bool()>& holds) {
    bool late = false;
    net::Timer limit(loop), look(loop);
    limit.After(Duration(20'000'000), [&] { late = true; });
    std::function<void()> again = [&] { look.After(Duration(1000), again); };
    again();
    while (!holds() && !late) g_main_context_iteration(nullptr, TRUE);
    REQUIRE(holds());
  }
  void Settle() {
    bool safe = false;
    if (store.WhenSafe([&] { safe = true; })) Until([&] { return safe; });
  }
  net::Loop loop;
  consistency::SessionConsistencyGuard consistency_guard;
  WriteAheadLog store;
  std::string opened;
};

TEST_CASE("a life that ends without a word leaves all that was answered; snapshots keep the folder small") {
  Folder folder;
  const LogPosition now =
      LogPosition(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
  {
    IncarnationId life(folder.path, 4096);
    REQUIRE(life.opened.empty());
    CHECK_FALSE(life.store.recovered().complete);
    for (std::uint64_t i = 0; i < 2000; ++i) {
      life.Write(1 + i % 50, now + Duration(1000) * static_cast<std::int64_t>(i));
      if (i % 100 == 99) life.Settle();
    }
    life.Until([&] { return !fs::exists(folder.path + "/sessions-1"); });  // a later generation stands for it
    life.Write(999, now);
    life.Settle();
  }
  IncarnationId next(folder.path);
  CHECK(next.store.recovered().complete);
  CHECK(next.consistency_guard.watermark_table().Find(KeyNumber(999)).watermark);
  CHECK(next.consistency_guard.watermark_table().Find(KeyNumber(50)).watermark->position >=
        now + Duration(1000) * 1999);
  CHECK(std::distance(fs::directory_iterator(folder.path), {}) == 1);
}

TEST_CASE("an orderly stop is complete after another boot too") {
  Folder folder;
  {
    IncarnationId life(folder.path);
    life.Write(5, At(10));
    life.store.Stop();
  }
  CHECK(Recover(folder.path, kName, ThisBoot() + 1, false).complete);
}

TEST_CASE("a full disk: answers go on, and nothing is left that a later start could take for whole") {
  Folder folder;
  IncarnationId life(folder.path);
  REQUIRE(life.opened.empty());
  std::signal(SIGXFSZ, SIG_IGN);
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_FSIZE, &before) == 0);
  rlimit small = before;
  small.rlim_cur = 4096;
  REQUIRE(setrlimit(RLIMIT_FSIZE, &small) == 0);
  for (std::uint64_t i = 0; i < 200; ++i) life.Write(i + 1, At(static_cast<std::int64_t>(i)));
  bool answered = false;
  REQUIRE(life.store.WhenSafe([&] { answered = true; }));
  life.Until([&] { return answered && !life.store.on(); });
  setrlimit(RLIMIT_FSIZE, &before);
  life.Until([&] { return fs::is_empty(folder.path); });
  CHECK_FALSE(Recover(folder.path, kName, ThisBoot(), false).complete);
}

TEST_CASE("settings: what is wrong is named with its place") {
  struct Case {
    const char* text;
    const char* says;
  };
  for (const Case& c :
       {Case{"[sessions]\nscop = 1\n", "line 2, column 1: 'sessions.scop' is not known"},
        Case{"[sessions]\nscope = \"all\"\n", "line 2, column 9: 'sessions.scope' is not \"instance\""},
        Case{"[sessions]\nrecall_s = 0\n", "line 2, column 12: 'sessions.recall_s' lies outside"},
        Case{"[sessions]\nrecall_s = \"x\"\n", "is not a whole number"},
        Case{"[sesions]\n", "line 1, column 2: 'sesions' is not known"},
        Case{"sessions = 3\n", "'sessions' is not a table"},
        Case{"[state]\nfolder = \"/x\"\n", "is of use only where sessions.scope"},
        Case{"[sessions]\nscope = \"everywhere\"\n[peers]\nlisten = \"127.0.0.1\"\n",
             "line 4, column 10: 'peers.listen': \"127.0.0.1\" is not an address and a port"},
        Case{"[sessions]\nscope = \"everywhere\"\n[peers]\nlisten = \"127.0.0.1:1\"\n", "key_file"},
        Case{"[peers]\nseeds = [\"127.0.0.1:1\"]\n", "'peers.listen' names no address"},
        Case{"[sessions\n", "line 1"}}) {
    CAPTURE(c.text);
    const auto read = ParseProgramSettings(c.text);
    REQUIRE(std::holds_alternative<std::string>(read));
    CAPTURE(std::get<std::string>(read));
    CHECK(std::get<std::string>(read).find(c.says) != std::string::npos);
  }
  CHECK(std::holds_alternative<ProgramSettings>(ParseProgramSettings("")));
  const auto all = LoadProgramSettings(SETTINGS_FILE);
  REQUIRE(std::holds_alternative<ProgramSettings>(all));
  CHECK(std::get<ProgramSettings>(all).sessions.scope == consistency::Scope::kInstance);
}

}  // namespace
}  // namespace lynxgrade::durability
