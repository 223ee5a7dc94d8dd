// Rate limit for log lines that remote peers can trigger at will.
#pragma once

#include <cstdint>

#include "net/loop.h"

namespace lynxgrade::net {

class LogRateLimiter {
 public:
  explicit LogRateLimiter(Loop& loop) : loop_(loop) {}

  // Whether one more line may be written. If so, `suppressed` becomes the number of lines that were
  // suppressed since the last one.
  bool Allows(std::uint64_t& suppressed) {
    if (loop_.Now() - window_start_ >= kWindow) {
      window_start_ = loop_.Now();
      lines_in_window_ = 0;
    }
    if (lines_in_window_ >= kMaxLinesPerWindow) {
      ++suppressed_;
      return false;
    }
    ++lines_in_window_;
    suppressed = suppressed_;
    suppressed_ = 0;
    return true;
  }

 private:
  static constexpr Duration kWindow{1000000};
  static constexpr int kMaxLinesPerWindow = 10;

  Loop& loop_;
  TimePoint window_start_{};
  int lines_in_window_ = 0;
  std::uint64_t suppressed_ = 0;
};

}  // namespace lynxgrade::net
