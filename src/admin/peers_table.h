// Formats the response to the query `peers` as a table for operators.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "admin/admin_error.h"

namespace lynxgrade::admin {

// `response` is the JSON text that a pooler has sent. Fails with kResponseMalformed, kResponseIncompatible or
// kRejected.
tl::expected<std::string, AdminError> FormatPeersTable(std::string_view response);

}  // namespace lynxgrade::admin
