#include "admin/admin_server.h"

#include <utility>

namespace lynxgrade::admin {

// Owned by the server. CloseConnection destroys it, so a callback does nothing after that call.
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor): it is final
class AdminServer::QueryConnection final : private net::Connection::Owner {
 public:
  QueryConnection(AdminServer& server, net::ObjectPtr<GSocket> socket)
      : server_(server),
        connection_(net::Connection::Adopt(server.loop_, std::move(socket), *this, kMaxQueryBytes,
                                           kMaxResponseBytes)),
        timeout_(server.loop_) {
    timeout_.ScheduleAfter(kConnectionTimeout, [this] { server_.CloseConnection(this); });
  }
  ~QueryConnection() { connection_->Close(); }
  QueryConnection(const QueryConnection&) = delete;
  QueryConnection& operator=(const QueryConnection&) = delete;

 private:
  void OnReadable() override {
    net::RingBuffer& in = connection_->input();
    const std::string text(in.Linearize());
    const auto line_end = text.find('\n');
    if (line_end == std::string::npos) {
      if (text.size() >= kMaxQueryBytes) server_.CloseConnection(this);
      return;
    }
    in.Consume(text.size());
    if (responded_) return;
    responded_ = true;
    const std::string response = ResponseTo(text.substr(0, line_end)) + "\n";
    if (!connection_->Write(response)) return server_.CloseConnection(this);
    connection_->ShutdownSending();
  }
  void OnEndOfStream() override {
    if (!responded_ || connection_->all_written()) server_.CloseConnection(this);
  }
  void OnDisconnected() override { server_.CloseConnection(this); }

  std::string ResponseTo(const std::string& query) const {
    const auto handler = server_.handlers_.find(query);
    if (handler == server_.handlers_.end()) return R"({"error":"nothing answers to this here"})";
    return handler->second();
  }

  AdminServer& server_;
  std::shared_ptr<net::Connection> connection_;
  net::Timer timeout_;
  bool responded_ = false;
};

AdminServer::AdminServer(net::Loop& loop, std::map<std::string, Handler> handlers)
    : loop_(loop),
      handlers_(std::move(handlers)),
      listener_(
          loop, [this] { return connections_.size() < kMaxConnections; },
          [this](net::ObjectPtr<GSocket> socket) { AcceptConnection(std::move(socket)); }) {}

AdminServer::~AdminServer() = default;

void AdminServer::AcceptConnection(net::ObjectPtr<GSocket> socket) {
  auto connection = std::make_unique<QueryConnection>(*this, std::move(socket));
  QueryConnection* const key = connection.get();
  connections_.emplace(key, std::move(connection));
}

void AdminServer::CloseConnection(QueryConnection* connection) { connections_.erase(connection); }

}  // namespace lynxgrade::admin
