#include "settings/toml_section.h"

#include <algorithm>

namespace lynxgrade {

TomlSection::TomlSection(const toml::table& root, std::string name, FirstError& errors)
    : name_(std::move(name)), errors_(errors) {
  const toml::node* node = root.get(name_);
  if (node == nullptr) return;
  table_ = node->as_table();
  if (table_ == nullptr) RecordError(node->source().begin, "'" + name_ + "' is not a table");
}

void TomlSection::ReadString(const char* key, std::string& value) {
  const toml::node* node = FindNode(key);
  if (node == nullptr) return;
  if (!node->is_string()) return RecordError(node->source().begin, QualifiedName(key) + " is not a string");
  value = node->as_string()->get();
}

void TomlSection::ReadFlag(const char* key, bool& value) {
  const toml::node* node = FindNode(key);
  if (node == nullptr) return;
  if (!node->is_boolean()) {
    return RecordError(node->source().begin, QualifiedName(key) + " is not a boolean");
  }
  value = node->as_boolean()->get();
}

std::optional<std::int64_t> TomlSection::ReadInteger(const char* key, std::int64_t min, std::int64_t max) {
  const toml::node* node = FindNode(key);
  if (node == nullptr) return std::nullopt;
  if (!node->is_integer()) {
    RecordError(node->source().begin, QualifiedName(key) + " is not an integer");
    return std::nullopt;
  }
  const std::int64_t value = node->as_integer()->get();
  if (value < min || value > max) {
    RecordError(node->source().begin, QualifiedName(key) + " is out of range (" + std::to_string(min) +
                                          " to " + std::to_string(max) + ")");
    return std::nullopt;
  }
  return value;
}

void TomlSection::ReadRate(const char* key, double& per_second, std::int64_t max) {
  if (const auto count = ReadInteger(key, 0, max)) per_second = static_cast<double>(*count);
}

void TomlSection::ReadSize(const char* key, std::size_t& value, std::int64_t min, std::int64_t max,
                           std::size_t unit) {
  if (const auto count = ReadInteger(key, min, max)) value = static_cast<std::size_t>(*count) * unit;
}

void TomlSection::ReadDuration(const char* key, Duration& value, std::int64_t min, std::int64_t max,
                               Duration unit) {
  if (const auto count = ReadInteger(key, min, max)) value = unit * *count;
}

std::optional<net::Address> TomlSection::ReadAddress(const char* key) {
  std::string text;
  ReadString(key, text);
  if (text.empty()) return std::nullopt;
  return ParseAddress(*FindNode(key), key, text);
}

void TomlSection::ReadAddresses(const char* key, std::vector<net::Address>& values) {
  const toml::node* node = FindNode(key);
  if (node == nullptr) return;
  if (!node->is_array()) return RecordError(node->source().begin, QualifiedName(key) + " is not an array");
  for (const toml::node& item : *node->as_array()) {
    if (!item.is_string()) {
      return RecordError(item.source().begin, QualifiedName(key) + " has an element that is not a string");
    }
    if (const auto address = ParseAddress(item, key, item.as_string()->get())) values.push_back(*address);
  }
}

void TomlSection::RejectUnknownKeys() {
  if (table_ == nullptr) return;
  for (const auto& [key, node] : *table_) {
    const std::string name(key.str());
    if (std::ranges::find(known_keys_, name) == known_keys_.end()) {
      RecordError(key.source().begin, QualifiedName(name.c_str()) + " is an unknown key");
    }
  }
}

void TomlSection::Reject(const char* key, const std::string& problem) {
  const std::string sentence = QualifiedName(key) + " " + problem;
  if (const toml::node* node = FindNode(key)) return RecordError(node->source().begin, sentence);
  if (table_ != nullptr) return RecordError(table_->source().begin, sentence);
  errors_.Record({1, std::nullopt, sentence});
}

const toml::node* TomlSection::FindNode(const char* key) {
  known_keys_.emplace_back(key);
  return table_ == nullptr ? nullptr : table_->get(key);
}

void TomlSection::RecordError(const toml::source_position& position, const std::string& problem) {
  errors_.Record({position.line, position.column, problem});
}

std::optional<net::Address> TomlSection::ParseAddress(const toml::node& node, const char* key,
                                                      const std::string& text) {
  auto address = net::ParseAddress(text);
  if (!address) {
    RecordError(node.source().begin,
                QualifiedName(key) + ": \"" + text + "\" is not an IP address with a port");
  }
  return address;
}

}  // namespace lynxgrade
