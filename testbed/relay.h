// A UDP relay between poolers that drops, delays and blocks their datagrams. It has one socket per instance.
// A datagram that arrives at the socket of its destination is forwarded from the socket of its sender, so
// that the reply passes through the relay as well.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "net/loop.h"
#include "net/poller.h"

namespace lynxgrade::testbed {

inline sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// Runs on the loop's thread. The constructor throws std::runtime_error if a socket cannot be opened.
class Relay final : private net::Poller::Handler {
 public:
  Relay(net::Loop& loop, int instances, std::uint64_t seed)
      : loop_(loop), random_(seed), delivery_timer_(loop), flood_timer_(loop) {
    for (int i = 0; i < instances; ++i) {
      const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      sockaddr_in address = Loopback(0);
      socklen_t size = sizeof address;
      if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
          getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        throw std::runtime_error("the relay cannot open a UDP socket");
      }
      sockets_.push_back(fd);
      ports_.push_back(ntohs(address.sin_port));
      loop_.poller().Add(fd, EPOLLIN, *this);
    }
  }
  ~Relay() {
    for (int fd : sockets_) {
      loop_.poller().Remove(fd);
      close(fd);
    }
  }
  std::uint16_t port(int instance) const { return ports_[static_cast<std::size_t>(instance)]; }
  // The ports on which the instances listen, by instance. To be set before the first datagram.
  void SetDestinations(const std::vector<std::uint16_t>& ports) { destination_ports_ = ports; }

  // Sends an instance 10,000 datagrams per second for the given time: forged ones and, every second one, a
  // replay of a real one.
  void Flood(int to, Duration time_left) {
    for (int i = 0; i < 50; ++i) {
      std::string datagram = last_datagram_;
      if (i % 2 == 0) std::ranges::generate(datagram, [this] { return static_cast<char>(random_()); });
      Deliver(1, to, datagram);
    }
    if (time_left <= Duration{0}) return;
    flood_timer_.ScheduleAfter(Duration(5000),
                               [this, to, time_left] { Flood(to, time_left - Duration(5000)); });
  }

  std::set<std::pair<int, int>> blocked_links;  // from, to
  int loss_percent = 0;
  Duration delay{0}, jitter{0};
  std::uint64_t bytes = 0;  // received from all instances

 private:
  void OnEvents(std::uint32_t) override {
    for (std::size_t to = 0; to < sockets_.size(); ++to) {
      char buffer[65536];
      sockaddr_in sender{};
      socklen_t size = sizeof sender;
      for (ssize_t n; (n = recvfrom(sockets_[to], buffer, sizeof buffer, 0,
                                    reinterpret_cast<sockaddr*>(&sender), &size)) >= 0;) {
        const auto from = std::ranges::find(destination_ports_, ntohs(sender.sin_port));
        if (from == destination_ports_.end()) continue;
        Forward(static_cast<int>(from - destination_ports_.begin()), static_cast<int>(to),
                {buffer, static_cast<std::size_t>(n)});
      }
    }
  }

  void Forward(int from, int to, std::string datagram) {
    bytes += datagram.size();
    if (to == 0) last_datagram_ = datagram;
    if (blocked_links.contains({from, to}) || static_cast<int>(random_() % 100) < loss_percent) return;
    const Duration latency = delay + jitter * static_cast<std::int64_t>(random_() % 100) / 100;
    if (latency == Duration{0}) return Deliver(from, to, datagram);
    in_flight_.emplace(loop_.Now() + latency, InFlight{from, to, std::move(datagram)});
    DeliverDue();
  }

  // Delivers the datagrams that are due and schedules the next delivery.
  void DeliverDue() {
    while (!in_flight_.empty() && in_flight_.begin()->first <= loop_.Now()) {
      const InFlight due = std::move(in_flight_.begin()->second);
      in_flight_.erase(in_flight_.begin());
      Deliver(due.from, due.to, due.datagram);
    }
    if (in_flight_.empty()) return;
    delivery_timer_.ScheduleAfter(in_flight_.begin()->first - loop_.Now(), [this] { DeliverDue(); });
  }

  void Deliver(int from, int to, const std::string& datagram) {
    const sockaddr_in address = Loopback(destination_ports_[static_cast<std::size_t>(to)]);
    sendto(sockets_[static_cast<std::size_t>(from)], datagram.data(), datagram.size(), 0,
           reinterpret_cast<const sockaddr*>(&address), sizeof address);
  }

  net::Loop& loop_;
  std::mt19937_64 random_;
  std::vector<int> sockets_;
  std::vector<std::uint16_t> ports_, destination_ports_;
  struct InFlight {
    int from, to;
    std::string datagram;
  };
  std::multimap<TimePoint, InFlight> in_flight_;
  net::Timer delivery_timer_, flood_timer_;
  std::string last_datagram_ = std::string(200, 'x');  // the last one sent to instance 0
};

}  // namespace lynxgrade::testbed
