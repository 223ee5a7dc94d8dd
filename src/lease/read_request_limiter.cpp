#include "lease/read_request_limiter.h"

#include <algorithm>

namespace lynxgrade::lease {

ReadRequestLimiter::Decision ReadRequestLimiter::Admit(TimePoint now, std::size_t pending_requests) {
  // The responses to pending requests are not recorded yet, so their bytes are added here.
  if (!budget_.Allows(now, kBytesPerRequest * (pending_requests + 1))) return Decision::kOverBudget;
  return ConsumeToken(now) ? Decision::kAdmitted : Decision::kOverRate;
}

bool ReadRequestLimiter::ConsumeToken(TimePoint now) {
  const double seconds = 1e-6 * static_cast<double>((now - refilled_at_).count());
  tokens_ = std::min(std::max(1.0, requests_per_s_), tokens_ + seconds * requests_per_s_);
  refilled_at_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

}  // namespace lynxgrade::lease
