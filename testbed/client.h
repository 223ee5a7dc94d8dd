// A client of a real pooler: one request on a connection of its own, and the statements that it sends.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/connection.h"
#include "net/loop.h"

namespace lynxgrade::testbed {

enum class End { kServed, kRefused, kFailed, kBroken, kSilent };

class Client final : public net::Connection::Owner {
 public:
  using Done = std::function<void(End, const std::string& value)>;

  Client(net::Loop& loop, std::uint16_t port, const std::string& query, int budget_ms, Done done);
  bool over() const { return over_; }

 private:
  void OnReadable() override;
  void OnEndOfStream() override { Finish(End::kBroken); }
  void OnDisconnected() override { Finish(End::kBroken); }
  void Finish(End end);

  Done done_;
  net::Timer patience_;
  std::shared_ptr<net::Connection> connection_;
  std::string value_;
  End end_ = End::kFailed;
  bool over_ = false;
};

// The comment that tells the pooler what is asked, of which group, and how long the client would wait.
std::string CommentFor(std::uint64_t id, const char* cls, int budget_ms, std::int64_t group);
std::string WriteOf(const std::string& session, std::uint64_t version);
std::string ReadOf(const std::string& session);

}  // namespace lynxgrade::testbed
