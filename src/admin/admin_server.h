// Serves operators' queries about this instance on an admin address, which the settings restrict to loopback.
//
// A connection carries one query, which is a line with its name. The server sends the response and closes the
// connection. Every user of the machine may query; queries change nothing.
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

// Owns its listener and the connections accepted on it. Must be used on the thread of the main loop.
class AdminServer {
 public:
  // Returns the response to a query, a JSON text without a line feed.
  using Handler = std::function<std::string()>;

  // `handlers` are by query name. `loop` must outlive the server.
  AdminServer(net::Loop& loop, std::map<std::string, Handler> handlers);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  tl::expected<void, net::ListenError> Listen(const net::Address& address) { return listener_.Open(address); }
  std::uint16_t port() const { return listener_.port(); }
  std::size_t open_connections() const { return connections_.size(); }

 private:
  class QueryConnection;  // NOLINT(cppcoreguidelines-virtual-class-destructor): it is final
  static constexpr std::size_t kMaxConnections = 4;  // of operators; clients do not connect here
  static constexpr std::size_t kMaxQueryBytes = 64;
  static constexpr std::size_t kMaxResponseBytes = 1u << 20;  // suffices for several thousand instances
  static constexpr Duration kConnectionTimeout{1'000'000};    // for the query and the whole response

  void AcceptConnection(net::ObjectPtr<GSocket> socket);
  void CloseConnection(QueryConnection* connection);

  net::Loop& loop_;
  std::map<std::string, Handler> handlers_;
  net::Listener listener_;
  std::map<QueryConnection*, std::unique_ptr<QueryConnection>> connections_;
};

}  // namespace lynxgrade::admin
