#include "net/listener.h"

#include <spdlog/spdlog.h>

namespace lynxgrade::net {
namespace {

constexpr Duration kPauseWhenFull{20000};
constexpr int kBacklog = 512;
constexpr int kAcceptedAtOnce = 32;  // a storm of connections must not keep those that are up waiting

}  // namespace

std::string Describe(const ListenError& error) {
  switch (error.reason) {
    case ListenError::Reason::kInvalidAddress:
      return "not an address";
    case ListenError::Reason::kNoSocket:
      return "no socket to be had";
    case ListenError::Reason::kSystem:
      break;
  }
  return error.system_message;
}

tl::expected<void, ListenError> Listener::Open(const Address& address) {
  const ObjectPtr<GSocketAddress> local = SocketAddress(address);
  if (local == nullptr) return tl::unexpected(ListenError{ListenError::Reason::kInvalidAddress, {}});
  bool full = false;
  socket_ = NewSocket(g_socket_address_get_family(local.get()), &full);
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
  static_cast<Listener*>(self)->Accept(kAcceptedAtOnce);
  return G_SOURCE_CONTINUE;
}

void Listener::Accept(int most) {
  if (!left_) queued_since_ = loop_.EarliestArrival();
  left_ = true;
  for (int i = 0; i < most && socket_ != nullptr; ++i) {
    if (!may_()) return PauseAWhile();
    ErrorSlot error;
    ObjectPtr<GSocket> client(g_socket_accept(socket_.get(), nullptr, error.out()));
    if (client != nullptr) {
      accepted_(std::move(client));
      continue;
    }
    if (error.Matches(G_IO_ERROR_WOULD_BLOCK)) {
      left_ = false;
      return;
    }
    // Out of descriptors: the connection stays queued and readable, so look again later, not in a spin.
    spdlog::warn("accept failed: {}", error.message());
    return PauseAWhile();
  }
}

void Listener::PauseAWhile() {
  source_.reset();
  again_.ScheduleAfter(kPauseWhenFull, [this] {
    if (socket_ != nullptr) Watch();
  });
}

void Listener::Close() {
  if (socket_ == nullptr) return;
  Accept(kBacklog);
  again_.Cancel();
  source_.reset();
  g_socket_close(socket_.get(), nullptr);
  socket_.reset();
}

}  // namespace lynxgrade::net
