// Limits on the file descriptors held by client and server connections, together and for each side.
#pragma once

#include <algorithm>
#include <cstddef>

namespace lynxgrade::net {

class DescriptorBudget {
 public:
  // Of `limit` descriptors some are kept back for the listener, discovery, logs and the loop itself, and a
  // quarter of the rest for each side, so that neither can starve the other.
  explicit DescriptorBudget(std::size_t limit)
      : all_(limit > 2 * kReserve ? limit - kReserve : limit / 2), least_(all_ / 4) {}

  bool CanAddClient() const { return Fits(clients_); }
  bool CanAddBackend() const { return Fits(backends_); }
  // Whether clients hold more than one part in so many of all. They may use a third for requests, and share
  // it.
  bool ClientsExceedFraction(std::size_t part) const { return clients_ > all_ / part; }

  std::size_t& clients() { return clients_; }
  std::size_t& backends() { return backends_; }
  std::size_t total() const { return all_; }

 private:
  static constexpr std::size_t kReserve = 40;

  bool Fits(std::size_t own) const { return clients_ + backends_ < all_ && own < all_ - least_; }

  std::size_t all_;
  std::size_t least_;
  std::size_t clients_ = 0;
  std::size_t backends_ = 0;
};

// Counts one descriptor while it lives.
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
