// Recovery at startup: reads the state that an earlier process of this instance left in its state folder.
//
// A fault of the folder or of a file never prevents the start. It is described in the report, and the session
// guard treats the writes that could not be recovered conservatively.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "consistency/session_consistency_guard.h"
#include "durability/record_format.h"
#include "settings/program_settings.h"

namespace lynxgrade::durability {

// The result of recovery, for the log.
struct RecoveryReport {
  enum class Outcome { kRecovered, kFolderUnreadable, kNoState, kFileUnusable };

  Outcome outcome = Outcome::kRecovered;
  std::string path;  // of the folder, or with kRecovered and kFileUnusable of the newest finished file
  std::string system_error;                                 // set with kFolderUnreadable
  StateFileError file_error = StateFileError::kUnreadable;  // set with kFileUnusable
  // Set with kRecovered:
  std::size_t records = 0;
  bool last_record_torn = false;
  std::uint64_t damaged_bytes = 0;
  bool continuation_missing = false;  // the file is continued in another file that cannot be used
  bool complete = false;
};
// One sentence for the log, without a full stop.
std::string Describe(const RecoveryReport& report);

// The state left by the earlier process.
struct RecoveredState {
  std::vector<Record> records;
  // The records include all writes that this instance answered before this time. Absent if nothing is known.
  std::optional<TimePoint> complete_through{};
  bool complete = false;         // the records include every write that this instance answered
  std::uint64_t generation = 0;  // the highest one in the folder; zero if there is none
  RecoveryReport report;
};

// Reads the newest finished file of `folder`, and the unfinished one that it continues in. `boot_id_hash`
// identifies the current boot of the machine; `commit` is the mode in which the files were written. Blocks
// while it reads.
RecoveredState RecoverState(const std::string& folder, const std::string& instance_name,
                            std::uint64_t boot_id_hash, CommitMode commit);

// The hash of the machine's current boot id; zero if the system does not provide one.
std::uint64_t CurrentBootIdHash();

// Passes the recovered watermarks, timelines and conservative positions to `guard`.
void ApplyRecoveredState(const RecoveredState& recovered, consistency::SessionConsistencyGuard& guard);

}  // namespace lynxgrade::durability
