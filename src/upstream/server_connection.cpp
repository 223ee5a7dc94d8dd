#include "upstream/server_connection.h"

#include <spdlog/spdlog.h>

#include <cmath>

#include "pg/statement.h"

namespace lynxgrade::upstream {
namespace {

constexpr Duration kWholeWithin{100000};  // from the first part of an answer to its last

// A position on a socket is a Unix time in milliseconds, as the pooler's clock is one in microseconds.
LogPosition PositionOf(std::int64_t ms) { return LogPosition(std::chrono::milliseconds(ms)); }

}  // namespace

std::optional<LoadReport> ReportOf(std::string_view text) {
  const auto fields = pg::ReadReport(text);
  if (!fields) return std::nullopt;
  LoadReport report;
  for (const auto& [name, value] : *fields) {
    if (name == "x0" && value > 0 && value < 9e9) {
      report.position = PositionOf(static_cast<std::int64_t>(std::floor(value * 1000 + 1e-3)));
    } else if (name == "x1") {
      report.primary = value >= 0.5;
    } else if (name == "util") {
      report.utilization = value;
    } else if (name == "queue") {
      report.queued = value;
    } else if (name == "inflight") {
      report.in_flight = value;
    }
  }
  return report;
}

bool Reply::TakeStatus(std::string_view body) {
  const auto status = pg::ReadStatus(body);
  if (!status) return false;
  if (status->name == "replication_role") {
    if (status->value == "primary") metadata_.primary = true;
    if (status->value == "standby") metadata_.primary = false;
  } else if (status->name == "log_position") {
    const auto position = pg::ReadWhole(status->value);
    if (!position || *position < 0 || *position > (std::int64_t{1} << 50)) return false;
    if (*position > 0) metadata_.position = PositionOf(*position);
  } else if (status->name == "pressure") {
    report_ = ReportOf(status->value);  // one that cannot be read is none: the answer is as good as without
  }
  return true;
}

// What counts as served must be whole: description, one row, tag, in this order and each well formed. A
// client that was given less than that as its value would have lost its request.
Reply::Step Reply::Take(char type, std::string_view body) {
  begun_ = true;
  switch (type) {
    case 'S':
      return TakeStatus(body) ? Step::kMore : Step::kMalformed;
    case 'N':
    case 'K':
    case 'I':
      return Step::kMore;
    case 'R':  // any user is welcome at once: nothing but AuthenticationOk is expected
      return body == std::string_view("\0\0\0\0", 4) ? Step::kMore : Step::kMalformed;
    case 'T':
      if (description_ || error_ || !pg::DescribesOneColumn(body)) return Step::kMalformed;
      description_ = std::string(body);
      return Step::kMore;
    case 'D': {
      const auto column = pg::ReadOneValue(body);
      if (!description_ || row_ || error_ || !column || !column->value) return Step::kMalformed;
      row_ = std::string(body);
      return Step::kMore;
    }
    case 'C':
      if (!row_ || tag_ || error_ || !pg::ReadTag(body)) return Step::kMalformed;
      tag_ = std::string(body);
      return Step::kMore;
    case 'E':
      if (tag_ || error_) return Step::kMalformed;
      error_ = pg::ReadError(body);
      return error_ ? Step::kMore : Step::kMalformed;
    case 'Z':
      return body == "I" ? Step::kReady : Step::kMalformed;  // nothing here opens a transaction
    default:
      return Step::kMalformed;
  }
}

bool Reply::unusable() const {
  if (!error_) return false;
  const std::string_view code = error_->code;
  return code == "08P01" || code.starts_with("42") || code.starts_with("22") || code.starts_with("0A");
}

Outcome Reply::Ended(bool written) const {
  if (error_) {
    if (unusable()) return Outcome::kNotRun;
    if (error_->code == "25006" || error_->code == "72000") return Outcome::kMisrouted;
    if (error_->code == "53300") return Outcome::kOverloaded;
    return Outcome::kError;
  }
  if (whole() && description_) return Outcome::kOk;
  return written ? Outcome::kConnectionLost : Outcome::kUnreachable;
}

std::string_view Reply::value() const {
  if (!row_) return {};
  return pg::ReadOneValue(*row_)->value.value_or(std::string_view());
}

proxy::Answer Reply::TakeAnswer() { return {std::move(*description_), std::move(*row_), std::move(*tag_)}; }

Backend::Backend(net::Loop& loop, Pool& pool, Server& server, net::DescriptorBudget& budget)
    : loop_(loop), pool_(pool), server_(server), slot_(budget.backends()), opening_(loop), stalled_(loop) {}

Backend::~Backend() { Close(); }

bool Backend::Open(const net::Address& address, Duration within, bool* full) {
  connection_ = net::Connection::Open(loop_, address, *this, pg::kRingLimit, pg::kRingLimit, full);
  if (connection_ == nullptr) return false;
  // A machine that has vanished says nothing: an opening that hangs ends here.
  opening_.Set(loop_.Precise() + within, [this] { Lost(); });
  return true;
}

void Backend::Close() {
  opening_.Clear();
  stalled_.Clear();
  job_.reset();
  if (connection_ != nullptr) connection_->Close();
}

void Backend::OnUp() {
  std::string hello;
  pg::AppendStartup(hello, pool_.settings_.user, pool_.settings_.database);
  connection_->Write(hello);
}

void Backend::Run(std::shared_ptr<Job> job) {
  job_ = std::move(job);
  job_->backend = this;
  const TimePoint now = loop_.Precise();
  job_->written = now;
  job_->connect.Clear();
  reply_ = Reply();
  asked_ = false;
  std::string query;
  // What is told is what is left as it is written, not as this pass began.
  pg::AppendQuery(query, job_->probe() ? "SHOW pressure" : job_->work->TextFor(job_->until - now));
  // A client's largest statement fits the ring, so this is refused only by a connection that broke unseen.
  asked_ = connection_->Write(query);
  if (!asked_) return Lost();
  if (job_->write_by == TimePoint::max() || Written()) return;
  // A repeat whose rest the kernel has no room for yet.
  job_->connect.Set(job_->write_by, [this, weak = std::weak_ptr<Job>(job_)] {
    if (const auto held = weak.lock()) pool_.WrittenLate(held);
  });
}

void Backend::OnReadable() {
  const auto self = shared_from_this();
  const auto connection = connection_;
  while (!connection->closed()) {
    const pg::Frame frame = pg::ReadFrame(connection->in().All());
    if (frame.framing == pg::Framing::kPartial) break;
    if (frame.framing != pg::Framing::kWhole) return Malformed("a malformed message");
    const bool go_on = TakeMessage(frame.type, frame.body);
    if (!go_on || connection->closed()) return;
    connection->in().Consume(frame.size);
    if (frame.type == 'Z') TakeReady();
  }
  if (connection->closed()) return;
  connection->ResumeReading();
  // Left where it is, a part of a message would be read as the start of the next request's answer.
  if (idle() && !connection->in().empty()) return Malformed("noise on an idle connection");
  // An answer is sent in one go. One that stops half way will not be ended: its request is better tried again
  // while there is time.
  const bool part = !connection->in().empty() || (job_ != nullptr && reply_.begun());
  if (!part) return stalled_.Clear();
  if (!stalled_.armed()) stalled_.After(kWholeWithin, [this] { Stalled(false); });
}

void Backend::Stalled(bool again) {
  // The rest may have come while this loop stood still. But an answer that goes on for ever has always more.
  if (!again && !Sound()) return stalled_.After(kWholeWithin, [this] { Stalled(true); });
  Malformed("an answer that does not end");
}

bool Backend::TakeMessage(char type, std::string_view body) {
  // An answer that nobody asked for must not make the connection idle twice over: two requests would then be
  // written to it at once. An error is the data server's farewell.
  if (idle() && type != 'S' && type != 'N') {
    Malformed("an answer to no question");
    return false;
  }
  const Reply::Step step = reply_.Take(type, body);
  if (step == Reply::Step::kMalformed) {
    Malformed("an answer that cannot be read");
    return false;
  }
  return true;
}

// The data server awaits the next query: the connection is up, or the answer is complete.
void Backend::TakeReady() {
  opening_.Clear();
  idle_since_ = loop_.Now();
  const std::shared_ptr<Job> job = std::exchange(job_, nullptr);
  if (!ready_) {
    ready_ = true;
    --server_.opening;
  }
  Reply reply = std::exchange(reply_, Reply());
  Server& server = server_;
  Pool& pool = pool_;
  const auto self = shared_from_this();
  const bool whole = job == nullptr || reply.failed() || reply.whole();
  if (!whole) {
    pool.Complain(server, "an answer that is not whole");
    pool.Remove(*this);
  } else if (connection_->in().empty()) {
    server_.idle.push_back(this);
  } else {
    // More than was asked for: the rest would pass for the answer to the next request.
    pool.Complain(server, "more than one answer to a question");
    pool.Remove(*this);
  }
  if (job != nullptr) {
    Outcome outcome = whole ? reply.Ended(true) : Outcome::kError;
    if (job->probe()) {
      const auto report = outcome == Outcome::kOk ? ReportOf(reply.value()) : std::nullopt;
      if (!report && (outcome == Outcome::kOk || outcome == Outcome::kNotRun)) outcome = Outcome::kError;
      pool.EndJob(job, outcome, reply.metadata(), report);
    } else {
      std::optional<proxy::Answer> answer;
      if (outcome == Outcome::kOk) answer = reply.TakeAnswer();
      if (reply.failed() && reply.error()->code != "XX000" &&
          (outcome == Outcome::kError || outcome == Outcome::kNotRun)) {
        pool.Complain(server, "answered " + reply.error()->code + " (" + reply.error()->message + ")");
      }
      pool.EndJob(job, outcome, reply.metadata(), reply.report(), std::move(answer), reply.unusable());
    }
  }
  pool.Dispatch(server);
}

// The connection has ended, or never came up.
void Backend::Lost() {
  const auto self = shared_from_this();
  const std::shared_ptr<Job> job = job_;
  const bool was_ready = ready_;
  const bool written = Written();
  Reply reply = std::exchange(reply_, Reply());
  pool_.Remove(*this);
  if (job != nullptr) {
    const Outcome outcome = reply.Ended(written);
    std::optional<proxy::Answer> answer;
    if (outcome == Outcome::kOk) answer = reply.TakeAnswer();
    pool_.EndJob(job, outcome, reply.metadata(), {}, std::move(answer), reply.unusable());
  } else if (!was_ready && !server_.waiting.empty()) {
    // Each opening was made for one of those that wait: the first has waited longest.
    const std::shared_ptr<Job> first = server_.waiting.front();
    pool_.EndJob(first, Outcome::kUnreachable);
  }
  pool_.Dispatch(server_);
}

// Counts as the data server's error: it has answered, with what nobody can read.
void Backend::Malformed(const char* what) {
  const auto self = shared_from_this();
  pool_.Complain(server_, what);
  const std::shared_ptr<Job> job = job_;
  if (job == nullptr) return Lost();
  pool_.Remove(*this);
  pool_.EndJob(job, Outcome::kError);
  pool_.Dispatch(server_);
}

}  // namespace lynxgrade::upstream
