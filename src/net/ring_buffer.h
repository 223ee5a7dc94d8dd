// A growable ring buffer of bytes; a connection has one for each direction.
#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

namespace lynxgrade::net {

// Starts without memory, doubles its capacity up to a limit, and frees a large block once it is empty.
class RingBuffer {
 public:
  explicit RingBuffer(std::size_t limit) : limit_(limit) {}

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  std::size_t free_space() const { return limit_ - size_; }
  std::size_t capacity() const { return capacity_; }

  // Takes all of `bytes`, or nothing where they do not fit under the limit.
  bool Append(std::string_view bytes);

  // The free stretch after the content, of at least one byte unless the limit is reached. What has been
  // written there is taken in by Commit.
  struct Span {
    char* data = nullptr;
    std::size_t size = 0;
  };
  Span Writable();
  void Commit(std::size_t count) { size_ += count; }

  // The first stretch of the content, without moving anything.
  std::string_view Front() const;
  // The whole content in one piece; moves bytes only where the content wraps.
  std::string_view Linearize();
  void Consume(std::size_t count);

 private:
  void Grow(std::size_t least);
  void CopyOut(char* to) const;

  std::size_t limit_;
  std::unique_ptr<char[]> data_;
  std::size_t capacity_ = 0;
  std::size_t head_ = 0;
  std::size_t size_ = 0;
};

}  // namespace lynxgrade::net
