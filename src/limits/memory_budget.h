// A bound on the memory that requests and responses may hold in a process with a memory limit. No clock, no
// I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <utility>

#include "estimation/duration.h"

namespace lynxgrade::limits {

// What memory is reserved for. Input queued behind a request in flight leaves a part of the budget to other
// requests, and requests leave a part to responses, so that what has been accepted can be completed.
enum class MemoryUse { kQueuedInput, kRequest, kResponse };

// Counts reserved bytes against a limit. Used on one thread.
class MemoryBudget {
 public:
  static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

  explicit MemoryBudget(std::size_t limit = kUnlimited) : limit_(limit) {}
  ~MemoryBudget() = default;
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // Reserves the bytes, or returns false and reserves nothing if they would exceed the part of the limit that
  // is meant for this use.
  bool TryReserve(std::size_t bytes, MemoryUse use);
  // Reserves the bytes even beyond the limit, for what must not fail. Later calls of TryReserve then do.
  void Reserve(std::size_t bytes);
  void Release(std::size_t bytes) { reserved_ -= bytes; }

  // Sets the function that frees memory of the clients that need it least. It returns false if there is none.
  void SetReclaimer(std::function<bool()> reclaimer) { reclaimer_ = std::move(reclaimer); }
  bool Reclaim() const { return reclaimer_ && reclaimer_(); }

  std::size_t limit() const { return limit_; }
  std::size_t reserved() const { return reserved_; }
  std::size_t peak() const { return peak_; }

 private:
  std::size_t LimitOf(MemoryUse use) const;

  std::size_t limit_;
  std::size_t reserved_ = 0;
  std::size_t peak_ = 0;
  std::function<bool()> reclaimer_;
};

// Bytes that stay reserved as long as the object exists.
class MemoryReservation {
 public:
  MemoryReservation() = default;
  // Takes over bytes that have been reserved.
  MemoryReservation(MemoryBudget& budget, std::size_t bytes) : budget_(&budget), bytes_(bytes) {}
  ~MemoryReservation() {
    if (budget_ != nullptr) budget_->Release(bytes_);
  }
  // Reserves more, even beyond the limit of the budget.
  void Grow(std::size_t bytes) {
    budget_->Reserve(bytes);
    bytes_ += bytes;
  }
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;
  MemoryReservation(MemoryReservation&& other) noexcept
      : budget_(std::exchange(other.budget_, nullptr)), bytes_(other.bytes_) {}
  MemoryReservation& operator=(MemoryReservation&& other) noexcept {
    std::swap(budget_, other.budget_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }

 private:
  MemoryBudget* budget_ = nullptr;
  std::size_t bytes_ = 0;
};

// The part of a process's memory that requests and responses may hold. The rest is for the program itself,
// for what each connection needs at rest, and for what the allocator cannot return.
std::size_t BufferMemoryLimit(std::size_t process_limit_bytes, std::size_t max_descriptors);

// The Retry-After of a request that is rejected because there is no memory for it.
Duration RetryAfterMemoryShortage(bool clients_honor_retry_after, Duration max_retry_after);

}  // namespace lynxgrade::limits
