// A growable ring buffer of bytes, whose memory may be counted in a budget.
#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

#include "limits/memory_budget.h"

namespace lynxgrade::net {

// Allocates nothing until the first byte, grows up to `limit` bytes, and frees all but a small block once it
// is empty.
class RingBuffer {
 public:
  // The small block is always allocated. Beyond it, WritableSpan needs memory of the budget, and Append takes
  // it even if the budget is exhausted. `budget` may be null, and must outlive the buffer.
  explicit RingBuffer(std::size_t limit, limits::MemoryBudget* budget = nullptr,
                      limits::MemoryUse use = limits::MemoryUse::kResponse)
      : limit_(limit), budget_(budget), use_(use) {}
  ~RingBuffer() { ReleaseMemory(capacity_); }
  RingBuffer(const RingBuffer&) = delete;
  RingBuffer& operator=(const RingBuffer&) = delete;

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  std::size_t free_space() const { return limit_ - size_; }
  // What further memory is reserved for. There may be memory for one use and none for another.
  void SetUse(limits::MemoryUse use) {
    use_ = use;
    starved_ = false;
  }
  std::size_t capacity() const { return capacity_; }

  // Appends all of `bytes`, or returns false and appends nothing if they would exceed the limit.
  bool Append(std::string_view bytes);

  // The contiguous free space after the content, of at least one byte unless the limit is reached or the
  // budget is exhausted. Commit adds the first `count` bytes written there to the content.
  struct Span {
    char* data = nullptr;
    std::size_t size = 0;
  };
  Span WritableSpan();
  void Commit(std::size_t count) { size_ += count; }
  // Whether more than the small block is allocated.
  bool holds_large_block() const;
  // Whether the budget had no memory for the latest WritableSpan, and nothing has been consumed since.
  bool starved() const { return starved_; }

  // The first contiguous part of the content. Moves no bytes.
  std::string_view FrontSpan() const;
  // The whole content as one contiguous view. Moves bytes if the content wraps around.
  std::string_view Linearize();
  void Consume(std::size_t count);

 private:
  // Whether the memory of a block may be allocated, which is then counted.
  bool ReserveForInput(std::size_t capacity);
  void Reallocate(std::size_t capacity);
  void ReleaseMemory(std::size_t bytes);
  void CopyTo(char* target) const;

  std::size_t limit_;
  limits::MemoryBudget* budget_;
  limits::MemoryUse use_;
  bool starved_ = false;
  std::unique_ptr<char[]> data_;
  std::size_t capacity_ = 0;
  std::size_t head_ = 0;
  std::size_t size_ = 0;
};

}  // namespace lynxgrade::net
