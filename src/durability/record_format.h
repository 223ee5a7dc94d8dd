// Binary format of the durable state: a header and records of fixed size, each with a checksum that also
// covers the record's position in its file.
//
// Encodes and decodes bytes only: no files, no clock. All integers are little-endian; times and log positions
// are microseconds since 1970. A file holds a snapshot (timelines, watermarks, then SnapshotEndRecord) and
// after it the records appended since. Decoding stops at the first record whose checksum does not match.
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
  std::uint64_t instance_hash = 0;  // of the name of the instance that wrote the file
  std::uint64_t boot_id_hash = 0;   // of the machine's boot in which it was written
  std::uint64_t generation = 0;     // grows by one with each file of the instance
  TimePoint created{};
};

// The newest answered write of a session.
struct WatermarkRecord {
  consistency::SessionKey session{};
  consistency::WriteWatermark watermark;
  bool operator==(const WatermarkRecord&) const = default;
};

// The present timeline of a group: its primary, and what is known of it.
struct TimelineRecord {
  GroupId group{};
  ServerId primary{};
  LogPosition since{};             // first position reported as primary
  LogPosition replicated_until{};  // position up to which it was known to have replicated before that
  LogPosition confirmed{};         // newest position reported as primary
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

// The instance shut down by itself and answered no write afterwards.
struct CleanShutdownRecord {
  TimePoint time{};
  bool operator==(const CleanShutdownRecord&) const = default;
};

// Later records are in the file of `generation`, whether that file has been finished or not.
struct ContinuedInRecord {
  std::uint64_t generation = 0;
  TimePoint time{};
  bool operator==(const ContinuedInRecord&) const = default;
};

// A record with a valid checksum whose type this version does not know. Recovery skips it.
struct UnknownRecord {
  std::uint8_t type = 0;
  TimePoint time{};
  bool operator==(const UnknownRecord&) const = default;
};

using Record = std::variant<WatermarkRecord, TimelineRecord, ConservativePositionRecord, SnapshotEndRecord,
                            CompleteThroughRecord, CleanShutdownRecord, ContinuedInRecord, UnknownRecord>;

// Why a state file cannot be used.
enum class StateFileError {
  kUnreadable,       // it cannot be opened, or is larger than any state file
  kTooShort,         // shorter than a header
  kNotAStateFile,    // another program's
  kUnknownVersion,   // of a later version of this program
  kHeaderDamaged,    // the header's checksum does not match
  kOtherInstance,    // written by an instance of another name
  kSnapshotDamaged,  // no SnapshotEndRecord before the first invalid record
};

// A hash that is the same in every process: names of instances and boots are stored as it.
std::uint64_t StableHash(std::string_view text);

void AppendHeader(std::string& out, const FileHeader& header);
// `index` is the number of records that precede this one in the file of `header`.
void AppendRecord(std::string& out, const FileHeader& header, std::uint64_t index, const Record& record);

// Decodes the header at the beginning of `file`. The errors are kTooShort, kNotAStateFile, kHeaderDamaged and
// kUnknownVersion.
tl::expected<FileHeader, StateFileError> DecodeHeader(std::string_view file);

// The records of one file, up to the first one that is invalid.
struct FileContents {
  std::vector<Record> records;
  bool snapshot_complete = false;
  bool last_record_torn = false;                // the file ends within a record
  std::uint64_t damaged_bytes = 0;              // from the first invalid record on
  std::optional<TimePoint> complete_through{};  // newest time of a record that states one
  bool clean_shutdown = false;                  // the last record is a CleanShutdownRecord
  std::optional<std::uint64_t> continued_in{};  // generation, if the last record is a ContinuedInRecord
};
FileContents DecodeRecords(std::string_view file, const FileHeader& header);

}  // namespace lynxgrade::durability
