// The platform's configuration of a pooler: the JSON file that the environment variable RELAY_CONFIG names.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "net/connection.h"
#include "routing/balancer.h"
#include "start_error.h"

namespace lynxgrade {

struct PlatformConfig {
  std::string name;  // of this instance
  net::Address listen;
  net::Address discovery;
  std::uint64_t seed = 0;
  std::size_t max_descriptors = 1024;  // file descriptors for connections, at most
  Settings settings;
  // Names by index: of request classes, of tenants and of zones.
  std::vector<std::string> classes;
  std::vector<std::string> tenants;
  std::vector<std::string> zones;
  Duration server_idle_timeout{15000000};  // after which an unused server connection is closed
  std::string known_endpoint_list;  // the endpoint list as this pooler last had it, as JSON; may be empty
};

// Why a configuration cannot be used.
struct ConfigError {
  std::string problem;  // one plain phrase
};

// Reads the configuration in `text`, a JSON document. The first error is returned.
tl::expected<PlatformConfig, ConfigError> ParsePlatformConfig(std::string_view text);
// The same for the file that RELAY_CONFIG names.
tl::expected<PlatformConfig, StartError> LoadPlatformConfig();

}  // namespace lynxgrade
