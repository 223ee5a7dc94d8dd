// Limits on the file descriptors of client and server connections, in total and for each side.
#pragma once

#include <algorithm>
#include <cstddef>

namespace lynxgrade::net {

class DescriptorBudget {
 public:
  // Of `limit` descriptors, some are reserved for the listener, discovery, logs and the loop itself, and a
  // quarter of the rest for each side, so that neither side can starve the other.
  explicit DescriptorBudget(std::size_t limit)
      : total_(limit > 2 * kReserved ? limit - kReserved : limit / 2), min_per_side_(total_ / 4) {}

  bool CanAddClient() const { return CanAdd(clients_); }
  bool CanAddBackend() const { return CanAdd(backends_); }
  // Whether clients hold more than 1/`divisor` of all descriptors. Up to a third of them is meant for client
  // connections with requests, and idle connections share that third.
  bool ClientsExceedFraction(std::size_t divisor) const { return clients_ > total_ / divisor; }

  std::size_t& clients() { return clients_; }
  std::size_t& backends() { return backends_; }
  std::size_t total() const { return total_; }

 private:
  static constexpr std::size_t kReserved = 40;

  bool CanAdd(std::size_t held) const {
    return clients_ + backends_ < total_ && held < total_ - min_per_side_;
  }

  std::size_t total_;
  std::size_t min_per_side_;
  std::size_t clients_ = 0;
  std::size_t backends_ = 0;
};

// Counts one descriptor in a budget as long as it exists.
class DescriptorSlot {
 public:
  explicit DescriptorSlot(std::size_t& count) : count_(&count) { ++*count_; }
  ~DescriptorSlot() { --*count_; }
  DescriptorSlot(const DescriptorSlot&) = delete;
  DescriptorSlot& operator=(const DescriptorSlot&) = delete;

 private:
  std::size_t* count_;
};

}  // namespace lynxgrade::net
