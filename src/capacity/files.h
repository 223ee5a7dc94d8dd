// Reads target files and records from disk, and nothing more: what they mean is in target.h and
// measurements.h.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "capacity/measurements.h"
#include "capacity/target.h"

namespace lynxgrade::capacity {

// Or one plain sentence that names the file.
std::variant<Target, std::string> LoadTarget(const std::string& path);
std::variant<std::vector<Record>, std::string> LoadMeasurements(const std::vector<std::string>& paths);

// The words of the page, or a sentence as above.
struct Unread {
  std::string why;
};
std::variant<std::string, Unread> LoadWords(const std::string& path);

// The folder's measurements*.json, in the order of their names; all that the page is computed from.
std::vector<std::string> MeasurementFiles(const std::string& folder);

}  // namespace lynxgrade::capacity
