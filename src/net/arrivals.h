// Arrival times of the bytes in an input buffer, kept as spans of bytes that share one time. No clock, no
// I/O.
#pragma once

#include <cstddef>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade::net {

class ArrivalTimes {
 public:
  // Appends `count` bytes, none of which arrived before `time`. A time that is older than the newest one
  // counts as the newest one.
  void RecordArrival(std::size_t count, TimePoint time);
  // Removes the first `count` bytes.
  void Consume(std::size_t count);
  // The earliest time at which the byte at `offset` may have arrived; the newest time recorded if there is no
  // such byte.
  TimePoint TimeAt(std::size_t offset) const;
  // How many bytes from the first on share one time.
  std::size_t FirstSpanBytes() const { return spans_.empty() ? 0 : spans_.front().size; }
  std::size_t size() const { return size_; }

 private:
  // Bounds the memory for a peer that sends a few bytes at a time for hours: beyond it, neighbouring spans
  // are merged.
  static constexpr std::size_t kMaxSpans = 128;
  static constexpr Duration kMinResolution{1000};  // bytes closer together than this share a span

  struct Span {
    std::size_t size = 0;
    TimePoint time{};
  };
  std::vector<Span> spans_;
  std::size_t size_ = 0;
  Duration resolution_ = kMinResolution;  // doubled whenever spans are merged
  TimePoint newest_{};
};

}  // namespace lynxgrade::net
