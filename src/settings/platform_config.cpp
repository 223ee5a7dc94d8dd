#include "settings/platform_config.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "simulator/codec.h"
#include "simulator/settings_json.h"

namespace lynxgrade {
namespace {

using Json = nlohmann::json;

std::string Name(const Json& json, const char* field) {
  if (!json.is_object() || !json.contains(field) || !json[field].is_string()) {
    throw std::runtime_error(std::string("'") + field + "' is missing or not a string");
  }
  return json[field].get<std::string>();
}

std::vector<std::string> Names(const Json& settings, const char* field, bool of_objects) {
  std::vector<std::string> names;
  if (!settings.contains(field)) return names;
  if (!settings[field].is_array()) throw std::runtime_error(std::string("'") + field + "' is not an array");
  for (const Json& item : settings[field]) {
    if (!of_objects && !item.is_string()) {
      throw std::runtime_error(std::string("'") + field + "' holds no names");
    }
    names.push_back(of_objects ? Name(item, "name") : item.get<std::string>());
  }
  return names;
}

net::Address AddressIn(const Json& json, const char* field) {
  const auto address = net::ParseAddress(Name(json, field));
  if (!address) throw std::runtime_error(std::string("'") + field + "' is not an address and a port");
  return *address;
}

std::uint64_t Seed(const std::string& text) {
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
    throw std::runtime_error("'seed' is not a hexadecimal number of 64 bits");
  }
  return seed;
}

PlatformConfig Decode(const Json& json) {
  if (!json.is_object()) throw std::runtime_error("it is not a JSON object");
  PlatformConfig config;
  config.name = Name(json, "name");
  config.listen = AddressIn(json, "listen");
  config.discovery = AddressIn(json, "discovery");
  config.seed = Seed(Name(json, "seed"));
  const Json limits = json.value("limits", Json::object());
  if (!limits.is_object()) throw std::runtime_error("'limits' is not an object");
  if (limits.contains("sockets")) {
    const Json& sockets = limits["sockets"];
    if (!sockets.is_number_integer() || sockets.get<std::int64_t>() < 16) {
      throw std::runtime_error("'sockets' is not a whole number of at least 16");
    }
    config.sockets = sockets.get<std::size_t>();
  }
  if (!json.contains("settings") || !json["settings"].is_object()) {
    throw std::runtime_error("'settings' is missing or not an object");
  }
  const Json& settings = json["settings"];
  config.settings = simulator::DecodeSettings(settings);
  if (config.settings.classes.empty()) throw std::runtime_error("the settings name no class");
  config.classes = Names(settings, "classes", true);
  config.tenants = Names(settings, "customers", true);
  config.zones = Names(settings, "zones", false);
  const Json own_limits = settings.value("limits", Json::object());
  if (own_limits.contains("conn_idle_us")) {
    const Json& idle = own_limits["conn_idle_us"];
    if (!idle.is_number_integer() || idle.get<std::int64_t>() <= 0) {
      throw std::runtime_error("'conn_idle_us' is not a whole number above 0");
    }
    config.idle = Duration(idle.get<std::int64_t>());
  }
  if (json.contains("known")) config.known = json["known"].dump();
  return config;
}

}  // namespace

std::variant<PlatformConfig, std::string> ParsePlatformConfig(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) return std::string("it is not JSON");
  try {
    return Decode(json);
  } catch (const Json::exception&) {
    return std::string("a value is not of its kind");
  } catch (const std::runtime_error& error) {
    return std::string(error.what());
  }
}

}  // namespace lynxgrade
