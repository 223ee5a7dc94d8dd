// Answers operators' questions about this instance, on a loopback address of its own. Owns its listener and
// the few connections on it; it knows no part of the program, only what answers each question. Off where the
// settings name no address.
//
// One connection, one question: a line with its name; the answer, and the connection ends. Whoever may log in
// to the machine may ask; nothing can be changed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/connection.h"
#include "net/listener.h"
#include "net/loop.h"

namespace lynxgrade::admin {

class AdminServer {
 public:
  using Answer = std::function<std::string()>;

  AdminServer(net::Loop& loop, std::map<std::string, Answer> answers);
  ~AdminServer();

  // Empty, or what keeps it from listening.
  std::string Listen(const net::Address& address) { return listener_.Open(address); }
  std::uint16_t port() const { return listener_.port(); }
  std::size_t open() const { return asking_.size(); }

 private:
  class Asking;
  static constexpr std::size_t kMostAsking = 4;  // operators, not clients
  static constexpr std::size_t kLongestQuestion = 64;
  static constexpr std::size_t kLongestAnswer = 1u << 20;  // some thousand instances
  static constexpr Duration kPatience{1000000};            // for a question, and for taking the answer

  void Drop(Asking* asking);

  net::Loop& loop_;
  std::map<std::string, Answer> answers_;
  net::Listener listener_;
  std::map<Asking*, std::unique_ptr<Asking>> asking_;
};

}  // namespace lynxgrade::admin
