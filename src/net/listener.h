// Accepts TCP connections on one address.
#pragma once

#include <functional>
#include <string>
#include <tl/expected.hpp>

#include "net/connection.h"
#include "net/loop.h"

namespace lynxgrade::net {

// Why listening on an address has failed.
struct ListenError {
  enum class Reason { kInvalidAddress, kNoSocket, kSystem };
  Reason reason = Reason::kSystem;
  std::string system_message;  // kSystem
};
// A phrase without a full stop.
std::string Describe(const ListenError& error);

class Listener {
 public:
  // Called before each accept; false leaves the connection in the kernel's queue for a short time.
  using MayAcceptCallback = std::function<bool()>;
  using AcceptCallback = std::function<void(ObjectPtr<GSocket>)>;

  Listener(Loop& loop, MayAcceptCallback may_accept, AcceptCallback on_accept)
      : loop_(loop),
        may_accept_(std::move(may_accept)),
        on_accept_(std::move(on_accept)),
        resume_timer_(loop) {}

  // Binds the address and starts to accept; port 0 stands for any free port.
  tl::expected<void, ListenError> Open(const Address& address);
  // Accepts the connections that wait in the kernel's queue, then closes.
  void Close();
  bool open() const { return socket_ != nullptr; }
  std::uint16_t port() const;
  // The connection that is being accepted was queued by the kernel no earlier than this.
  TimePoint queued_since() const { return queued_since_; }

 private:
  static gboolean Ready(GSocket*, GIOCondition, gpointer self);
  void Accept(int max_count);
  void Watch();
  void PauseAccepting();

  Loop& loop_;
  MayAcceptCallback may_accept_;
  AcceptCallback on_accept_;
  ObjectPtr<GSocket> socket_;
  SourcePtr source_;
  Timer resume_timer_;
  TimePoint queued_since_{};
  bool queue_nonempty_ = false;  // as the last call of Accept left it
};

}  // namespace lynxgrade::net
