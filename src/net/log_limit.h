// Rate limit for log lines that a remote peer can trigger at will.
#pragma once

#include <cstdint>

#include "net/loop.h"

namespace lynxgrade::net {

class LogRateLimiter {
 public:
  explicit LogRateLimiter(Loop& loop) : loop_(loop) {}

  // Whether one more line may be written; `left_out` is how many were not since the last one that was.
  bool Allows(std::uint64_t& left_out) {
    if (loop_.Now() - from_ >= kSpan) {
      from_ = loop_.Now();
      written_ = 0;
    }
    if (written_ >= kMost) {
      ++left_out_;
      return false;
    }
    ++written_;
    left_out = left_out_;
    left_out_ = 0;
    return true;
  }

 private:
  static constexpr Duration kSpan{1000000};
  static constexpr int kMost = 10;

  Loop& loop_;
  TimePoint from_{};
  int written_ = 0;
  std::uint64_t left_out_ = 0;
};

}  // namespace lynxgrade::net
