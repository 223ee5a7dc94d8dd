// The parsers of a data server's responses: to statements, and to the barrier query.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "pg/message.h"
#include "proxy/ports.h"

namespace lynxgrade::upstream {

// kMore: the response continues; kReady: the data server awaits the next query; kMalformed: the message
// cannot be parsed or is out of order, and the connection has to be closed.
enum class ReadResult { kMore, kReady, kMalformed };

// Assembles one response from protocol messages and derives the outcome of the attempt from it. Performs no
// I/O. A complete response to an empty query is skipped: no statement is empty, so this is a further copy of
// the response to the barrier query before the statement.
class ResponseReader {
 public:
  using ReadResult = upstream::ReadResult;

  // Consumes one message.
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
  ReadResult HandleReadyForQuery(std::string_view body);

  bool started_ = false;
  bool empty_query_ = false;  // EmptyQueryResponse was read
  std::optional<std::string> description_;
  std::optional<std::string> row_;
  std::optional<std::string> tag_;
  std::optional<pg::ErrorFields> error_;
  ResponseMetadata metadata_;
  std::optional<LoadReport> report_;
};

// Reads the response to the barrier query: the empty query that is sent after each response. A data server
// sends what belongs to a response before it answers the next query, so once the barrier query has been
// answered, nothing of the response before it can still arrive. Performs no I/O.
class BarrierReader {
 public:
  ReadResult ReadMessage(char type, std::string_view body);

 private:
  bool empty_query_ = false;  // EmptyQueryResponse was read
};

// Parses a load report such as "x0=1767225600.123,x1=1,util=0.61". x0 is the log position as a Unix time in
// seconds; x1 is 1 on a primary. Returns nothing if the text is malformed.
std::optional<LoadReport> ParseLoadReport(std::string_view text);

}  // namespace lynxgrade::upstream
