// One connection to a data server, and the reader of its responses.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "net/connection.h"
#include "net/descriptor_budget.h"
#include "net/loop.h"
#include "pg/message.h"
#include "upstream/connection_pool.h"

namespace lynxgrade::upstream {

// Assembles one response from protocol messages and translates it to the terms of the routing module. Does no
// I/O.
class ResponseReader {
 public:
  enum class ReadResult { kMore, kReady, kMalformed };

  // Consumes one message. kReady: the data server awaits the next query; kMalformed: the message cannot be
  // parsed or is out of order, and the connection is of no further use.
  ReadResult ReadMessage(char type, std::string_view body);
  bool started() const { return started_; }

  bool has_error() const { return error_.has_value(); }
  const std::optional<pg::ErrorFields>& error() const { return error_; }
  // Whether the data server rejected the statement itself: it has not run, and no other server would run it.
  bool unusable() const;
  bool complete() const { return row_.has_value() && tag_.has_value() && !has_error(); }
  // The outcome of the attempt if no further message arrives; `all_written` tells whether its last byte was
  // sent.
  Outcome OutcomeAtEnd(bool all_written) const;
  ResponseMetadata metadata() const { return metadata_; }
  std::optional<LoadReport> report() const { return report_; }
  // The single value of the row; empty without one.
  std::string_view value() const;
  // Moves the response out; valid only where the outcome is kOk.
  proxy::Response ReleaseResponse();

 private:
  bool ReadParameterStatus(std::string_view body);

  bool started_ = false;
  std::optional<std::string> description_;
  std::optional<std::string> row_;
  std::optional<std::string> tag_;
  std::optional<pg::ErrorFields> error_;
  ResponseMetadata metadata_;
  std::optional<LoadReport> report_;
};

// Parses a load report such as "x0=1767225600.123,x1=1,util=0.61", in which a position is a Unix time in
// seconds. Empty if the text is malformed.
std::optional<LoadReport> ParseLoadReport(std::string_view text);

// One connection to a data server, which runs one attempt at a time. Owned by the pool through a shared_ptr;
// callbacks hold a reference, as they may lead to the pool dropping its own.
class ServerConnection final : public net::Connection::Owner,
                               public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(net::Loop& loop, ConnectionPool& pool, ServerPool& server, net::DescriptorBudget& budget);
  virtual ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  // Starts to connect, within the given time. False if that fails at once; `full` is set if descriptors have
  // run out.
  bool Open(const net::Address& address, Duration within, bool* full);
  // Sends the query of an attempt. The connection has to be idle and current.
  void SendQuery(std::shared_ptr<Attempt> attempt);
  ServerPool& server() { return server_; }
  bool ready() const { return ready_; }
  bool idle() const { return ready_ && attempt_ == nullptr; }
  TimePoint idle_since() const { return idle_since_; }
  // Whether all input has been read: unread input on an idle connection is most likely its close.
  bool IsCurrent() const { return !connection_->HasPendingInput(); }
  // Whether the last byte of the present query has been handed to the kernel.
  bool AllWritten() const { return query_accepted_ && connection_->all_written(); }
  void Close();

 private:
  void OnConnected() override;
  void OnReadable() override;
  void OnEndOfStream() override { HandleConnectionLost(); }
  void OnDisconnected() override { HandleConnectionLost(); }
  bool HandleMessage(char type, std::string_view body);
  // The data server awaits the next query: the connection is established, or the response has ended.
  void HandleReadyForQuery();
  // Reports the outcome of an attempt whose response has ended. Static: the connection may be closed by now.
  static void FinishWithResponse(ConnectionPool& pool, const ServerPool& server,
                                 const std::shared_ptr<Attempt>& attempt, ResponseReader response,
                                 bool complete);
  // The connection has closed, or was never established.
  void HandleConnectionLost();
  // `extended`: whether the response has already been given more time.
  void HandleStalledResponse(bool extended);
  // Fails the attempt as an error of the data server, and closes the connection.
  void FailMalformed(const char* reason);

  net::Loop& loop_;
  ConnectionPool& pool_;
  ServerPool& server_;
  net::DescriptorSlot slot_;
  std::shared_ptr<net::Connection> connection_;
  net::Timer open_timer_;
  net::Timer stall_timer_;
  std::shared_ptr<Attempt> attempt_;
  ResponseReader response_;
  bool ready_ = false;
  bool query_accepted_ = false;  // the connection accepted the query for writing
  TimePoint idle_since_{};
};

// The connections to one data server, and the attempts that wait for one.
struct ServerPool {
  ServerId id{};
  std::optional<net::Address> address;
  std::list<std::shared_ptr<ServerConnection>> connections;
  std::vector<ServerConnection*> idle;  // the most recently used at the end
  std::size_t opening = 0;
  std::deque<std::shared_ptr<Attempt>> waiting;
  bool dispatching = false;
  bool removed = false;  // from the endpoint list
};

}  // namespace lynxgrade::upstream
