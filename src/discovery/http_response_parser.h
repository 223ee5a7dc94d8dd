// An incremental parser of one HTTP/1.1 response: a head, then a body that is chunked, has a stated length or
// ends with the connection. Bytes only: no sockets.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lynxgrade::discovery {

class HttpResponseParser {
 public:
  enum class State { kHead, kBody, kComplete, kMalformed };

  // Parses the next bytes, in pieces of any size. Bytes after the end of the response are ignored.
  State Append(std::string_view bytes);
  // The connection has ended: the end of a body without a stated length, otherwise an error.
  State HandleConnectionEnd();

  State state() const { return state_; }
  int status() const { return status_; }
  // Why the response is malformed: a phrase without a full stop. Empty in all other states.
  const std::string& error() const { return error_; }
  // Returns the bytes of the body that have been parsed since the last call.
  std::string ExtractBody();

 private:
  enum class Framing { kUntilEnd, kContentLength, kChunkSize, kChunkData, kChunkEnd, kTrailer };
  // Whether a step has consumed bytes, so that another one may follow.
  enum class Progress { kAdvanced, kBlocked };

  Progress Fail(std::string_view error);
  Progress ParseHead();
  Progress ParseStatusLine(std::string_view line);
  Progress ParseHeader(std::string_view line);
  void FinishHead();
  Progress ParseBody();
  Progress CopyCountedBytes();
  Progress ParseChunkSize(std::string_view line);
  Progress ParseChunkEnd(std::string_view line);
  // The next complete line, without its end. Nothing: more bytes are needed, or the line is too long.
  std::optional<std::string> NextLine();

  State state_ = State::kHead;
  Framing framing_ = Framing::kUntilEnd;
  std::string pending_;  // not parsed yet
  std::string body_;
  std::string error_;
  int status_ = 0;
  std::size_t remaining_ = 0;  // bytes of the body, or of the chunk, still to come
  std::size_t header_count_ = 0;
};

}  // namespace lynxgrade::discovery
