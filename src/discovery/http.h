// An HTTP/1.1 response, read as it comes: head, then a body that is chunked, counted or ends with the
// connection. Pure bytes.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace lynxgrade::discovery {

class HttpResponse {
 public:
  enum class State { kHead, kBody, kDone, kBad };

  // Takes bytes in as they come, in pieces of any size.
  State Feed(std::string_view bytes);
  // Says that the connection has ended: that is the end of a body of no stated length, else a fault.
  State End();

  State state() const { return state_; }
  int status() const { return status_; }
  const std::string& fault() const { return fault_; }
  // Takes what of the body has come and was not taken yet.
  std::string TakeBody();

 private:
  enum class Framing { kUntilEnd, kCounted, kChunkSize, kChunkData, kChunkEnd, kTrailer };

  State Bad(std::string_view fault);
  bool TakeLine(std::string& line);
  bool ReadHeadLine(const std::string& line);
  bool ReadHeader(const std::string& line);
  bool ReadChunkSize(const std::string& line);
  bool StepBody();

  State state_ = State::kHead;
  Framing framing_ = Framing::kUntilEnd;
  std::string pending_;
  std::string body_;
  std::string fault_;
  int status_ = 0;
  std::size_t left_ = 0;
  std::size_t headers_ = 0;
};

}  // namespace lynxgrade::discovery
