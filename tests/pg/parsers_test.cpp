// Tables of cases for the parsers: PostgreSQL messages, the statement's comment, reports, HTTP and the
// roster.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "discovery/endpoint_list.h"
#include "discovery/http.h"
#include "discovery/watch_body_parser.h"
#include "pg/message.h"
#include "pg/statement.h"
#include "settings/platform_config.h"
#include "upstream/server_connection.h"

namespace lynxgrade {
using namespace std::string_literals;

TEST_CASE("a watch's body is taken apart into values and empty lines, however it is cut or indented") {
  using Kind = discovery::WatchBodyParser::Kind;
  const struct {
    std::string bytes;
    std::vector<std::pair<Kind, std::string>> pieces;
  } cases[] = {
      {"\n", {{Kind::kBlank, ""}}},
      {" \t\r\n", {{Kind::kBlank, ""}}},
      {"{\"a\":1}\n\n", {{Kind::kValue, "{\"a\":1}"}, {Kind::kBlank, ""}}},
      {"{\n  \"a\": [\n    1\n  ]\n}\n", {{Kind::kValue, "{\n  \"a\": [\n    1\n  ]\n}"}}},
      {"{\"a\":\"}{\\\"[\"}\n", {{Kind::kValue, "{\"a\":\"}{\\\"[\"}"}}},
      {"noise\n", {{Kind::kValue, "noise"}}},
      {"}\n", {{Kind::kValue, "}"}}},
      {"{\"a\":1", {}},
      {"{\"a\":\n\n{}\n", {{Kind::kCut, ""}, {Kind::kValue, "{}"}}},
      {"{\"a\":\"x\n{}\n", {{Kind::kCut, ""}, {Kind::kValue, "{}"}}},
  };
  for (const auto& c : cases) {
    CAPTURE(c.bytes);
    for (const std::size_t step : {std::size_t{1}, c.bytes.size()}) {
      discovery::WatchBodyParser text;
      for (std::size_t at = 0; at < c.bytes.size(); at += step) text.Feed(c.bytes.substr(at, step));
      for (const auto& [kind, value] : c.pieces) {
        const auto piece = text.Take();
        REQUIRE(piece);
        CHECK(piece->kind == kind);
        CHECK(piece->text == value);
      }
      CHECK_FALSE(text.Take());
    }
  }
  // An end that is one: what stands there is whole or was cut.
  for (const bool whole : {true, false}) {
    discovery::WatchBodyParser text;
    text.Feed(whole ? "{}" : "{\"a\":[");
    text.End();
    const auto piece = text.Take();
    REQUIRE(piece);
    CHECK(piece->kind == (whole ? Kind::kValue : Kind::kCut));
  }
}

TEST_CASE("frames") {
  const struct {
    std::string bytes;
    pg::Framing framing;
    std::size_t size;
  } cases[] = {
      {"", pg::Framing::kPartial, 0},
      {"Q\0\0"s, pg::Framing::kPartial, 0},
      {"Q\0\0\0\6a"s, pg::Framing::kPartial, 0},
      {"Q\0\0\0\6a\0X"s, pg::Framing::kWhole, 7},
      {"S\0\0\0\4"s, pg::Framing::kWhole, 5},
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
      {"\0\3\0\0user\0worker\0database\0catalog\0\0"s, pg::StartupKind::kStart},
      {"\0\3\0\2user\0worker\0\0"s, pg::StartupKind::kStart},
      {"\0\3\0\0\0"s, pg::StartupKind::kMalformed},               // names no user
      {"\0\3\0\0user\0worker"s, pg::StartupKind::kMalformed},     // does not end
      {"\0\3\0\0user\0a\0\0more"s, pg::StartupKind::kMalformed},  // goes on after its end
      {"\0\2\0\0"s, pg::StartupKind::kUnsupported},
      {"\x04\xd2\x16\x2f"s, pg::StartupKind::kSsl},
      {"\x04\xd2\x16\x30"s, pg::StartupKind::kGssEncryption},
      {"\x04\xd2\x16\x2e\0\0\0\1\0\0\0\2"s, pg::StartupKind::kCancel},
      {"\x04\xd2\x16\x2e"s, pg::StartupKind::kMalformed},
      {"\0\3"s, pg::StartupKind::kMalformed},
  };
  for (const auto& c : cases) {
    CAPTURE(c.body);
    CHECK(pg::ReadStartup(c.body).kind == c.kind);
  }
}

TEST_CASE("a value, an error and a status") {
  CHECK(pg::ReadOneValue("\0\1\0\0\0\2ab"s)->value == "ab");
  CHECK_FALSE(pg::ReadOneValue("\0\1\xff\xff\xff\xff"s)->value.has_value());
  for (const std::string& bad : {"\0\2\0\0\0\1a\0\0\0\1b"s, "\0\1\0\0\0\3ab"s, "\0\1"s, ""s}) {
    CHECK_FALSE(pg::ReadOneValue(bad).has_value());
  }
  CHECK(pg::ReadError("SERROR\0C25006\0Mread only\0\0"s)->code == "25006");
  for (const std::string& bad : {"SERROR\0\0"s, "C25006\0"s, "C25006"s, ""s}) {
    CHECK_FALSE(pg::ReadError(bad).has_value());
  }
  CHECK(pg::ReadStatus("log_position\0"
                       "12\0"s)
            ->value == "12");
  CHECK_FALSE(pg::ReadStatus("log_position\0"
                             "12"s)
                  .has_value());
  CHECK(pg::ReadQuery("a\0"s) == "a");
  for (const std::string& bad : {""s, "a"s, "a\0b\0"s}) CHECK_FALSE(pg::ReadQuery(bad).has_value());
}

TEST_CASE("the comment before a statement") {
  const struct {
    std::string statement;
    bool read;
    std::string with_77;  // what it is with 77 ms left
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
    std::string wrong;
    const auto comment = pg::ReadComment(c.statement, wrong);
    CHECK(comment.has_value() == c.read);
    CHECK(wrong.empty() == c.read);
    if (comment) CHECK(pg::WithBudget(c.statement, *comment, 77) == c.with_77);
  }
  std::string wrong;
  const std::string write = "/* id=9,c=w,k=5c,r=1 */ INSERT INTO objects (oid, body) VALUES ('k2', '\\x9f')";
  const auto comment = pg::ReadComment(write, wrong);
  CHECK(comment->object == "k2");
  CHECK(comment->key == "5c");
  CHECK(comment->retry);
}

TEST_CASE("load reports") {
  const auto report = upstream::ReportOf("x0=1767225600.123,x1=1,util=0.61");
  CHECK(report->position == TimePoint(std::chrono::milliseconds(1767225600123)));
  CHECK(report->primary == true);
  CHECK(report->utilization == 0.61);
  for (const char* bad : {"", "x0", "x0=", "x0=a", "x0=1e", "=1", "x0=inf"}) {
    CAPTURE(bad);
    CHECK_FALSE(upstream::ReportOf(bad).has_value());
  }
}

TEST_CASE("what an answer means to the module") {
  const std::string d = "\0\1d\0"s + std::string(18, '\0');
  const struct {
    std::vector<std::pair<char, std::string>> messages;
    bool written;
    Outcome outcome;
  } cases[] = {
      {{{'T', d}, {'D', "\0\1\0\0\0\1a"s}, {'C', "SELECT 1\0"s}}, true, Outcome::kOk},
      {{{'E', "C25006\0\0"s}}, true, Outcome::kMisrouted},
      {{{'E', "C72000\0\0"s}}, true, Outcome::kMisrouted},
      {{{'E', "CXX000\0\0"s}}, true, Outcome::kError},
      {{{'E', "C53300\0\0"s}}, true, Outcome::kOverloaded},
      {{{'E', "C42601\0\0"s}}, true, Outcome::kNotRun},
      {{{'T', d}, {'D', "\0\1\0\0\0\1a"s}}, true, Outcome::kConnectionLost},
      {{}, true, Outcome::kConnectionLost},
      {{}, false, Outcome::kUnreachable},
  };
  for (const auto& c : cases) {
    upstream::Reply reply;
    for (const auto& [type, body] : c.messages)
      REQUIRE(reply.Take(type, body) == upstream::Reply::Step::kMore);
    CHECK(reply.Ended(c.written) == c.outcome);
  }
  // In an order that no data server has, or not as a value that a client could take.
  const std::string row = "\0\1\0\0\0\1a"s, null = "\0\1\xff\xff\xff\xff"s;
  for (const auto& messages : std::vector<std::vector<std::pair<char, std::string>>>{
           {{'D', row}},
           {{'C', "SELECT 1\0"s}},
           {{'T', d}, {'C', "SELECT 1\0"s}},
           {{'T', d}, {'T', d}},
           {{'T', "\0\2"s}},
           {{'T', d + "x"}},
           {{'T', d}, {'D', null}},
           {{'T', d}, {'D', row}, {'D', row}},
           {{'T', d}, {'D', row}, {'C', "SELECT 1"}},
           {{'T', d}, {'D', row}, {'C', "SELECT 1\0"s}, {'E', "CXX000\0\0"s}},
           {{'E', "CXX000\0\0"s}, {'T', d}},
           {{'Z', "T"}}}) {
    upstream::Reply reply;
    for (std::size_t i = 0; i + 1 < messages.size(); ++i)
      REQUIRE(reply.Take(messages[i].first, messages[i].second) == upstream::Reply::Step::kMore);
    CHECK(reply.Take(messages.back().first, messages.back().second) == upstream::Reply::Step::kMalformed);
  }
  upstream::Reply reply;
  for (const auto& [type, body] : std::vector<std::pair<char, std::string>>{{'D', "no row"},
                                                                            {'E', "no code"},
                                                                            {'S', "log_position\0x\0"s},
                                                                            {'Z', ""},
                                                                            {'?', ""},
                                                                            {'R', "\0\0\0\5"s}}) {
    CAPTURE(type);
    CHECK(reply.Take(type, body) == upstream::Reply::Step::kMalformed);
  }
}

TEST_CASE("HTTP answers, whole and byte by byte") {
  using State = discovery::HttpResponse::State;
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const struct {
    std::string bytes;
    State state;
    std::string body;
  } cases[] = {
      {ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n", State::kDone, "abcde"},
      {ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nab", State::kBody, "ab"},
      {ok + "Content-Length: 4\r\n\r\nabcd", State::kDone, "abcd"},
      {ok + "Content-Length: 0\r\n\r\n", State::kDone, ""},
      {ok + "\r\nabc", State::kBody, "abc"},
      {"HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 1\r\n\r\na", State::kDone, "a"},
      {ok + "X: y", State::kHead, ""},
      {"HTTP/2 200\r\n", State::kBad, ""},
      {"HTTP/1.1 2x0 OK\r\n", State::kBad, ""},
      {ok + "no colon\r\n", State::kBad, ""},
      {ok + "Transfer-Encoding: gzip\r\n", State::kBad, ""},
      {ok + "Content-Length: -1\r\n", State::kBad, ""},
      {ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", State::kBad, ""},
      {ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", State::kBad, "a"},
      {std::string(10000, 'x'), State::kBad, ""},
  };
  for (const auto& c : cases) {
    CAPTURE(c.bytes);
    discovery::HttpResponse whole;
    CHECK(whole.Feed(c.bytes) == c.state);
    CHECK(whole.TakeBody() == c.body);
    discovery::HttpResponse bytewise;
    for (const char byte : c.bytes) bytewise.Feed(std::string_view(&byte, 1));
    CHECK(bytewise.state() == c.state);
    CHECK(bytewise.TakeBody() == c.body);
  }
}

TEST_CASE("lists of data servers") {
  const std::string good =
      R"({"uid":"s-1","endpoint":"127.0.0.1:6543","az":"b","pod_group":3,"state":"Ready","boot_ms":5})";
  const struct {
    std::string targets;
    std::size_t taken;
    bool fault;
  } cases[] = {
      {"", 0, false},
      {good, 1, false},
      {good + R"(,{"uid":"s-2","state":"Gone"})", 2, false},
      {good + R"(,{"uid":"s-2","endpoint":"nowhere","pod_group":3,"state":"Ready"})", 1, true},
      {good + R"(,{"endpoint":"127.0.0.1:1","pod_group":3,"state":"Ready"})", 1, true},
      {good + R"(,{"uid":"s-2","endpoint":"127.0.0.1:1","pod_group":3,"state":"Resting"})", 1, true},
      {"7," + good, 1, true},
  };
  for (const auto& c : cases) {
    CAPTURE(c.targets);
    discovery::EndpointListReader reader({"a", "b"});
    std::string wrong;
    const auto change = reader.Read(R"({"rev":4,"all":true,"targets":[)" + c.targets + "]}", wrong);
    REQUIRE(change.has_value());
    CHECK(change->targets.size() == c.taken);
    CHECK(wrong.empty() == !c.fault);
    if (c.taken > 0) {
      CHECK(change->targets[0].entry.zone == 1);
      CHECK(change->targets[0].entry.started == TimePoint(Duration(5000)));
    }
  }
  discovery::EndpointListReader one({}), two({});
  two.IdOf("another");
  CHECK(one.IdOf("s-1") == two.IdOf("s-1"));  // the same at every pooler, whatever it met before
  for (const char* bad :
       {"", "[]", "{", R"({"rev":1,"all":true})", R"({"rev":"x","all":true,"targets":[]})"}) {
    std::string wrong;
    CHECK_FALSE(one.Read(std::string_view(bad), wrong).has_value());
    CHECK_FALSE(wrong.empty());
  }
}

TEST_CASE("the reader forgets what a change has ended") {
  discovery::EndpointListReader reader({"a"});
  const auto entry = [](const char* uid, const char* state) {
    return R"({"uid":")"s + uid + R"(","endpoint":"127.0.0.1:5","az":"a","pod_group":1,"state":")" + state +
           "\"}";
  };
  const auto prune = [&](const char* all, const std::string& targets) {
    std::string wrong;
    const auto change = reader.Read(R"({"rev":1,"all":)"s + all + R"(,"targets":[)" + targets + "]}", wrong);
    REQUIRE(change.has_value());
    return reader.Prune(*change);
  };
  CHECK(prune("true", entry("s-1", "Ready") + "," + entry("s-2", "Ready")).empty());
  CHECK(prune("false", entry("s-3", "Ready") + "," + entry("s-1", "Terminating")).empty());
  CHECK(reader.known() == 3);
  CHECK(prune("false", entry("s-1", "Gone")) == std::vector{reader.IdOf("s-1")});
  reader.Prune({1, false, {}});
  prune("false", entry("s-1", "Gone"));
  CHECK(reader.known() == 2);
  CHECK(prune("true", entry("s-3", "Ready")).size() == 1);  // s-2 is not in the whole list
  CHECK(reader.known() == 1);
}

TEST_CASE("configurations that cannot be used") {
  const std::string start = R"({"name":"n","discovery":"127.0.0.1:1","seed":"1f",)";
  for (const std::string& bad :
       {"{"s, "[]"s, "{}"s, start + R"("listen":"nowhere","settings":{}})",
        start + R"("listen":"127.0.0.1:1"})", start + R"("listen":"127.0.0.1:1","settings":{"classes":[]}})",
        start + R"("listen":"127.0.0.1:1","settings":{"classes":[{"name":"c"}]}})"}) {
    CAPTURE(bad);
    const auto config = ParsePlatformConfig(bad);
    REQUIRE_FALSE(config);
    CHECK(config.error().problem.find('\n') == std::string::npos);
  }
}

}  // namespace lynxgrade
