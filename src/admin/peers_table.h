// The response to the query `peers` as a table for operators.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "admin/admin_error.h"

namespace lynxgrade::admin {

// `response` is the JSON text that a pooler has sent. The errors are kResponseMalformed,
// kResponseIncompatible and kRejected.
tl::expected<std::string, AdminError> FormatPeersTable(std::string_view response);

}  // namespace lynxgrade::admin
