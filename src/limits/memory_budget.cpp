#include "limits/memory_budget.h"

#include <algorithm>

namespace lynxgrade::limits {
namespace {

constexpr std::size_t kMebibyte = std::size_t{1} << 20;
constexpr std::size_t kProgramBytes = 12 * kMebibyte;  // code, libraries, tables
constexpr std::size_t kBytesPerDescriptor = 8192;      // of a connection at rest
constexpr std::size_t kMinBufferBytes = 2 * kMebibyte;
// The other half of the spare memory is for copies in transit and for fragmentation.
constexpr std::size_t kSpareDivisor = 2;
constexpr std::size_t kShareDenominator = 4;
constexpr std::size_t kQueuedInputShare = 2;
constexpr std::size_t kRequestShare = 3;
constexpr Duration kMemoryRetryAfter{250000};

}  // namespace

bool MemoryBudget::TryReserve(std::size_t bytes, MemoryUse use) {
  const std::size_t limit = LimitOf(use);
  if (reserved_ > limit || bytes > limit - reserved_) return false;
  Reserve(bytes);
  return true;
}

std::size_t MemoryBudget::LimitOf(MemoryUse use) const {
  switch (use) {
    case MemoryUse::kQueuedInput:
      return limit_ / kShareDenominator * kQueuedInputShare;
    case MemoryUse::kRequest:
      return limit_ / kShareDenominator * kRequestShare;
    case MemoryUse::kResponse:
      break;
  }
  return limit_;
}

void MemoryBudget::Reserve(std::size_t bytes) {
  reserved_ += bytes;
  peak_ = std::max(peak_, reserved_);
}

std::size_t BufferMemoryLimit(std::size_t process_limit_bytes, std::size_t max_descriptors) {
  const std::size_t at_rest = kProgramBytes + max_descriptors * kBytesPerDescriptor;
  if (process_limit_bytes <= at_rest) return kMinBufferBytes;
  return std::max(kMinBufferBytes, (process_limit_bytes - at_rest) / kSpareDivisor);
}

Duration RetryAfterMemoryShortage(bool clients_honor_retry_after, Duration max_retry_after) {
  return clients_honor_retry_after ? std::min(kMemoryRetryAfter, max_retry_after) : Duration{0};
}

}  // namespace lynxgrade::limits
