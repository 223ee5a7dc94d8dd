// A client session in the PostgreSQL protocol: requests are processed in order, each with one response.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "frontend/client_presence.h"
#include "frontend/client_request.h"
#include "frontend/request_id_registry.h"
#include "limits/memory_budget.h"
#include "net/connection.h"
#include "net/descriptor_budget.h"
#include "net/loop.h"
#include "proxy/ports.h"

namespace lynxgrade::frontend {

class Frontend;

// The state machine of one client connection. Runs on the thread of the loop. Owned by the frontend through a
// shared_ptr; a member function that may close the session holds a reference to it.
class ClientSession final : public net::Connection::Owner,
                            public proxy::Client,
                            public std::enable_shared_from_this<ClientSession> {
 public:
  ClientSession(Frontend& frontend, net::DescriptorBudget& budget);
  virtual ~ClientSession() = default;
  ClientSession(const ClientSession&) = delete;
  ClientSession& operator=(const ClientSession&) = delete;
  // Takes over an accepted socket. `queued_since`: the earliest time at which its first input may have
  // arrived.
  void Start(net::ObjectPtr<GSocket> socket, TimePoint queued_since);
  // Closes the connection at once and cancels the request in flight, if any.
  void Close();
  // Called when the timeout of the current phase has passed. Closes the session gracefully, or keeps it open
  // if input has arrived in the meantime. A client whose message is incomplete receives an error.
  void Expire();
  // Shuts down the sending side, and discards input until the client closes as well. A close with unread
  // input would reset the connection, and the client could lose the last response.
  void CloseGracefully();
  // Whether all input has been read and processed.
  bool HasNoUnreadInput() const {
    return connection_->input().empty() && !IsDiscarding() && !connection_->HasPendingInput();
  }
  // Frees the memory of a message that is incomplete: its bytes are discarded as they arrive, and it is
  // rejected at its end. Returns false if the session holds no such memory.
  bool DiscardIncompleteMessage();
  // Whether output that the client has not read holds memory.
  bool HoldsUnsentOutput() const { return !connection_->closed() && !connection_->all_written(); }
  // Handles a CancelRequest that was received on another connection at `arrived_at`.
  void Cancel(std::uint32_t secret, TimePoint arrived_at);
  // Aborts the request in flight shortly before the process exits.
  void AbortRequest();

  // Selects the timeout of a session. kAwaitingInput: the startup or a message is incomplete.
  // kSendingResponse: the client has not read the whole response yet. kInFlight: a request is in flight; no
  // timeout applies.
  enum class Phase : std::size_t { kAwaitingInput, kIdle, kSendingResponse, kInFlight, kClosing };
  static constexpr std::size_t kPhaseCount = 5;

 private:
  enum class State { kStartup, kReady, kInFlight, kClosing };

  void OnReadable() override { ProcessInput(); }
  bool OnInputStarved() override;
  void OnOutputFlushed() override;
  void OnEndOfStream() override;
  void OnDisconnected() override { Close(); }
  void OnResponse(const proxy::Response& response) override;
  void OnRejected(Duration retry_after) override;
  void OnFailed() override;
  void OnInvalidStatement() override;
  bool ConfirmPresence() override { return presence_.Confirm(*connection_); }

  friend class Frontend;

  void ProcessInput();
  // Checks that a client is still connected whose input is not being read or has ended.
  void CheckClientPresence();
  void ProcessMessages();
  void UpdatePhase();
  bool IsDiscarding() const { return discard_remaining_ > 0; }
  void StartDiscarding(std::size_t message_size);
  // Discards input of the message that is being discarded, and rejects it once it has ended. Returns whether
  // the next message may follow.
  bool DiscardInput();
  // Reserves memory for a statement. Returns nothing if there is none.
  std::optional<limits::MemoryReservation> ReserveForStatement(std::string_view text);
  bool HandleStartup();
  bool HandleMessage();
  void HandleQuery(std::string_view text);
  void HandleRequest(std::string_view text);
  RequestEvent MakeEvent(const ClientRequest& request, const RequestClass& request_class) const;
  void Write(std::string_view bytes);
  // Ends the request in flight. `how` is for the log.
  void EndRequest(RequestEnd end, std::string_view how);
  RequestEnd EndAfterAnswer() const;
  void SendResponse(std::string& bytes);
  // Cancels the request in flight, whose client has left or has asked for it.
  void CancelRequest();
  void SendRejection(std::string_view message, Duration retry_after);
  void SendError(std::string_view code, std::string_view message, std::string_view detail = {});
  void FailConnection(std::string_view code, std::string_view message);

  Frontend& frontend_;
  net::DescriptorSlot slot_;
  ClientPresence presence_;
  std::shared_ptr<net::Connection> connection_;
  State state_ = State::kStartup;
  bool processing_ = false;
  std::uint32_t process_id_ = 0;  // with secret_, the key for CancelRequest; 0 before startup
  std::uint32_t secret_ = 0;
  RequestId request_id_{};
  TimePoint message_received_at_{};  // when the last byte of the current message arrived
  TimePoint reading_resumed_at_{};   // when reading resumed after the ring buffer was full
  TimePoint last_response_at_{};     // when the response to the last request was written
  TimePoint accept_cancels_from_{};  // an earlier CancelRequest refers to an earlier request
  std::string client_request_id_;    // the client's id of the request in flight
  bool request_idempotent_ = false;  // of the request in flight
  std::size_t discarded_bytes_ = 0;
  std::size_t discard_remaining_ = 0;  // bytes to come of a message that is discarded
  TimePoint discard_message_since_{};  // when its first byte arrived
  net::Timer resume_timer_;
  net::Timer presence_timer_;
  // Maintained by the frontend.
  std::optional<Phase> phase_;
  std::list<ClientSession*>::iterator position_{};
  TimePoint phase_since_{};
};

}  // namespace lynxgrade::frontend
