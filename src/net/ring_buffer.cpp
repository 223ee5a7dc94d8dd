#include "net/ring_buffer.h"

#include <algorithm>
#include <cstring>

namespace lynxgrade::net {
namespace {

constexpr std::size_t kInitialCapacity = 2048;
constexpr std::size_t kMaxIdleCapacity = 16384;  // a larger block is freed once it is empty

}  // namespace

bool RingBuffer::Append(std::string_view bytes) {
  if (bytes.size() > free_space()) return false;
  if (bytes.empty()) return true;
  if (size_ + bytes.size() > capacity_) Grow(size_ + bytes.size());
  const std::size_t tail = (head_ + size_) % capacity_;
  const std::size_t first = std::min(bytes.size(), capacity_ - tail);
  std::memcpy(data_.get() + tail, bytes.data(), first);
  std::memcpy(data_.get(), bytes.data() + first, bytes.size() - first);
  size_ += bytes.size();
  return true;
}

RingBuffer::Span RingBuffer::WritableSpan() {
  if (size_ == capacity_) {
    if (capacity_ >= limit_) return {};
    Grow(size_ + 1);
  }
  const std::size_t tail = (head_ + size_) % capacity_;
  const std::size_t end = tail < head_ ? head_ : capacity_;
  return {data_.get() + tail, end - tail};
}

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
  if (size_ > 0) {
    head_ = (head_ + count) % capacity_;
    return;
  }
  head_ = 0;
  if (capacity_ > kMaxIdleCapacity) {
    data_.reset();
    capacity_ = 0;
  }
}

void RingBuffer::Grow(std::size_t min_capacity) {
  std::size_t capacity = std::max(kInitialCapacity, capacity_ * 2);
  while (capacity < min_capacity) capacity *= 2;
  capacity = std::min(capacity, limit_);
  auto grown = std::make_unique<char[]>(capacity);
  CopyTo(grown.get());
  data_ = std::move(grown);
  capacity_ = capacity;
  head_ = 0;
}

void RingBuffer::CopyTo(char* target) const {
  if (size_ == 0) return;
  const std::size_t first = std::min(size_, capacity_ - head_);
  std::memcpy(target, data_.get() + head_, first);
  std::memcpy(target + first, data_.get(), size_ - first);
}

}  // namespace lynxgrade::net
