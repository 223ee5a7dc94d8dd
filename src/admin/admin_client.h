// Client of a running pooler's admin address on the same machine.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "admin/admin_error.h"
#include "net/connection.h"

namespace lynxgrade::admin {

// Sends the query of this name and returns the response as it came, a JSON text. Blocks for some seconds at
// most.
tl::expected<std::string, AdminError> SendQuery(const net::Address& address, std::string_view name);

}  // namespace lynxgrade::admin
