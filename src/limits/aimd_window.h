// How many requests may be out at once where there is only room to spare. Owns the count and its limit; has
// no clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace lynxgrade::limits {

using Duration = std::chrono::duration<std::int64_t, std::micro>;

// Additive increase and multiplicative decrease: grows with each that came back well, is cut once for each
// stretch in which there was none to spare, and never falls below one.
class AimdWindow {
 public:
  bool Open() const { return out_ < static_cast<int>(size_); }
  void Take() { ++out_; }
  // One of those taken came back; `grow`: with an answer, and with room left.
  void Return(bool grow);
  // There is no room to spare at `now`.
  void Cut(Duration now);

 private:
  double size_ = 1;
  int out_ = 0;
  Duration cut_{0};
};

}  // namespace lynxgrade::limits
