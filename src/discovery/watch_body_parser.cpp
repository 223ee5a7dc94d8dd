#include "discovery/watch_body_parser.h"

#include <utility>

namespace lynxgrade::discovery {
namespace {

constexpr std::size_t kMostValue = 4 << 20;

}  // namespace

void WatchBodyParser::Feed(std::string_view bytes) {
  for (const char c : bytes) {
    if (c == '\n') {
      EndLine();
      continue;
    }
    Scan(c);
    if (value_.size() <= kMostValue) continue;
    Clear();
    pieces_.push_back({Kind::kCut, {}});
  }
}

void WatchBodyParser::End() {
  if (!value_.empty() || depth_ > 0) EndLine();
  if (depth_ > 0) {
    Clear();
    pieces_.push_back({Kind::kCut, {}});
  }
}

std::optional<WatchBodyParser::Piece> WatchBodyParser::Take() {
  if (pieces_.empty()) return std::nullopt;
  Piece piece = std::move(pieces_.front());
  pieces_.pop_front();
  return piece;
}

void WatchBodyParser::Clear() {
  value_.clear();
  depth_ = 0;
  in_string_ = escaped_ = false;
  bare_ = true;
}

void WatchBodyParser::EndLine() {
  const bool bare = std::exchange(bare_, true);
  if (depth_ == 0 && !in_string_) {
    pieces_.push_back({bare ? Kind::kBlank : Kind::kValue, bare ? std::string() : std::move(value_)});
    value_.clear();
    return;
  }
  // No string goes over a line, and no value holds an empty one: its rest was lost on the way.
  if (bare || in_string_) {
    Clear();
    pieces_.push_back({Kind::kCut, {}});
    return;
  }
  value_ += '\n';
}

void WatchBodyParser::Scan(char c) {
  value_ += c;
  if (c != ' ' && c != '\t' && c != '\r') bare_ = false;
  if (in_string_) {
    if (escaped_) {
      escaped_ = false;
    } else if (c == '\\') {
      escaped_ = true;
    } else if (c == '"') {
      in_string_ = false;
    }
    return;
  }
  if (c == '"') in_string_ = true;
  if (c == '{' || c == '[') ++depth_;
  if ((c == '}' || c == ']') && depth_ > 0) --depth_;
}

}  // namespace lynxgrade::discovery
