// Typed access to one table of a TOML document.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/connection.h"
#include "routing/balancer.h"
#include "settings/settings_error.h"

namespace lynxgrade {

// Keeps the first error of a document; later ones may be consequences of it.
class FirstError {
 public:
  void Record(SettingsError error) {
    if (!error_) error_ = std::move(error);
  }
  const std::optional<SettingsError>& error() const { return error_; }

 private:
  std::optional<SettingsError> error_;
};

// Each Read method assigns the value of a key. It leaves `value` unchanged if the key is absent or its value
// invalid, and records an error in the latter case. Keys that no Read method has named are rejected by
// RejectUnknownKeys.
class TomlSection {
 public:
  // Opens the table `name` of `root`, which may be absent. `root` and `errors` must outlive it.
  TomlSection(const toml::table& root, std::string name, FirstError& errors);

  void ReadString(const char* key, std::string& value);
  void ReadFlag(const char* key, bool& value);
  // `min` and `max` are inclusive, here and below.
  std::optional<std::int64_t> ReadInteger(const char* key, std::int64_t min, std::int64_t max);
  void ReadRate(const char* key, double& per_second, std::int64_t max);
  // The value in the file counts units of `unit`, here and below.
  void ReadSize(const char* key, std::size_t& value, std::int64_t min, std::int64_t max,
                std::size_t unit = 1);
  void ReadDuration(const char* key, Duration& value, std::int64_t min, std::int64_t max, Duration unit);
  // One of the names in `choices`.
  template <typename Value>
  void ReadChoice(const char* key, Value& value, const std::vector<std::pair<const char*, Value>>& choices);
  // Absent if the key is absent or its value is an empty string or invalid.
  std::optional<net::Address> ReadAddress(const char* key);
  void ReadAddresses(const char* key, std::vector<net::Address>& values);

  // Records an error for each key that was not read. To be called after the last Read method.
  void RejectUnknownKeys();
  // Records an error in a combination of values. `problem` is a phrase that follows the name of the key.
  void Reject(const char* key, const std::string& problem);

 private:
  // Null if the key is absent.
  const toml::node* FindNode(const char* key);
  std::string QualifiedName(const char* key) const { return "'" + name_ + "." + key + "'"; }
  void RecordError(const toml::source_position& position, const std::string& problem);
  std::optional<net::Address> ParseAddress(const toml::node& node, const char* key, const std::string& text);

  std::string name_;
  FirstError& errors_;
  const toml::table* table_ = nullptr;
  std::vector<std::string> known_keys_;
};

template <typename Value>
void TomlSection::ReadChoice(const char* key, Value& value,
                             const std::vector<std::pair<const char*, Value>>& choices) {
  const toml::node* node = FindNode(key);
  if (node == nullptr) return;
  std::string names;
  for (const auto& [name, choice] : choices) {
    if (node->is_string() && node->as_string()->get() == name) {
      value = choice;
      return;
    }
    names += (names.empty() ? "\"" : " or \"") + std::string(name) + "\"";
  }
  RecordError(node->source().begin, QualifiedName(key) + " is not " + names);
}

}  // namespace lynxgrade
