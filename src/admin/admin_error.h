// Errors of a query to the admin address of a running pooler.
#pragma once

#include <string>

namespace lynxgrade::admin {

enum class AdminErrorCode {
  kUnreachable,           // address; cause: what the system says
  kSendFailed,            // address; cause: what the system says
  kResponseIncomplete,    // address; cause: what the system says
  kResponseTooLong,       // address
  kResponseMalformed,     // the response is not that of a pooler
  kResponseIncompatible,  // the response lacks fields that this version shows
  kRejected,              // cause: what the pooler says
};

struct AdminError {
  AdminErrorCode code{};
  std::string address;
  std::string cause;
};

// One plain sentence for the operator, without a full stop.
std::string Describe(const AdminError& error);

}  // namespace lynxgrade::admin
