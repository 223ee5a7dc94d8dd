// Answers operators' queries about this instance on an admin address, which the settings keep on loopback.
//
// One connection carries one query: a line with its name; the response follows, and the connection is closed.
// Any user of the machine may query; nothing can be changed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "net/connection.h"
#include "net/listener.h"
#include "net/loop.h"

namespace lynxgrade::admin {

// Owns its listener and the connections on it. To be used on the main loop's thread.
class AdminServer {
 public:
  // Makes the response to a query, a JSON text without a line feed.
  using Handler = std::function<std::string()>;

  // `handlers` is by name of the query. `loop` must outlive it.
  AdminServer(net::Loop& loop, std::map<std::string, Handler> handlers);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  tl::expected<void, net::ListenError> Listen(const net::Address& address) { return listener_.Open(address); }
  std::uint16_t port() const { return listener_.port(); }
  std::size_t open_connections() const { return connections_.size(); }

 private:
  class QueryConnection;  // NOLINT(cppcoreguidelines-virtual-class-destructor): it is final
  static constexpr std::size_t kMaxConnections = 4;
  static constexpr std::size_t kMaxQueryBytes = 64;
  static constexpr std::size_t kMaxResponseBytes = 1u << 20;  // suffices for some thousand instances
  static constexpr Duration kConnectionTimeout{1'000'000};    // for sending the query and taking the response

  void Accept(net::ObjectPtr<GSocket> socket);
  void Close(QueryConnection* connection);

  net::Loop& loop_;
  std::map<std::string, Handler> handlers_;
  net::Listener listener_;
  std::map<QueryConnection*, std::unique_ptr<QueryConnection>> connections_;
};

}  // namespace lynxgrade::admin
