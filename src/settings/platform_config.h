// The platform's configuration of a pooler, from the JSON file named by the environment variable
// RELAY_CONFIG.
#pragma once

#include <cstdint>
#include <optional>
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
  std::size_t max_descriptors = 1024;  // file descriptors of all connections
  // Of the whole process, which is killed above it; absent: no limit is known.
  std::optional<std::size_t> max_memory_bytes;
  Settings settings;
  // The names of request classes, tenants and zones, by index.
  std::vector<std::string> classes;
  std::vector<std::string> tenants;
  std::vector<std::string> zones;
  Duration server_idle_timeout{15000000};  // an unused server connection is closed after this
  std::string known_endpoint_list;         // the last endpoint list of this pooler, as JSON; may be empty
};

// Why a configuration is invalid.
struct ConfigError {
  std::string problem;  // a phrase without a full stop
};

// Parses a JSON document. Returns the first error.
tl::expected<PlatformConfig, ConfigError> ParsePlatformConfig(std::string_view text);
// Reads and parses the file that RELAY_CONFIG names.
tl::expected<PlatformConfig, StartError> LoadPlatformConfig();

}  // namespace lynxgrade
