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

// Messages taken at a time: a client that sends hundreds at once must not keep the others waiting.
constexpr int kTakenAtOnce = 16;
constexpr std::int64_t kMostMs = std::int64_t{1} << 50;  // of a Unix time: later ones would overflow in us
// What a client may still send after it was told to go. More is not worth reading: the connection is closed
// on it, and the reset stops the sender.
constexpr std::size_t kThrownAway = 256 * 1024;
// A client that has gone is owed no attempt 0.1 s later: one look in half of that, and what brings its end.
constexpr Duration kLookEvery{40000};

bool StartsWithWord(std::string_view text, std::string_view word) {
  if (text.size() < word.size()) return false;
  for (std::size_t i = 0; i < word.size(); ++i) {
    if ((text[i] & ~0x20) != word[i]) return false;
  }
  return text.size() == word.size() || text[word.size()] == ' ' || text[word.size()] == ';';
}

template <typename Names>
std::optional<std::uint32_t> IndexOf(const Names& names, std::string_view name) {
  const auto it = std::ranges::find(names, name);
  if (it == names.end()) return std::nullopt;
  return static_cast<std::uint32_t>(it - names.begin());
}

// A secret that nobody can guess who was not told it.
std::uint32_t Secret() {
  std::uint32_t secret = 0;
  if (getentropy(&secret, sizeof secret) != 0) {
    throw std::system_error(errno, std::generic_category(), "no random bytes to be had");
  }
  return secret;
}

}  // namespace

std::shared_ptr<const StatementWork> StatementWork::Read(std::string_view statement, std::string& wrong) {
  auto work = std::make_shared<StatementWork>();
  work->text_ = std::string(statement);
  const auto comment = pg::ReadComment(work->text_, wrong);
  if (!comment) return nullptr;
  work->comment_ = *comment;
  return work;
}

std::string StatementWork::TextFor(Duration left) const {
  return pg::WithBudget(text_, comment_, std::max<std::int64_t>(1, left.count() / 1000));
}

Session::Session(Front& front, net::DescriptorBudget& budget)
    : front_(front), slot_(budget.clients()), again_(front.loop_), look_(front.loop_) {}

void Session::Begin(net::ObjectPtr<GSocket> socket, TimePoint queued_since) {
  connection_ =
      net::Connection::Adopt(front_.loop_, std::move(socket), *this, pg::kRingLimit, pg::kRingLimit);
  connection_->KeepArrivals(queued_since);
}

void Session::Close() {
  if (connection_->closed()) return;
  connection_->Close();
  again_.Clear();
  look_.Clear();
  if (state_ == State::kAsking) {
    state_ = State::kReady;
    front_.open_ids_.erase(id_);
    front_.proxy_.Withdraw(request_);
  }
  front_.Closed(*this);
}

void Session::Expire() {
  if (shelf_ == Shelf::kLeaving || shelf_ == Shelf::kUnread) return Close();
  if (connection_->in().empty()) {
    // What has come is read in this turn or the next: it is owed an answer, not a close. But a message that
    // was begun has had its time, however it trickles on.
    return connection_->SomethingCame() ? front_.Place(*this, *shelf_, front_.loop_.Now()) : Leave();
  }
  if (front_.leaving()) return Fatal("57P03", "the pooler is stopping");
  Fatal("08P01", "a message was begun and not ended in time");
}

void Session::Leave() {
  if (connection_->closed()) return;
  state_ = State::kLeaving;
  connection_->EndSending();
  connection_->ResumeReading();
  Shelve();
}

// A CancelRequest that had come before this request was taken, or before the one ahead of it was answered,
// means an earlier one.
void Session::Cancel(std::uint32_t secret, TimePoint came) {
  if (secret != secret_ || state_ != State::kAsking || came < cancels_from_) return;
  front_.proxy_.Withdraw(request_);
  AnswerError("57014", "canceling statement due to user request");
}

void Session::GiveUp() {
  if (state_ == State::kAsking) front_.proxy_.GiveUp(request_);
}

// Takes what has come, one request at a time: later ones stay in the ring until the answer is written, and a
// full ring stops the reading.
void Session::Work() {
  if (working_) return;
  const auto self = shared_from_this();
  const auto connection = connection_;
  working_ = true;
  TakeSome();
  working_ = false;
  if (connection->closed()) return;
  if (state_ == State::kLeaving) {
    thrown_away_ += connection->in().size();
    connection->Consume(connection->in().size());
    if (connection->peer_done() || thrown_away_ > kThrownAway) return Close();
  }
  const bool later = again_.armed();
  if (state_ != State::kAsking && !later && connection->peer_done() && connection->all_written()) {
    return Close();
  }
  Shelve();
  if (connection->in().room() > 0 && connection->paused()) {
    read_from_ = front_.loop_.Now();
    connection->ResumeReading();
  }
  const bool unheard = connection->peer_done() || connection->in().room() == 0;
  if (state_ == State::kAsking && unheard && !look_.armed()) {
    look_.After(kLookEvery, [this] { Look(); });
  }
  // Between requests of a program that stops, and nothing more has come that could be answered.
  if (front_.leaving() && state_ == State::kReady && !later && connection->all_written() && Quiet()) Leave();
}

// A notice, which every client skips, brings a reset from one that has closed. Nothing else tells of it: the
// end of sending came before, or waits behind bytes for which the ring has no room.
void Session::Look() {
  if (state_ != State::kAsking) return;
  std::string notice;
  pg::AppendNotice(notice, "still at work");
  connection_->LookAhead();
  look_.After(kLookEvery, [this] { Look(); });
  Write(notice);
}

void Session::TakeSome() {
  again_.Clear();
  for (int taken = 0; !connection_->closed() && connection_->all_written(); ++taken) {
    if (state_ == State::kAsking || state_ == State::kLeaving || connection_->in().empty()) return;
    if (taken == kTakenAtOnce) return again_.After(Duration{0}, [this] { Work(); });
    if (!(state_ == State::kStartup ? TakeStartup() : TakeMessage())) return;
  }
}

// Where it stands with the front. A message that was begun has to be ended in time, whatever comes meanwhile.
void Session::Shelve() {
  Shelf shelf = Shelf::kIdle;
  if (state_ == State::kLeaving) {
    shelf = Shelf::kLeaving;
  } else if (state_ == State::kAsking) {
    shelf = Shelf::kServed;
  } else if (!connection_->all_written()) {
    shelf = Shelf::kUnread;
  } else if (state_ == State::kStartup || !connection_->in().empty()) {
    shelf = Shelf::kSilent;
  }
  const TimePoint now = front_.loop_.Now();
  if (shelf == Shelf::kSilent && state_ != State::kStartup) {
    // From its first byte, which may have come while the request before it was served; but not from before
    // its rest could be read.
    const TimePoint began = std::max(connection_->CameAt(0), read_from_);
    if (shelf != shelf_ || began != since_) front_.Place(*this, shelf, began);
  } else if (shelf != shelf_ || shelf == Shelf::kIdle) {
    front_.Place(*this, shelf, now);
  }
}

void Session::OnWritten() { Work(); }

// A client that has closed is gone, but one that has only ended its sending still wants its answer, and may
// close later. They look alike from here until something is written.
void Session::OnPeerDone() {
  if (state_ != State::kAsking) return Work();
  Look();
}

bool Session::TakeStartup() {
  const pg::Frame frame = pg::ReadStartupFrame(connection_->in().All());
  if (frame.framing == pg::Framing::kPartial) return false;
  if (frame.framing != pg::Framing::kWhole) {
    Fatal("08P01", "invalid length of startup packet");
    return false;
  }
  const pg::Startup startup = pg::ReadStartup(frame.body);
  came_ = connection_->CameAt(frame.size - 1);
  connection_->Consume(frame.size);
  switch (startup.kind) {
    case pg::StartupKind::kSsl:
    case pg::StartupKind::kGssEncryption:
      Write("N");
      return true;
    case pg::StartupKind::kCancel:  // answered by a close alone, whether or not the key is anybody's
      front_.Cancel(startup.process, startup.secret, came_);
      Leave();
      return false;
    case pg::StartupKind::kUnsupported:
      Fatal("0A000", "unsupported frontend protocol: only version 3 is spoken here");
      return false;
    case pg::StartupKind::kMalformed:
      Fatal("08P01", "invalid startup packet layout");
      return false;
    case pg::StartupKind::kStart:
      break;
  }
  std::string hello;
  if (startup.minor > 0) pg::AppendNegotiate(hello, 3u << 16);
  pg::AppendAuthenticationOk(hello);
  pg::AppendStatus(hello, "server_version", "15.0");
  pg::AppendStatus(hello, "server_encoding", "UTF8");
  pg::AppendStatus(hello, "client_encoding", "UTF8");
  pg::AppendStatus(hello, "standard_conforming_strings", "on");
  process_ = front_.NewKey(*this);
  secret_ = Secret();
  pg::AppendBackendKey(hello, process_, secret_);
  pg::AppendReady(hello);
  state_ = State::kReady;
  Write(hello);
  return true;
}

bool Session::TakeMessage() {
  const pg::Frame frame = pg::ReadFrame(connection_->in().All());
  switch (frame.framing) {
    case pg::Framing::kPartial:
      return false;
    case pg::Framing::kTooLong:
      Fatal("08P01", "a message is longer than any that is taken here");
      return false;
    case pg::Framing::kMalformed:
      Fatal("08P01", "invalid frontend message");
      return false;
    case pg::Framing::kWhole:
      break;
  }
  if (frame.type == 'X') {
    Close();
    return false;
  }
  if (frame.type != 'Q') {
    const bool known = std::string_view("PBDECSHFdcfp").find(frame.type) != std::string_view::npos;
    Fatal(known ? "0A000" : "08P01", known ? "only simple queries are supported" : "unknown message type");
    return false;
  }
  const auto text = pg::ReadQuery(frame.body);
  if (!text) {
    Fatal("08P01", "a query without its end");
    return false;
  }
  came_ = connection_->CameAt(frame.size - 1);
  TakeQuery(*text);
  if (!connection_->closed()) connection_->Consume(frame.size);
  return true;
}

void Session::TakeQuery(std::string_view text) {
  const std::size_t from = text.find_first_not_of(" \t\r\n;");
  std::string out;
  if (from == std::string_view::npos) {
    // The front layer takes a pooler in by this answer: it is given only once requests can be served.
    if (!front_.ready()) return AnswerError("57P03", "the pooler is starting up");
    pg::AppendEmptyQuery(out);
    return Answer(out);
  }
  const std::string_view rest = text.substr(from);
  for (const std::string_view word : {"SET", "RESET", "DISCARD"}) {
    if (!StartsWithWord(rest, word)) continue;
    pg::AppendComplete(out, word);
    return Answer(out);
  }
  TakeRequest(text);
}

void Session::TakeRequest(std::string_view text) {
  std::string wrong;
  const auto work = StatementWork::Read(text, wrong);
  if (work == nullptr) return AnswerError("42601", wrong);
  const pg::Comment& comment = work->comment();
  if (comment.id.empty()) return AnswerError("22023", "the comment names no id");
  if (!comment.cluster) return AnswerError("22023", "the comment names no cluster");
  if (!comment.budget_ms || *comment.budget_ms > 3600000) {
    return AnswerError("22023", "the comment gives no time that a client would wait");
  }
  const auto cls = IndexOf(front_.classes_, comment.cls);
  if (!cls) return AnswerError("22023", "the class is not known here");
  const auto tenant = IndexOf(front_.tenants_, comment.tenant);
  if (!tenant && !(front_.tenants_.empty() && comment.tenant.empty())) {
    return AnswerError("22023", "the tenant is not known here");
  }
  const RequestClass& kind = front_.kinds_[*cls];
  if (kind.idempotency == Idempotency::kIdempotencyKey && comment.key.empty()) {
    return AnswerError("22023", "the class is keyed, and the comment names no key");
  }
  // The answers could not be told apart, and data servers would take the second for a repeat of the first.
  std::string id(comment.id);
  if (front_.open_ids_.contains(id)) return AnswerError("22023", "a request of this id is open already");
  proxy::Ask ask;
  ask.event.group = GroupId(*comment.cluster);
  ask.event.request_class = *cls;
  ask.event.tenant = tenant.value_or(0);
  if (kind.kind == AccessKind::kWrite || kind.kind == AccessKind::kSessionRead)
    ask.event.session = comment.object;
  // Of a session that carries its newest write; a time that has not come is nobody's write.
  if (kind.kind == AccessKind::kSessionRead && comment.after_ms) {
    const LogPosition after{std::chrono::milliseconds(std::min(*comment.after_ms, kMostMs))};
    ask.event.required_position = std::min(after, front_.loop_.Now());
  }
  ask.event.is_retry = comment.retry;
  // Its client's time has run since its last byte came, however long it waited here behind others. Where that
  // is over the module turns it away at once.
  ask.event.waited = std::max(Duration{0}, front_.loop_.Now() - came_);
  ask.event.time_left = front_.Within(std::chrono::milliseconds(*comment.budget_ms) - ask.event.waited);
  ask.work = work;
  state_ = State::kAsking;
  cancels_from_ = std::max(front_.loop_.Now(), answered_ + Duration(1));
  front_.open_ids_.insert(id);
  id_ = std::move(id);
  Shelve();  // from here on it is not one to be closed for the descriptor that its own request needs
  front_.proxy_.Take(std::move(ask), *this, request_);
}

void Session::Served(const proxy::Answer& answer) {
  std::string out;
  out.reserve(answer.description.size() + answer.row.size() + answer.tag.size() + 32);
  pg::AppendMessage(out, 'T', answer.description);
  pg::AppendMessage(out, 'D', answer.row);
  pg::AppendMessage(out, 'C', answer.tag);
  Answer(out);
}

// What the client should know of a refusal is that trying again does no harm, and when that is worth it.
void Session::Refused(Duration come_back) {
  const std::int64_t ms = (come_back.count() + 999) / 1000;
  AnswerError("53300", "too much to do to answer in time", ms > 0 ? std::to_string(ms) : std::string());
}

void Session::Failed() {
  AnswerError("58000", "no data server has answered; whether it has run is not known");
}

void Session::Unusable() { AnswerError("42601", "the data server cannot use this statement"); }

void Session::AnswerError(std::string_view code, std::string_view message, std::string_view detail) {
  std::string out;
  pg::AppendError(out, "ERROR", code, message, detail);
  Answer(out);
}

// Ends the request being answered, if there is one, and goes on with what the client has sent meanwhile.
void Session::Answer(std::string& bytes) {
  if (state_ == State::kAsking) {
    front_.open_ids_.erase(id_);
    answered_ = front_.loop_.Now();
  }
  state_ = State::kReady;
  pg::AppendReady(bytes);
  const auto self = shared_from_this();
  Write(bytes);
  if (!connection_->closed()) Work();
}

void Session::Write(std::string_view bytes) {
  if (connection_->Write(bytes)) return;
  Close();  // the ring takes the largest answer: this client is broken
}

void Session::Fatal(std::string_view code, std::string_view message) {
  std::uint64_t left_out = 0;
  if (front_.complaints_.Allows(left_out)) {
    spdlog::info("client closed: {} ({}); {} more lines like this left out", message, code, left_out);
  }
  std::string out;
  pg::AppendError(out, "FATAL", code, message);
  Write(out);
  if (connection_->closed()) return;
  Leave();
}

}  // namespace lynxgrade::frontend
