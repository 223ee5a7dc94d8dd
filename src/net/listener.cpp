#include "net/listener.h"

#include <spdlog/spdlog.h>

namespace lynxgrade::net {
namespace {

constexpr Duration kAcceptRetryDelay{20000};
constexpr int kBacklog = 512;
constexpr int kMaxAcceptsPerEvent = 32;  // so that a burst of connections does not delay the established ones

}  // namespace

std::string Describe(const ListenError& error) {
  switch (error.reason) {
    case ListenError::Reason::kInvalidAddress:
      return "invalid address";
    case ListenError::Reason::kNoSocket:
      return "cannot create a socket";
    case ListenError::Reason::kSystem:
      break;
  }
  return error.system_message;
}

tl::expected<void, ListenError> Listener::Open(const Address& address) {
  const ObjectPtr<GSocketAddress> local = SocketAddress(address);
  if (local == nullptr) return tl::unexpected(ListenError{ListenError::Reason::kInvalidAddress, {}});
  bool out_of_descriptors = false;
  socket_ = NewSocket(g_socket_address_get_family(local.get()), &out_of_descriptors);
  if (socket_ == nullptr) return tl::unexpected(ListenError{ListenError::Reason::kNoSocket, {}});
  g_socket_set_listen_backlog(socket_.get(), kBacklog);
  ErrorSlot error;
  if (!g_socket_bind(socket_.get(), local.get(), TRUE, error.out()) ||
      !g_socket_listen(socket_.get(), error.out())) {
    socket_.reset();
    return tl::unexpected(ListenError{ListenError::Reason::kSystem, error.message()});
  }
  Watch();
  return {};
}

std::uint16_t Listener::port() const {
  const ObjectPtr<GSocketAddress> local(g_socket_get_local_address(socket_.get(), nullptr));
  return g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(local.get()));
}

void Listener::Watch() {
  source_.reset(g_socket_create_source(socket_.get(), G_IO_IN, nullptr));
  GSocketSourceFunc ready = &Listener::Ready;
  g_source_set_callback(source_.get(), G_SOURCE_FUNC(ready), this, nullptr);
  g_source_attach(source_.get(), nullptr);
}

gboolean Listener::Ready(GSocket*, GIOCondition, gpointer self) {
  static_cast<Listener*>(self)->Accept(kMaxAcceptsPerEvent);
  return G_SOURCE_CONTINUE;
}

void Listener::Accept(int max_count) {
  if (!queue_nonempty_) queued_since_ = loop_.EarliestArrival();
  queue_nonempty_ = true;
  for (int i = 0; i < max_count && socket_ != nullptr; ++i) {
    if (!may_accept_()) return PauseAccepting();
    ErrorSlot error;
    ObjectPtr<GSocket> client(g_socket_accept(socket_.get(), nullptr, error.out()));
    if (client != nullptr) {
      on_accept_(std::move(client));
      continue;
    }
    if (error.Matches(G_IO_ERROR_WOULD_BLOCK)) {
      queue_nonempty_ = false;
      return;
    }
    // Out of descriptors, for example: the connection stays queued and the socket readable, so accepting
    // is retried after a delay rather than in a busy loop.
    spdlog::warn("listener: accept failed, retrying after a delay; cause=\"{}\"", error.message());
    return PauseAccepting();
  }
}

void Listener::PauseAccepting() {
  source_.reset();
  resume_timer_.ScheduleAfter(kAcceptRetryDelay, [this] {
    if (socket_ != nullptr) Watch();
  });
}

void Listener::Close() {
  if (socket_ == nullptr) return;
  Accept(kBacklog);
  resume_timer_.Cancel();
  source_.reset();
  g_socket_close(socket_.get(), nullptr);
  socket_.reset();
}

}  // namespace lynxgrade::net
