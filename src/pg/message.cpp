#include "pg/message.h"

#include <algorithm>

namespace lynxgrade::pg {
namespace {

constexpr std::size_t kHead = 5;             // type and length
constexpr std::size_t kStartupHead = 4;      // length alone
constexpr std::size_t kMostStartup = 10000;  // as PostgreSQL itself limits it
constexpr std::size_t kColumnRest = 18;      // of a column's description, behind its name
constexpr std::uint32_t kCancelCode = 80877102;
constexpr std::uint32_t kSslCode = 80877103;
constexpr std::uint32_t kGssCode = 80877104;

std::uint32_t U32(std::string_view bytes) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < 4; ++i) value = value << 8 | static_cast<unsigned char>(bytes[i]);
  return value;
}

std::uint32_t U16(std::string_view bytes) {
  return static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[0]) << 8 |
                                    static_cast<unsigned char>(bytes[1]));
}

void PutU32(std::string& out, std::uint32_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(value >> shift & 0xff);
}

// Takes a zero-terminated string off the front.
std::optional<std::string_view> TakeText(std::string_view& bytes) {
  const std::size_t end = bytes.find('\0');
  if (end == std::string_view::npos) return std::nullopt;
  const std::string_view text = bytes.substr(0, end);
  bytes.remove_prefix(end + 1);
  return text;
}

void AppendFields(std::string& out, char type, std::string_view severity, std::string_view code,
                  std::string_view message, std::string_view detail) {
  std::string body;
  const auto field = [&body](char name, std::string_view value) {
    body += name;
    body += value;
    body += '\0';
  };
  field('S', severity);
  field('V', severity);
  field('C', code);
  field('M', message);
  if (!detail.empty()) field('D', detail);
  body += '\0';
  AppendMessage(out, type, body);
}

}  // namespace

Frame ReadFrame(std::string_view bytes) {
  Frame frame;
  if (bytes.empty()) return frame;
  frame.type = bytes[0];
  const bool letter = (frame.type >= 'a' && frame.type <= 'z') || (frame.type >= 'A' && frame.type <= 'Z') ||
                      (frame.type >= '1' && frame.type <= '3');
  if (!letter) {
    frame.framing = Framing::kMalformed;
    return frame;
  }
  if (bytes.size() < kHead) return frame;
  const std::size_t length = U32(bytes.substr(1));
  if (length < 4) {
    frame.framing = Framing::kMalformed;
  } else if (length > kMaxMessageBytes) {
    frame.framing = Framing::kTooLong;
  } else if (bytes.size() >= length + 1) {
    frame.framing = Framing::kComplete;
    frame.size = length + 1;
    frame.body = bytes.substr(kHead, length - 4);
  }
  return frame;
}

Frame ReadStartupFrame(std::string_view bytes) {
  Frame frame;
  if (bytes.size() < kStartupHead) return frame;
  const std::size_t length = U32(bytes);
  if (length < 8) {
    frame.framing = Framing::kMalformed;
  } else if (length > kMostStartup) {
    frame.framing = Framing::kTooLong;
  } else if (bytes.size() >= length) {
    frame.framing = Framing::kComplete;
    frame.size = length;
    frame.body = bytes.substr(kStartupHead, length - kStartupHead);
  }
  return frame;
}

Startup ReadStartupMessage(std::string_view body) {
  Startup startup;
  if (body.size() < 4) return startup;
  const std::uint32_t code = U32(body);
  body.remove_prefix(4);
  if (code == kSslCode || code == kGssCode || code == kCancelCode) {
    if (code == kSslCode && body.empty()) startup.kind = StartupKind::kSsl;
    if (code == kGssCode && body.empty()) startup.kind = StartupKind::kGssEncryption;
    if (code == kCancelCode && body.size() == 8) {
      startup.kind = StartupKind::kCancel;
      startup.process_id = U32(body);
      startup.secret_key = U32(body.substr(4));
    }
    return startup;
  }
  if (code >> 16 != 3) {
    startup.kind = StartupKind::kUnsupported;
    return startup;
  }
  startup.minor_version = static_cast<std::uint16_t>(code & 0xffff);
  while (true) {
    const auto name = TakeText(body);
    if (!name) return startup;
    if (name->empty()) break;
    const auto value = TakeText(body);
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
    const auto value = TakeText(body);
    if (!value) return std::nullopt;
    if (name == 'S' && fields.severity.empty()) fields.severity = *value;
    if (name == 'V') fields.severity = *value;  // the one that is never translated
    if (name == 'C') fields.code = *value;
    if (name == 'M') fields.message = *value;
  }
  return std::nullopt;
}

std::optional<ParameterStatus> ReadParameterStatus(std::string_view body) {
  const auto name = TakeText(body);
  if (!name) return std::nullopt;
  const auto value = TakeText(body);
  if (!value || !body.empty()) return std::nullopt;
  return ParameterStatus{*name, *value};
}

std::optional<SingleColumnRow> ReadSingleColumnRow(std::string_view body) {
  if (body.size() < 6 || U16(body) != 1) return std::nullopt;
  const std::uint32_t length = U32(body.substr(2));
  const std::string_view value = body.substr(6);
  if (length == 0xffffffff) return value.empty() ? std::optional(SingleColumnRow{}) : std::nullopt;
  if (value.size() != length) return std::nullopt;
  return SingleColumnRow{value};
}

bool DescribesOneColumn(std::string_view body) {
  if (body.size() < 2 || U16(body) != 1) return false;
  body.remove_prefix(2);
  return TakeText(body) && body.size() == kColumnRest;
}

std::optional<std::string_view> ReadCommandTag(std::string_view body) {
  const auto tag = TakeText(body);
  return tag && !tag->empty() && body.empty() ? tag : std::nullopt;
}

void AppendMessage(std::string& out, char type, std::string_view body) {
  out += type;
  PutU32(out, static_cast<std::uint32_t>(body.size() + 4));
  out += body;
}

void AppendStartupMessage(std::string& out, std::string_view user, std::string_view database) {
  std::string body;
  PutU32(body, 3u << 16);
  for (const std::string_view text :
       {std::string_view("user"), user, std::string_view("database"), database}) {
    body += text;
    body += '\0';
  }
  body += '\0';
  PutU32(out, static_cast<std::uint32_t>(body.size() + 4));
  out += body;
}

void AppendQuery(std::string& out, std::string_view text) {
  out += 'Q';
  PutU32(out, static_cast<std::uint32_t>(text.size() + 5));
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

void AppendBackendKeyData(std::string& out, std::uint32_t process, std::uint32_t secret) {
  std::string body;
  PutU32(body, process);
  PutU32(body, secret);
  AppendMessage(out, 'K', body);
}

void AppendNegotiateProtocolVersion(std::string& out, std::uint32_t newest) {
  std::string body;
  PutU32(body, newest);
  PutU32(body, 0);
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
  AppendFields(out, 'E', severity, code, message, detail);
}

void AppendNoticeResponse(std::string& out, std::string_view message) {
  AppendFields(out, 'N', "NOTICE", "00000", message, {});
}

}  // namespace lynxgrade::pg
