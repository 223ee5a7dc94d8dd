// Errors that keep the program, or one part of it, from starting.
//
// A function that can fail at the start returns `tl::expected<T, StartError>`. The error is typed; the
// sentence for the operator is made once, by `Describe`, where it is logged or printed.
#pragma once

#include <string>

namespace lynxgrade {

// What could not be done at the start.
enum class StartErrorCode {
  kConfigNotNamed,      // RELAY_CONFIG, which names the platform's configuration, is not set
  kConfigMissing,       // subject: the file
  kConfigInvalid,       // subject: the file; cause: what is wrong with it
  kSettingsMissing,     // subject: the file
  kSettingsUnreadable,  // subject: the file
  kSettingsInvalid,     // subject: the file; cause: what is wrong with it, with line and column
  kListen,              // subject: the address; cause: what the system says
  kAdminListen,         // subject: the address; cause: what the system says
  kPeerAddress,         // the address for peers belongs to no interface of this machine
  kPeerListen,          // subject: the address; cause: what the system says
  kPeerKeysMissing,     // subject: the file
  kPeerKeysInvalid,     // subject: the file; cause: what is wrong with it
  kReplicationModule,   // cause: what the loader says
  kStateFolder,         // subject: the folder; cause: what the system says
  kStateWrite,          // cause: what the system says
};

struct StartError {
  StartErrorCode code{};
  std::string subject;
  std::string cause;
};

// One plain sentence for the operator, without a full stop.
std::string Describe(const StartError& error);

}  // namespace lynxgrade
