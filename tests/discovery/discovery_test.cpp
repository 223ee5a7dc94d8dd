// Tables of cases for the parsers of discovery: HTTP responses, bodies of watch responses and endpoint lists.
#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "discovery/endpoint_list.h"
#include "discovery/http_response_parser.h"
#include "discovery/watch_body_parser.h"

namespace lynxgrade::discovery {
namespace {

using namespace std::string_literals;

TEST_CASE("watch body: values and empty lines are separated, however the bytes are split or indented") {
  using Kind = WatchBodyParser::ItemKind;
  const struct {
    std::string bytes;
    std::vector<std::pair<Kind, std::string>> items;
  } cases[] = {
      {"\n", {{Kind::kEmptyLine, ""}}},
      {" \t\r\n", {{Kind::kEmptyLine, ""}}},
      {"{\"a\":1}\n\n", {{Kind::kValue, "{\"a\":1}"}, {Kind::kEmptyLine, ""}}},
      {"{\n  \"a\": [\n    1\n  ]\n}\n", {{Kind::kValue, "{\n  \"a\": [\n    1\n  ]\n}"}}},
      {R"({"a":"}{\"["})"
       "\n",
       {{Kind::kValue, R"({"a":"}{\"["})"}}},
      {"noise\n", {{Kind::kValue, "noise"}}},
      {"}\n", {{Kind::kValue, "}"}}},
      {"{\"a\":1", {}},
      {"{\"a\":\n\n{}\n", {{Kind::kTruncated, ""}, {Kind::kValue, "{}"}}},
      {"{\"a\":\"x\n{}\n", {{Kind::kTruncated, ""}, {Kind::kValue, "{}"}}},
  };
  for (const auto& c : cases) {
    CAPTURE(c.bytes);
    for (const std::size_t step : {std::size_t{1}, c.bytes.size()}) {
      WatchBodyParser parser;
      for (std::size_t at = 0; at < c.bytes.size(); at += step) parser.Append(c.bytes.substr(at, step));
      for (const auto& [kind, value] : c.items) {
        const auto item = parser.NextItem();
        REQUIRE(item);
        CHECK(item->kind == kind);
        CHECK(item->text == value);
      }
      CHECK_FALSE(parser.NextItem());
    }
  }
  // At the end of the body a last value is complete or truncated.
  for (const bool complete : {true, false}) {
    WatchBodyParser parser;
    parser.Append(complete ? "{}" : "{\"a\":[");
    parser.Finish();
    const auto item = parser.NextItem();
    REQUIRE(item);
    CHECK(item->kind == (complete ? Kind::kValue : Kind::kTruncated));
  }
}

TEST_CASE("HTTP: responses are parsed identically in one piece and byte by byte") {
  using State = HttpResponseParser::State;
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const struct {
    std::string bytes;
    State state;
    std::string body;
  } cases[] = {
      {ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n", State::kComplete,
       "abcde"},
      {ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nab", State::kBody, "ab"},
      {ok + "Content-Length: 4\r\n\r\nabcd", State::kComplete, "abcd"},
      {ok + "Content-Length: 0\r\n\r\n", State::kComplete, ""},
      {ok + "\r\nabc", State::kBody, "abc"},
      {"HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 1\r\n\r\na", State::kComplete, "a"},
      {ok + "X: y", State::kHead, ""},
      {"HTTP/2 200\r\n", State::kMalformed, ""},
      {"HTTP/1.1 2x0 OK\r\n", State::kMalformed, ""},
      {ok + "no colon\r\n", State::kMalformed, ""},
      {ok + "Transfer-Encoding: gzip\r\n", State::kMalformed, ""},
      {ok + "Content-Length: -1\r\n", State::kMalformed, ""},
      {ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", State::kMalformed, ""},
      {ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", State::kMalformed, "a"},
      {std::string(10000, 'x'), State::kMalformed, ""},
  };
  for (const auto& c : cases) {
    CAPTURE(c.bytes);
    HttpResponseParser at_once;
    CHECK(at_once.Append(c.bytes) == c.state);
    CHECK(at_once.ExtractBody() == c.body);
    HttpResponseParser bytewise;
    for (const char byte : c.bytes) bytewise.Append(std::string_view(&byte, 1));
    CHECK(bytewise.state() == c.state);
    CHECK(bytewise.ExtractBody() == c.body);
  }
}

TEST_CASE("endpoint list: malformed entries are skipped, and texts that are not a list are rejected") {
  const std::string good =
      R"({"uid":"s-1","endpoint":"127.0.0.1:6543","az":"b","pod_group":3,"state":"Ready","boot_ms":5})";
  const struct {
    std::string targets;
    std::size_t count;
    bool entry_rejected;
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
    EndpointListReader reader({"a", "b"});
    const auto update = reader.Read(R"({"rev":4,"all":true,"targets":[)" + c.targets + "]}");
    REQUIRE(update.has_value());
    CHECK(update->endpoints.size() == c.count);
    CHECK(update->rejected_entry.has_value() == c.entry_rejected);
    if (c.count > 0) {
      CHECK(update->endpoints[0].entry.zone == 1);
      CHECK(update->endpoints[0].entry.started == TimePoint(Duration(5000)));
    }
  }
  EndpointListReader one({});
  EndpointListReader two({});
  two.IdOf("another");
  CHECK(one.IdOf("s-1") == two.IdOf("s-1"));  // the same at every pooler, whatever lists it has read
  for (const char* bad :
       {"", "[]", "{", R"({"rev":1,"all":true})", R"({"rev":"x","all":true,"targets":[]})"}) {
    const auto update = one.Read(bad);
    REQUIRE_FALSE(update.has_value());
    CHECK_FALSE(Describe(update.error()).empty());
  }
}

TEST_CASE("endpoint list: servers that an update deletes or leaves out are removed") {
  EndpointListReader reader({"a"});
  const auto entry = [](const char* uid, const char* state) {
    return R"({"uid":")"s + uid + R"(","endpoint":"127.0.0.1:5","az":"a","pod_group":1,"state":")" + state +
           "\"}";
  };
  const auto remove_ended = [&](const char* all, const std::string& targets) {
    const auto update = reader.Read(R"({"rev":1,"all":)"s + all + R"(,"targets":[)" + targets + "]}");
    REQUIRE(update.has_value());
    return reader.RemoveDeleted(*update);
  };
  CHECK(remove_ended("true", entry("s-1", "Ready") + "," + entry("s-2", "Ready")).empty());
  CHECK(remove_ended("false", entry("s-3", "Ready") + "," + entry("s-1", "Terminating")).empty());
  CHECK(reader.known_server_count() == 3);
  CHECK(remove_ended("false", entry("s-1", "Gone")) == std::vector{reader.IdOf("s-1")});
  reader.RemoveDeleted({1, false, {}, {}});
  remove_ended("false", entry("s-1", "Gone"));
  CHECK(reader.known_server_count() == 2);
  CHECK(remove_ended("true", entry("s-3", "Ready")).size() == 1);  // s-2 is not in the complete list
  CHECK(reader.known_server_count() == 1);
}

}  // namespace
}  // namespace lynxgrade::discovery
