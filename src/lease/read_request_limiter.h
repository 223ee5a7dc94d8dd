// Limits the lease requests for reads.
#pragma once

#include <cstddef>

#include "lease/bandwidth_budget.h"

namespace lynxgrade::lease {

// Admits lease requests for reads by a token bucket and a bandwidth budget. Requests for writes are not
// limited. Not thread-safe; reads no clock.
class ReadRequestLimiter {
 public:
  enum class Decision { kAdmitted, kOverRate, kOverBudget };

  // A `bytes_per_s` of zero disables the bandwidth budget.
  ReadRequestLimiter(double requests_per_s, double bytes_per_s, TimePoint now)
      : requests_per_s_(requests_per_s),
        tokens_(requests_per_s),
        refilled_at_(now),
        budget_(bytes_per_s, now) {}

  // Decides on one more request while `pending_requests` requests have no response yet.
  Decision Admit(TimePoint now, std::size_t pending_requests);
  // Records control traffic of any kind that this instance has sent or received.
  void RecordTraffic(TimePoint now, std::size_t bytes) { budget_.Spend(now, bytes); }
  bool IsBandwidthLow(TimePoint now) { return budget_.IsLow(now); }

 private:
  // A request and its grant take 92 and 107 bytes with headers.
  static constexpr std::size_t kBytesPerRequest = 200;

  bool ConsumeToken(TimePoint now);

  double requests_per_s_;
  double tokens_;
  TimePoint refilled_at_;
  BandwidthBudget budget_;
};

}  // namespace lynxgrade::lease
