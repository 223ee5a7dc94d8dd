// The files in a state folder and their names. `sessions-N` is the finished file of generation N;
// `sessions-N.new` is an unfinished one, whose snapshot is not complete yet.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace lynxgrade::durability {

enum class StateFileStatus { kFinished, kUnfinished };

struct StateFile {
  std::string path;
  std::uint64_t generation = 0;
  StateFileStatus status = StateFileStatus::kFinished;
};

// The path of the state file of this generation.
std::string StateFilePath(std::string_view folder, std::uint64_t generation, StateFileStatus status);

struct StateFileList {
  std::vector<StateFile> files;  // in no particular order
  std::error_code error;         // set if reading the folder failed; `files` then has those found before
};
// Lists the state files of `folder`. Files with other names are ignored.
StateFileList ListStateFiles(const std::string& folder);

}  // namespace lynxgrade::durability
