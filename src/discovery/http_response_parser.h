// An incremental parser for one HTTP/1.1 response. Its body is chunked, has a Content-Length, or ends with
// the connection. Works on bytes only: no sockets.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lynxgrade::discovery {

class HttpResponseParser {
 public:
  enum class State { kHead, kBody, kComplete, kMalformed };

  // Parses the next bytes, which may be split anywhere. Bytes after the end of the response are ignored.
  State Append(std::string_view bytes);
  // To be called when the connection has ended. This completes a body without a known length; otherwise the
  // response is malformed.
  State HandleConnectionEnd();

  State state() const { return state_; }
  int status() const { return status_; }
  // Why the response is malformed: a phrase without a full stop. Empty in all other states.
  const std::string& error() const { return error_; }
  // Returns the bytes of the body that have been parsed since the last call.
  std::string ExtractBody();

 private:
  enum class Framing { kUntilEnd, kContentLength, kChunkSize, kChunkData, kChunkEnd, kTrailer };
  // Whether parsing can go on with the bytes at hand.
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
  // Removes and returns the next complete line, without its line break. Absent if more bytes are needed, or
  // if the line is too long, which is an error.
  std::optional<std::string> ExtractLine();

  State state_ = State::kHead;
  Framing framing_ = Framing::kUntilEnd;
  std::string pending_;  // not parsed yet
  std::string body_;
  std::string error_;
  int status_ = 0;
  std::size_t remaining_ = 0;  // bytes of the body or chunk that are still to be received
  std::size_t header_count_ = 0;
};

}  // namespace lynxgrade::discovery
