#include "pg/message.h"

#include <algorithm>

namespace lynxgrade::pg {
namespace {

constexpr std::size_t kHeaderBytes = 5;          // type and length
constexpr std::size_t kStartupHeaderBytes = 4;   // length only
constexpr std::size_t kMaxStartupBytes = 10000;  // the limit of PostgreSQL itself
constexpr std::size_t kColumnFieldsBytes = 18;   // of a column in a RowDescription, after its name
constexpr std::uint32_t kCancelRequestCode = 80877102;
constexpr std::uint32_t kSslRequestCode = 80877103;
constexpr std::uint32_t kGssEncRequestCode = 80877104;

std::uint32_t ReadUint32(std::string_view bytes) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < 4; ++i) value = value << 8 | static_cast<unsigned char>(bytes[i]);
  return value;
}

std::uint32_t ReadUint16(std::string_view bytes) {
  return static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[0]) << 8 |
                                    static_cast<unsigned char>(bytes[1]));
}

void AppendUint32(std::string& out, std::uint32_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(value >> shift & 0xff);
}

// Removes a zero-terminated string from the front of `bytes` and returns it; absent if it is not terminated.
std::optional<std::string_view> ExtractString(std::string_view& bytes) {
  const std::size_t end = bytes.find('\0');
  if (end == std::string_view::npos) return std::nullopt;
  const std::string_view text = bytes.substr(0, end);
  bytes.remove_prefix(end + 1);
  return text;
}

void AppendErrorFields(std::string& out, char type, std::string_view severity, std::string_view code,
                       std::string_view message, std::string_view detail) {
  std::string body;
  const auto append_field = [&body](char name, std::string_view value) {
    body += name;
    body += value;
    body += '\0';
  };
  append_field('S', severity);
  append_field('V', severity);
  append_field('C', code);
  append_field('M', message);
  if (!detail.empty()) append_field('D', detail);
  body += '\0';
  AppendMessage(out, type, body);
}

}  // namespace

Frame ReadFrame(std::string_view bytes) {
  Frame frame;
  if (bytes.empty()) return frame;
  frame.type = bytes[0];
  const bool valid_type = (frame.type >= 'a' && frame.type <= 'z') ||
                          (frame.type >= 'A' && frame.type <= 'Z') ||
                          (frame.type >= '1' && frame.type <= '3');
  if (!valid_type) {
    frame.framing = Framing::kMalformed;
    return frame;
  }
  if (bytes.size() < kHeaderBytes) return frame;
  const std::size_t length = ReadUint32(bytes.substr(1));
  if (length < 4) {
    frame.framing = Framing::kMalformed;
  } else if (length > kMaxMessageBytes) {
    frame.framing = Framing::kTooLong;
  } else if (bytes.size() >= length + 1) {
    frame.framing = Framing::kComplete;
    frame.size = length + 1;
    frame.body = bytes.substr(kHeaderBytes, length - 4);
  } else {
    frame.announced_size = length + 1;
  }
  return frame;
}

Frame ReadStartupFrame(std::string_view bytes) {
  Frame frame;
  if (bytes.size() < kStartupHeaderBytes) return frame;
  const std::size_t length = ReadUint32(bytes);
  if (length < 8) {
    frame.framing = Framing::kMalformed;
  } else if (length > kMaxStartupBytes) {
    frame.framing = Framing::kTooLong;
  } else if (bytes.size() >= length) {
    frame.framing = Framing::kComplete;
    frame.size = length;
    frame.body = bytes.substr(kStartupHeaderBytes, length - kStartupHeaderBytes);
  }
  return frame;
}

Startup ReadStartupMessage(std::string_view body) {
  Startup startup;
  if (body.size() < 4) return startup;
  const std::uint32_t code = ReadUint32(body);
  body.remove_prefix(4);
  if (code == kSslRequestCode || code == kGssEncRequestCode || code == kCancelRequestCode) {
    if (code == kSslRequestCode && body.empty()) startup.kind = StartupKind::kSsl;
    if (code == kGssEncRequestCode && body.empty()) startup.kind = StartupKind::kGssEncryption;
    if (code == kCancelRequestCode && body.size() == 8) {
      startup.kind = StartupKind::kCancel;
      startup.process_id = ReadUint32(body);
      startup.secret_key = ReadUint32(body.substr(4));
    }
    return startup;
  }
  if (code >> 16 != 3) {
    startup.kind = StartupKind::kUnsupported;
    return startup;
  }
  startup.minor_version = static_cast<std::uint16_t>(code & 0xffff);
  while (true) {
    const auto name = ExtractString(body);
    if (!name) return startup;
    if (name->empty()) break;
    const auto value = ExtractString(body);
    if (!value) return startup;
    if (*name == "user") startup.user = *value;
    if (*name == "database") startup.database = *value;
  }
  if (body.empty() && !startup.user.empty()) startup.kind = StartupKind::kStartup;
  return startup;
}

std::optional<std::string_view> ReadQuery(std::string_view body) {
  if (body.empty() || body.find('\0') != body.size() - 1) return std::nullopt;
  return body.substr(0, body.size() - 1);
}

std::optional<ErrorFields> ReadErrorFields(std::string_view body) {
  ErrorFields fields;
  while (!body.empty()) {
    const char name = body[0];
    body.remove_prefix(1);
    if (name == '\0') return body.empty() && !fields.code.empty() ? std::optional(fields) : std::nullopt;
    const auto value = ExtractString(body);
    if (!value) return std::nullopt;
    if (name == 'S' && fields.severity.empty()) fields.severity = *value;
    if (name == 'V') fields.severity = *value;  // not localized, unlike 'S'
    if (name == 'C') fields.code = *value;
    if (name == 'M') fields.message = *value;
  }
  return std::nullopt;
}

std::optional<ParameterStatus> ReadParameterStatus(std::string_view body) {
  const auto name = ExtractString(body);
  if (!name) return std::nullopt;
  const auto value = ExtractString(body);
  if (!value || !body.empty()) return std::nullopt;
  return ParameterStatus{*name, *value};
}

std::optional<SingleColumnRow> ReadSingleColumnRow(std::string_view body) {
  if (body.size() < 6 || ReadUint16(body) != 1) return std::nullopt;
  const std::uint32_t length = ReadUint32(body.substr(2));
  const std::string_view value = body.substr(6);
  if (length == 0xffffffff) return value.empty() ? std::optional(SingleColumnRow{}) : std::nullopt;
  if (value.size() != length) return std::nullopt;
  return SingleColumnRow{value};
}

bool DescribesOneColumn(std::string_view body) {
  if (body.size() < 2 || ReadUint16(body) != 1) return false;
  body.remove_prefix(2);
  return ExtractString(body) && body.size() == kColumnFieldsBytes;
}

std::optional<std::string_view> ReadCommandTag(std::string_view body) {
  const auto tag = ExtractString(body);
  return tag && !tag->empty() && body.empty() ? tag : std::nullopt;
}

void AppendMessage(std::string& out, char type, std::string_view body) {
  out += type;
  AppendUint32(out, static_cast<std::uint32_t>(body.size() + 4));
  out += body;
}

void AppendStartupMessage(std::string& out, std::string_view user, std::string_view database) {
  std::string body;
  AppendUint32(body, 3u << 16);
  for (const std::string_view text :
       {std::string_view("user"), user, std::string_view("database"), database}) {
    body += text;
    body += '\0';
  }
  body += '\0';
  AppendUint32(out, static_cast<std::uint32_t>(body.size() + 4));
  out += body;
}

void AppendQuery(std::string& out, std::string_view text) {
  out += 'Q';
  AppendUint32(out, static_cast<std::uint32_t>(text.size() + 5));
  out += text;
  out += '\0';
}

void AppendAuthenticationOk(std::string& out) { AppendMessage(out, 'R', std::string_view("\0\0\0\0", 4)); }

void AppendParameterStatus(std::string& out, std::string_view name, std::string_view value) {
  std::string body(name);
  body += '\0';
  body += value;
  body += '\0';
  AppendMessage(out, 'S', body);
}

void AppendBackendKeyData(std::string& out, std::uint32_t process_id, std::uint32_t secret_key) {
  std::string body;
  AppendUint32(body, process_id);
  AppendUint32(body, secret_key);
  AppendMessage(out, 'K', body);
}

void AppendNegotiateProtocolVersion(std::string& out, std::uint32_t newest_version) {
  std::string body;
  AppendUint32(body, newest_version);
  AppendUint32(body, 0);  // number of unrecognized options
  AppendMessage(out, 'v', body);
}

void AppendReadyForQuery(std::string& out) { AppendMessage(out, 'Z', "I"); }
void AppendEmptyQueryResponse(std::string& out) { AppendMessage(out, 'I', ""); }

void AppendCommandComplete(std::string& out, std::string_view tag) {
  std::string body(tag);
  body += '\0';
  AppendMessage(out, 'C', body);
}

void AppendErrorResponse(std::string& out, std::string_view severity, std::string_view code,
                         std::string_view message, std::string_view detail) {
  AppendErrorFields(out, 'E', severity, code, message, detail);
}

void AppendNoticeResponse(std::string& out, std::string_view message) {
  AppendErrorFields(out, 'N', "NOTICE", "00000", message, {});
}

}  // namespace lynxgrade::pg
