#include "durability/recovery.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include "durability/state_folder.h"

namespace lynxgrade::durability {
namespace {

constexpr std::size_t kMaxFileSize = 8ull << 30;  // bytes; larger than any state that is written

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

// Whether every answered write has reached the file. Bytes given to the kernel outlive a killed process, and
// answers waited for that, so a torn record then means that the machine went down. What the kernel had not
// written does not outlive the machine; where answers waited for the disk, a torn record belongs to a write
// that was not answered.
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
      return "is not state of this program";
    case StateFileError::kUnknownVersion:
      return "is of a version that is not known here";
    case StateFileError::kHeaderDamaged:
      return "has a damaged header";
    case StateFileError::kOtherInstance:
      return "is the state of another instance";
    case StateFileError::kSnapshotDamaged:
      return "is damaged before the end of its snapshot";
  }
  return "cannot be used";
}

std::string DescribeRecovered(const RecoveryReport& report) {
  std::string text = report.path + " holds " + std::to_string(report.records) + " records";
  if (report.last_record_torn) text += ", the last one torn";
  if (report.damaged_bytes > 0) {
    text += ", then " + std::to_string(report.damaged_bytes) + " bytes that are damaged";
  }
  if (report.continuation_missing) text += ", and the file that continues them is missing";
  if (!report.complete) text += "; writes answered after its last complete-through record are not known";
  return text;
}

// Passes one record to the guard. Records that only describe the file say nothing to it.
class RecordApplier {
 public:
  explicit RecordApplier(consistency::SessionConsistencyGuard& guard) : guard_(guard) {}

  void operator()(const WatermarkRecord& record) const {
    guard_.LearnWatermark(std::nullopt, record.session, record.watermark);
  }
  void operator()(const TimelineRecord& record) const {
    guard_.LearnTimeline(record.group, record.primary, record.since, record.replicated_until,
                         record.confirmed);
  }
  void operator()(const ConservativePositionRecord& record) const { guard_.LearnEviction(record.position); }
  void operator()(const SnapshotEndRecord&) const {}
  void operator()(const CompleteThroughRecord&) const {}
  void operator()(const CleanShutdownRecord&) const {}
  void operator()(const ContinuedInRecord&) const {}
  void operator()(const UnknownRecord&) const {}

 private:
  consistency::SessionConsistencyGuard& guard_;
};

}  // namespace

std::string Describe(const RecoveryReport& report) {
  switch (report.outcome) {
    case RecoveryReport::Outcome::kFolderUnreadable:
      return "the folder " + report.path + " cannot be read (" + report.system_error + ")";
    case RecoveryReport::Outcome::kNoState:
      return "the folder " + report.path + " holds no state";
    case RecoveryReport::Outcome::kFileUnusable:
      return report.path + " " + std::string(DescribeFileError(report.file_error));
    case RecoveryReport::Outcome::kRecovered:
      break;
  }
  return DescribeRecovered(report);
}

// An older finished file lacks what was answered after it and cannot say so: only the newest one is used.
RecoveredState Recover(const std::string& folder, const std::string& instance_name,
                       std::uint64_t boot_id_hash, CommitMode commit) {
  RecoveredState recovered;
  RecoveryReport& report = recovered.report;
  report.path = folder;
  const StateFileList list = ListStateFiles(folder);
  std::optional<std::uint64_t> newest;
  for (const StateFile& file : list.files) {
    recovered.generation = std::max(recovered.generation, file.generation);
    if (file.status == StateFileStatus::kFinished) {
      newest = std::max(newest.value_or(file.generation), file.generation);
    }
  }
  if (list.error) {
    report.outcome = RecoveryReport::Outcome::kFolderUnreadable;
    report.system_error = list.error.message();
    return recovered;
  }
  if (!newest) {
    report.outcome = RecoveryReport::Outcome::kNoState;
    return recovered;
  }
  report.path = StateFilePath(folder, *newest, StateFileStatus::kFinished);
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
  const RecordApplier applier(guard);
  for (const Record& record : recovered.records) std::visit(applier, record);
}

}  // namespace lynxgrade::durability
