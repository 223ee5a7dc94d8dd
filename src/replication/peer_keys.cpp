#include "replication/peer_keys.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <optional>

namespace lynxgrade::replication {
namespace {

constexpr std::size_t kMinSecretBytes = 32;
constexpr unsigned kMaxKeyNumber = 255;

std::optional<std::string> BytesFromHex(std::string_view hex) {
  std::string bytes;
  if (hex.size() % 2 != 0) return std::nullopt;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    unsigned value = 0;
    const auto [end, error] = std::from_chars(hex.data() + i, hex.data() + i + 2, value, 16);
    if (error != std::errc() || end != hex.data() + i + 2) return std::nullopt;
    bytes += static_cast<char>(value);
  }
  return bytes;
}

// Removes the next token from the front of `line` and returns it; empty at the end of the line.
std::string_view NextToken(std::string_view& line) {
  const std::size_t begin = line.find_first_not_of(" \t\r");
  if (begin == std::string_view::npos) return line = {};
  const std::size_t end = std::min(line.find_first_of(" \t\r", begin), line.size());
  const std::string_view token = line.substr(begin, end - begin);
  line.remove_prefix(end);
  return token;
}

std::optional<std::uint8_t> ParseKeyNumber(std::string_view text) {
  unsigned number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  if (number < 1 || number > kMaxKeyNumber) return std::nullopt;
  return static_cast<std::uint8_t>(number);
}

// Parses a key whose number is the token `number_text` and whose secret is in `rest`.
tl::expected<SharedKey, SharedKeyErrorCode> ParseKey(std::string_view number_text, std::string_view rest) {
  const auto number = ParseKeyNumber(number_text);
  if (!number) return tl::unexpected(SharedKeyErrorCode::kNumber);
  const auto secret = BytesFromHex(NextToken(rest));
  if (!secret || secret->size() < kMinSecretBytes) return tl::unexpected(SharedKeyErrorCode::kSecret);
  if (!NextToken(rest).empty()) return tl::unexpected(SharedKeyErrorCode::kTrailing);
  return SharedKey{*number, *secret};
}

const char* Describe(SharedKeyErrorCode code) {
  switch (code) {
    case SharedKeyErrorCode::kNumber:
      return "key number is not an integer from 1 to 255";
    case SharedKeyErrorCode::kSecret:
      return "key is not 64 or more hexadecimal digits";
    case SharedKeyErrorCode::kTrailing:
      return "unexpected text after the key";
    case SharedKeyErrorCode::kDuplicate:
      return "duplicate key number";
    case SharedKeyErrorCode::kNoKey:
      return "file contains no key";
  }
  return "";
}

}  // namespace

std::string Describe(const SharedKeyError& error) {
  const std::string description = Describe(error.code);
  return error.line == 0 ? description : "line " + std::to_string(error.line) + ": " + description;
}

tl::expected<std::vector<SharedKey>, SharedKeyError> ParseSharedKeys(std::string_view text) {
  std::vector<SharedKey> keys;
  for (int line_number = 1; !text.empty(); ++line_number) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    line = line.substr(0, line.find('#'));
    const std::string_view number_text = NextToken(line);
    if (number_text.empty()) continue;
    const auto key = ParseKey(number_text, line);
    if (!key) return tl::unexpected(SharedKeyError{key.error(), line_number});
    if (std::ranges::find(keys, key->number, &SharedKey::number) != keys.end()) {
      return tl::unexpected(SharedKeyError{SharedKeyErrorCode::kDuplicate, line_number});
    }
    keys.push_back(*key);
  }
  if (keys.empty()) return tl::unexpected(SharedKeyError{SharedKeyErrorCode::kNoKey});
  return keys;
}

tl::expected<std::vector<SharedKey>, StartError> LoadSharedKeys(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return tl::unexpected(StartError{StartErrorCode::kPeerKeysMissing, path, {}});
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  return ParseSharedKeys(text).map_error([&path](const SharedKeyError& error) {
    return StartError{StartErrorCode::kPeerKeysInvalid, path, Describe(error)};
  });
}

}  // namespace lynxgrade::replication
