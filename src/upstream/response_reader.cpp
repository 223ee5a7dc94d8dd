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
      if (description_ || error_ || empty_query_) return ReadResult::kMalformed;
      empty_query_ = true;
      return ReadResult::kMore;
    case 'R':  // Authentication: only AuthenticationOk is valid, since no authentication is supported
      return body == std::string_view("\0\0\0\0", 4) ? ReadResult::kMore : ReadResult::kMalformed;
    case 'T':  // RowDescription
      if (description_ || error_ || empty_query_ || !pg::DescribesOneColumn(body))
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
      if (tag_ || error_ || empty_query_) return ReadResult::kMalformed;
      error_ = pg::ReadErrorFields(body);
      return error_ ? ReadResult::kMore : ReadResult::kMalformed;
    case 'Z':  // ReadyForQuery
      return HandleReadyForQuery(body);
    default:
      return ReadResult::kMalformed;
  }
}

// The state is always idle, since the pooler opens no transactions.
ReadResult ResponseReader::HandleReadyForQuery(std::string_view body) {
  if (body != "I") return ReadResult::kMalformed;
  if (!empty_query_) return ReadResult::kReady;
  *this = ResponseReader();
  return ReadResult::kMore;
}

bool ResponseReader::statement_invalid() const {
  if (!error_) return false;
  const std::string_view code = error_->code;
  return code == "08P01" || code.starts_with("42") || code.starts_with("22") || code.starts_with("0A");
}

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

ReadResult BarrierReader::ReadMessage(char type, std::string_view body) {
  switch (type) {
    case 'S':  // ParameterStatus
    case 'N':  // NoticeResponse
      return ReadResult::kMore;
    case 'I':  // EmptyQueryResponse
      if (empty_query_) return ReadResult::kMalformed;
      empty_query_ = true;
      return ReadResult::kMore;
    case 'Z':  // ReadyForQuery
      return empty_query_ && body == "I" ? ReadResult::kReady : ReadResult::kMalformed;
    default:  // what belongs to the response before, or an error
      return ReadResult::kMalformed;
  }
}

}  // namespace lynxgrade::upstream
