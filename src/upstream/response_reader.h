// The parser of a data server's responses.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "pg/message.h"
#include "proxy/ports.h"

namespace lynxgrade::upstream {

// Assembles one response from protocol messages and derives the outcome of the attempt from it. Performs no
// I/O.
class ResponseReader {
 public:
  enum class ReadResult { kMore, kReady, kMalformed };

  // Consumes one message. kMore: the response continues; kReady: the data server awaits the next query;
  // kMalformed: the message cannot be parsed or is out of order, and the connection has to be closed.
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

  bool started_ = false;
  std::optional<std::string> description_;
  std::optional<std::string> row_;
  std::optional<std::string> tag_;
  std::optional<pg::ErrorFields> error_;
  ResponseMetadata metadata_;
  std::optional<LoadReport> report_;
};

// Parses a load report such as "x0=1767225600.123,x1=1,util=0.61". x0 is the log position as a Unix time in
// seconds; x1 is 1 on a primary. Returns nothing if the text is malformed.
std::optional<LoadReport> ParseLoadReport(std::string_view text);

}  // namespace lynxgrade::upstream
