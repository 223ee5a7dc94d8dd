// PostgreSQL's wire protocol, version 3: framing and the few messages that the pooler reads and writes.
// Pure bytes: no sockets, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lynxgrade::pg {

// A value has 64 KiB at most; as hex in a statement that is twice as much, with room for the rest.
inline constexpr std::size_t kMostMessage = std::size_t{192} * 1024;
inline constexpr std::size_t kRingLimit = std::size_t{256} * 1024;

enum class Framing { kPartial, kWhole, kMalformed, kTooLong };

// One message at the front of some bytes. `size` is what it takes up, with its head.
struct Frame {
  Framing framing = Framing::kPartial;
  char type = 0;  // 0 for the startup family, which has none
  std::string_view body;
  std::size_t size = 0;
};
Frame ReadFrame(std::string_view bytes);
Frame ReadStartupFrame(std::string_view bytes);

enum class StartupKind { kStart, kSsl, kGssEncryption, kCancel, kUnsupported, kMalformed };
struct Startup {
  StartupKind kind = StartupKind::kMalformed;
  std::uint16_t minor = 0;
  std::string user;
  std::string database;
  std::uint32_t process = 0;  // kCancel: the key of the connection whose request is to end
  std::uint32_t secret = 0;
};
Startup ReadStartup(std::string_view body);

// A Query's text, without its closing zero byte; nothing where that is missing or not the last byte.
std::optional<std::string_view> ReadQuery(std::string_view body);

// An ErrorResponse's or NoticeResponse's fields that matter here.
struct ErrorFields {
  std::string severity;
  std::string code;
  std::string message;
};
std::optional<ErrorFields> ReadError(std::string_view body);

struct Status {
  std::string_view name;
  std::string_view value;
};
std::optional<Status> ReadStatus(std::string_view body);

// The value of a DataRow that has exactly one column; the inner one is absent for NULL.
struct OneValue {
  std::optional<std::string_view> value;
};
std::optional<OneValue> ReadOneValue(std::string_view body);

// Whether a RowDescription is well formed and has exactly one column.
bool DescribesOneColumn(std::string_view body);

// A CommandComplete's tag.
std::optional<std::string_view> ReadTag(std::string_view body);

// Writers append a whole message.
void AppendMessage(std::string& out, char type, std::string_view body);
void AppendStartup(std::string& out, std::string_view user, std::string_view database);
void AppendQuery(std::string& out, std::string_view text);
void AppendAuthenticationOk(std::string& out);
void AppendStatus(std::string& out, std::string_view name, std::string_view value);
void AppendBackendKey(std::string& out, std::uint32_t process, std::uint32_t secret);
void AppendNegotiate(std::string& out, std::uint32_t newest);
void AppendReady(std::string& out);
void AppendEmptyQuery(std::string& out);
void AppendComplete(std::string& out, std::string_view tag);
// `detail` becomes the field D where it is not empty.
void AppendError(std::string& out, std::string_view severity, std::string_view code, std::string_view message,
                 std::string_view detail = {});
void AppendNotice(std::string& out, std::string_view message);

}  // namespace lynxgrade::pg
