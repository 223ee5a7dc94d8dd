// PostgreSQL's wire protocol, version 3: framing and the few messages that the pooler reads and writes.
// Pure bytes: no sockets, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lynxgrade::pg {

// A value has 64 KiB at most; as hex in a statement that is twice as much, with room for the rest.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{192} * 1024;
inline constexpr std::size_t kMaxBufferBytes = std::size_t{256} * 1024;

enum class Framing { kPartial, kComplete, kMalformed, kTooLong };

// One message at the front of some bytes. `size` is what it takes up, with its head.
struct Frame {
  Framing framing = Framing::kPartial;
  char type = 0;  // 0 for the startup family, which has none
  std::string_view body;
  std::size_t size = 0;
};
Frame ReadFrame(std::string_view bytes);
Frame ReadStartupFrame(std::string_view bytes);

enum class StartupKind { kStartup, kSsl, kGssEncryption, kCancel, kUnsupported, kMalformed };
struct Startup {
  StartupKind kind = StartupKind::kMalformed;
  std::uint16_t minor_version = 0;
  std::string user;
  std::string database;
  std::uint32_t process_id = 0;  // kCancel: the key of the connection whose request is to end
  std::uint32_t secret_key = 0;
};
Startup ReadStartupMessage(std::string_view body);

// A Query's text, without its closing zero byte; nothing where that is missing or not the last byte.
std::optional<std::string_view> ReadQuery(std::string_view body);

// An ErrorResponse's or NoticeResponse's fields that matter here.
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

// The value of a DataRow that has exactly one column; the inner one is absent for NULL.
struct SingleColumnRow {
  std::optional<std::string_view> value;
};
std::optional<SingleColumnRow> ReadSingleColumnRow(std::string_view body);

// Whether a RowDescription is well formed and has exactly one column.
bool DescribesOneColumn(std::string_view body);

// A CommandComplete's tag.
std::optional<std::string_view> ReadCommandTag(std::string_view body);

// Writers append a whole message.
void AppendMessage(std::string& out, char type, std::string_view body);
void AppendStartupMessage(std::string& out, std::string_view user, std::string_view database);
void AppendQuery(std::string& out, std::string_view text);
void AppendAuthenticationOk(std::string& out);
void AppendParameterStatus(std::string& out, std::string_view name, std::string_view value);
void AppendBackendKeyData(std::string& out, std::uint32_t process, std::uint32_t secret);
void AppendNegotiateProtocolVersion(std::string& out, std::uint32_t newest);
void AppendReadyForQuery(std::string& out);
void AppendEmptyQueryResponse(std::string& out);
void AppendCommandComplete(std::string& out, std::string_view tag);
// `detail` becomes the field D where it is not empty.
void AppendErrorResponse(std::string& out, std::string_view severity, std::string_view code,
                         std::string_view message, std::string_view detail = {});
void AppendNoticeResponse(std::string& out, std::string_view message);

}  // namespace lynxgrade::pg
