#include "pg/statement.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace lynxgrade::pg {
namespace {

std::string_view Trimmed(std::string_view text) {
  const std::size_t from = text.find_first_not_of(" \t\r\n");
  if (from == std::string_view::npos) return {};
  return text.substr(from, text.find_last_not_of(" \t\r\n") - from + 1);
}

// Removes the first item of a comma-separated list and returns it without surrounding white space.
std::string_view ExtractItem(std::string_view& list) {
  const std::size_t comma = list.find(',');
  const std::string_view item = list.substr(0, comma);
  list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
  return Trimmed(item);
}

// The size of the comment at the beginning of `text`, to the end of the text if it does not end; zero if
// there is none. Comments in /* */ may be nested.
std::size_t LeadingCommentSize(std::string_view text) {
  if (text.starts_with("--")) return std::min(text.find('\n'), text.size());
  if (!text.starts_with("/*")) return 0;
  int depth = 0;
  std::size_t at = 0;
  while (at < text.size()) {
    const std::string_view pair = text.substr(at, 2);
    if (pair == "/*") ++depth;
    if (pair == "*/") --depth;
    at += pair == "/*" || pair == "*/" ? 2 : 1;
    if (depth == 0) return at;
  }
  return text.size();
}

// Whether the text holds nothing but white space, semicolons and comments.
bool IsEmptyStatement(std::string_view text) {
  while (true) {
    const std::size_t from = text.find_first_not_of(" \t\r\n\f\v;");
    if (from == std::string_view::npos) return true;
    text.remove_prefix(from);
    const std::size_t comment_size = LeadingCommentSize(text);
    if (comment_size == 0) return false;
    text.remove_prefix(comment_size);
  }
}

}  // namespace

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<Comment> ReadComment(std::string_view statement, std::string& error) {
  const std::size_t from = statement.find_first_not_of(" \t\r\n");
  if (from == std::string_view::npos || statement.substr(from, 2) != "/*") {
    error = "the statement has no comment before it";
    return std::nullopt;
  }
  const std::size_t end = statement.find("*/", from + 2);
  if (end == std::string_view::npos) {
    error = "the comment does not end";
    return std::nullopt;
  }
  Comment comment;
  std::string_view list = statement.substr(from + 2, end - from - 2);
  while (!list.empty()) {
    const std::string_view item = ExtractItem(list);
    const std::size_t equals = item.find('=');
    if (equals == std::string_view::npos || equals == 0) {
      error = "the comment holds something other than name=value";
      return std::nullopt;
    }
    const std::string_view name = Trimmed(item.substr(0, equals));
    const std::string_view value = Trimmed(item.substr(equals + 1));
    if (name == "id") comment.id = value;
    if (name == "c") comment.request_class = value;
    if (name == "t") comment.tenant = value;
    if (name == "k") comment.idempotency_key = value;
    if (name == "r") comment.is_retry = value == "1";
    if (name == "d" || name == "cluster" || name == "after") {
      const auto number = ParseInteger(value);
      if (!number || *number < 0) {
        error = "the value of " + std::string(name) + " is not a whole number";
        return std::nullopt;
      }
      if (name != "d") {
        (name == "cluster" ? comment.group : comment.session_write_ms) = number;
        continue;
      }
      comment.time_budget_ms = number;
      comment.time_budget_offset = static_cast<std::size_t>(value.data() - statement.data());
      comment.time_budget_size = value.size();
    }
  }
  const std::string_view rest = statement.substr(end + 2);
  comment.statement_empty = IsEmptyStatement(rest);
  const std::size_t quote = rest.find('\'');
  if (quote != std::string_view::npos) {
    const std::string_view quoted = rest.substr(quote + 1);
    comment.object_id = quoted.substr(0, quoted.find('\''));
  }
  return comment;
}

std::string ReplaceTimeBudget(std::string_view statement, const Comment& comment, std::int64_t budget_ms) {
  std::string out(statement.substr(0, comment.time_budget_offset));
  out += std::to_string(budget_ms);
  out += statement.substr(comment.time_budget_offset + comment.time_budget_size);
  return out;
}

std::optional<std::map<std::string, double>> ReadLoadReport(std::string_view text) {
  std::map<std::string, double> fields;
  while (!text.empty()) {
    const std::string_view item = ExtractItem(text);
    const std::size_t equals = item.find('=');
    if (equals == std::string_view::npos || equals == 0) return std::nullopt;
    const std::string_view number = item.substr(equals + 1);
    double value = 0;
    const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), value);
    if (number.empty() || error != std::errc() || end != number.data() + number.size() ||
        !std::isfinite(value)) {
      return std::nullopt;
    }
    fields[std::string(item.substr(0, equals))] = value;
  }
  if (fields.empty()) return std::nullopt;
  return fields;
}

}  // namespace lynxgrade::pg
