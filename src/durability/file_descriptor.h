// An owned file descriptor, which is closed when its owner goes out of scope.
#pragma once

#include <unistd.h>

#include <utility>

namespace lynxgrade::durability {

// Owns at most one descriptor. Not thread-safe.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  // Takes ownership of `descriptor`; a negative value stands for none.
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
  ~FileDescriptor() { Close(); }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  FileDescriptor(FileDescriptor&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    if (this != &other) {
      Close();
      descriptor_ = std::exchange(other.descriptor_, -1);
    }
    return *this;
  }

  bool valid() const { return descriptor_ >= 0; }
  int get() const { return descriptor_; }
  void Close() {
    if (descriptor_ >= 0) close(descriptor_);
    descriptor_ = -1;
  }

 private:
  int descriptor_ = -1;
};

}  // namespace lynxgrade::durability
