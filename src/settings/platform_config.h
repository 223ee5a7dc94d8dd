// What the pooler is told at its start: the file that RELAY_CONFIG names.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "discovery/endpoint_list.h"
#include "net/connection.h"
#include "routing/balancer.h"

namespace lynxgrade {

struct PlatformConfig {
  std::string name;
  net::Address listen;
  net::Address discovery;
  std::uint64_t seed = 0;
  std::size_t sockets = 1024;
  Settings settings;
  std::vector<std::string> classes;
  std::vector<std::string> tenants;
  std::vector<std::string> zones;
  Duration idle{15000000};
  std::string known;  // the list as this pooler last had it, as JSON
};

// The configuration, or one plain sentence that says what is wrong with it.
std::variant<PlatformConfig, std::string> ParsePlatformConfig(std::string_view text);

}  // namespace lynxgrade
