#include "settings/platform_config.h"

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

#include "simulator/codec.h"
#include "simulator/settings_json.h"

namespace lynxgrade {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t kMinDescriptors = 16;
constexpr double kBytesPerMegabyte = 1e6;
constexpr int kHexadecimal = 16;

tl::unexpected<ConfigError> MakeError(std::string problem) {
  return tl::unexpected(ConfigError{std::move(problem)});
}

std::string Quoted(const char* field) { return std::string("'") + field + "'"; }

tl::expected<std::string, ConfigError> ReadString(const Json& json, const char* field) {
  if (!json.is_object() || !json.contains(field) || !json[field].is_string()) {
    return MakeError(Quoted(field) + " is missing or not a string");
  }
  return json[field].get<std::string>();
}

// An array of strings, or of objects with a name. An absent field counts as an empty array.
enum class NameArray { kStrings, kNamedObjects };

tl::expected<std::vector<std::string>, ConfigError> ReadNames(const Json& json, const char* field,
                                                              NameArray kind) {
  std::vector<std::string> names;
  if (!json.contains(field)) return names;
  if (!json[field].is_array()) return MakeError(Quoted(field) + " is not an array");
  for (const Json& item : json[field]) {
    if (kind == NameArray::kNamedObjects) {
      auto name = ReadString(item, "name");
      if (!name) return tl::unexpected(std::move(name.error()));
      names.push_back(std::move(*name));
    } else if (item.is_string()) {
      names.push_back(item.get<std::string>());
    } else {
      return MakeError(Quoted(field) + " has an element that is not a string");
    }
  }
  return names;
}

tl::expected<net::Address, ConfigError> ReadAddress(const Json& json, const char* field) {
  const auto text = ReadString(json, field);
  if (!text) return tl::unexpected(text.error());
  const auto address = net::ParseAddress(*text);
  if (!address) return MakeError(Quoted(field) + " is not an IP address with a port");
  return *address;
}

tl::expected<std::uint64_t, ConfigError> ReadSeed(const Json& json) {
  const auto text = ReadString(json, "seed");
  if (!text) return tl::unexpected(text.error());
  std::uint64_t seed = 0;
  const char* const last = text->data() + text->size();
  const auto [end, error] = std::from_chars(text->data(), last, seed, kHexadecimal);
  if (text->empty() || error != std::errc() || end != last) {
    return MakeError("'seed' is not a 64-bit hexadecimal number");
  }
  return seed;
}

// The name, the addresses and the seed of this instance.
tl::expected<void, ConfigError> ReadIdentity(const Json& json, PlatformConfig& config) {
  auto name = ReadString(json, "name");
  if (!name) return tl::unexpected(std::move(name.error()));
  auto listen = ReadAddress(json, "listen");
  if (!listen) return tl::unexpected(std::move(listen.error()));
  auto discovery = ReadAddress(json, "discovery");
  if (!discovery) return tl::unexpected(std::move(discovery.error()));
  const auto seed = ReadSeed(json);
  if (!seed) return tl::unexpected(seed.error());
  config.name = std::move(*name);
  config.listen = std::move(*listen);
  config.discovery = std::move(*discovery);
  config.seed = *seed;
  return {};
}

tl::expected<void, ConfigError> ReadProcessLimits(const Json& json, PlatformConfig& config) {
  const Json limits = json.value("limits", Json::object());
  if (!limits.is_object()) return MakeError("'limits' is not an object");
  if (limits.contains("memory_mb")) {
    const Json& memory = limits["memory_mb"];
    if (!memory.is_number() || memory.get<double>() <= 0)
      return MakeError("'memory_mb' is not a positive number");
    config.max_memory_bytes = static_cast<std::size_t>(memory.get<double>() * kBytesPerMegabyte);
  }
  if (!limits.contains("sockets")) return {};
  const Json& sockets = limits["sockets"];
  if (!sockets.is_number_integer() || sockets.get<std::int64_t>() < kMinDescriptors) {
    return MakeError("'sockets' is not an integer of at least 16");
  }
  config.max_descriptors = sockets.get<std::size_t>();
  return {};
}

tl::expected<void, ConfigError> ReadIdleTimeout(const Json& settings, PlatformConfig& config) {
  const Json limits = settings.value("limits", Json::object());
  if (!limits.contains("conn_idle_us")) return {};
  const Json& idle = limits["conn_idle_us"];
  if (!idle.is_number_integer() || idle.get<std::int64_t>() <= 0) {
    return MakeError("'conn_idle_us' is not a positive integer");
  }
  config.server_idle_timeout = Duration(idle.get<std::int64_t>());
  return {};
}

tl::expected<void, ConfigError> ReadRoutingSettings(const Json& settings, PlatformConfig& config) {
  config.settings = simulator::DecodeSettings(settings);
  if (config.settings.classes.empty()) return MakeError("'settings.classes' is empty");
  auto classes = ReadNames(settings, "classes", NameArray::kNamedObjects);
  if (!classes) return tl::unexpected(std::move(classes.error()));
  auto tenants = ReadNames(settings, "customers", NameArray::kNamedObjects);
  if (!tenants) return tl::unexpected(std::move(tenants.error()));
  auto zones = ReadNames(settings, "zones", NameArray::kStrings);
  if (!zones) return tl::unexpected(std::move(zones.error()));
  config.classes = std::move(*classes);
  config.tenants = std::move(*tenants);
  config.zones = std::move(*zones);
  return ReadIdleTimeout(settings, config);
}

tl::expected<PlatformConfig, ConfigError> ReadConfig(const Json& json) {
  if (!json.is_object()) return MakeError("not a JSON object");
  PlatformConfig config;
  if (auto result = ReadIdentity(json, config); !result) return tl::unexpected(std::move(result.error()));
  if (auto result = ReadProcessLimits(json, config); !result) {
    return tl::unexpected(std::move(result.error()));
  }
  if (!json.contains("settings") || !json["settings"].is_object()) {
    return MakeError("'settings' is missing or not an object");
  }
  if (auto result = ReadRoutingSettings(json["settings"], config); !result) {
    return tl::unexpected(std::move(result.error()));
  }
  if (json.contains("known")) config.known_endpoint_list = json["known"].dump();
  return config;
}

}  // namespace

tl::expected<PlatformConfig, ConfigError> ParsePlatformConfig(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) return MakeError("malformed JSON");
  try {
    return ReadConfig(json);
  } catch (const Json::exception&) {
    return MakeError("a value has the wrong type");
  } catch (const std::runtime_error& error) {  // thrown by DecodeSettings
    return MakeError(error.what());
  }
}

tl::expected<PlatformConfig, StartError> LoadPlatformConfig() {
  const char* path = std::getenv("RELAY_CONFIG");
  if (path == nullptr) return tl::unexpected(StartError{StartErrorCode::kConfigNotNamed, {}, {}});
  std::ifstream file(path);
  if (!file) return tl::unexpected(StartError{StartErrorCode::kConfigMissing, path, {}});
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  return ParsePlatformConfig(text).map_error([path](const ConfigError& error) {
    return StartError{StartErrorCode::kConfigInvalid, path, error.problem};
  });
}

}  // namespace lynxgrade
