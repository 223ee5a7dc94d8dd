#include "start_error.h"

namespace lynxgrade {

std::string Describe(const StartError& error) {
  switch (error.code) {
    case StartErrorCode::kConfigNotNamed:
      return "RELAY_CONFIG is not set; it has to be the path of the platform configuration";
    case StartErrorCode::kConfigMissing:
      return "platform configuration " + error.subject + " cannot be opened";
    case StartErrorCode::kConfigInvalid:
      return "platform configuration " + error.subject + " is invalid: " + error.cause;
    case StartErrorCode::kSettingsMissing:
      return "settings " + error.subject + " cannot be opened";
    case StartErrorCode::kSettingsUnreadable:
      return "settings " + error.subject + " cannot be read";
    case StartErrorCode::kSettingsInvalid:
      return "settings " + error.subject + " are invalid: " + error.cause;
    case StartErrorCode::kListen:
      return "cannot listen for clients on " + error.subject + ": " + error.cause;
    case StartErrorCode::kAdminListen:
      return "cannot listen for admin connections on " + error.subject + ": " + error.cause;
    case StartErrorCode::kPeerAddress:
      return "the listen address for peers is not an address of this machine";
    case StartErrorCode::kPeerListen:
      return "cannot listen for peers on " + error.subject + ": " + error.cause;
    case StartErrorCode::kPeerKeysMissing:
      return "peer key file " + error.subject + " cannot be opened";
    case StartErrorCode::kPeerKeysInvalid:
      return "peer key file " + error.subject + " is invalid: " + error.cause;
    case StartErrorCode::kReplicationModule:
      return "replication module cannot be loaded: " + error.cause;
    case StartErrorCode::kStateFolder:
      return "state folder " + error.subject + " cannot be created: " + error.cause;
    case StartErrorCode::kStateWrite:
      return error.cause;
  }
  return error.cause;
}

}  // namespace lynxgrade
