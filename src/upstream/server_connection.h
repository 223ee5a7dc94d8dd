// A connection to a data server, and the parser of its responses.
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

// Assembles one response from protocol messages and derives the outcome of the attempt from it. Performs no
// I/O.
class ResponseReader {
 public:
  enum class ReadResult { kMore, kReady, kMalformed };

  // Consumes one message. kMore: the response continues; kReady: the data server awaits the next query;
  // kMalformed: the message cannot be parsed or is out of order, and the connection has to be closed.
  ReadResult ReadMessage(char type, std::string_view body);
  bool started() const { return started_; }

  bool has_error() const { return error_.has_value(); }
  const std::optional<pg::ErrorFields>& error() const { return error_; }
  // Whether the data server rejected the statement itself: it was not executed, and every other server would
  // reject it as well.
  bool statement_invalid() const;
  bool complete() const { return row_.has_value() && tag_.has_value() && !has_error(); }
  // The outcome of the attempt if no further message arrives. `all_written`: whether the last byte of the
  // query was sent.
  Outcome OutcomeAtEnd(bool all_written) const;
  ResponseMetadata metadata() const { return metadata_; }
  std::optional<LoadReport> report() const { return report_; }
  // The single value of the row; empty if there is no row.
  std::string_view value() const;
  // Moves the response out. To be called only if the outcome is kOk.
  proxy::Response ReleaseResponse();

 private:
  bool HandleParameterStatus(std::string_view body);

  bool started_ = false;
  std::optional<std::string> description_;
  std::optional<std::string> row_;
  std::optional<std::string> tag_;
  std::optional<pg::ErrorFields> error_;
  ResponseMetadata metadata_;
  std::optional<LoadReport> report_;
};

// Parses a load report such as "x0=1767225600.123,x1=1,util=0.61". x0 is the log position as a Unix time in
// seconds; x1 is 1 on a primary. Returns nothing if the text is malformed.
std::optional<LoadReport> ParseLoadReport(std::string_view text);

// A connection to a data server, which runs one attempt at a time. Owned by the pool through a shared_ptr;
// callbacks hold a reference of their own, because the pool may drop its reference during them.
class ServerConnection final : public net::Connection::Owner,
                               public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(net::Loop& loop, ConnectionPool& pool, ServerPool& server, net::DescriptorBudget& budget);
  virtual ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  // Starts to connect. Returns false if that fails at once; `descriptors_exhausted` is set if the process has
  // no descriptor left.
  bool Open(const net::Address& address, Duration timeout, bool* descriptors_exhausted);
  // Sends the query of an attempt. The connection has to be idle and without unread input.
  void SendQuery(std::shared_ptr<Attempt> attempt);
  ServerPool& server() { return server_; }
  bool ready() const { return ready_; }
  bool idle() const { return ready_ && attempt_ == nullptr; }
  TimePoint idle_since() const { return idle_since_; }
  // Whether all input has been read. Unread input on an idle connection is most likely the server's close.
  bool HasNoUnreadInput() const { return !connection_->HasPendingInput(); }
  // Whether the last byte of the current query has been handed to the kernel.
  bool AllWritten() const { return query_accepted_ && connection_->all_written(); }
  void Close();

 private:
  void OnConnected() override;
  void OnReadable() override;
  void OnEndOfStream() override { HandleConnectionLost(); }
  void OnDisconnected() override { HandleConnectionLost(); }
  bool HandleMessage(char type, std::string_view body);
  // Debug log lines, one for each query and each response.
  void LogQueryWritten(std::string_view text, TimePoint now) const;
  void LogResponse(const Attempt& attempt, const ResponseReader& response) const;
  // Called when the data server awaits the next query: after the startup and after each response.
  void HandleReadyForQuery();
  // Reports the outcome of an attempt whose response has ended. Static, since the connection may be closed.
  static void FinishWithResponse(ConnectionPool& pool, const ServerPool& server,
                                 const std::shared_ptr<Attempt>& attempt, ResponseReader response,
                                 bool complete);
  // Called when the connection has closed or could not be established.
  void HandleConnectionLost();
  // `extended`: whether the time of the response has been extended before.
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

// The connections to one data server, and the attempts that wait for a connection.
struct ServerPool {
  ServerId id{};
  std::optional<net::Address> address;
  std::list<std::shared_ptr<ServerConnection>> connections;
  std::vector<ServerConnection*> idle;  // the most recently used at the end
  std::size_t opening = 0;
  std::deque<std::shared_ptr<Attempt>> waiting;
  bool assigning_connections = false;  // AssignConnections is running
  bool removed = false;                // from the endpoint list
};

}  // namespace lynxgrade::upstream
