// Recovery at the start: reads what an earlier incarnation of this instance left in its state folder.
//
// A fault of the folder or of a file costs the recovered state, never the start: it is described in the
// report, and the session guard then treats the unknown writes conservatively.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "consistency/session_consistency_guard.h"
#include "durability/record_format.h"
#include "settings/program_settings.h"

namespace lynxgrade::durability {

// What recovery found, for the log.
struct RecoveryReport {
  enum class Outcome { kRecovered, kFolderUnreadable, kNoState, kFileUnusable };

  Outcome outcome = Outcome::kRecovered;
  std::string path;          // of the folder, or of the file that was used or could not be
  std::string system_error;  // kFolderUnreadable
  StateFileError file_error = StateFileError::kUnreadable;  // kFileUnusable
  // kRecovered:
  std::size_t records = 0;
  bool last_record_torn = false;
  std::uint64_t damaged_bytes = 0;
  bool continuation_missing = false;  // the file continues in another one, which cannot be used
  bool complete = false;
};
// One plain sentence, without a full stop.
std::string Describe(const RecoveryReport& report);

struct RecoveredState {
  std::vector<Record> records;
  // All writes that this instance answered before this time are among the records; absent: none are known to
  // be.
  std::optional<TimePoint> complete_through{};
  bool complete = false;         // the records hold every write that this instance has answered
  std::uint64_t generation = 0;  // the highest one in the folder; zero if there is none
  RecoveryReport report;
};

// Reads the newest finished file of `folder`, and the unfinished one that it continues in. `boot_id_hash`
// identifies the machine's present boot, `commit` what answers waited for when the files were written. Blocks
// while it reads.
RecoveredState Recover(const std::string& folder, const std::string& instance_name,
                       std::uint64_t boot_id_hash, CommitMode commit);

// A hash of the machine's present boot id; zero if the system does not provide one.
std::uint64_t CurrentBootIdHash();

// Passes the recovered watermarks, timelines and conservative positions to `guard`.
void ApplyRecoveredState(const RecoveredState& recovered, consistency::SessionConsistencyGuard& guard);

}  // namespace lynxgrade::durability
