#include "admin/admin_server.h"

#include <utility>

namespace lynxgrade::admin {

class AdminServer::Asking final : private net::Connection::Owner {
 public:
  Asking(AdminServer& server, net::ObjectPtr<GSocket> socket)
      : server_(server),
        connection_(
            net::Connection::Adopt(server.loop_, std::move(socket), *this, kLongestQuestion, kLongestAnswer)),
        patience_(server.loop_) {
    patience_.After(kPatience, [this] { server_.Drop(this); });
  }
  ~Asking() { connection_->Close(); }

 private:
  void OnReadable() override {
    net::RingBuffer& in = connection_->in();
    const std::string text(in.All());
    const auto end = text.find('\n');
    if (end == std::string::npos) {
      if (text.size() >= kLongestQuestion) server_.Drop(this);
      return;
    }
    in.Consume(text.size());
    if (answered_) return;
    answered_ = true;
    const auto answer = server_.answers_.find(text.substr(0, end));
    const std::string said =
        answer != server_.answers_.end() ? answer->second() : R"({"error":"nothing answers to this here"})";
    if (!connection_->Write(said + "\n")) return server_.Drop(this);
    connection_->EndSending();
  }
  void OnPeerDone() override {
    if (!answered_ || connection_->all_written()) server_.Drop(this);
  }
  void OnBroken() override { server_.Drop(this); }

  AdminServer& server_;
  std::shared_ptr<net::Connection> connection_;
  net::Timer patience_;
  bool answered_ = false;
};

AdminServer::AdminServer(net::Loop& loop, std::map<std::string, Answer> answers)
    : loop_(loop),
      answers_(std::move(answers)),
      listener_(
          loop, [this] { return asking_.size() < kMostAsking; },
          [this](net::ObjectPtr<GSocket> socket) {
            auto asking = std::make_unique<Asking>(*this, std::move(socket));
            Asking* key = asking.get();
            asking_.emplace(key, std::move(asking));
          }) {}

AdminServer::~AdminServer() = default;

void AdminServer::Drop(Asking* asking) { asking_.erase(asking); }

}  // namespace lynxgrade::admin
