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
  std::string_view cls;
  std::string_view tenant;
  std::string_view key;                   // k: the idempotency key
  std::string_view object;                // the first quoted text of the statement itself
  std::optional<std::int64_t> budget_ms;  // d
  std::optional<std::int64_t> cluster;
  std::optional<std::int64_t> after_ms;  // what its session has written, by its own word: a Unix time
  bool retry = false;
  std::size_t budget_from = 0;  // where the digits of d stand
  std::size_t budget_size = 0;
};

// Reads the comment; nothing, and the reason in `wrong`, where it is missing or not well formed. Names that
// are not known are passed over.
std::optional<Comment> ReadComment(std::string_view statement, std::string& wrong);

// The statement with another value of d, and otherwise byte for byte the same.
std::string WithBudget(std::string_view statement, const Comment& comment, std::int64_t budget_ms);

// A load report: "inflight=7,util=0.61". Nothing where it is not well formed.
std::optional<std::map<std::string, double>> ReadReport(std::string_view text);

std::optional<std::int64_t> ReadWhole(std::string_view text);

}  // namespace lynxgrade::pg
