// What is wrong with a settings file, and where.
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
// One plain sentence that names line and column, without a full stop.
std::string Describe(const SettingsError& error);

}  // namespace lynxgrade
