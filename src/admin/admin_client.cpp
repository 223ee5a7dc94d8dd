#include "admin/admin_client.h"

#include <gio/gio.h>

#include <array>

#include "net/glib_ptr.h"

namespace lynxgrade::admin {
namespace {

constexpr guint kTimeoutSeconds = 3;  // of each connect, send and receive
constexpr std::size_t kMaxResponseBytes = 2u << 20;
constexpr std::size_t kReadBytes = 4096;

tl::expected<std::string, AdminError> ReceiveResponse(GInputStream* stream, const std::string& address) {
  net::ErrorSlot error;
  std::string response;
  std::array<char, kReadBytes> buffer{};
  while (true) {
    const gssize count = g_input_stream_read(stream, buffer.data(), buffer.size(), nullptr, error.out());
    if (count == 0) return response;
    if (count < 0) {
      return tl::unexpected(AdminError{AdminErrorCode::kResponseIncomplete, address, error.message()});
    }
    response.append(buffer.data(), static_cast<std::size_t>(count));
    if (response.size() > kMaxResponseBytes) {
      return tl::unexpected(AdminError{AdminErrorCode::kResponseTooLong, address, {}});
    }
  }
}

}  // namespace

std::string Describe(const AdminError& error) {
  switch (error.code) {
    case AdminErrorCode::kUnreachable:
      return "cannot connect to the pooler's admin address " + error.address + ": " + error.cause;
    case AdminErrorCode::kSendFailed:
      return "cannot send the query to " + error.address + ": " + error.cause;
    case AdminErrorCode::kResponseIncomplete:
      return "the response from " + error.address + " is incomplete: " + error.cause;
    case AdminErrorCode::kResponseTooLong:
      return "the response from " + error.address + " is longer than " + std::to_string(kMaxResponseBytes) +
             " bytes";
    case AdminErrorCode::kResponseMalformed:
      return "the response is not a JSON object: the admin address is not that of a pooler";
    case AdminErrorCode::kResponseIncompatible:
      return "the response lacks expected fields: the pooler runs another version of the program";
    case AdminErrorCode::kRejected:
      break;
  }
  return error.cause;
}

tl::expected<std::string, AdminError> SendQuery(const net::Address& address, std::string_view name) {
  const std::string text = address.host + ":" + std::to_string(address.port);
  net::ErrorSlot error;
  const net::ObjectPtr<GSocketClient> client(g_socket_client_new());
  g_socket_client_set_timeout(client.get(), kTimeoutSeconds);
  const net::ObjectPtr<GSocketConnection> connection(g_socket_client_connect_to_host(
      client.get(), address.host.c_str(), address.port, nullptr, error.out()));
  if (connection == nullptr) {
    return tl::unexpected(AdminError{AdminErrorCode::kUnreachable, text, error.message()});
  }
  const std::string line = std::string(name) + "\n";
  GOutputStream* out = g_io_stream_get_output_stream(G_IO_STREAM(connection.get()));
  if (!g_output_stream_write_all(out, line.data(), line.size(), nullptr, nullptr, error.out())) {
    return tl::unexpected(AdminError{AdminErrorCode::kSendFailed, text, error.message()});
  }
  return ReceiveResponse(g_io_stream_get_input_stream(G_IO_STREAM(connection.get())), text);
}

}  // namespace lynxgrade::admin
