// The statement with its leading comment, as clients send it, and what data servers say beside an answer.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lynxgrade::pg {

// What the comment before a statement says; the texts point into the statement.
struct Comment {
  std::string_view id;
  std::string_view request_class;
  std::string_view tenant;
  std::string_view idempotency_key;              // k: the idempotency key
  std::string_view object_id;                    // the first quoted text of the statement itself
  std::optional<std::int64_t> time_budget_ms;    // d
  std::optional<std::int64_t> group;             // cluster
  std::optional<std::int64_t> session_write_ms;  // what its session has written, by its own word: a Unix time
  bool is_retry = false;
  std::size_t time_budget_offset = 0;  // where the digits of d stand
  std::size_t time_budget_size = 0;
};

// Reads the comment; nothing, and the reason in `wrong`, where it is missing or not well formed. Names that
// are not known are passed over.
std::optional<Comment> ReadComment(std::string_view statement, std::string& wrong);

// The statement with another value of d, and otherwise byte for byte the same.
std::string ReplaceTimeBudget(std::string_view statement, const Comment& comment, std::int64_t budget_ms);

// A load report: "inflight=7,util=0.61". Nothing where it is not well formed.
std::optional<std::map<std::string, double>> ReadLoadReport(std::string_view text);

std::optional<std::int64_t> ParseInteger(std::string_view text);

}  // namespace lynxgrade::pg
