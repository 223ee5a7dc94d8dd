#include "frontend/client_session.h"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

#include "frontend/frontend.h"
#include "pg/message.h"

namespace lynxgrade::frontend {
namespace {

// Messages of one client processed per loop iteration, so that a client that pipelines hundreds does not
// starve the others.
constexpr int kMaxMessagesPerIteration = 16;
// Latest Unix time that is accepted as a watermark. A later one would overflow in microseconds.
constexpr std::int64_t kMaxWatermarkMs = std::int64_t{1} << 50;
// Input that is read and discarded while a session closes. If a client sends more, the connection is closed
// at once, and the reset stops the client.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{256} * 1024;
// A statement up to this size needs no memory of the budget.
constexpr std::size_t kSmallStatementBytes = 2048;
// A statement is held as text, and once more by a connection whose data server does not read it at once. Its
// id and the name of its session, which may fill it, are held apart.
constexpr std::size_t kStatementCopies = 3;
// No attempt may start later than 0.1 s after its client has disconnected. One interval takes less than half
// of that, which leaves time for the reset that reveals the disconnect.
constexpr Duration kPresenceCheckInterval{40000};

// Whether the text starts with a word in upper-case letters, in any case.
bool StartsWithWord(std::string_view text, std::string_view word) {
  if (text.size() < word.size()) return false;
  for (std::size_t i = 0; i < word.size(); ++i) {
    if ((text[i] & ~0x20) != word[i]) return false;
  }
  return text.size() == word.size() || text[word.size()] == ' ' || text[word.size()] == ';';
}

// Returns an unpredictable secret key for CancelRequest. Throws std::system_error if the kernel returns no
// random bytes.
std::uint32_t RandomSecret() {
  std::uint32_t secret = 0;
  if (getentropy(&secret, sizeof secret) != 0) {
    throw std::system_error(errno, std::generic_category(), "getentropy failed");
  }
  return secret;
}

}  // namespace

ClientSession::ClientSession(Frontend& frontend, net::DescriptorBudget& budget)
    : frontend_(frontend),
      slot_(budget.clients()),
      presence_(frontend.loop_),
      resume_timer_(frontend.loop_),
      presence_timer_(frontend.loop_) {}

void ClientSession::Start(net::ObjectPtr<GSocket> socket, TimePoint queued_since) {
  connection_ = net::Connection::Adopt(frontend_.loop_, std::move(socket), *this, pg::kMaxBufferBytes,
                                       pg::kMaxBufferBytes, &frontend_.memory_);
  connection_->RecordArrivalTimes(queued_since);
}

void ClientSession::Close() {
  if (connection_->closed()) return;
  connection_->Close();
  resume_timer_.Cancel();
  presence_timer_.Cancel();
  if (state_ == State::kInFlight) CancelRequest();
  frontend_.RemoveSession(*this);
}

void ClientSession::Expire() {
  ClosedClientCounts& closed = frontend_.closed_clients_;
  if (phase_ == Phase::kSendingResponse) ++closed.unread_response;
  if (phase_ == Phase::kClosing || phase_ == Phase::kSendingResponse) return Close();
  if (connection_->input().empty() && !IsDiscarding()) {
    // Input that has arrived is processed in this loop iteration or the next and receives a response instead
    // of a close. An incomplete message, on the other hand, has timed out even if more of it arrives.
    if (connection_->HasPendingInput()) return frontend_.MoveToPhase(*this, *phase_, frontend_.loop_.Now());
    ++(phase_ == Phase::kIdle ? closed.idle : closed.incomplete_input);
    return CloseGracefully();
  }
  ++closed.incomplete_input;
  if (frontend_.stopping()) return FailConnection("57P03", "the pooler is stopping");
  FailConnection("08P01", "a message was begun and not ended in time");
}

void ClientSession::CloseGracefully() {
  if (connection_->closed()) return;
  state_ = State::kClosing;
  connection_->ShutdownSending();
  connection_->ResumeReading();
  UpdatePhase();
}

// A CancelRequest that arrived before this request started, or before the previous response was sent, refers
// to an earlier request.
void ClientSession::Cancel(std::uint32_t secret, TimePoint arrived_at) {
  if (secret != secret_ || state_ != State::kInFlight || arrived_at < accept_cancels_from_) return;
  CancelRequest();
  SendError("57014", "canceling statement due to user request");
}

void ClientSession::CancelRequest() {
  const bool attempted = frontend_.proxy_.CancelRequest(request_id_);
  EndRequest(attempted ? RequestEnd::kMayHaveRun : RequestEnd::kRepeatable, "cancelled");
}

void ClientSession::AbortRequest() {
  if (state_ == State::kInFlight) frontend_.proxy_.AbortRequest(request_id_);
}

// Processes one request at a time: later ones stay in the ring buffer until the response is written, and a
// full ring buffer pauses reading.
void ClientSession::ProcessInput() {
  if (processing_) return;
  const auto self = shared_from_this();
  const auto connection = connection_;
  processing_ = true;
  ProcessMessages();
  processing_ = false;
  if (connection->closed()) return;
  if (state_ == State::kClosing) {
    discarded_bytes_ += connection->input().size();
    connection->Consume(connection->input().size());
    if (connection->end_of_stream() || discarded_bytes_ > kMaxDiscardedBytes) return Close();
  }
  const bool resume_scheduled = resume_timer_.armed();
  if (state_ != State::kInFlight && !resume_scheduled && connection->end_of_stream() &&
      connection->all_written()) {
    return Close();
  }
  UpdatePhase();
  const bool has_room = connection->input().free_space() > 0 && !connection->input().starved();
  if (has_room && connection->reading_paused()) {
    reading_resumed_at_ = frontend_.loop_.Now();
    connection->ResumeReading();
  }
  const bool client_unobserved = connection->end_of_stream() || !has_room;
  if (state_ == State::kInFlight && client_unobserved && !presence_timer_.armed()) {
    presence_timer_.ScheduleAfter(kPresenceCheckInterval, [this] { CheckClientPresence(); });
  }
  // During a shutdown, the session closes between two requests if no further input has arrived.
  if (frontend_.stopping() && state_ == State::kReady && !resume_scheduled && connection->all_written() &&
      HasNoUnreadInput())
    CloseGracefully();
}

void ClientSession::CheckClientPresence() {
  if (state_ != State::kInFlight) return;
  connection_->RecordUnreadArrivals();
  presence_timer_.ScheduleAfter(kPresenceCheckInterval, [this] { CheckClientPresence(); });
  presence_.Probe(*connection_);
}

void ClientSession::ProcessMessages() {
  resume_timer_.Cancel();
  for (int processed = 0; !connection_->closed() && connection_->all_written(); ++processed) {
    if (state_ == State::kInFlight || state_ == State::kClosing || connection_->input().empty()) return;
    if (IsDiscarding() && !DiscardInput()) return;
    if (connection_->input().empty()) return;
    if (processed == kMaxMessagesPerIteration)
      return resume_timer_.ScheduleAfter(Duration{0}, [this] { ProcessInput(); });
    if (!(state_ == State::kStartup ? HandleStartup() : HandleMessage())) return;
  }
}

// Derives the phase from the state. The timeout of an incomplete message counts from its first byte.
void ClientSession::UpdatePhase() {
  Phase phase = Phase::kIdle;
  if (state_ == State::kClosing) {
    phase = Phase::kClosing;
  } else if (state_ == State::kInFlight) {
    phase = Phase::kInFlight;
  } else if (!connection_->all_written()) {
    phase = Phase::kSendingResponse;
  } else if (state_ == State::kStartup || IsDiscarding() || !connection_->input().empty()) {
    phase = Phase::kAwaitingInput;
  }
  const TimePoint now = frontend_.loop_.Now();
  if (phase == Phase::kAwaitingInput && IsDiscarding()) {
    if (phase != phase_) frontend_.MoveToPhase(*this, phase, discard_message_since_);
  } else if (phase == Phase::kAwaitingInput && state_ != State::kStartup) {
    // The first byte may have arrived while the previous request was in flight. The time during which reading
    // was paused does not count.
    const TimePoint message_started_at = std::max(connection_->ArrivalTime(0), reading_resumed_at_);
    if (phase != phase_ || message_started_at != phase_since_)
      frontend_.MoveToPhase(*this, phase, message_started_at);
  } else if (phase != phase_ || phase == Phase::kIdle) {
    frontend_.MoveToPhase(*this, phase, now);
  }
}

void ClientSession::OnOutputFlushed() { ProcessInput(); }

// A client that has closed cannot be distinguished from one that has only shut down its sending side and
// still awaits the response, until something is written to it.
void ClientSession::OnEndOfStream() {
  if (state_ != State::kInFlight) return ProcessInput();
  CheckClientPresence();
}

// While a request is in flight or a response is not sent, the client's further input can wait in the kernel.
bool ClientSession::OnInputStarved() {
  if (state_ == State::kInFlight || state_ == State::kClosing || !connection_->all_written()) return false;
  return frontend_.ReclaimMemory(this);
}

bool ClientSession::DiscardIncompleteMessage() {
  if (processing_ || state_ != State::kReady || IsDiscarding() || !connection_->all_written()) return false;
  if (!connection_->input().holds_large_block()) return false;
  const pg::Frame frame = pg::ReadFrame(connection_->input().Linearize());
  if (frame.framing != pg::Framing::kPartial || frame.announced_size == 0) return false;
  StartDiscarding(frame.announced_size);
  ProcessInput();
  return true;
}

void ClientSession::StartDiscarding(std::size_t message_size) {
  discard_remaining_ = message_size;
  discard_message_since_ = std::max(connection_->ArrivalTime(0), reading_resumed_at_);
  ++frontend_.memory_counts_.discarded_messages;
}

bool ClientSession::DiscardInput() {
  const std::size_t count = std::min(discard_remaining_, connection_->input().size());
  connection_->Consume(count);
  discard_remaining_ -= count;
  if (discard_remaining_ > 0) return false;
  SendRejection("too little memory to receive this message", frontend_.memory_retry_after_);
  return true;
}

std::optional<limits::MemoryReservation> ClientSession::ReserveForStatement(std::string_view text) {
  if (text.size() <= kSmallStatementBytes) return limits::MemoryReservation();
  const std::size_t bytes = text.size() * kStatementCopies;
  while (!frontend_.memory_.TryReserve(bytes, limits::MemoryUse::kRequest)) {
    if (!frontend_.ReclaimMemory(this)) return std::nullopt;
  }
  return limits::MemoryReservation(frontend_.memory_, bytes);
}

bool ClientSession::HandleStartup() {
  const pg::Frame frame = pg::ReadStartupFrame(connection_->input().Linearize());
  if (frame.framing == pg::Framing::kPartial) {
    if (connection_->input().starved()) FailConnection("53300", "too little memory for this startup packet");
    return false;
  }
  if (frame.framing != pg::Framing::kComplete) {
    FailConnection("08P01", "invalid length of startup packet");
    return false;
  }
  const pg::Startup startup = pg::ReadStartupMessage(frame.body);
  message_received_at_ = connection_->ArrivalTime(frame.size - 1);
  connection_->Consume(frame.size);
  switch (startup.kind) {
    case pg::StartupKind::kSsl:
    case pg::StartupKind::kGssEncryption:
      Write("N");
      return true;
    case pg::StartupKind::kCancel:  // gets no response, and is closed whether or not the key is valid
      frontend_.Cancel(startup.process_id, startup.secret_key, message_received_at_);
      CloseGracefully();
      return false;
    case pg::StartupKind::kUnsupported:
      FailConnection("0A000", "unsupported frontend protocol: only version 3 is spoken here");
      return false;
    case pg::StartupKind::kMalformed:
      FailConnection("08P01", "invalid startup packet layout");
      return false;
    case pg::StartupKind::kStartup:
      break;
  }
  std::string response;
  if (startup.minor_version > 0) pg::AppendNegotiateProtocolVersion(response, 3u << 16);
  pg::AppendAuthenticationOk(response);
  pg::AppendParameterStatus(response, "server_version", "15.0");
  pg::AppendParameterStatus(response, "server_encoding", "UTF8");
  pg::AppendParameterStatus(response, "client_encoding", "UTF8");
  pg::AppendParameterStatus(response, "standard_conforming_strings", "on");
  process_id_ = frontend_.AssignProcessId(*this);
  secret_ = RandomSecret();
  pg::AppendBackendKeyData(response, process_id_, secret_);
  pg::AppendReadyForQuery(response);
  state_ = State::kReady;
  Write(response);
  return true;
}

bool ClientSession::HandleMessage() {
  const pg::Frame frame = pg::ReadFrame(connection_->input().Linearize());
  switch (frame.framing) {
    case pg::Framing::kPartial:
      if (!connection_->input().starved()) return false;
      StartDiscarding(frame.announced_size);
      return DiscardInput();
    case pg::Framing::kTooLong:
      FailConnection("08P01", "a message is longer than any that is taken here");
      return false;
    case pg::Framing::kMalformed:
      FailConnection("08P01", "invalid frontend message");
      return false;
    case pg::Framing::kComplete:
      break;
  }
  if (frame.type == 'X') {  // Terminate
    Close();
    return false;
  }
  if (frame.type != 'Q') {  // Query
    // The other message types of the protocol are unsupported; any other byte is a protocol violation.
    const bool known = std::string_view("PBDECSHFdcfp").find(frame.type) != std::string_view::npos;
    FailConnection(known ? "0A000" : "08P01",
                   known ? "only simple queries are supported" : "unknown message type");
    return false;
  }
  const auto text = pg::ReadQuery(frame.body);
  if (!text) {
    FailConnection("08P01", "a query without its end");
    return false;
  }
  message_received_at_ = connection_->ArrivalTime(frame.size - 1);
  HandleQuery(*text);
  if (!connection_->closed()) connection_->Consume(frame.size);
  return true;
}

void ClientSession::HandleQuery(std::string_view text) {
  const std::size_t start = text.find_first_not_of(" \t\r\n;");
  std::string out;
  if (start == std::string_view::npos) {
    // The load balancer takes this response as the pooler's readiness: it is sent only once requests can be
    // served.
    if (!frontend_.ready()) return SendError("57P03", "the pooler is starting up");
    pg::AppendEmptyQueryResponse(out);
    return SendResponse(out);
  }
  const std::string_view query = text.substr(start);
  for (const std::string_view word : {"SET", "RESET", "DISCARD"}) {
    if (!StartsWithWord(query, word)) continue;
    pg::AppendCommandComplete(out, word);
    return SendResponse(out);
  }
  HandleRequest(text);
}

void ClientSession::HandleRequest(std::string_view text) {
  const auto read = frontend_.request_catalog_.Read(text);
  if (!read) return SendError(read.error().sqlstate, read.error().message);
  const pg::Comment& comment = read->statement->comment();
  // Data servers would treat a second request with the same id as a retry of the first.
  switch (frontend_.request_ids_.Find(comment.id, frontend_.loop_.Now())) {
    case RequestIdRegistry::IdState::kUnknown:
      break;
    case RequestIdRegistry::IdState::kInFlight:
      return SendError("22023", "a request of this id is open already");
    case RequestIdRegistry::IdState::kMayHaveRun:
      return SendError("22023", "a request of this id may have run already");
  }
  auto memory = ReserveForStatement(text);
  if (!memory) {
    ++frontend_.memory_counts_.rejected_requests;
    return SendRejection("too little memory for this statement", frontend_.memory_retry_after_);
  }
  read->statement->HoldMemory(std::move(*memory));
  const RequestClass& request_class = frontend_.request_catalog_.ClassOf(*read);
  proxy::Request request{MakeEvent(*read, request_class), read->statement};
  presence_.RecordArrival(message_received_at_);
  state_ = State::kInFlight;
  connection_->input().SetUse(limits::MemoryUse::kQueuedInput);
  accept_cancels_from_ = std::max(frontend_.loop_.Now(), last_response_at_ + Duration(1));
  request_idempotent_ = request_class.idempotency == Idempotency::kIdempotent;
  client_request_id_ = std::string(comment.id);
  frontend_.request_ids_.Begin(client_request_id_);
  UpdatePhase();  // first, because starting the request may close idle sessions to free a descriptor
  frontend_.proxy_.StartRequest(std::move(request), *this, request_id_);
}

RequestEvent ClientSession::MakeEvent(const ClientRequest& request, const RequestClass& request_class) const {
  const pg::Comment& comment = request.statement->comment();
  RequestEvent event;
  event.group = GroupId(*comment.group);
  event.request_class = request.request_class;
  event.tenant = request.tenant;
  if (request_class.kind == AccessKind::kWrite || request_class.kind == AccessKind::kSessionRead)
    event.session = comment.object_id;
  // The client sends the watermark of its session. One in the future cannot stem from a write and is clamped.
  if (request_class.kind == AccessKind::kSessionRead && comment.session_write_ms) {
    const LogPosition after{std::chrono::milliseconds(std::min(*comment.session_write_ms, kMaxWatermarkMs))};
    event.required_position = std::min(after, frontend_.loop_.Now());
  }
  event.is_retry = comment.is_retry;
  // The budget counts from the arrival of the last byte, so it includes the time queued behind other
  // requests. The balancer rejects a request whose budget is used up.
  event.waited = std::max(Duration{0}, frontend_.loop_.Now() - message_received_at_);
  event.time_left =
      frontend_.LimitToShutdown(std::chrono::milliseconds(*comment.time_budget_ms) - event.waited);
  return event;
}

void ClientSession::OnResponse(const proxy::Response& response) {
  EndRequest(EndAfterAnswer(), "served");
  std::string out;
  out.reserve(response.row_description.size() + response.data_row.size() + response.command_tag.size() + 32);
  pg::AppendMessage(out, 'T', response.row_description);
  pg::AppendMessage(out, 'D', response.data_row);
  pg::AppendMessage(out, 'C', response.command_tag);
  SendResponse(out);
}

// The SQLSTATE tells the client that a retry is safe; the detail is the Retry-After in milliseconds.
void ClientSession::OnRejected(Duration retry_after) {
  EndRequest(RequestEnd::kRepeatable, "rejected");
  SendRejection("too much to do to answer in time", retry_after);
}

void ClientSession::SendRejection(std::string_view message, Duration retry_after) {
  const std::int64_t ms = (retry_after.count() + 999) / 1000;
  SendError("53300", message, ms > 0 ? std::to_string(ms) : std::string());
}

void ClientSession::OnFailed() {
  EndRequest(EndAfterAnswer(), "failed");
  SendError("58000", "no data server has answered; whether it has run is not known");
}

void ClientSession::OnInvalidStatement() {
  EndRequest(RequestEnd::kRepeatable, "invalid statement");
  SendError("42601", "the data server cannot use this statement");
}

// A client that has its answer may send an idempotent request again.
RequestEnd ClientSession::EndAfterAnswer() const {
  return request_idempotent_ ? RequestEnd::kRepeatable : RequestEnd::kMayHaveRun;
}

void ClientSession::EndRequest(RequestEnd end, std::string_view how) {
  spdlog::debug("client request: {}; request={} id={} after_us={}", how,
                static_cast<std::uint32_t>(request_id_), client_request_id_,
                (frontend_.loop_.PreciseNow() - message_received_at_).count());
  frontend_.request_ids_.End(client_request_id_, end, frontend_.loop_.Now());
  std::string().swap(client_request_id_);  // frees its memory, unlike an assignment
  last_response_at_ = frontend_.loop_.Now();
  state_ = State::kReady;
  connection_->input().SetUse(limits::MemoryUse::kRequest);
}

void ClientSession::SendError(std::string_view code, std::string_view message, std::string_view detail) {
  std::string out;
  pg::AppendErrorResponse(out, "ERROR", code, message, detail);
  SendResponse(out);
}

// Continues with the input that has arrived in the meantime.
void ClientSession::SendResponse(std::string& bytes) {
  pg::AppendReadyForQuery(bytes);
  const auto self = shared_from_this();
  Write(bytes);
  if (!connection_->closed()) ProcessInput();
}

void ClientSession::Write(std::string_view bytes) {
  if (connection_->Write(bytes)) return;
  Close();  // the ring buffer holds the largest response, so the connection is broken
}

void ClientSession::FailConnection(std::string_view code, std::string_view message) {
  ++frontend_.closed_clients_.protocol_errors;
  std::uint64_t suppressed = 0;
  if (frontend_.error_log_limit_.Allows(suppressed)) {
    spdlog::info("client connection failed: cause=\"{}\" sqlstate={} suppressed={}", message, code,
                 suppressed);
  }
  std::string out;
  pg::AppendErrorResponse(out, "FATAL", code, message);
  Write(out);
  if (connection_->closed()) return;
  CloseGracefully();
}

}  // namespace lynxgrade::frontend
