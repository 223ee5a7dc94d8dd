// Accepts connections on one address.
#pragma once

#include <functional>
#include <string>
#include <tl/expected.hpp>

#include "net/connection.h"
#include "net/loop.h"

namespace lynxgrade::net {

// Why an address cannot be listened on.
struct ListenError {
  enum class Reason { kInvalidAddress, kNoSocket, kSystem };
  Reason reason = Reason::kSystem;
  std::string system_message;  // kSystem
};
// A phrase without a full stop.
std::string Describe(const ListenError& error);

class Listener {
 public:
  // Asked before each accept; false leaves the connection in the kernel's queue for a while.
  using MayAccept = std::function<bool()>;
  using Accepted = std::function<void(ObjectPtr<GSocket>)>;

  Listener(Loop& loop, MayAccept may, Accepted accepted)
      : loop_(loop), may_(std::move(may)), accepted_(std::move(accepted)), again_(loop) {}

  // Binds the socket and starts to accept; port 0 stands for any free one.
  tl::expected<void, ListenError> Open(const Address& address);
  // Takes in what has already been connected, then closes.
  void Close();
  bool open() const { return socket_ != nullptr; }
  std::uint16_t port() const;
  // What is being accepted has waited in the kernel's queue no longer than since then.
  TimePoint queued_since() const { return queued_since_; }

 private:
  static gboolean Ready(GSocket*, GIOCondition, gpointer self);
  void Accept(int most);
  void Watch();
  void PauseAWhile();

  Loop& loop_;
  MayAccept may_;
  Accepted accepted_;
  ObjectPtr<GSocket> socket_;
  SourcePtr source_;
  Timer again_;
  TimePoint queued_since_{};
  bool left_ = false;  // the queue was not empty when it was last left
};

}  // namespace lynxgrade::net
