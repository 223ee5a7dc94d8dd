// Limits on the leases that are requested for reads.
#pragma once

#include <cstddef>

#include "lease/bandwidth_budget.h"

namespace lynxgrade::lease {

// Admits lease requests for reads by a token bucket and by a bandwidth budget. Requests for writes pass
// without it. Not thread-safe; reads no clock.
class ReadRequestLimiter {
 public:
  enum class Decision { kAdmitted, kOverRate, kOverBudget };

  // `bytes_per_s` of zero: there is no bandwidth budget.
  ReadRequestLimiter(double requests_per_s, double bytes_per_s, TimePoint now)
      : requests_per_s_(requests_per_s),
        tokens_(requests_per_s),
        refilled_at_(now),
        budget_(bytes_per_s, now) {}

  // Whether one more request may be sent while `pending_requests` have no response yet.
  Decision Admit(TimePoint now, std::size_t pending_requests);
  // Records bytes of any kind that this instance has sent or received.
  void RecordTraffic(TimePoint now, std::size_t bytes) { budget_.Spend(now, bytes); }
  bool IsBandwidthLow(TimePoint now) { return budget_.IsLow(now); }

 private:
  // A request and its grant with headers: 92 and 107 bytes measured.
  static constexpr std::size_t kBytesPerRequest = 200;

  bool ConsumeToken(TimePoint now);

  double requests_per_s_;
  double tokens_;
  TimePoint refilled_at_;
  BandwidthBudget budget_;
};

}  // namespace lynxgrade::lease
