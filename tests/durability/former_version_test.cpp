// Files written by the version 04cc240: they are read as before, and the same records make the same bytes.
#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <string>

#include "durability/record_format.h"
#include "durability/write_ahead_log.h"

namespace lynxgrade::durability {
namespace {

std::string ReadFixture(const std::string& name) {
  std::ifstream file(std::string(DURABILITY_FIXTURES) + "/" + name, std::ios::binary);
  REQUIRE(file);
  return {std::istreambuf_iterator<char>(file), {}};
}

constexpr std::int64_t AtUs(std::int64_t ms) { return 1'700'000'000'000'000 + ms * 1000; }
TimePoint At(std::int64_t ms) { return TimePoint(Duration(AtUs(ms))); }

// One record of each type, and the marks of a session without a known primary.
std::vector<Record> EveryRecordType() {
  return {{Type::kForgotten, 0, 0, AtUs(-5000)},
          {Type::kMark, 1, 11, AtUs(10)},
          {Type::kMark, 0, 12, AtUs(11)},
          {Type::kReign, 1, static_cast<std::uint64_t>(std::int64_t{-2}), AtUs(1), AtUs(2), AtUs(9)},
          {Type::kWhole, 0, 0, AtUs(12)},
          {Type::kMark, 2, 13, AtUs(13)},
          {Type::kClock, 0, 0, AtUs(14)},
          {Type::kMark, 1, 14, AtUs(15)},
          {Type::kMoved, 0, 6, AtUs(16)},
          {Type::kStopped, 0, 0, AtUs(17)}};
}

TEST_CASE("a file of the former version is read record by record") {
  const std::string file = ReadFixture("every-record-type");
  Head head;
  REQUIRE(ReadHead(file, head) == HeadFault::kNone);
  CHECK(head.instance == 0x1234);
  CHECK(head.boot == 77);
  CHECK(head.generation == 5);
  CHECK(head.begun == At(0));
  const Contents contents = ReadRecords(file, head);
  CHECK(contents.records == EveryRecordType());
  CHECK(contents.whole);
  CHECK_FALSE(contents.torn);
  CHECK(contents.damaged == 0);
  CHECK(contents.stopped);
  CHECK(contents.clock == At(17));
}

TEST_CASE("the same records are written with the bytes of the former version") {
  const Head head{0x1234, 77, 5, At(0)};
  std::string file;
  AppendHead(file, head);
  std::uint64_t index = 0;
  for (const Record& record : EveryRecordType()) AppendRecord(file, head, index++, record);
  CHECK(file == ReadFixture("every-record-type"));
}

TEST_CASE("a folder that the former version left after a clean shutdown is recovered complete") {
  Head head;
  REQUIRE(ReadHead(ReadFixture("sessions-1"), head) == HeadFault::kNone);
  const Recovered found = Recover(DURABILITY_FIXTURES, "n1", head.boot, false);
  CHECK(found.complete);
  CHECK(found.generation == 1);
  const std::vector<Record> expected = {
      {Type::kReign, 1, 2, AtUs(1), AtUs(1), AtUs(10)},
      {Type::kWhole, 0, 0, 1'796'290'749'864'028},
      {Type::kMark, 1, 102, AtUs(20)},
      {Type::kMark, 0, 103, AtUs(21)},
      {Type::kStopped, 0, 0, 1'796'290'749'864'028},
  };
  CHECK(found.records == expected);
}

}  // namespace
}  // namespace lynxgrade::durability
