// Reads target files, records of runs and the page template from disk. Parsing is in target.h and
// measurements.h.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "capacity/measurements.h"
#include "capacity/target.h"

namespace lynxgrade::capacity {

// The parsed contents, or an error message that names the file.
std::variant<Target, std::string> LoadTarget(const std::string& path);
std::variant<std::vector<Record>, std::string> LoadMeasurements(const std::vector<std::string>& paths);

struct LoadError {
  std::string message;
};
// The text of the page template (page.md.in), or an error that names the file.
std::variant<std::string, LoadError> LoadPageTemplate(const std::string& path);

// The paths of the folder's measurements*.json, sorted by name. The page is computed from all of them.
std::vector<std::string> ListMeasurementFiles(const std::string& folder);

}  // namespace lynxgrade::capacity
