#include "discovery/http.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace lynxgrade::discovery {
namespace {

constexpr std::size_t kMostLine = 8192;
constexpr std::size_t kMostHeaders = 100;
constexpr std::size_t kMostLength = std::size_t{1} << 40;

std::string_view Trimmed(std::string_view text) {
  const std::size_t from = text.find_first_not_of(" \t");
  if (from == std::string_view::npos) return {};
  return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}

std::string Lower(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(),
                         [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
  return lower;
}

bool ReadSize(std::string_view text, int base, std::size_t& size) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) return false;
  size = static_cast<std::size_t>(value);
  return value <= kMostLength;
}

}  // namespace

HttpResponse::State HttpResponse::Bad(std::string_view fault) {
  fault_ = fault;
  return state_ = State::kBad;
}

HttpResponse::State HttpResponse::Feed(std::string_view bytes) {
  if (state_ == State::kDone || state_ == State::kBad) return state_;
  pending_ += bytes;
  while (state_ == State::kHead || state_ == State::kBody) {
    if (state_ == State::kHead) {
      std::string line;
      if (!TakeLine(line)) break;
      if (!(status_ == 0 ? ReadHeadLine(line) : ReadHeader(line))) break;
    } else if (!StepBody()) {
      break;
    }
  }
  return state_;
}

HttpResponse::State HttpResponse::End() {
  if (state_ == State::kBody && framing_ == Framing::kUntilEnd) return state_ = State::kDone;
  if (state_ == State::kDone || state_ == State::kBad) return state_;
  return Bad("the connection ended inside the answer");
}

std::string HttpResponse::TakeBody() {
  std::string taken;
  taken.swap(body_);
  return taken;
}

bool HttpResponse::TakeLine(std::string& line) {
  const std::size_t end = pending_.find('\n');
  if (std::min(end, pending_.size()) > kMostLine) {
    Bad("a line is too long");
    return false;
  }
  if (end == std::string::npos) return false;
  line = pending_.substr(0, end > 0 && pending_[end - 1] == '\r' ? end - 1 : end);
  pending_.erase(0, end + 1);
  return true;
}

bool HttpResponse::ReadHeadLine(const std::string& line) {
  const bool known = line.starts_with("HTTP/1.1 ") || line.starts_with("HTTP/1.0 ");
  std::size_t status = 0;
  if (!known || !ReadSize(std::string_view(line).substr(9, 3), 10, status) || status < 100 || status > 599 ||
      (line.size() > 12 && line[12] != ' ')) {
    Bad("not an HTTP/1.1 status line");
    return false;
  }
  status_ = static_cast<int>(status);
  return true;
}

bool HttpResponse::ReadHeader(const std::string& line) {
  if (line.empty()) {
    if (status_ < 200) {  // an interim answer: the real one follows
      status_ = 0;
      return true;
    }
    const bool nothing = framing_ == Framing::kCounted && left_ == 0;
    state_ = nothing || status_ == 204 || status_ == 304 ? State::kDone : State::kBody;
    return true;
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string::npos || colon == 0 || ++headers_ > kMostHeaders) {
    Bad("a malformed header");
    return false;
  }
  const std::string name = Lower(line.substr(0, colon));
  const std::string value = Lower(Trimmed(std::string_view(line).substr(colon + 1)));
  if (name == "transfer-encoding") {
    if (value != "chunked") {
      Bad("an unknown transfer encoding");
      return false;
    }
    framing_ = Framing::kChunkSize;
  } else if (name == "content-length" && framing_ != Framing::kChunkSize) {
    if (!ReadSize(value, 10, left_)) {
      Bad("a malformed content length");
      return false;
    }
    framing_ = Framing::kCounted;
  }
  return true;
}

bool HttpResponse::ReadChunkSize(const std::string& line) {
  const std::string_view digits = Trimmed(std::string_view(line).substr(0, line.find(';')));
  if (!ReadSize(digits, 16, left_)) {
    Bad("a malformed chunk size");
    return false;
  }
  framing_ = left_ == 0 ? Framing::kTrailer : Framing::kChunkData;
  return true;
}

// One step through the body; false where more bytes are needed, or none are wanted.
bool HttpResponse::StepBody() {
  std::string line;
  switch (framing_) {
    case Framing::kUntilEnd:
      body_ += pending_;
      pending_.clear();
      return false;
    case Framing::kCounted:
    case Framing::kChunkData: {
      if (pending_.empty()) return false;
      const std::size_t count = std::min(left_, pending_.size());
      body_.append(pending_, 0, count);
      pending_.erase(0, count);
      left_ -= count;
      if (left_ > 0) return true;
      if (framing_ == Framing::kCounted) {
        state_ = State::kDone;
      } else {
        framing_ = Framing::kChunkEnd;
      }
      return true;
    }
    case Framing::kChunkSize:
      return TakeLine(line) && ReadChunkSize(line);
    case Framing::kChunkEnd:
      if (!TakeLine(line)) return false;
      if (!line.empty()) {
        Bad("a chunk is longer than its size");
        return false;
      }
      framing_ = Framing::kChunkSize;
      return true;
    case Framing::kTrailer:
      if (!TakeLine(line)) return false;
      if (line.empty()) state_ = State::kDone;
      return true;
  }
  return false;
}

}  // namespace lynxgrade::discovery
