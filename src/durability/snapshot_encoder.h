// Encodes the records of a state file, and the snapshot that begins it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "consistency/session_consistency_guard.h"
#include "durability/record_format.h"

namespace lynxgrade::durability {

// Encodes one file after another, and counts the records and bytes of the current one. Accesses no files.
class FileEncoder {
 public:
  // Sets what the headers of all files share. The next file gets the generation after `generation`.
  void SetIdentity(std::uint64_t instance_hash, std::uint64_t boot_id_hash, std::uint64_t generation);
  // Starts the file of the next generation and returns its encoded header.
  std::string BeginFile(TimePoint created);
  // Appends the next record of the current file to `out`.
  void Append(std::string& out, const Record& record);

  std::uint64_t generation() const { return header_.generation; }
  // Bytes encoded for the current file so far.
  std::uint64_t file_bytes() const { return file_bytes_; }

 private:
  FileHeader header_;
  std::uint64_t next_index_ = 0;
  std::uint64_t file_bytes_ = 0;
};

// Encodes the watermark table in parts, so that the main loop is not blocked for long. Watermarks that change
// meanwhile are appended to the same file as separate records.
class SnapshotEncoder {
 public:
  // The arguments must outlive the encoder.
  SnapshotEncoder(const consistency::SessionConsistencyGuard& guard, FileEncoder& encoder)
      : guard_(guard), encoder_(encoder) {}

  void Begin() { next_bucket_ = 0; }
  void Cancel() { next_bucket_.reset(); }
  bool in_progress() const { return next_bucket_.has_value(); }
  // Encodes the next part of the table; the last one ends the snapshot. Watermarks older than the write
  // retention at `now` are left out. Requires in_progress().
  std::string EncodeNextPart(TimePoint now);

 private:
  const consistency::SessionConsistencyGuard& guard_;
  FileEncoder& encoder_;
  std::optional<std::size_t> next_bucket_;
};

}  // namespace lynxgrade::durability
