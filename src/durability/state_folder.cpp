#include "durability/state_folder.h"

#include <charconv>
#include <filesystem>
#include <optional>

namespace lynxgrade::durability {
namespace {

constexpr std::string_view kPrefix = "sessions-";
constexpr std::string_view kUnfinishedSuffix = ".new";

std::optional<std::uint64_t> ParseGeneration(std::string_view digits) {
  std::uint64_t generation = 0;
  const char* const last = digits.data() + digits.size();
  const auto [end, error] = std::from_chars(digits.data(), last, generation);
  if (error != std::errc() || end != last) return std::nullopt;
  return generation;
}

std::optional<StateFile> ParseStateFile(const std::filesystem::path& path) {
  const std::string filename = path.filename().string();
  std::string_view name = filename;
  StateFileStatus status = StateFileStatus::kFinished;
  if (name.ends_with(kUnfinishedSuffix)) {
    status = StateFileStatus::kUnfinished;
    name.remove_suffix(kUnfinishedSuffix.size());
  }
  if (!name.starts_with(kPrefix)) return std::nullopt;
  const auto generation = ParseGeneration(name.substr(kPrefix.size()));
  if (!generation) return std::nullopt;
  return StateFile{path.string(), *generation, status};
}

}  // namespace

std::string StateFilePath(std::string_view folder, std::uint64_t generation, StateFileStatus status) {
  std::string path(folder);
  path += "/";
  path += kPrefix;
  path += std::to_string(generation);
  if (status == StateFileStatus::kUnfinished) path += kUnfinishedSuffix;
  return path;
}

StateFileList ListStateFiles(const std::string& folder) {
  StateFileList list;
  std::filesystem::directory_iterator entry(folder, list.error);
  for (const std::filesystem::directory_iterator end; !list.error && entry != end;
       entry.increment(list.error)) {
    if (auto file = ParseStateFile(entry->path())) list.files.push_back(std::move(*file));
  }
  return list;
}

}  // namespace lynxgrade::durability
