#include "net/poller.h"

#include <glib-unix.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace lynxgrade::net {
namespace {

constexpr int kMaxEventsPerWait = 64;  // the kernel rotates its ready list, so no descriptor starves

}  // namespace

Poller::Poller() : epoll_descriptor_(epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_descriptor_ < 0) {
    throw std::system_error(errno, std::generic_category(), "cannot create an epoll instance");
  }
  source_.reset(g_unix_fd_source_new(epoll_descriptor_, G_IO_IN));
  GUnixFDSourceFunc on_ready = &Poller::OnReady;
  g_source_set_callback(source_.get(), G_SOURCE_FUNC(on_ready), this, nullptr);
  g_source_attach(source_.get(), nullptr);
}

Poller::~Poller() {
  source_.reset();
  close(epoll_descriptor_);
}

void Poller::Add(int descriptor, std::uint32_t events, Handler& handler) {
  const auto index = static_cast<std::size_t>(descriptor);
  if (index >= watched_.size()) watched_.resize(index + 1);
  watched_[index].handler = &handler;
  ++watched_[index].generation;
  Control(EPOLL_CTL_ADD, descriptor, events);
}

void Poller::Change(int descriptor, std::uint32_t events) { Control(EPOLL_CTL_MOD, descriptor, events); }

void Poller::Remove(int descriptor) {
  watched_[static_cast<std::size_t>(descriptor)].handler = nullptr;
  Control(EPOLL_CTL_DEL, descriptor, 0);
}

void Poller::Control(int operation, int descriptor, std::uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.u64 = std::uint64_t{watched_[static_cast<std::size_t>(descriptor)].generation} << 32 |
                   static_cast<std::uint32_t>(descriptor);
  epoll_ctl(epoll_descriptor_, operation, descriptor, &event);
}

gboolean Poller::OnReady(gint, GIOCondition, gpointer self) {
  static_cast<Poller*>(self)->Dispatch();
  return G_SOURCE_CONTINUE;
}

void Poller::Dispatch() {
  std::array<epoll_event, kMaxEventsPerWait> events;
  const int count = epoll_wait(epoll_descriptor_, events.data(), kMaxEventsPerWait, 0);
  has_backlog_ = count == kMaxEventsPerWait;
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    const Watched& watched = watched_[static_cast<std::uint32_t>(event.data.u64)];
    if (watched.generation != event.data.u64 >> 32 || watched.handler == nullptr) continue;
    watched.handler->OnEvents(event.events);
  }
}

}  // namespace lynxgrade::net
