// Measures the processor time that the calling thread spends in marked scopes.
#pragma once

#include <cstdint>
#include <ctime>

#include "routing/balancer.h"

namespace lynxgrade::replication {

class ProcessorTimeMeter {
 public:
  // Adds the thread's processor time between construction and destruction. Nested scopes are counted once.
  // The meter must outlive the scope.
  class Scope {
   public:
    explicit Scope(ProcessorTimeMeter& meter) : meter_(meter) {
      if (meter_.scope_depth_++ == 0) meter_.began_ns_ = ThreadNanoseconds();
    }
    ~Scope() {
      if (--meter_.scope_depth_ == 0) meter_.total_ns_ += ThreadNanoseconds() - meter_.began_ns_;
    }
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

   private:
    ProcessorTimeMeter& meter_;
  };

  Duration total() const { return Duration(total_ns_ / 1000); }

 private:
  static std::int64_t ThreadNanoseconds() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::int64_t{time.tv_sec} * 1'000'000'000 + time.tv_nsec;
  }

  std::int64_t total_ns_ = 0;
  std::int64_t began_ns_ = 0;
  int scope_depth_ = 0;
};

}  // namespace lynxgrade::replication
