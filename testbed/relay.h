// A relay between poolers that loses, delays and cuts what they say to each other. One socket stands for each
// instance: what another sends there is passed on from that other's own, so an answer finds its way back
// through the relay as well.
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

class Relay final : private net::Poller::Handler {
 public:
  Relay(net::Loop& loop, int instances, std::uint64_t seed)
      : loop_(loop), random_(seed), landing_(loop), flood_(loop) {
    for (int i = 0; i < instances; ++i) {
      const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      sockaddr_in address = Loopback(0);
      socklen_t size = sizeof address;
      if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
          getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        throw std::runtime_error("the relay gets no socket");
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
  std::uint16_t port(int of) const { return ports_[static_cast<std::size_t>(of)]; }
  void Behind(const std::vector<std::uint16_t>& real) { real_ = real; }

  // Forged datagrams to an instance, 10,000 a second, every other one a true one sent again.
  void Flood(int to, Duration left) {
    for (int i = 0; i < 50; ++i) {
      std::string datagram = last_;
      if (i % 2 == 0) std::ranges::generate(datagram, [this] { return static_cast<char>(random_()); });
      Deliver(1, to, datagram);
    }
    if (left <= Duration{0}) return;
    flood_.ScheduleAfter(Duration(5000), [this, to, left] { Flood(to, left - Duration(5000)); });
  }

  std::set<std::pair<int, int>> cut;  // from, to
  int loss = 0;                       // percent
  Duration delay{0}, jitter{0};
  std::uint64_t bytes = 0;

 private:
  void OnEvents(std::uint32_t) override {
    for (std::size_t to = 0; to < sockets_.size(); ++to) {
      char buffer[65536];
      sockaddr_in sender{};
      socklen_t size = sizeof sender;
      for (ssize_t n; (n = recvfrom(sockets_[to], buffer, sizeof buffer, 0,
                                    reinterpret_cast<sockaddr*>(&sender), &size)) >= 0;) {
        const auto from = std::ranges::find(real_, ntohs(sender.sin_port));
        if (from == real_.end()) continue;
        Pass(static_cast<int>(from - real_.begin()), static_cast<int>(to),
             {buffer, static_cast<std::size_t>(n)});
      }
    }
  }

  void Pass(int from, int to, std::string datagram) {
    bytes += datagram.size();
    if (to == 0) last_ = datagram;
    if (cut.contains({from, to}) || static_cast<int>(random_() % 100) < loss) return;
    const Duration late = delay + jitter * static_cast<std::int64_t>(random_() % 100) / 100;
    if (late == Duration{0}) return Deliver(from, to, datagram);
    flying_.emplace(loop_.Now() + late, Flying{from, to, std::move(datagram)});
    Land();
  }

  // Delivers what is due, and waits for the next.
  void Land() {
    while (!flying_.empty() && flying_.begin()->first <= loop_.Now()) {
      const Flying due = std::move(flying_.begin()->second);
      flying_.erase(flying_.begin());
      Deliver(due.from, due.to, due.datagram);
    }
    if (flying_.empty()) return;
    landing_.ScheduleAfter(flying_.begin()->first - loop_.Now(), [this] { Land(); });
  }

  void Deliver(int from, int to, const std::string& datagram) {
    const sockaddr_in address = Loopback(real_[static_cast<std::size_t>(to)]);
    sendto(sockets_[static_cast<std::size_t>(from)], datagram.data(), datagram.size(), 0,
           reinterpret_cast<const sockaddr*>(&address), sizeof address);
  }

  net::Loop& loop_;
  std::mt19937_64 random_;
  std::vector<int> sockets_;
  std::vector<std::uint16_t> ports_, real_;
  struct Flying {
    int from, to;
    std::string datagram;
  };
  std::multimap<TimePoint, Flying> flying_;
  net::Timer landing_, flood_;
  std::string last_ = std::string(200, 'x');  // datagram passed on to instance 0
};

}  // namespace lynxgrade::testbed
