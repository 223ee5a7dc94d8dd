#include "capacity/files.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>

namespace lynxgrade::capacity {
namespace {

std::optional<std::string> Whole(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file.is_open() || file.bad()) return std::nullopt;
  return text;
}

}  // namespace

std::variant<Target, std::string> LoadTarget(const std::string& path) {
  const auto text = Whole(path);
  if (!text) return "the target " + path + " cannot be read";
  auto target = ReadTarget(*text);
  if (auto* wrong = std::get_if<std::string>(&target)) return "the target " + path + ": " + *wrong;
  return target;
}

std::variant<std::vector<Record>, std::string> LoadMeasurements(const std::vector<std::string>& paths) {
  std::vector<Record> all;
  for (const std::string& path : paths) {
    const auto text = Whole(path);
    if (!text) return "the measurements " + path + " cannot be read";
    auto records = ReadMeasurements(*text);
    if (auto* wrong = std::get_if<std::string>(&records)) return "the measurements " + path + ": " + *wrong;
    for (Record& record : std::get<std::vector<Record>>(records)) all.push_back(std::move(record));
  }
  return all;
}

std::variant<std::string, Unread> LoadWords(const std::string& path) {
  auto text = Whole(path);
  if (!text) return Unread{"the words of the page, " + path + ", cannot be read"};
  return *std::move(text);
}

std::vector<std::string> MeasurementFiles(const std::string& folder) {
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
