// A network link: a TCP proxy that passes on each piece of data a while after it came, in order.
#pragma once

#include <condition_variable>
#include <deque>

#include "kit.h"

namespace kit {

class Link {
 public:
  // `delay` draws the time one way for each piece.
  Link(int target, std::function<Us()> delay)
      : port(FreePort()), target_(target), delay_(std::move(delay)), listener_(ListenOn(port)) {
    if (listener_ < 0) End(2);
    std::thread([this] {
      while (true) {
        const int near = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (near < 0) return;
        const int far = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = Loopback(target_);
        if (connect(far, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
          close(near);
          close(far);
          continue;
        }
        NoDelay(near);
        NoDelay(far);
        const auto sockets = std::make_shared<Pair>(near, far);
        Carry(sockets, near, far);
        Carry(sockets, far, near);
      }
    }).detach();
  }
  const int port;

 private:
  struct Pair {
    Pair(int first, int second) : first(first), second(second) {}
    ~Pair() {
      close(first);
      close(second);
    }
    int first, second;
  };
  struct Queue {
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::pair<Us, std::string>> pieces;  // an empty one is the end
  };
  void Carry(const std::shared_ptr<Pair>& sockets, int from, int to) {
    const auto queue = std::make_shared<Queue>();
    std::thread([this, sockets, queue, from] {
      while (true) {
        char bytes[65536];
        const ssize_t count = recv(from, bytes, sizeof bytes, 0);
        if (count < 0 && errno == EINTR) continue;
        const Us now = Now();
        const std::lock_guard lock(queue->mutex);
        std::string rest(bytes, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        do {
          // What was sent by two calls travels as two segments, each with a delay of its own.
          const std::string ready("Z\0\0\0\5I", 6);
          const std::size_t end = rest.find(ready);
          std::string piece = rest.substr(0, end == std::string::npos ? end : end + ready.size());
          rest.erase(0, piece.size());
          queue->pieces.emplace_back(now + delay_(), std::move(piece));
        } while (!rest.empty());
        queue->changed.notify_one();
        if (count <= 0) return;
      }
    }).detach();
    std::thread([sockets, queue, to] {
      while (true) {
        std::unique_lock lock(queue->mutex);
        queue->changed.wait(lock, [&] { return !queue->pieces.empty(); });
        const auto [at, bytes] = std::move(queue->pieces.front());
        queue->pieces.pop_front();
        lock.unlock();
        SleepUntil(at);
        if (bytes.empty() || !SendAll(to, bytes)) {
          shutdown(sockets->first, SHUT_RDWR);
          shutdown(sockets->second, SHUT_RDWR);
          return;
        }
      }
    }).detach();
  }
  int target_;
  std::function<Us()> delay_;
  int listener_;
};

}  // namespace kit
