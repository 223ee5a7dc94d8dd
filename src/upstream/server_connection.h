// A connection to a data server.
#pragma once

#include <memory>
#include <string>

#include "net/connection.h"
#include "net/descriptor_budget.h"
#include "net/loop.h"
#include "upstream/connection_pool.h"
#include "upstream/response_reader.h"

namespace lynxgrade::upstream {

// A connection to a data server, which runs one attempt at a time. After each response it sends a barrier
// query, and only the response to that makes it available to the next attempt: bytes that the data server
// sent beyond the response could otherwise be read as the response to the next query. Owned by the pool
// through a shared_ptr; callbacks hold a reference of their own, because the pool may drop its reference
// during them.
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
  bool opening() const { return state_ == State::kOpening; }
  // When the last response was read: the data server's idle timeout began no earlier.
  TimePoint idle_since() const { return idle_since_; }
  // Whether all input has been read. Unread input on an idle connection is most likely the server's close.
  bool HasNoUnreadInput() const { return !connection_->HasPendingInput(); }
  // Whether the last byte of the current query has been handed to the kernel.
  bool AllWritten() const { return query_accepted_ && connection_->all_written(); }
  void Close();

 private:
  enum class State {
    kOpening,          // until the data server has answered the startup message
    kIdle,             // available to an attempt
    kRunning,          // an attempt's query was sent, and its response is not complete
    kAwaitingBarrier,  // the response is complete, the barrier query is not answered
  };

  void OnConnected() override;
  void OnReadable() override;
  bool OnInputStarved() override { return pool_.memory_.Reclaim(); }
  bool MayFlush() override;
  void OnOutputFlushed() override { CheckSent(); }
  void OnEndOfStream() override { HandleConnectionLost(); }
  void OnDisconnected() override { HandleConnectionLost(); }
  ReadResult ReadMessage(char type, std::string_view body);
  // Checks whether the last byte of the statement has been sent by the deadlines of the attempt. Ends the
  // attempt if it may have been sent later, and checks again if it has not been sent.
  void CheckSent();
  // Whether the last byte may have been sent after the send deadline, as the response is read now.
  bool MayBeLate(const Attempt& attempt) const;
  // Debug log lines, one for each query, each response and each barrier query.
  void LogQueryWritten(std::string_view text, TimePoint now) const;
  void LogResponse(const Attempt& attempt, const ResponseReader& response) const;
  void LogBarrier() const;
  // Called when the data server awaits the next query: after the startup, a response, or the barrier query.
  void HandleReadyForQuery();
  void HandleOpened();
  void HandleResponse();
  void HandleBarrierResponse();
  void ReleaseResponseMemory();
  // Closes the connection and returns true if the pooler has received bytes beyond the end of a response.
  bool CloseOnFurtherInput();
  void BecomeIdle();
  void SendBarrierQuery();
  // Lets no attempt wait for this connection any longer. It is closed after `rest`, unless the barrier query
  // is answered by then.
  void HandleLateBarrier(Duration rest);
  // Reports the outcome of an attempt whose response has ended. Static, since the connection may be closed.
  static void FinishWithResponse(ConnectionPool& pool, const ServerPool& server,
                                 const std::shared_ptr<Attempt>& attempt, ResponseReader response,
                                 bool complete);
  // Called when the connection has closed or could not be established.
  void HandleConnectionLost();
  // `extended`: whether the time of the response has been extended before.
  void HandleStalledResponse(bool extended);
  // The cause to be logged for a malformed message in the present state.
  const char* MalformedCause() const;
  // Fails the attempt as an error of the data server, and closes the connection.
  void FailMalformed(const char* reason);

  net::Loop& loop_;
  ConnectionPool& pool_;
  ServerPool& server_;
  net::DescriptorSlot slot_;
  std::shared_ptr<net::Connection> connection_;
  net::Timer open_timer_;
  net::Timer barrier_timer_;
  net::Timer stall_timer_;
  limits::MemoryReservation response_memory_;  // of messages read since the connection was idle
  net::Timer memory_timer_;                    // until there may be memory to read on
  State state_ = State::kOpening;
  std::shared_ptr<Attempt> attempt_;  // set exactly if kRunning
  ResponseReader response_;           // to the startup message or to the attempt's query
  BarrierReader barrier_;
  std::string barrier_error_;    // with which the data server rejected the last barrier query; or empty
  bool query_accepted_ = false;  // the connection accepted the query for writing
  TimePoint idle_since_{};
};

// The connections to one data server, and the attempts that wait for a connection.
struct ServerPool {
  ServerId id{};
  std::optional<net::Address> address;
  std::list<std::shared_ptr<ServerConnection>> connections;
  std::vector<ServerConnection*> idle;  // the most recently used at the end
  std::vector<ServerConnection*>
      awaiting_barrier;  // about to be idle: their barrier query is not answered yet
  std::size_t opening = 0;
  std::deque<std::shared_ptr<Attempt>> waiting;
  bool assigning_connections = false;  // AssignConnections is running
  bool removed = false;                // from the endpoint list
};

}  // namespace lynxgrade::upstream
