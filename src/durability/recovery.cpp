#include "durability/recovery.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include "durability/state_folder.h"

namespace lynxgrade::durability {
namespace {

constexpr std::size_t kMaxFileSize = 8ull << 30;  // bytes; no state file is that large

struct DecodedFile {
  FileHeader header;
  FileContents contents;
};

tl::expected<DecodedFile, StateFileError> ReadStateFile(const std::string& path,
                                                        const std::string& instance_name) {
  std::error_code error;
  const std::uintmax_t size = std::filesystem::file_size(path, error);
  std::ifstream file(path, std::ios::binary);
  if (error || !file || size > kMaxFileSize) return tl::unexpected(StateFileError::kUnreadable);
  const std::string bytes{std::istreambuf_iterator<char>(file), {}};
  const auto header = DecodeHeader(bytes);
  if (!header) return tl::unexpected(header.error());
  if (header->instance_hash != StableHash(instance_name)) {
    return tl::unexpected(StateFileError::kOtherInstance);
  }
  return DecodedFile{*header, DecodeRecords(bytes, *header)};
}

tl::expected<DecodedFile, StateFileError> ReadFinishedFile(const std::string& path,
                                                           const std::string& instance_name) {
  auto file = ReadStateFile(path, instance_name);
  if (file && !file->contents.snapshot_complete) return tl::unexpected(StateFileError::kSnapshotDamaged);
  return file;
}

void AppendContinuation(FileContents& contents, FileContents continuation) {
  contents.records.insert(contents.records.end(), continuation.records.begin(), continuation.records.end());
  contents.last_record_torn = continuation.last_record_torn;
  contents.damaged_bytes = continuation.damaged_bytes;
  contents.clean_shutdown = continuation.clean_shutdown;
  if (continuation.complete_through) contents.complete_through = continuation.complete_through;
}

// Whether the file holds every answered write. With CommitMode::kKernel answers wait until the kernel has the
// bytes, which survive a killed process: a file of the current boot is complete unless its last record is
// torn, which shows that the machine went down. Bytes that the kernel has not written to the disk are lost
// when the machine goes down. With CommitMode::kDisk answers wait for the disk, so a torn record belongs to
// an unanswered write.
bool IsEveryAnswerWritten(const DecodedFile& file, std::uint64_t boot_id_hash, CommitMode commit) {
  const bool same_boot = boot_id_hash != 0 && file.header.boot_id_hash == boot_id_hash;
  return (same_boot && !file.contents.last_record_torn) || commit == CommitMode::kDisk ||
         file.contents.clean_shutdown;
}

std::string_view DescribeFileError(StateFileError error) {
  switch (error) {
    case StateFileError::kUnreadable:
      return "cannot be read";
    case StateFileError::kTooShort:
      return "is too short for a header";
    case StateFileError::kNotAStateFile:
      return "is not a state file of this program";
    case StateFileError::kUnknownVersion:
      return "has a format version that this program does not support";
    case StateFileError::kHeaderDamaged:
      return "has a damaged header";
    case StateFileError::kOtherInstance:
      return "was written by another instance";
    case StateFileError::kSnapshotDamaged:
      return "is damaged before the end of its snapshot";
  }
  return "cannot be used";
}

std::string DescribeRecovered(const RecoveryReport& report) {
  std::string text =
      "state file " + report.path + " holds " + std::to_string(report.records) + " valid records";
  if (report.last_record_torn) text += " and a torn last record";
  if (report.damaged_bytes > 0) {
    text += ", followed by " + std::to_string(report.damaged_bytes) + " damaged bytes";
  }
  if (report.continuation_missing) text += "; the file in which it continues is missing or unusable";
  if (!report.complete) text += "; writes answered after its last complete-through record may be missing";
  return text;
}

// Passes one record to the guard. Records that only describe the file contain nothing for it.
class RecordApplier {
 public:
  explicit RecordApplier(consistency::SessionConsistencyGuard& guard) : guard_(guard) {}

  void operator()(const WatermarkRecord& record) {
    proof_.reset();
    guard_.LearnWatermark(std::nullopt, record.session, record.watermark);
  }
  void operator()(const TimelineRecord& record) {
    const std::optional<TermProofRecord> proof = std::exchange(proof_, std::nullopt);
    consistency::PrimaryTermReport report;
    report.term = {record.primary, record.since, record.confirmed, record.replicated_until};
    report.continuous = proof && proof->group == record.group;
    if (report.continuous && proof->predecessor) {
      report.predecessor = consistency::PrimaryTerm{*proof->predecessor, proof->predecessor_since,
                                                    proof->predecessor_confirmed, LogPosition{}};
    }
    guard_.LearnTerm(record.group, report, consistency::TimelineSource::kDisk);
  }
  void operator()(const ConservativePositionRecord& record) {
    proof_.reset();
    guard_.LearnEviction(record.position);
  }
  void operator()(const TermProofRecord& record) { proof_ = record; }
  // All other types only describe the file.
  template <typename FileRecord>
  void operator()(const FileRecord&) {
    proof_.reset();
  }

 private:
  consistency::SessionConsistencyGuard& guard_;
  std::optional<TermProofRecord> proof_;  // of the next record
};

}  // namespace

std::string Describe(const RecoveryReport& report) {
  switch (report.outcome) {
    case RecoveryReport::Outcome::kFolderUnreadable:
      return "state folder " + report.path + " cannot be read: " + report.system_error;
    case RecoveryReport::Outcome::kNoState:
      return "state folder " + report.path + " holds no finished state file";
    case RecoveryReport::Outcome::kFileUnusable:
      return "state file " + report.path + " " + std::string(DescribeFileError(report.file_error));
    case RecoveryReport::Outcome::kRecovered:
      break;
  }
  return DescribeRecovered(report);
}

// Only the newest finished file is used: an older one lacks writes answered after it.
RecoveredState RecoverState(const std::string& folder, const std::string& instance_name,
                            std::uint64_t boot_id_hash, CommitMode commit) {
  RecoveredState recovered;
  RecoveryReport& report = recovered.report;
  report.path = folder;
  const StateFileList list = ListStateFiles(folder);
  std::optional<std::uint64_t> newest_finished;
  for (const StateFile& file : list.files) {
    recovered.generation = std::max(recovered.generation, file.generation);
    if (file.status == StateFileStatus::kFinished) {
      newest_finished = std::max(newest_finished.value_or(file.generation), file.generation);
    }
  }
  if (list.error) {
    report.outcome = RecoveryReport::Outcome::kFolderUnreadable;
    report.system_error = list.error.message();
    return recovered;
  }
  if (!newest_finished) {
    report.outcome = RecoveryReport::Outcome::kNoState;
    return recovered;
  }
  report.path = StateFilePath(folder, *newest_finished, StateFileStatus::kFinished);
  auto file = ReadFinishedFile(report.path, instance_name);
  if (!file) {
    report.outcome = RecoveryReport::Outcome::kFileUnusable;
    report.file_error = file.error();
    return recovered;
  }
  FileContents& contents = file->contents;
  if (contents.continued_in) {
    auto continuation = ReadStateFile(
        StateFilePath(folder, *contents.continued_in, StateFileStatus::kUnfinished), instance_name);
    report.continuation_missing = !continuation;
    if (continuation) AppendContinuation(contents, std::move(continuation->contents));
  }
  recovered.complete = !report.continuation_missing && contents.damaged_bytes == 0 &&
                       IsEveryAnswerWritten(*file, boot_id_hash, commit);
  recovered.complete_through = contents.complete_through;
  recovered.records = std::move(contents.records);
  report.records = recovered.records.size();
  report.last_record_torn = contents.last_record_torn;
  report.damaged_bytes = contents.damaged_bytes;
  report.complete = recovered.complete;
  return recovered;
}

std::uint64_t CurrentBootIdHash() {
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string boot_id;
  std::getline(file, boot_id);
  return boot_id.empty() ? 0 : StableHash(boot_id);
}

void ApplyRecoveredState(const RecoveredState& recovered, consistency::SessionConsistencyGuard& guard) {
  RecordApplier applier(guard);
  for (const Record& record : recovered.records) std::visit(applier, record);
}

}  // namespace lynxgrade::durability
