#include "upstream/server_connection.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "pg/statement.h"

namespace lynxgrade::upstream {
namespace {

// An error is kept with its connection, to tell copies of it from responses; one that is longer closes it.
constexpr std::size_t kMaxKeptErrorBytes = 1024;
constexpr std::size_t kMaxLoggedMessageBytes = 200;
// From the first byte of a response to its last.
constexpr Duration kResponseCompletionTimeout{100000};
// Between attempts to read the rest of a response that there was no memory for.
constexpr Duration kMemoryRetryInterval{5000};
// Between checks of whether the kernel has sent a statement that has a send deadline.
constexpr Duration kSendCheckInterval{1000};
// For this part of the connect timeout attempts wait for a connection that awaits its barrier; then another
// one is opened for them, with the rest of the time.
constexpr double kBarrierPatienceFraction = 0.4;

// The id in the comment of a client's statement; empty for a health check.
std::string ClientRequestId(std::string_view statement) {
  std::string error;
  const auto comment = pg::ReadComment(statement, error);
  return comment ? std::string(comment->id) : std::string();
}

}  // namespace

ServerConnection::ServerConnection(net::Loop& loop, ConnectionPool& pool, ServerPool& server,
                                   net::DescriptorBudget& budget)
    : loop_(loop),
      pool_(pool),
      server_(server),
      slot_(budget.backends()),
      open_timer_(loop),
      barrier_timer_(loop),
      stall_timer_(loop),
      response_memory_(pool.memory_, 0),
      memory_timer_(loop) {}

ServerConnection::~ServerConnection() { Close(); }

bool ServerConnection::Open(const net::Address& address, Duration timeout, bool* descriptors_exhausted) {
  connection_ = net::Connection::Connect(loop_, address, *this, pg::kMaxBufferBytes, pg::kMaxBufferBytes,
                                         descriptors_exhausted, &pool_.memory_);
  if (connection_ == nullptr) return false;
  // A host that is down sends no reset; this timer ends the attempt to connect.
  open_timer_.ScheduleAt(loop_.PreciseNow() + timeout, [this] { HandleConnectionLost(); });
  return true;
}

void ServerConnection::Close() {
  open_timer_.Cancel();
  barrier_timer_.Cancel();
  stall_timer_.Cancel();
  memory_timer_.Cancel();
  attempt_.reset();
  ReleaseResponseMemory();
  if (connection_ != nullptr) connection_->Close();
}

void ServerConnection::OnConnected() {
  std::string startup;
  pg::AppendStartupMessage(startup, pool_.settings_.user, pool_.settings_.database);
  connection_->Write(startup);
}

void ServerConnection::SendQuery(std::shared_ptr<Attempt> attempt) {
  state_ = State::kRunning;
  attempt_ = std::move(attempt);
  attempt_->connection = this;
  const TimePoint now = loop_.PreciseNow();
  attempt_->sent_at = now;
  attempt_->send_timer.Cancel();
  response_ = ResponseReader(barrier_error_);
  query_accepted_ = false;
  // The time budget in the query is the time that remains when it is written, not at the start of this loop
  // iteration.
  const std::string text = attempt_->is_health_check()
                               ? "SHOW pressure"
                               : attempt_->statement->TextWithBudget(attempt_->deadline - now);
  if (spdlog::should_log(spdlog::level::debug)) LogQueryWritten(text, now);
  std::string query;
  pg::AppendQuery(query, text);
  // The ring buffer holds the largest statement, so only a broken connection rejects it.
  query_accepted_ = connection_->Write(query);
  if (!query_accepted_) return HandleConnectionLost();
  CheckSent();
}

// The clock is read after the check, so that what has been sent was sent by then, however long the process
// was held up before or during the write.
void ServerConnection::CheckSent() {
  const std::shared_ptr<Attempt> attempt = attempt_;
  if (attempt == nullptr || attempt->sent_in_time) return;
  const auto self = shared_from_this();
  const bool has_send_deadline = attempt->send_deadline != TimePoint::max();
  const bool written = AllWritten();
  const bool sent = written && !(has_send_deadline && connection_->HasUnsentBytesInKernel());
  const TimePoint now = loop_.PreciseNow();
  if (now > attempt->send_deadline) {
    return pool_.Abort(attempt, written ? Outcome::kSentLate : Outcome::kSendExpired);
  }
  if (!written && now >= attempt->write_deadline) return pool_.Abort(attempt, Outcome::kUnreachable);
  attempt->sent_in_time = sent;
  const TimePoint deadline = std::min(attempt->write_deadline, attempt->send_deadline);
  if (sent || deadline == TimePoint::max()) return attempt->send_timer.Cancel();
  const TimePoint next = has_send_deadline ? std::min(now + kSendCheckInterval, deadline) : deadline;
  attempt->send_timer.ScheduleAt(next, [this, weak = std::weak_ptr<Attempt>(attempt)] {
    if (weak.lock() == attempt_) CheckSent();
  });
}

// A statement whose last byte has not been written never runs.
bool ServerConnection::MayFlush() {
  if (attempt_ == nullptr) return true;
  const auto self = shared_from_this();
  const TimePoint now = loop_.PreciseNow();
  if (now > attempt_->send_deadline) {
    pool_.Abort(std::shared_ptr(attempt_), Outcome::kSendExpired);
    return false;
  }
  if (now < attempt_->write_deadline) return true;
  pool_.Abort(std::shared_ptr(attempt_), Outcome::kUnreachable);
  return false;
}

bool ServerConnection::MayBeLate(const Attempt& attempt) const {
  return !attempt.sent_in_time && loop_.PreciseNow() > attempt.send_deadline;
}

void ServerConnection::LogQueryWritten(std::string_view text, TimePoint now) const {
  spdlog::debug(
      "data server connection: query written; server={} descriptor={} request={} attempt={} id={} idle_us={} "
      "since_decision_us={}",
      static_cast<std::uint32_t>(server_.id), connection_->descriptor(),
      static_cast<std::uint32_t>(attempt_->request), attempt_->number, ClientRequestId(text),
      (now - idle_since_).count(), (now - attempt_->decided_at).count());
}

void ServerConnection::LogResponse(const Attempt& attempt, const ResponseReader& response) const {
  spdlog::debug(
      "data server connection: response read; server={} descriptor={} request={} attempt={} after_us={} "
      "sqlstate={}",
      static_cast<std::uint32_t>(server_.id), connection_->descriptor(),
      static_cast<std::uint32_t>(attempt.request), attempt.number,
      (loop_.PreciseNow() - *attempt.sent_at).count(),
      response.has_error() ? response.error()->code : "none");
}

void ServerConnection::LogBarrier() const {
  spdlog::debug("data server connection: barrier query answered; server={} descriptor={} after_us={}",
                static_cast<std::uint32_t>(server_.id), connection_->descriptor(),
                (loop_.PreciseNow() - idle_since_).count());
}

void ServerConnection::OnReadable() {
  const auto self = shared_from_this();
  const auto connection = connection_;
  while (!connection->closed()) {
    const pg::Frame frame = pg::ReadFrame(connection->input().Linearize());
    if (frame.framing == pg::Framing::kPartial) break;
    if (frame.framing != pg::Framing::kComplete) return FailMalformed("invalid message framing");
    const ReadResult result = ReadMessage(frame.type, frame.body);
    if (result == ReadResult::kMalformed) return FailMalformed(MalformedCause());
    if (state_ != State::kIdle) response_memory_.Grow(frame.body.size());
    connection->input().Consume(frame.size);
    if (result == ReadResult::kReady) HandleReadyForQuery();
  }
  if (connection->closed()) return;
  if (connection->input().starved()) {
    memory_timer_.ScheduleAfter(kMemoryRetryInterval, [this] { connection_->ResumeReading(); });
  } else {
    connection->ResumeReading();
  }
  // A partial message that is left here would be parsed as the start of the next response.
  if (state_ == State::kIdle && !connection->input().empty())
    return FailMalformed("unexpected bytes on an idle connection");
  // Data servers send a response at once. If a response stalls after its first byte, the attempt is failed
  // early so that there is time left for a retry.
  const bool incomplete = !connection->input().empty() || (attempt_ != nullptr && response_.started());
  if (!incomplete) return stall_timer_.Cancel();
  if (!stall_timer_.armed())
    stall_timer_.ScheduleAfter(kResponseCompletionTimeout,
                               [this] { HandleStalledResponse(/*extended=*/false); });
}

void ServerConnection::HandleStalledResponse(bool extended) {
  // Without memory the response waits in the kernel; only the deadline of the attempt ends that.
  if (connection_->input().starved())
    return stall_timer_.ScheduleAfter(kResponseCompletionTimeout,
                                      [this] { HandleStalledResponse(/*extended=*/false); });
  // The rest may have arrived while this loop was blocked. The time is extended only once, since a response
  // that never ends always has unread input.
  if (!extended && !HasNoUnreadInput())
    return stall_timer_.ScheduleAfter(kResponseCompletionTimeout,
                                      [this] { HandleStalledResponse(/*extended=*/true); });
  FailMalformed("response timed out after its first byte");
}

ReadResult ServerConnection::ReadMessage(char type, std::string_view body) {
  switch (state_) {
    case State::kIdle:
      // ParameterStatus and NoticeResponse may come at any time. An error announces that the server closes
      // the connection.
      return type == 'S' || type == 'N' ? ReadResult::kMore : ReadResult::kMalformed;
    case State::kAwaitingBarrier:
      return barrier_.ReadMessage(type, body);
    case State::kOpening:
    case State::kRunning:
      break;
  }
  return response_.ReadMessage(type, body);
}

const char* ServerConnection::MalformedCause() const {
  switch (state_) {
    case State::kIdle:
      return "unsolicited response";
    case State::kAwaitingBarrier:
      return "unexpected message before the end of the barrier query";
    case State::kOpening:
    case State::kRunning:
      break;
  }
  return "malformed response";
}

void ServerConnection::HandleReadyForQuery() {
  switch (state_) {
    case State::kOpening:
      return HandleOpened();
    case State::kRunning:
      return HandleResponse();
    case State::kAwaitingBarrier:
      return HandleBarrierResponse();
    case State::kIdle:
      break;  // ReadMessage accepts no ReadyForQuery in this state
  }
}

void ServerConnection::HandleOpened() {
  // A copy of that error could be read as the outcome of the first statement.
  if (response_.has_error()) return FailMalformed("startup rejected");
  open_timer_.Cancel();
  idle_since_ = loop_.Now();
  response_ = ResponseReader();
  --server_.opening;
  BecomeIdle();
}

// The attempt is finished before the barrier query is written, so that its client does not wait for that.
void ServerConnection::HandleResponse() {
  if (MayBeLate(*attempt_)) return pool_.Abort(std::shared_ptr(attempt_), Outcome::kSentLate);
  idle_since_ = loop_.Now();
  const std::shared_ptr<Attempt> attempt = std::exchange(attempt_, nullptr);
  ResponseReader response = std::exchange(response_, ResponseReader());
  if (spdlog::should_log(spdlog::level::debug)) LogResponse(*attempt, response);
  state_ = State::kAwaitingBarrier;
  barrier_ = BarrierReader(response.error_body());
  server_.awaiting_barrier.push_back(this);
  const bool complete = response.has_error() || response.complete();
  if (!complete) {
    pool_.LogFault(server_, "incomplete response");
    pool_.CloseConnection(*this);
  } else if (response.error_body().size() > kMaxKeptErrorBytes) {
    pool_.CloseConnection(*this);
  } else {
    CloseOnFurtherInput();
  }
  FinishWithResponse(pool_, server_, attempt, std::move(response), complete);
  ReleaseResponseMemory();
  if (!connection_->closed()) SendBarrierQuery();
  pool_.AssignConnections(server_);
}

void ServerConnection::HandleBarrierResponse() {
  if (spdlog::should_log(spdlog::level::debug)) LogBarrier();
  barrier_timer_.Cancel();
  std::erase(server_.awaiting_barrier, this);
  barrier_error_ = barrier_.error_body();
  if (!barrier_error_.empty()) ++pool_.counts_.barrier_rejections;
  if (barrier_error_.size() <= kMaxKeptErrorBytes) return BecomeIdle();
  pool_.CloseConnection(*this);
  pool_.AssignConnections(server_);
}

bool ServerConnection::CloseOnFurtherInput() {
  if (connection_->input().empty()) return false;
  pool_.LogFault(server_, "bytes after the end of the response");
  pool_.CloseConnection(*this);
  return true;
}

void ServerConnection::ReleaseResponseMemory() {
  response_memory_ = limits::MemoryReservation(pool_.memory_, 0);
}

void ServerConnection::BecomeIdle() {
  state_ = State::kIdle;
  ReleaseResponseMemory();
  if (!CloseOnFurtherInput()) server_.idle.push_back(this);
  pool_.AssignConnections(server_);
}

void ServerConnection::SendBarrierQuery() {
  ++pool_.counts_.barrier_queries;
  std::string query;
  pg::AppendQuery(query, "");
  if (!connection_->Write(query)) return HandleConnectionLost();
  const Duration timeout = pool_.settings_.connect_timeout;
  const auto patience = std::chrono::duration_cast<Duration>(timeout * kBarrierPatienceFraction);
  barrier_timer_.ScheduleAfter(patience, [this, rest = timeout - patience] { HandleLateBarrier(rest); });
}

void ServerConnection::HandleLateBarrier(Duration rest) {
  std::erase(server_.awaiting_barrier, this);
  barrier_timer_.ScheduleAfter(rest, [this] { FailMalformed("barrier query timed out"); });
  pool_.AssignConnections(server_);
}

void ServerConnection::FinishWithResponse(ConnectionPool& pool, const ServerPool& server,
                                          const std::shared_ptr<Attempt>& attempt, ResponseReader response,
                                          bool complete) {
  Outcome outcome = complete ? response.OutcomeAtEnd(true) : Outcome::kError;
  if (attempt->is_health_check()) {
    const auto report = outcome == Outcome::kOk ? ParseLoadReport(response.value()) : std::nullopt;
    if (!report && (outcome == Outcome::kOk || outcome == Outcome::kNotRun)) outcome = Outcome::kError;
    return pool.FinishAttempt(attempt, outcome, response.metadata(), report);
  }
  std::optional<proxy::Response> released;
  if (outcome == Outcome::kOk) released = response.ReleaseResponse();
  const bool failed = outcome == Outcome::kError || outcome == Outcome::kNotRun;
  if (failed && response.has_error() && response.error()->code != "XX000") {
    pool.LogFault(server, "statement failed with SQLSTATE " + response.error()->code + " (" +
                              response.error()->message.substr(0, kMaxLoggedMessageBytes) + ")");
  }
  pool.FinishAttempt(attempt, outcome, response.metadata(), response.report(), std::move(released),
                     response.statement_invalid());
}

void ServerConnection::HandleConnectionLost() {
  const auto self = shared_from_this();
  const std::shared_ptr<Attempt> attempt = attempt_;
  const State lost_state = state_;
  if (lost_state == State::kAwaitingBarrier) ++pool_.counts_.barrier_failures;
  const bool all_written = AllWritten();
  ResponseReader response = std::exchange(response_, ResponseReader());
  pool_.CloseConnection(*this);
  if (attempt != nullptr) {
    Outcome outcome = response.OutcomeAtEnd(all_written);
    if (outcome == Outcome::kOk && MayBeLate(*attempt)) outcome = Outcome::kSentLate;
    std::optional<proxy::Response> released;
    if (outcome == Outcome::kOk) released = response.ReleaseResponse();
    pool_.FinishAttempt(attempt, outcome, response.metadata(), {}, std::move(released),
                        response.statement_invalid());
  } else if (lost_state == State::kOpening && !server_.waiting.empty()) {
    // Each connection is opened for one of the waiting attempts; the first of them has waited longest.
    const std::shared_ptr<Attempt> first = server_.waiting.front();
    pool_.FinishAttempt(first, Outcome::kUnreachable);
  }
  pool_.AssignConnections(server_);
}

void ServerConnection::FailMalformed(const char* reason) {
  const auto self = shared_from_this();
  pool_.LogFault(server_, reason);
  const std::shared_ptr<Attempt> attempt = attempt_;
  if (attempt == nullptr) return HandleConnectionLost();
  pool_.CloseConnection(*this);
  pool_.FinishAttempt(attempt, Outcome::kError);
  pool_.AssignConnections(server_);
}

}  // namespace lynxgrade::upstream
