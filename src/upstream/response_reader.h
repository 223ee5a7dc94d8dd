// The parsers of a data server's responses: to statements, and to the barrier query.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "pg/message.h"
#include "proxy/ports.h"

namespace lynxgrade::upstream {

// kMore: the response continues; kReady: the data server awaits the next query; kMalformed: the message
// cannot be parsed or is out of order, and the connection has to be closed.
enum class ReadResult { kMore, kReady, kMalformed };

// Assembles one response from protocol messages and derives the outcome of the attempt from it. Performs no
// I/O. Copies of the response to the barrier query before the statement are skipped: EmptyQueryResponse, as
// no statement is empty, or the error with which the data server rejected the barrier query.
class ResponseReader {
 public:
  using ReadResult = upstream::ReadResult;

  // `barrier_error`: the body of that error; empty if the data server did not reject the barrier query.
  explicit ResponseReader(std::string barrier_error = {}) : barrier_error_(std::move(barrier_error)) {}
  // Consumes one message.
  ReadResult ReadMessage(char type, std::string_view body);
  bool started() const { return started_; }

  bool has_error() const { return error_.has_value(); }
  const std::optional<pg::ErrorFields>& error() const { return error_; }
  // The body of the error message; empty if there is none.
  const std::string& error_body() const { return error_body_; }
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
  ReadResult HandleError(std::string_view body);
  ReadResult HandleBarrierCopy();
  ReadResult HandleReadyForQuery(std::string_view body);

  std::string barrier_error_;
  bool started_ = false;
  bool is_barrier_copy_ = false;
  std::optional<std::string> description_;
  std::optional<std::string> row_;
  std::optional<std::string> tag_;
  std::optional<pg::ErrorFields> error_;
  std::string error_body_;
  ResponseMetadata metadata_;
  std::optional<LoadReport> report_;
};

// Reads the response to the barrier query: the empty query that is sent after each response. A data server
// sends what belongs to a response before it answers the next query, so once the barrier query has been
// answered, nothing of the response before it can still arrive. Performs no I/O.
class BarrierReader {
 public:
  // `error_before`: the body of the error in the response before the barrier query; empty if there was none.
  // A copy of that is told from an error with which the data server rejects empty queries.
  explicit BarrierReader(std::string error_before = {}) : error_before_(std::move(error_before)) {}
  ReadResult ReadMessage(char type, std::string_view body);
  // The body of the error with which the data server rejected the barrier query; empty if it did not.
  const std::string& error_body() const { return error_body_; }

 private:
  bool IsRejection(std::string_view error_body) const;

  std::string error_before_;
  std::string error_body_;
  bool answered_ = false;  // EmptyQueryResponse or an error was read
};

// Parses a load report such as "x0=1767225600.123,x1=1,util=0.61". x0 is the log position as a Unix time in
// seconds; x1 is 1 on a primary. Returns nothing if the text is malformed.
std::optional<LoadReport> ParseLoadReport(std::string_view text);

}  // namespace lynxgrade::upstream
