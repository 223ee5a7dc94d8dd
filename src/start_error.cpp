#include "start_error.h"

namespace lynxgrade {

std::string Describe(const StartError& error) {
  switch (error.code) {
    case StartErrorCode::kConfigNotNamed:
      return "RELAY_CONFIG names no configuration";
    case StartErrorCode::kConfigMissing:
      return "the configuration " + error.subject + " cannot be opened";
    case StartErrorCode::kConfigInvalid:
      return "the configuration " + error.subject + " is not usable: " + error.cause;
    case StartErrorCode::kSettingsMissing:
      return "the settings " + error.subject + " cannot be opened";
    case StartErrorCode::kSettingsUnreadable:
      return "the settings " + error.subject + " cannot be read";
    case StartErrorCode::kSettingsInvalid:
      return "the settings " + error.subject + ": " + error.cause;
    case StartErrorCode::kListen:
      return "cannot listen on " + error.subject + ": " + error.cause;
    case StartErrorCode::kAdminListen:
      return "cannot answer operators on " + error.subject + ": " + error.cause;
    case StartErrorCode::kPeerAddress:
      return "the address for peers is none of this machine's";
    case StartErrorCode::kPeerListen:
      return "cannot listen for peers on " + error.subject + ": " + error.cause;
    case StartErrorCode::kPeerKeysMissing:
      return "the keys " + error.subject + " cannot be opened";
    case StartErrorCode::kPeerKeysInvalid:
      return "the keys " + error.subject + " are not usable: " + error.cause;
    case StartErrorCode::kReplicationModule:
      return "the peers' module cannot be loaded: " + error.cause;
    case StartErrorCode::kStateFolder:
      return "the folder " + error.subject + " cannot be made: " + error.cause;
    case StartErrorCode::kStateWrite:
      return error.cause;
  }
  return error.cause;
}

}  // namespace lynxgrade
