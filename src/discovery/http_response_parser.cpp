#include "discovery/http_response_parser.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

namespace lynxgrade::discovery {
namespace {

constexpr std::size_t kMaxLineBytes = 8192;
constexpr std::size_t kMaxHeaders = 100;
constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 40;  // as Content-Length, and of one chunk
constexpr std::size_t kStatusOffset = 9;                     // after "HTTP/1.1 "
constexpr std::size_t kStatusDigits = 3;
constexpr int kMinStatus = 100;
constexpr int kMinFinalStatus = 200;  // those below are interim responses
constexpr int kMaxStatus = 599;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;

std::string_view Trimmed(std::string_view text) {
  const std::size_t from = text.find_first_not_of(" \t");
  if (from == std::string_view::npos) return {};
  return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(),
                         [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
  return lower;
}

std::optional<std::size_t> ParseSize(std::string_view text, int base) {
  std::uint64_t value = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value, base);
  if (text.empty() || error != std::errc() || end != last || value > kMaxBodyBytes) return std::nullopt;
  return static_cast<std::size_t>(value);
}

}  // namespace

HttpResponseParser::State HttpResponseParser::Append(std::string_view bytes) {
  if (state_ == State::kComplete || state_ == State::kMalformed) return state_;
  pending_ += bytes;
  Progress progress = Progress::kAdvanced;
  while (progress == Progress::kAdvanced && (state_ == State::kHead || state_ == State::kBody)) {
    progress = state_ == State::kHead ? ParseHead() : ParseBody();
  }
  return state_;
}

HttpResponseParser::State HttpResponseParser::HandleConnectionEnd() {
  if (state_ == State::kComplete || state_ == State::kMalformed) return state_;
  if (state_ == State::kBody && framing_ == Framing::kUntilEnd) {
    state_ = State::kComplete;
  } else {
    Fail("connection ended inside the response");
  }
  return state_;
}

std::string HttpResponseParser::ExtractBody() { return std::exchange(body_, {}); }

HttpResponseParser::Progress HttpResponseParser::Fail(std::string_view error) {
  error_ = error;
  state_ = State::kMalformed;
  return Progress::kBlocked;
}

std::optional<std::string> HttpResponseParser::ExtractLine() {
  const std::size_t end = pending_.find('\n');
  if (std::min(end, pending_.size()) > kMaxLineBytes) {
    Fail("line longer than 8192 bytes");
    return std::nullopt;
  }
  if (end == std::string::npos) return std::nullopt;
  std::string line = pending_.substr(0, end > 0 && pending_[end - 1] == '\r' ? end - 1 : end);
  pending_.erase(0, end + 1);
  return line;
}

HttpResponseParser::Progress HttpResponseParser::ParseHead() {
  const auto line = ExtractLine();
  if (!line) return Progress::kBlocked;
  if (status_ == 0) return ParseStatusLine(*line);
  if (!line->empty()) return ParseHeader(*line);
  FinishHead();
  return Progress::kAdvanced;
}

HttpResponseParser::Progress HttpResponseParser::ParseStatusLine(std::string_view line) {
  constexpr std::size_t kStatusEnd = kStatusOffset + kStatusDigits;
  const bool known_version = line.starts_with("HTTP/1.1 ") || line.starts_with("HTTP/1.0 ");
  const bool ends_after_status = line.size() <= kStatusEnd || line[kStatusEnd] == ' ';
  if (!known_version || !ends_after_status) return Fail("not an HTTP/1.1 status line");
  const auto status = ParseSize(line.substr(kStatusOffset, kStatusDigits), kDecimal);
  if (!status || *status < kMinStatus || *status > kMaxStatus) return Fail("not an HTTP/1.1 status line");
  status_ = static_cast<int>(*status);
  return Progress::kAdvanced;
}

void HttpResponseParser::FinishHead() {
  if (status_ < kMinFinalStatus) {
    status_ = 0;  // the status line of the final response follows
    return;
  }
  const bool empty_body = (framing_ == Framing::kContentLength && remaining_ == 0) || status_ == kNoContent ||
                          status_ == kNotModified;
  state_ = empty_body ? State::kComplete : State::kBody;
}

HttpResponseParser::Progress HttpResponseParser::ParseHeader(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0 || ++header_count_ > kMaxHeaders) {
    return Fail("malformed header, or more than 100 headers");
  }
  const std::string name = LowerCase(line.substr(0, colon));
  const std::string value = LowerCase(Trimmed(line.substr(colon + 1)));
  if (name == "transfer-encoding") {
    if (value != "chunked") return Fail("unknown transfer encoding");
    framing_ = Framing::kChunkSize;
  } else if (name == "content-length" && framing_ != Framing::kChunkSize) {
    const auto length = ParseSize(value, kDecimal);
    if (!length) return Fail("malformed Content-Length");
    remaining_ = *length;
    framing_ = Framing::kContentLength;
  }
  return Progress::kAdvanced;
}

HttpResponseParser::Progress HttpResponseParser::ParseBody() {
  if (framing_ == Framing::kUntilEnd) {
    body_ += std::exchange(pending_, {});
    return Progress::kBlocked;
  }
  if (framing_ == Framing::kContentLength || framing_ == Framing::kChunkData) return CopyCountedBytes();
  const auto line = ExtractLine();
  if (!line) return Progress::kBlocked;
  if (framing_ == Framing::kChunkSize) return ParseChunkSize(*line);
  if (framing_ == Framing::kChunkEnd) return ParseChunkEnd(*line);
  if (line->empty()) state_ = State::kComplete;  // the end of the trailer
  return Progress::kAdvanced;
}

HttpResponseParser::Progress HttpResponseParser::CopyCountedBytes() {
  if (pending_.empty()) return Progress::kBlocked;
  const std::size_t count = std::min(remaining_, pending_.size());
  body_.append(pending_, 0, count);
  pending_.erase(0, count);
  remaining_ -= count;
  if (remaining_ > 0) return Progress::kAdvanced;
  if (framing_ == Framing::kContentLength) {
    state_ = State::kComplete;
  } else {
    framing_ = Framing::kChunkEnd;
  }
  return Progress::kAdvanced;
}

HttpResponseParser::Progress HttpResponseParser::ParseChunkSize(std::string_view line) {
  const auto size = ParseSize(Trimmed(line.substr(0, line.find(';'))), kHexadecimal);
  if (!size) return Fail("malformed chunk size");
  remaining_ = *size;
  framing_ = remaining_ == 0 ? Framing::kTrailer : Framing::kChunkData;
  return Progress::kAdvanced;
}

HttpResponseParser::Progress HttpResponseParser::ParseChunkEnd(std::string_view line) {
  if (!line.empty()) return Fail("chunk longer than its size");
  framing_ = Framing::kChunkSize;
  return Progress::kAdvanced;
}

}  // namespace lynxgrade::discovery
