// How many bytes an instance may yet spend on what can wait: a token bucket over all that it sends and
// receives. Owns what is left; no clock.
#pragma once

#include <algorithm>
#include <cstddef>

#include "routing/balancer.h"

namespace lynxgrade::lease {

class BandwidthBudget {
 public:
  // Zero: there is none, and all is allowed.
  BandwidthBudget(double bytes_per_s, TimePoint now)
      : bytes_per_s_(bytes_per_s), left_(bytes_per_s * kSaved), at_(now) {}

  // What was sent or received, whether it could have waited or not.
  void Spend(TimePoint now, std::size_t bytes) {
    Fill(now);
    // A storm of what cannot wait is not paid for by reads long after it.
    left_ = std::max(left_ - static_cast<double>(bytes), -bytes_per_s_ * kOwed);
  }
  // Whether so many more would be within it.
  bool Allows(TimePoint now, std::size_t bytes) {
    Fill(now);
    return bytes_per_s_ <= 0 || left_ >= static_cast<double>(bytes);
  }
  // Whether under half of what may be saved up is left: what can be said in fewer bytes should be.
  bool Short(TimePoint now) {
    Fill(now);
    return bytes_per_s_ > 0 && left_ < bytes_per_s_ * kSaved / 2;
  }

 private:
  // Seconds' worth that may be saved up: more than a period of membership, which speaks in beats, and little
  // enough that no second takes much over its budget.
  static constexpr double kSaved = 0.5;
  static constexpr double kOwed = 2;  // likewise
  void Fill(TimePoint now) {
    const double seconds = std::max(0.0, 1e-6 * static_cast<double>((now - at_).count()));
    left_ = std::min(bytes_per_s_ * kSaved, left_ + seconds * bytes_per_s_);
    at_ = now;
  }

  double bytes_per_s_;
  double left_;
  TimePoint at_;
};

}  // namespace lynxgrade::lease
