// When the bytes that a ring holds have come: stretches of bytes, each with a time. Owns that alone; no
// clock, no I/O.
#pragma once

#include <cstddef>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade::net {

class ArrivalTimes {
 public:
  // `count` more bytes, none of which came before `at`. Times that fall back are taken for the last one.
  void RecordArrival(std::size_t count, TimePoint at);
  // The first `count` bytes are gone.
  void Consume(std::size_t count);
  // When the byte at `offset` came, at the earliest; the newest time known where there is none.
  TimePoint TimeAt(std::size_t offset) const;
  // How many bytes from the first on have one time.
  std::size_t FirstSpanBytes() const { return stretches_.empty() ? 0 : stretches_.front().size; }
  std::size_t size() const { return size_; }

 private:
  // A peer that trickles for an hour must not fill memory: beyond so many, neighbours are joined.
  static constexpr std::size_t kMostStretches = 128;
  static constexpr Duration kFinest{1000};  // what comes closer together is one stretch

  struct Stretch {
    std::size_t size = 0;
    TimePoint at{};
  };
  std::vector<Stretch> stretches_;
  std::size_t size_ = 0;
  Duration grain_ = kFinest;
  TimePoint newest_{};
};

}  // namespace lynxgrade::net
