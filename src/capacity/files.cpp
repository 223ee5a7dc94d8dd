#include "capacity/files.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>

namespace lynxgrade::capacity {
namespace {

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file.is_open() || file.bad()) return std::nullopt;
  return text;
}

}  // namespace

std::variant<Target, std::string> LoadTarget(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text) return "the target " + path + " cannot be read";
  auto target = ParseTarget(*text);
  if (auto* error = std::get_if<std::string>(&target)) return "the target " + path + ": " + *error;
  return target;
}

std::variant<std::vector<Record>, std::string> LoadMeasurements(const std::vector<std::string>& paths) {
  std::vector<Record> all;
  for (const std::string& path : paths) {
    const auto text = ReadFile(path);
    if (!text) return "the measurements " + path + " cannot be read";
    auto records = ParseMeasurements(*text);
    if (auto* error = std::get_if<std::string>(&records)) return "the measurements " + path + ": " + *error;
    for (Record& record : std::get<std::vector<Record>>(records)) all.push_back(std::move(record));
  }
  return all;
}

std::variant<std::string, LoadError> LoadPageTemplate(const std::string& path) {
  auto text = ReadFile(path);
  if (!text) return LoadError{"the page template " + path + " cannot be read"};
  return *std::move(text);
}

std::vector<std::string> ListMeasurementFiles(const std::string& folder) {
  std::vector<std::string> found;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    const std::string name = entry.path().filename().string();
    if (name.starts_with("measurements") && name.ends_with(".json")) found.push_back(folder + "/" + name);
  }
  std::sort(found.begin(), found.end());
  return found;
}

}  // namespace lynxgrade::capacity
