#include "upstream/response_reader.h"

#include <cmath>
#include <utility>

#include "pg/statement.h"

namespace lynxgrade::upstream {
namespace {

// Latest log positions, as Unix times, that are accepted from a data server. They stay far from the overflow
// of a time in microseconds.
constexpr std::int64_t kMaxPositionMs = std::int64_t{1} << 50;
constexpr double kMaxPositionSeconds = 9e9;

// Log positions are Unix times, in milliseconds in the protocol and in microseconds in the pooler.
LogPosition PositionFromUnixMs(std::int64_t ms) { return LogPosition(std::chrono::milliseconds(ms)); }

// Whether a data server that fails with this SQLSTATE has rejected the statement itself.
bool IsInvalidStatement(std::string_view code) {
  return code == "08P01" || code.starts_with("42") || code.starts_with("22") || code.starts_with("0A");
}

}  // namespace

std::optional<LoadReport> ParseLoadReport(std::string_view text) {
  const auto fields = pg::ReadLoadReport(text);
  if (!fields) return std::nullopt;
  LoadReport report;
  for (const auto& [name, value] : *fields) {
    if (name == "x0" && value > 0 && value < kMaxPositionSeconds) {
      // The small addend keeps a rounding error of the decimal seconds from losing a millisecond.
      report.position = PositionFromUnixMs(static_cast<std::int64_t>(std::floor(value * 1000 + 1e-3)));
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

bool ResponseReader::HandleParameterStatus(std::string_view body) {
  const auto status = pg::ReadParameterStatus(body);
  if (!status) return false;
  if (status->name == "replication_role") {
    if (status->value == "primary") metadata_.primary = true;
    if (status->value == "standby") metadata_.primary = false;
  } else if (status->name == "log_position") {
    const auto position = pg::ParseInteger(status->value);
    if (!position || *position < 0 || *position > kMaxPositionMs) return false;
    if (*position > 0) metadata_.position = PositionFromUnixMs(*position);
  } else if (status->name == "pressure") {
    // A malformed report is ignored: the response is valid without it.
    report_ = ParseLoadReport(status->value);
  }
  return true;
}

// A successful response consists of RowDescription, one DataRow and CommandComplete, in this order and each
// well formed. An incomplete response must never be sent to a client as the result.
ReadResult ResponseReader::ReadMessage(char type, std::string_view body) {
  started_ = true;
  switch (type) {
    case 'S':  // ParameterStatus
      return HandleParameterStatus(body) ? ReadResult::kMore : ReadResult::kMalformed;
    case 'N':  // NoticeResponse
    case 'K':  // BackendKeyData
      return ReadResult::kMore;
    case 'I':  // EmptyQueryResponse
      return HandleBarrierCopy();
    case 'R':  // Authentication: only AuthenticationOk is valid, since no authentication is supported
      return body == std::string_view("\0\0\0\0", 4) ? ReadResult::kMore : ReadResult::kMalformed;
    case 'T':  // RowDescription
      if (description_ || error_ || is_barrier_copy_ || !pg::DescribesOneColumn(body))
        return ReadResult::kMalformed;
      description_ = std::string(body);
      return ReadResult::kMore;
    case 'D': {  // DataRow
      const auto column = pg::ReadSingleColumnRow(body);
      if (!description_ || row_ || error_ || !column || !column->value) return ReadResult::kMalformed;
      row_ = std::string(body);
      return ReadResult::kMore;
    }
    case 'C':  // CommandComplete
      if (!row_ || tag_ || error_ || !pg::ReadCommandTag(body)) return ReadResult::kMalformed;
      tag_ = std::string(body);
      return ReadResult::kMore;
    case 'E':  // ErrorResponse
      return HandleError(body);
    case 'Z':  // ReadyForQuery
      return HandleReadyForQuery(body);
    default:
      return ReadResult::kMalformed;
  }
}

ReadResult ResponseReader::HandleError(std::string_view body) {
  if (tag_ || error_ || is_barrier_copy_) return ReadResult::kMalformed;
  if (!description_ && !barrier_error_.empty() && body == barrier_error_) return HandleBarrierCopy();
  error_ = pg::ReadErrorFields(body);
  error_body_ = std::string(body);
  return error_ ? ReadResult::kMore : ReadResult::kMalformed;
}

ReadResult ResponseReader::HandleBarrierCopy() {
  if (description_ || error_ || is_barrier_copy_) return ReadResult::kMalformed;
  is_barrier_copy_ = true;
  return ReadResult::kMore;
}

// The state is always idle, since the pooler opens no transactions.
ReadResult ResponseReader::HandleReadyForQuery(std::string_view body) {
  if (body != "I") return ReadResult::kMalformed;
  if (!is_barrier_copy_) return ReadResult::kReady;
  *this = ResponseReader(std::move(barrier_error_));
  return ReadResult::kMore;
}

bool ResponseReader::statement_invalid() const { return error_ && IsInvalidStatement(error_->code); }

Outcome ResponseReader::OutcomeAtEnd(bool all_written) const {
  if (error_) {
    if (statement_invalid()) return Outcome::kNotRun;
    // A replica rejects writes as read-only, and reads for which it is too far behind.
    if (error_->code == "25006" || error_->code == "72000") return Outcome::kMisrouted;
    if (error_->code == "53300") return Outcome::kOverloaded;
    return Outcome::kError;
  }
  if (complete() && description_) return Outcome::kOk;
  return all_written ? Outcome::kConnectionLost : Outcome::kUnreachable;
}

std::string_view ResponseReader::value() const {
  if (!row_) return {};
  return pg::ReadSingleColumnRow(*row_)->value.value_or(std::string_view());
}

proxy::Response ResponseReader::ReleaseResponse() {
  return {std::move(*description_), std::move(*row_), std::move(*tag_)};
}

bool BarrierReader::IsRejection(std::string_view error_body) const {
  const auto error = pg::ReadErrorFields(error_body);
  return error && error_body != error_before_ && IsInvalidStatement(error->code);
}

ReadResult BarrierReader::ReadMessage(char type, std::string_view body) {
  switch (type) {
    case 'S':  // ParameterStatus
    case 'N':  // NoticeResponse
      return ReadResult::kMore;
    case 'I':  // EmptyQueryResponse
      if (answered_) return ReadResult::kMalformed;
      answered_ = true;
      return ReadResult::kMore;
    case 'E':  // ErrorResponse
      if (answered_ || !IsRejection(body)) return ReadResult::kMalformed;
      answered_ = true;
      error_body_ = std::string(body);
      return ReadResult::kMore;
    case 'Z':  // ReadyForQuery
      return answered_ && body == "I" ? ReadResult::kReady : ReadResult::kMalformed;
    default:  // what belongs to the response before
      return ReadResult::kMalformed;
  }
}

}  // namespace lynxgrade::upstream
