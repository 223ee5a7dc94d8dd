// Client for the admin address of a running pooler on the same machine.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "admin/admin_error.h"
#include "net/connection.h"

namespace lynxgrade::admin {

// Sends the query of this name and returns the response unchanged, a JSON text. Blocks until the connection
// is closed; a connect, send or receive that takes longer than 3 s fails. Fails with kUnreachable,
// kSendFailed, kResponseIncomplete or kResponseTooLong.
tl::expected<std::string, AdminError> SendQuery(const net::Address& address, std::string_view name);

}  // namespace lynxgrade::admin
