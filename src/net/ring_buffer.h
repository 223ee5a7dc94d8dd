// A growable ring buffer of bytes.
#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

namespace lynxgrade::net {

// Allocates nothing until the first byte, doubles its capacity up to `limit` bytes, and frees a large block
// once it is empty.
class RingBuffer {
 public:
  explicit RingBuffer(std::size_t limit) : limit_(limit) {}

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  std::size_t free_space() const { return limit_ - size_; }
  std::size_t capacity() const { return capacity_; }

  // Appends all of `bytes`, or returns false and appends nothing if they would exceed the limit.
  bool Append(std::string_view bytes);

  // The contiguous free space after the content, of at least one byte unless the limit is reached. Commit
  // adds the first `count` bytes written there to the content.
  struct Span {
    char* data = nullptr;
    std::size_t size = 0;
  };
  Span WritableSpan();
  void Commit(std::size_t count) { size_ += count; }

  // The first contiguous part of the content. Moves no bytes.
  std::string_view FrontSpan() const;
  // The whole content as one contiguous view. Moves bytes if the content wraps around.
  std::string_view Linearize();
  void Consume(std::size_t count);

 private:
  void Grow(std::size_t min_capacity);
  void CopyTo(char* target) const;

  std::size_t limit_;
  std::unique_ptr<char[]> data_;
  std::size_t capacity_ = 0;
  std::size_t head_ = 0;
  std::size_t size_ = 0;
};

}  // namespace lynxgrade::net
