// A PostgreSQL client that sends one request over its own connection to a real pooler, and the statements
// that the runs send with it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/connection.h"
#include "net/loop.h"

namespace lynxgrade::testbed {

enum class RequestResult { kServed, kRejected, kFailed, kDisconnected, kTimedOut };

// Calls `on_result` exactly once: with the result, or with kTimedOut. Runs on the loop's thread.
class Client final : public net::Connection::Owner {
 public:
  using ResultCallback = std::function<void(RequestResult, const std::string& value)>;

  Client(net::Loop& loop, std::uint16_t port, const std::string& query, int budget_ms,
         ResultCallback on_result);
  bool finished() const { return finished_; }

 private:
  void OnReadable() override;
  void OnEndOfStream() override { Finish(RequestResult::kDisconnected); }
  void OnDisconnected() override { Finish(RequestResult::kDisconnected); }
  void Finish(RequestResult result);

  ResultCallback on_result_;
  net::Timer timeout_;
  std::shared_ptr<net::Connection> connection_;
  std::string value_;
  RequestResult result_ = RequestResult::kFailed;
  bool finished_ = false;
};

// The leading comment of a request: its id, class, time budget and group.
std::string RequestComment(std::uint64_t id, const char* cls, int budget_ms, std::int64_t group);
std::string WriteStatement(const std::string& session, std::uint64_t version);
std::string ReadStatement(const std::string& session);

}  // namespace lynxgrade::testbed
