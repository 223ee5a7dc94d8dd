#include "discovery/watch_body_parser.h"

#include <utility>

namespace lynxgrade::discovery {
namespace {

constexpr std::size_t kMaxValueBytes = 4 << 20;

}  // namespace

void WatchBodyParser::Append(std::string_view bytes) {
  for (const char c : bytes) {
    if (c == '\n') {
      HandleLineEnd();
      continue;
    }
    AppendCharacter(c);
    if (value_.size() > kMaxValueBytes) RecordTruncated();
  }
}

void WatchBodyParser::Finish() {
  if (!value_.empty() || bracket_depth_ > 0) HandleLineEnd();
  if (bracket_depth_ > 0) RecordTruncated();
}

std::optional<WatchBodyParser::Item> WatchBodyParser::NextItem() {
  if (items_.empty()) return std::nullopt;
  Item item = std::move(items_.front());
  items_.pop_front();
  return item;
}

void WatchBodyParser::ResetValue() {
  value_.clear();
  bracket_depth_ = 0;
  in_string_ = false;
  escaped_ = false;
  line_blank_ = true;
}

void WatchBodyParser::RecordTruncated() {
  ResetValue();
  items_.push_back({ItemKind::kTruncated, {}});
}

void WatchBodyParser::HandleLineEnd() {
  const bool blank = std::exchange(line_blank_, true);
  if (bracket_depth_ == 0 && !in_string_) {
    std::string value = std::exchange(value_, {});
    items_.push_back(blank ? Item{ItemKind::kEmptyLine, {}} : Item{ItemKind::kValue, std::move(value)});
    return;
  }
  // A JSON string does not span lines, and discovery sends no empty line inside a value: its rest was lost.
  if (blank || in_string_) return RecordTruncated();
  value_ += '\n';
}

void WatchBodyParser::AppendCharacter(char c) {
  value_ += c;
  if (c != ' ' && c != '\t' && c != '\r') line_blank_ = false;
  if (in_string_) return TrackString(c);
  if (c == '"') in_string_ = true;
  if (c == '{' || c == '[') ++bracket_depth_;
  if ((c == '}' || c == ']') && bracket_depth_ > 0) --bracket_depth_;
}

void WatchBodyParser::TrackString(char c) {
  if (escaped_) {
    escaped_ = false;
  } else if (c == '\\') {
    escaped_ = true;
  } else if (c == '"') {
    in_string_ = false;
  }
}

}  // namespace lynxgrade::discovery
