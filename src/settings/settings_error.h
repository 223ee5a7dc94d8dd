// An error in a settings file, with its position.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace lynxgrade {

struct SettingsError {
  std::int64_t line = 1;
  std::optional<std::int64_t> column;
  std::string problem;
};
// One sentence with line and column, without a full stop.
std::string Describe(const SettingsError& error);

}  // namespace lynxgrade
