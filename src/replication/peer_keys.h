// The shared keys with which the instances authenticate their datagrams, and the key file.
//
// Each line of the file contains one key: its number from 1 to 255, then 64 or more hexadecimal digits; '#'
// begins a comment. The first key is used to sign, all keys are accepted. To rotate keys, add the new key on
// all instances, then move it to the first line on all instances, then remove the old one.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "start_error.h"

namespace lynxgrade::replication {

struct SharedKey {
  std::uint8_t number = 0;
  std::string secret;  // bytes
};

enum class SharedKeyErrorCode {
  kNumber,     // not from 1 to 255
  kSecret,     // not 64 or more hexadecimal digits
  kTrailing,   // unexpected text after the key
  kDuplicate,  // same number as on an earlier line
  kNoKey,      // the file contains no key
};

struct SharedKeyError {
  SharedKeyErrorCode code{};
  int line = 0;  // from 1; zero if the error concerns the whole file
};

// A message for the operator, without a full stop.
std::string Describe(const SharedKeyError& error);

// Parses the text of a key file. Returns at least one key, or the first error.
tl::expected<std::vector<SharedKey>, SharedKeyError> ParseSharedKeys(std::string_view text);
// Reads and parses a key file. Fails with kPeerKeysMissing or kPeerKeysInvalid.
tl::expected<std::vector<SharedKey>, StartError> LoadSharedKeys(const std::string& path);

}  // namespace lynxgrade::replication
