// Binary format of the state files: a header and records of fixed size, each with a checksum that also covers
// the position of the record in its file.
//
// Encodes and decodes bytes only; uses no files and no clock. All integers are little-endian; times and log
// positions are microseconds since 1970. A file holds a snapshot (timelines and watermarks, up to a
// SnapshotEndRecord), followed by the records appended since. Decoding stops at the first record whose
// checksum does not match.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "consistency/session_watermark_table.h"

namespace lynxgrade::durability {

inline constexpr std::uint32_t kFormatVersion = 1;
inline constexpr std::size_t kHeaderSize = 64;  // bytes
inline constexpr std::size_t kRecordSize = 48;  // bytes

struct FileHeader {
  std::uint64_t instance_hash = 0;  // hash of the name of the instance that wrote the file
  std::uint64_t boot_id_hash = 0;   // hash of the boot id of the machine when the file was created
  std::uint64_t generation = 0;     // incremented with each file of the instance
  TimePoint created{};
};

// The newest write of a session that has been answered.
struct WatermarkRecord {
  consistency::SessionKey session{};
  consistency::WriteWatermark watermark;
  bool operator==(const WatermarkRecord&) const = default;
};

// A term of a group's primary, the present one or one that was replaced recently, and the log positions known
// of it. Unless a TermProofRecord precedes it, it only says that the server was primary at both positions.
struct TimelineRecord {
  GroupId group{};
  ServerId primary{};
  LogPosition since{};             // first position that the server reported as primary
  LogPosition replicated_until{};  // position up to which it had replicated before it became the primary
  LogPosition confirmed{};         // newest position that it reported as primary
  bool operator==(const TimelineRecord&) const = default;
};

// Sessions without a watermark may have written up to `position`.
struct ConservativePositionRecord {
  LogPosition position{};
  bool operator==(const ConservativePositionRecord&) const = default;
};

// The snapshot at the beginning of the file is complete.
struct SnapshotEndRecord {
  TimePoint time{};
  bool operator==(const SnapshotEndRecord&) const = default;
};

// All writes answered before `time` precede this record.
struct CompleteThroughRecord {
  TimePoint time{};
  bool operator==(const CompleteThroughRecord&) const = default;
};

// The instance shut down cleanly and answered no write after this record.
struct CleanShutdownRecord {
  TimePoint time{};
  bool operator==(const CleanShutdownRecord&) const = default;
};

// All later records are in the file of `generation`, which may be finished or unfinished.
struct ContinuedInRecord {
  std::uint64_t generation = 0;
  TimePoint time{};
  bool operator==(const ContinuedInRecord&) const = default;
};

// The next record is a TimelineRecord of the group, during which no other server was primary. All writes
// answered before `time` precede this record.
struct TermProofRecord {
  GroupId group{};
  TimePoint time{};
  // The term to whose log `replicated_until` of the next record refers.
  std::optional<ServerId> predecessor{};
  LogPosition predecessor_since{};
  LogPosition predecessor_confirmed{};
  bool operator==(const TermProofRecord&) const = default;
};

// A record with a valid checksum and a type that this version does not know. Recovery ignores it.
struct UnknownRecord {
  std::uint8_t type = 0;
  TimePoint time{};
  bool operator==(const UnknownRecord&) const = default;
};

using Record = std::variant<WatermarkRecord, TimelineRecord, ConservativePositionRecord, SnapshotEndRecord,
                            CompleteThroughRecord, CleanShutdownRecord, ContinuedInRecord, TermProofRecord,
                            UnknownRecord>;

// Why a state file cannot be used.
enum class StateFileError {
  kUnreadable,       // the file cannot be opened, or is larger than any state file
  kTooShort,         // the file is shorter than a header
  kNotAStateFile,    // the file does not start with the magic number
  kUnknownVersion,   // the format version or the record size is not that of this version of the program
  kHeaderDamaged,    // the checksum of the header does not match
  kOtherInstance,    // the file was written by an instance of another name
  kSnapshotDamaged,  // there is no SnapshotEndRecord before the first invalid record
};

// A hash that is the same in every process. Instance names and boot ids are stored hashed.
std::uint64_t StableHash(std::string_view text);

// Appends an encoded header.
void AppendHeader(std::string& out, const FileHeader& header);
// Appends an encoded record. `index` is the number of records before it in the file that `header` begins.
void AppendRecord(std::string& out, const FileHeader& header, std::uint64_t index, const Record& record);

// Decodes the header at the beginning of `file`. The errors are kTooShort, kNotAStateFile, kHeaderDamaged and
// kUnknownVersion.
tl::expected<FileHeader, StateFileError> DecodeHeader(std::string_view file);

// The records of one file, up to the first invalid one.
struct FileContents {
  std::vector<Record> records;
  bool snapshot_complete = false;
  bool last_record_torn = false;                // the file ends within a record
  std::uint64_t damaged_bytes = 0;              // number of bytes from the first invalid record on
  std::optional<TimePoint> complete_through{};  // time of the last record that has a complete-through time
  bool clean_shutdown = false;                  // the last record is a CleanShutdownRecord
  std::optional<std::uint64_t> continued_in{};  // generation, if the last record is a ContinuedInRecord
};
// Decodes the records of `file`, whose header is `header`.
FileContents DecodeRecords(std::string_view file, const FileHeader& header);

}  // namespace lynxgrade::durability
