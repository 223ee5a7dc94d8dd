// Errors of a query to the admin address of a running pooler.
#pragma once

#include <string>

namespace lynxgrade::admin {

enum class AdminErrorCode {
  kUnreachable,           // cannot connect; sets address, cause: the system's error message
  kSendFailed,            // sets address, cause: the system's error message
  kResponseIncomplete,    // receiving failed; sets address, cause: the system's error message
  kResponseTooLong,       // sets address
  kResponseMalformed,     // the response is not a JSON object
  kResponseIncompatible,  // the response lacks fields that this version shows, or they have other types
  kRejected,              // the pooler does not support the query; sets cause: its error message
};

// `address` and `cause` are set as the code says.
struct AdminError {
  AdminErrorCode code{};
  std::string address;
  std::string cause;
};

// One sentence for the operator, without a full stop.
std::string Describe(const AdminError& error);

}  // namespace lynxgrade::admin
