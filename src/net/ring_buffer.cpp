#include "net/ring_buffer.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace lynxgrade::net {
namespace {

constexpr std::size_t kInitialCapacity = 2048;
constexpr std::size_t kAppendGranularity = 2048;

}  // namespace

bool RingBuffer::Append(std::string_view bytes) {
  if (bytes.size() > free_space()) return false;
  if (bytes.empty()) return true;
  if (size_ + bytes.size() > capacity_) {
    const std::size_t needed = std::max(size_ + bytes.size(), capacity_ + capacity_ / 2);
    const std::size_t rounded = (needed + kAppendGranularity - 1) / kAppendGranularity * kAppendGranularity;
    const std::size_t capacity = std::max(size_ + bytes.size(), std::min(rounded, limit_));
    if (budget_ != nullptr) budget_->Reserve(capacity);
    Reallocate(capacity);
  }
  const std::size_t tail = (head_ + size_) % capacity_;
  const std::size_t first = std::min(bytes.size(), capacity_ - tail);
  std::memcpy(data_.get() + tail, bytes.data(), first);
  std::memcpy(data_.get(), bytes.data() + first, bytes.size() - first);
  size_ += bytes.size();
  return true;
}

RingBuffer::Span RingBuffer::WritableSpan() {
  if (size_ == limit_) return {};
  if (size_ == capacity_) {
    const std::size_t capacity = std::min(std::max(kInitialCapacity, capacity_ * 2), limit_);
    starved_ = !ReserveForInput(capacity);
    if (starved_) return {};
    Reallocate(capacity);
  }
  const std::size_t tail = (head_ + size_) % capacity_;
  const std::size_t end = tail < head_ ? head_ : capacity_;
  return {data_.get() + tail, end - tail};
}

bool RingBuffer::holds_large_block() const { return capacity_ > kInitialCapacity; }

std::string_view RingBuffer::FrontSpan() const {
  return {data_.get() + head_, std::min(size_, capacity_ - head_)};
}

std::string_view RingBuffer::Linearize() {
  if (head_ + size_ > capacity_) {
    std::rotate(data_.get(), data_.get() + head_, data_.get() + capacity_);
    head_ = 0;
  }
  return {data_.get() + head_, size_};
}

void RingBuffer::Consume(std::size_t count) {
  count = std::min(count, size_);
  size_ -= count;
  if (count > 0) starved_ = false;
  if (size_ > 0) {
    head_ = (head_ + count) % capacity_;
    return;
  }
  head_ = 0;
  if (capacity_ > kInitialCapacity) {
    data_.reset();
    ReleaseMemory(std::exchange(capacity_, 0));
  }
}

bool RingBuffer::ReserveForInput(std::size_t capacity) {
  if (budget_ == nullptr) return true;
  if (capacity > kInitialCapacity) return budget_->TryReserve(capacity, use_);
  budget_->Reserve(capacity);
  return true;
}

void RingBuffer::Reallocate(std::size_t capacity) {
  auto grown = std::make_unique_for_overwrite<char[]>(capacity);
  CopyTo(grown.get());
  data_ = std::move(grown);
  ReleaseMemory(std::exchange(capacity_, capacity));
  head_ = 0;
}

void RingBuffer::ReleaseMemory(std::size_t bytes) {
  if (budget_ != nullptr) budget_->Release(bytes);
}

void RingBuffer::CopyTo(char* target) const {
  if (size_ == 0) return;
  const std::size_t first = std::min(size_, capacity_ - head_);
  std::memcpy(target, data_.get() + head_, first);
  std::memcpy(target + first, data_.get(), size_ - first);
}

}  // namespace lynxgrade::net
