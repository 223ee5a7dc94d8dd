// Errors that prevent the program, or one part of it, from starting.
//
// A function that can fail during the start returns `tl::expected<T, StartError>`. `Describe` formats the
// error for the operator where it is logged or printed.
#pragma once

#include <string>

namespace lynxgrade {

// The step of the start that failed, and what `subject` and `cause` contain.
enum class StartErrorCode {
  kConfigNotNamed,      // RELAY_CONFIG, the path of the platform configuration, is not set
  kConfigMissing,       // subject: the file
  kConfigInvalid,       // subject: the file; cause: the problem
  kSettingsMissing,     // subject: the file
  kSettingsUnreadable,  // subject: the file
  kSettingsInvalid,     // subject: the file; cause: the problem, with line and column
  kListen,              // subject: the address; cause: the system error
  kAdminListen,         // subject: the address; cause: the system error
  kPeerAddress,         // the listen address for peers is not an address of this machine
  kPeerListen,          // subject: the address; cause: the system error
  kPeerKeysMissing,     // subject: the file
  kPeerKeysInvalid,     // subject: the file; cause: the problem
  kReplicationModule,   // cause: the error of the dynamic loader
  kStateFolder,         // subject: the folder; cause: the system error
  kStateWrite,          // cause: the system error
};

struct StartError {
  StartErrorCode code{};
  std::string subject;
  std::string cause;
};

// Returns one sentence for the operator, without a full stop.
std::string Describe(const StartError& error);

}  // namespace lynxgrade
