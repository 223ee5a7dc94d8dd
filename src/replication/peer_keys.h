// The keys that the instances share to authenticate their datagrams, and the file that holds them.
//
// A line a key: its number from 1 to 255, then 64 or more hexadecimal digits; '#' begins a comment. The first
// key signs, all verify: for a rotation a new key is added everywhere, then put first everywhere, then the
// old one is removed.
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
  kTrailing,   // something stands after the key
  kDuplicate,  // the number of an earlier line
  kNoKey,      // of the whole file
};

struct SharedKeyError {
  SharedKeyErrorCode code{};
  int line = 0;  // from 1; zero for an error of the whole file
};

// One plain sentence for the operator, without a full stop.
std::string Describe(const SharedKeyError& error);

// The keys of a file's text, at least one; or the first error in it.
tl::expected<std::vector<SharedKey>, SharedKeyError> ParseSharedKeys(std::string_view text);
// The same for a file; kPeerKeysMissing or kPeerKeysInvalid.
tl::expected<std::vector<SharedKey>, StartError> LoadSharedKeys(const std::string& path);

}  // namespace lynxgrade::replication
