// PostgreSQL's wire protocol, version 3: framing and the messages that the pooler reads and writes. Works on
// bytes only: no sockets, no clock. Readers with an optional result return nothing for a malformed body;
// views in their results point into that body.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lynxgrade::pg {

// A value has up to 64 KiB, which takes 128 KiB as hex in a statement; the rest is for the other parts of the
// message.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{192} * 1024;
// Of a connection's buffer in each direction.
inline constexpr std::size_t kMaxBufferBytes = std::size_t{256} * 1024;

// kTooLong: the length field exceeds the limit. The bytes after a malformed or too long header cannot be
// framed.
enum class Framing { kPartial, kComplete, kMalformed, kTooLong };

// The first message in a sequence of bytes.
struct Frame {
  Framing framing = Framing::kPartial;
  char type = 0;                   // 0 for a startup packet, which has no type byte
  std::string_view body;           // kComplete
  std::size_t size = 0;            // of the complete message, with its header
  std::size_t announced_size = 0;  // the same as the header of a kPartial message tells; 0 before its end
};
Frame ReadFrame(std::string_view bytes);
Frame ReadStartupFrame(std::string_view bytes);

enum class StartupKind { kStartup, kSsl, kGssEncryption, kCancel, kUnsupported, kMalformed };
struct Startup {
  StartupKind kind = StartupKind::kMalformed;
  std::uint16_t minor_version = 0;  // kStartup
  std::string user;
  std::string database;
  // kCancel: the two identify the connection whose request is to be cancelled.
  std::uint32_t process_id = 0;
  std::uint32_t secret_key = 0;
};
Startup ReadStartupMessage(std::string_view body);

// The text of a Query, without the terminating zero byte.
std::optional<std::string_view> ReadQuery(std::string_view body);

// The fields of an ErrorResponse or NoticeResponse that the pooler uses.
struct ErrorFields {
  std::string severity;
  std::string code;
  std::string message;
};
std::optional<ErrorFields> ReadErrorFields(std::string_view body);

struct ParameterStatus {
  std::string_view name;
  std::string_view value;
};
std::optional<ParameterStatus> ReadParameterStatus(std::string_view body);

// A DataRow with exactly one column; its value is absent for NULL.
struct SingleColumnRow {
  std::optional<std::string_view> value;
};
std::optional<SingleColumnRow> ReadSingleColumnRow(std::string_view body);

// Whether a RowDescription is well formed and has exactly one column.
bool DescribesOneColumn(std::string_view body);

// The command tag of a CommandComplete.
std::optional<std::string_view> ReadCommandTag(std::string_view body);

// Each of the following appends one complete message to `out`.
void AppendMessage(std::string& out, char type, std::string_view body);
void AppendStartupMessage(std::string& out, std::string_view user, std::string_view database);
void AppendQuery(std::string& out, std::string_view text);
void AppendAuthenticationOk(std::string& out);
void AppendParameterStatus(std::string& out, std::string_view name, std::string_view value);
void AppendBackendKeyData(std::string& out, std::uint32_t process_id, std::uint32_t secret_key);
void AppendNegotiateProtocolVersion(std::string& out, std::uint32_t newest_version);
// Reports that the session is outside a transaction block.
void AppendReadyForQuery(std::string& out);
void AppendEmptyQueryResponse(std::string& out);
void AppendCommandComplete(std::string& out, std::string_view tag);
// An empty `detail` is left out.
void AppendErrorResponse(std::string& out, std::string_view severity, std::string_view code,
                         std::string_view message, std::string_view detail = {});
void AppendNoticeResponse(std::string& out, std::string_view message);

}  // namespace lynxgrade::pg
