// Parsers for the comment before a statement, which carries the request's parameters, and for the load
// reports of data servers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lynxgrade::pg {

// The parameters in the comment before a statement, by key. The views point into the statement.
struct Comment {
  std::string_view id;                         // id: of the request
  std::string_view request_class;              // c
  std::string_view tenant;                     // t
  std::string_view idempotency_key;            // k
  std::string_view object_id;                  // not in the comment: the first quoted text of the statement
  std::optional<std::int64_t> time_budget_ms;  // d
  std::optional<std::int64_t> group;           // cluster
  // after: the Unix time of the session's last write, as the client states it
  std::optional<std::int64_t> session_write_ms;
  bool is_retry = false;               // r
  std::size_t time_budget_offset = 0;  // of the digits of d in the statement
  std::size_t time_budget_size = 0;
  // Whether only white space, semicolons and further comments follow the comment: a data server would answer
  // with EmptyQueryResponse.
  bool statement_empty = false;
};

// Parses the comment. Returns nothing, with the reason in `error`, if it is missing or malformed. Unknown
// keys are ignored.
std::optional<Comment> ReadComment(std::string_view statement, std::string& error);

// The statement with the value of d replaced, and otherwise unchanged. `comment` must be that of the
// statement and must have a time budget.
std::string ReplaceTimeBudget(std::string_view statement, const Comment& comment, std::int64_t budget_ms);

// Parses a load report such as "inflight=7,util=0.61". Returns nothing if it is empty or malformed.
std::optional<std::map<std::string, double>> ReadLoadReport(std::string_view text);

// A decimal integer without other characters.
std::optional<std::int64_t> ParseInteger(std::string_view text);

}  // namespace lynxgrade::pg
