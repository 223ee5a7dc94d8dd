// Tables of cases for the parsers of PostgreSQL messages, statement comments and load reports.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "pg/message.h"
#include "pg/statement.h"
#include "upstream/response_reader.h"

namespace lynxgrade {
using namespace std::string_literals;

TEST_CASE("message framing") {
  const struct {
    std::string bytes;
    pg::Framing framing;
    std::size_t size;
  } cases[] = {
      {"", pg::Framing::kPartial, 0},
      {"Q\0\0"s, pg::Framing::kPartial, 0},
      {"Q\0\0\0\6a"s, pg::Framing::kPartial, 0},
      {"Q\0\0\0\6a\0X"s, pg::Framing::kComplete, 7},
      {"S\0\0\0\4"s, pg::Framing::kComplete, 5},
      {"Q\0\0\0\3"s, pg::Framing::kMalformed, 0},
      {"\1\0\0\0\4"s, pg::Framing::kMalformed, 0},
      {"Q\x7f\xff\xff\xff"s, pg::Framing::kTooLong, 0},
      {"Q\xff\xff\xff\xff"s, pg::Framing::kTooLong, 0},
  };
  for (const auto& c : cases) {
    CAPTURE(c.bytes);
    const pg::Frame frame = pg::ReadFrame(c.bytes);
    CHECK(frame.framing == c.framing);
    CHECK(frame.size == c.size);
  }
}

TEST_CASE("startup packets") {
  const struct {
    std::string body;
    pg::StartupKind kind;
  } cases[] = {
      {"\0\3\0\0user\0worker\0database\0catalog\0\0"s, pg::StartupKind::kStartup},
      {"\0\3\0\2user\0worker\0\0"s, pg::StartupKind::kStartup},
      {"\0\3\0\0\0"s, pg::StartupKind::kMalformed},               // no user
      {"\0\3\0\0user\0worker"s, pg::StartupKind::kMalformed},     // not terminated
      {"\0\3\0\0user\0a\0\0more"s, pg::StartupKind::kMalformed},  // bytes after the terminator
      {"\0\2\0\0"s, pg::StartupKind::kUnsupported},
      {"\x04\xd2\x16\x2f"s, pg::StartupKind::kSsl},
      {"\x04\xd2\x16\x30"s, pg::StartupKind::kGssEncryption},
      {"\x04\xd2\x16\x2e\0\0\0\1\0\0\0\2"s, pg::StartupKind::kCancel},
      {"\x04\xd2\x16\x2e"s, pg::StartupKind::kMalformed},
      {"\0\3"s, pg::StartupKind::kMalformed},
  };
  for (const auto& c : cases) {
    CAPTURE(c.body);
    CHECK(pg::ReadStartupMessage(c.body).kind == c.kind);
  }
}

TEST_CASE("bodies of DataRow, ErrorResponse, ParameterStatus and Query") {
  CHECK(pg::ReadSingleColumnRow("\0\1\0\0\0\2ab"s)->value == "ab");
  CHECK_FALSE(pg::ReadSingleColumnRow("\0\1\xff\xff\xff\xff"s)->value.has_value());
  for (const std::string& bad : {"\0\2\0\0\0\1a\0\0\0\1b"s, "\0\1\0\0\0\3ab"s, "\0\1"s, ""s}) {
    CHECK_FALSE(pg::ReadSingleColumnRow(bad).has_value());
  }
  CHECK(pg::ReadErrorFields("SERROR\0C25006\0Mread only\0\0"s)->code == "25006");
  for (const std::string& bad : {"SERROR\0\0"s, "C25006\0"s, "C25006"s, ""s}) {
    CHECK_FALSE(pg::ReadErrorFields(bad).has_value());
  }
  CHECK(pg::ReadParameterStatus("log_position\0"
                                "12\0"s)
            ->value == "12");
  CHECK_FALSE(pg::ReadParameterStatus("log_position\0"
                                      "12"s)
                  .has_value());
  CHECK(pg::ReadQuery("a\0"s) == "a");
  for (const std::string& bad : {""s, "a"s, "a\0b\0"s}) CHECK_FALSE(pg::ReadQuery(bad).has_value());
}

TEST_CASE("the comment before a statement") {
  const struct {
    std::string statement;
    bool valid;
    std::string with_77_ms;  // the statement with its time budget replaced
  } cases[] = {
      {"/* id=9b,c=own,t=acme,d=480,cluster=2 */ SELECT body FROM objects WHERE oid = 'k1'", true,
       "/* id=9b,c=own,t=acme,d=77,cluster=2 */ SELECT body FROM objects WHERE oid = 'k1'"},
      {"/*d=480*/ SELECT 'd=480'", true, "/*d=77*/ SELECT 'd=480'"},
      {"/* id=1, later=x, d=5 */", true, "/* id=1, later=x, d=77 */"},
      {"SELECT 1", false, ""},
      {"/* id=1", false, ""},
      {"/* id */ SELECT 1", false, ""},
      {"/* d=-1 */ SELECT 1", false, ""},
      {"/* d=99999999999999999999 */ SELECT 1", false, ""},
      {"/* cluster=two */ SELECT 1", false, ""},
      {"/* cluster=2,after=soon */ SELECT 1", false, ""},
  };
  for (const auto& c : cases) {
    CAPTURE(c.statement);
    std::string error;
    const auto comment = pg::ReadComment(c.statement, error);
    CHECK(comment.has_value() == c.valid);
    CHECK(error.empty() == c.valid);
    if (comment) CHECK(pg::ReplaceTimeBudget(c.statement, *comment, 77) == c.with_77_ms);
  }
  std::string error;
  const std::string write = "/* id=9,c=w,k=5c,r=1 */ INSERT INTO objects (oid, body) VALUES ('k2', '\\x9f')";
  const auto comment = pg::ReadComment(write, error);
  CHECK(comment->object_id == "k2");
  CHECK(comment->idempotency_key == "5c");
  CHECK(comment->is_retry);
  CHECK_FALSE(comment->statement_empty);
  for (const char* empty :
       {"", " ;\r\n\t\f\v", "-- x", "-- x\n;/* y */", "/* a /* b */ c */", "/* no end", "/*"}) {
    CAPTURE(empty);
    CHECK(pg::ReadComment("/* id=9 */"s + empty, error)->statement_empty);
  }
  for (const char* statement : {"x", ";x", "-- x\nx", "/* a /* b */ c */x", "/* a */-", "/", "'/*'"}) {
    CAPTURE(statement);
    CHECK_FALSE(pg::ReadComment("/* id=9 */"s + statement, error)->statement_empty);
  }
}

TEST_CASE("load reports") {
  const auto report = upstream::ParseLoadReport("x0=1767225600.123,x1=1,util=0.61");
  CHECK(report->position == TimePoint(std::chrono::milliseconds(1767225600123)));
  CHECK(report->primary == true);
  CHECK(report->utilization == 0.61);
  for (const char* bad : {"", "x0", "x0=", "x0=a", "x0=1e", "=1", "x0=inf"}) {
    CAPTURE(bad);
    CHECK_FALSE(upstream::ParseLoadReport(bad).has_value());
  }
}

TEST_CASE("responses of data servers: the outcome of the attempt") {
  const std::string description = "\0\1d\0"s + std::string(18, '\0');
  const struct {
    std::vector<std::pair<char, std::string>> messages;
    bool written;
    Outcome outcome;
  } cases[] = {
      {{{'T', description}, {'D', "\0\1\0\0\0\1a"s}, {'C', "SELECT 1\0"s}}, true, Outcome::kOk},
      {{{'E', "C25006\0\0"s}}, true, Outcome::kMisrouted},
      {{{'E', "C72000\0\0"s}}, true, Outcome::kMisrouted},
      {{{'E', "CXX000\0\0"s}}, true, Outcome::kError},
      {{{'E', "C53300\0\0"s}}, true, Outcome::kOverloaded},
      {{{'E', "C42601\0\0"s}}, true, Outcome::kNotRun},
      {{{'T', description}, {'D', "\0\1\0\0\0\1a"s}}, true, Outcome::kConnectionLost},
      {{}, true, Outcome::kConnectionLost},
      {{}, false, Outcome::kUnreachable},
  };
  for (const auto& c : cases) {
    upstream::ResponseReader response;
    for (const auto& [type, body] : c.messages)
      REQUIRE(response.ReadMessage(type, body) == upstream::ResponseReader::ReadResult::kMore);
    CHECK(response.OutcomeAtEnd(c.written) == c.outcome);
  }
  // Messages in an invalid order, or rows that are not exactly one value.
  const std::string row = "\0\1\0\0\0\1a"s, null = "\0\1\xff\xff\xff\xff"s;
  for (const auto& messages : std::vector<std::vector<std::pair<char, std::string>>>{
           {{'D', row}},
           {{'C', "SELECT 1\0"s}},
           {{'T', description}, {'C', "SELECT 1\0"s}},
           {{'T', description}, {'T', description}},
           {{'T', "\0\2"s}},
           {{'T', description + "x"}},
           {{'T', description}, {'D', null}},
           {{'T', description}, {'D', row}, {'D', row}},
           {{'T', description}, {'D', row}, {'C', "SELECT 1"}},
           {{'T', description}, {'D', row}, {'C', "SELECT 1\0"s}, {'E', "CXX000\0\0"s}},
           {{'E', "CXX000\0\0"s}, {'T', description}},
           {{'Z', "T"}}}) {
    upstream::ResponseReader response;
    for (std::size_t i = 0; i + 1 < messages.size(); ++i)
      REQUIRE(response.ReadMessage(messages[i].first, messages[i].second) ==
              upstream::ResponseReader::ReadResult::kMore);
    CHECK(response.ReadMessage(messages.back().first, messages.back().second) ==
          upstream::ResponseReader::ReadResult::kMalformed);
  }
  upstream::ResponseReader response;
  for (const auto& message : std::vector<std::pair<char, std::string>>{{'D', "no row"},
                                                                       {'E', "no code"},
                                                                       {'S', "log_position\0x\0"s},
                                                                       {'Z', ""},
                                                                       {'?', ""},
                                                                       {'R', "\0\0\0\5"s}}) {
    CAPTURE(message.first);
    CHECK(response.ReadMessage(message.first, message.second) ==
          upstream::ResponseReader::ReadResult::kMalformed);
  }
}

TEST_CASE("responses of data servers: a copy of the response to an empty query is skipped") {
  using upstream::ReadResult;
  const std::string description = "\0\1d\0"s + std::string(18, '\0'), row = "\0\1\0\0\0\1a"s;
  upstream::ResponseReader response;
  for (int copy = 0; copy < 2; ++copy) {
    CHECK(response.ReadMessage('I', "") == ReadResult::kMore);
    CHECK(response.ReadMessage('S', "log_position\0007\0"s) == ReadResult::kMore);
    CHECK(response.ReadMessage('Z', "I") == ReadResult::kMore);
  }
  CHECK_FALSE(response.started());
  CHECK_FALSE(response.metadata().position.has_value());
  for (const auto& [type, body] :
       std::vector<std::pair<char, std::string>>{{'T', description}, {'D', row}, {'C', "SELECT 1\0"s}}) {
    CHECK(response.ReadMessage(type, body) == ReadResult::kMore);
  }
  CHECK(response.ReadMessage('Z', "I") == ReadResult::kReady);
  CHECK(response.value() == "a");
  // It is skipped as a whole only.
  for (const auto& [type, body] : std::vector<std::pair<char, std::string>>{
           {'T', description}, {'E', "CXX000\0\0"s}, {'I', ""}, {'Z', "T"}}) {
    upstream::ResponseReader partial;
    REQUIRE(partial.ReadMessage('I', "") == ReadResult::kMore);
    CHECK(partial.ReadMessage(type, body) == ReadResult::kMalformed);
  }
}

TEST_CASE("responses of data servers: only that to an empty query completes the barrier") {
  using upstream::ReadResult;
  upstream::BarrierReader barrier;
  CHECK(barrier.ReadMessage('S', "log_position\0007\0"s) == ReadResult::kMore);
  CHECK(barrier.ReadMessage('I', "") == ReadResult::kMore);
  CHECK(barrier.ReadMessage('N', "") == ReadResult::kMore);
  CHECK(barrier.ReadMessage('Z', "I") == ReadResult::kReady);
  for (const char type : {'T', 'D', 'C', 'E', 'Z', 'R', 'K', '?'}) {
    CAPTURE(type);
    CHECK(upstream::BarrierReader().ReadMessage(type, "I") == ReadResult::kMalformed);
  }
  // An error answers it only if it rejects the statement and is not that of the response before.
  const std::string invalid = "C08P01\0Mno\0\0"s, overloaded = "C53300\0\0"s;
  upstream::BarrierReader rejected;
  CHECK(rejected.ReadMessage('E', invalid) == ReadResult::kMore);
  CHECK(rejected.ReadMessage('Z', "I") == ReadResult::kReady);
  CHECK(rejected.error_body() == invalid);
  CHECK(upstream::BarrierReader().ReadMessage('E', overloaded) == ReadResult::kMalformed);
  CHECK(upstream::BarrierReader(invalid).ReadMessage('E', invalid) == ReadResult::kMalformed);
  upstream::ResponseReader response(invalid);
  CHECK(response.ReadMessage('E', invalid) == ReadResult::kMore);
  CHECK(response.ReadMessage('Z', "I") == ReadResult::kMore);
  CHECK(response.ReadMessage('E', overloaded) == ReadResult::kMore);
  CHECK(response.ReadMessage('Z', "I") == ReadResult::kReady);
  CHECK(response.OutcomeAtEnd(true) == Outcome::kOverloaded);
  upstream::BarrierReader twice;
  REQUIRE(twice.ReadMessage('I', "") == ReadResult::kMore);
  CHECK(twice.ReadMessage('I', "") == ReadResult::kMalformed);
}

}  // namespace lynxgrade
